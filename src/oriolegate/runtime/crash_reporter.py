"""Reports requests that may have crashed leafs to the other VMs."""

import collections
from typing import Any

from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.crashes.crash_ledger import CrashLedger
from oriolegate.crashes.crash_ledger import LostRequest
from oriolegate.crashes.crash_ledger import Unreported
from oriolegate.metrics import MetricsRegistry
from oriolegate.models.site import CrashReport
from oriolegate.models.site import LeafEntry
from oriolegate.models.stored import Collection
from oriolegate.network.http_reader import HttpResponse
from oriolegate.network.store_client import StoreClient
from oriolegate.platform import crash_entry
from oriolegate.platform import store_calls

log = structured_log.get_logger("crashes")

MS_PER_S = 1_000.0
CALL_TIMEOUT_MS = 1_500.0
# Statuses after which the report exists: written by this VM, or earlier by
# another VM (409) that noticed the same crash.
WRITTEN_STATUSES = (200, 201, 409)
# All VMs must know of a crash within 5 s; failed writes are retried until then.
RETRY_INTERVAL_S = 1.0
MAX_ATTEMPTS = 4
# Lifetime of a report, and so of a refusal: time for an operator to react.
REPORT_TTL_S = 600.0
# Limit on the reports that a VM writes within a window. Each write is a billed
# call, and when many leafs crash at once, requests are rarely the cause.
MAX_REPORTS = 20
REPORT_WINDOW_MS = 10_000.0


class CrashReporter:
    """Reports lost requests once it is known that their leaf crashed.

    Attributes:
        written_ms: Times of the reports written within `REPORT_WINDOW_MS`.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        client: StoreClient,
        vm: str,
        ledger: CrashLedger,
        metrics: MetricsRegistry,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.client = client
        self.vm = vm
        self.ledger = ledger
        self.metrics = metrics
        self.written_ms: collections.deque[float] = collections.deque()

    def on_liveness_known(self, leaf: LeafEntry, is_alive: bool) -> None:
        """Report the lost requests of a leaf if it has crashed."""
        if is_alive:
            for lost in self.ledger.record_leaf_alive(leaf.leaf_id):
                self._count("leaf alive")
                self._log(leaf, lost).info(
                    "leaf lost a connection but is alive; request not blamed"
                )
            return
        for lost in self.ledger.record_leaf_crash(leaf.leaf_id):
            reason = self.ledger.judge_report(lost)
            if reason is None and not self._consume_report_quota():
                reason = Unreported.QUOTA
            if reason is None:
                self._report(leaf, lost)
                continue
            self._count("unreported")
            self._log(leaf, lost).bind(reason=reason.value).info(
                "leaf crashed with a request in flight; request not reported"
            )

    def _log(
        self, leaf: LeafEntry, lost: LostRequest
    ) -> structured_log.BoundLog:
        return log.bind(
            id=lost.attempt_id,
            leaf=leaf.leaf_id,
            service=leaf.service,
            fingerprint=f"{lost.fingerprint:016x}",
        )

    def _count(self, event: str) -> None:
        self.metrics.counter(
            "oriolegate_crash_reports_total", event=event
        ).add()

    def _consume_report_quota(self) -> bool:
        now_ms = self.clock.now_ms()
        while (
            self.written_ms and now_ms - self.written_ms[0] >= REPORT_WINDOW_MS
        ):
            self.written_ms.popleft()
        if len(self.written_ms) >= MAX_REPORTS:
            return False
        self.written_ms.append(now_ms)
        return True

    def _report(self, leaf: LeafEntry, lost: LostRequest) -> None:
        # Unique per request and incarnation of the leaf.
        name = f"{lost.fingerprint:016x}-{leaf.leaf_id}-{leaf.born_ms}"
        report = CrashReport(
            fingerprint=lost.fingerprint,
            attempt_id=lost.attempt_id,
            leaf_id=leaf.leaf_id,
            vm=self.vm,
            wall_ms=self.clock.wall_ms(),
        )
        self.ledger.add_report(name, report)
        self._count("reported")
        self._log(leaf, lost).warning(
            "leaf crashed with a request in flight; reporting the request"
        )
        self._write(name, report, tries=1)
        self.reactor.callLater(REPORT_TTL_S, self._remove, name)

    def _write(self, name: str, report: CrashReport, tries: int) -> None:
        def done(outcome: HttpResponse | str) -> None:
            if (
                isinstance(outcome, HttpResponse)
                and outcome.status in WRITTEN_STATUSES
            ):
                self._count("written")
                return
            self._count("write failed")
            reason = outcome if isinstance(outcome, str) else outcome.status
            log.bind(name=name, reason=reason, tries=tries).warning(
                "writing a crash report failed; retrying while tries remain"
            )
            if tries < MAX_ATTEMPTS:
                self.reactor.callLater(
                    RETRY_INTERVAL_S, self._write, name, report, tries + 1
                )

        call = store_calls.create_call(
            Collection.CRASHES, name, crash_entry.encode(report)
        )
        self.client.call(call, CALL_TIMEOUT_MS, done)

    def withdraw(self, names: tuple[str, ...]) -> None:
        """Remove reports about a request that has succeeded."""
        for name in names:
            self._count("withdrawn")
            self._remove(name)

    def _remove(self, name: str) -> None:
        def done(outcome: HttpResponse | str) -> None:
            result = outcome if isinstance(outcome, str) else outcome.status
            log.bind(name=name, outcome=result).info(
                "removal of crash report finished"
            )

        self.ledger.remove_report(name)
        call = store_calls.delete_call(Collection.CRASHES, name)
        self.client.call(call, CALL_TIMEOUT_MS, done)
