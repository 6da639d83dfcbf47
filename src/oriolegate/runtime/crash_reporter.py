"""Reports requests that may have crashed leafs to the other VMs."""

import random
from typing import Any

from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.crashes.crash_ledger import CrashLedger
from oriolegate.crashes.crash_ledger import LostRequest
from oriolegate.crashes.report_queue import Operation
from oriolegate.crashes.report_queue import RemoveReport
from oriolegate.crashes.report_queue import ReportQueue
from oriolegate.crashes.report_queue import WriteReport
from oriolegate.metrics import MetricsRegistry
from oriolegate.models.site import CrashReport
from oriolegate.models.site import LeafEntry
from oriolegate.models.stored import Collection
from oriolegate.network.http_reader import HttpResponse
from oriolegate.network.store_client import StoreClient
from oriolegate.platform import crash_entry
from oriolegate.platform import store_calls
from oriolegate.platform.store_calls import StoreCall

log = structured_log.get_logger("crashes")

MS_PER_S = 1_000.0
CALL_TIMEOUT_MS = 1_500.0
# Statuses after which a report exists: written by this VM, or earlier by
# another VM (409) that noticed the same crash.
WRITTEN_STATUSES = (200, 201, 409)
# Statuses after which a report does not exist.
REMOVED_STATUSES = (200, 204, 404)
# Lifetime of a report, and so of a refusal: time for an operator to react.
REPORT_TTL_S = 600.0


class CrashReporter:
    """Reports lost requests once it is known that their leaf crashed.

    Attributes:
        queue: Operations that the store has still to confirm.
        timer: Timer of the next look at the queue, or None.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        client: StoreClient,
        vm: str,
        ledger: CrashLedger,
        metrics: MetricsRegistry,
        rng: random.Random,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.client = client
        self.vm = vm
        self.ledger = ledger
        self.metrics = metrics
        self.queue = ReportQueue(rng, ledger.count_reports)
        self.timer: Any = None

    def on_liveness_known(self, leaf: LeafEntry, is_alive: bool) -> None:
        """Report the lost requests of a leaf if it has crashed."""
        if is_alive:
            for lost in self.ledger.record_leaf_alive(leaf.leaf_id):
                self._count("leaf alive")
                self._log(leaf, lost).info(
                    "leaf lost a connection but is alive; request not blamed"
                )
            return
        now_ms = self.clock.now_ms()
        for lost in self.ledger.record_leaf_crash(now_ms, leaf.leaf_id):
            reason = self.ledger.judge_report(lost)
            if reason is None:
                self._report(leaf, lost)
                continue
            self._count("unreported")
            self._log(leaf, lost).bind(reason=reason.value).info(
                "leaf crashed with a request in flight; request not reported"
            )
        self._make_operations()

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
        self.queue.add(WriteReport(name, report))
        self.reactor.callLater(REPORT_TTL_S, self._expire, name)

    def _expire(self, name: str) -> None:
        if self.ledger.find_report(name) is not None:
            self.withdraw((name,))

    def on_report_absent(self, name: str, report: CrashReport) -> None:
        """Write a report of this VM again that a restored store lacks."""
        if report.vm == self.vm:
            log.bind(name=name).info(
                "restored store lacks a crash report; writing it again"
            )
            self.queue.add(WriteReport(name, report))
            self._make_operations()

    def withdraw(self, names: tuple[str, ...]) -> None:
        """Remove reports that expired or whose request has succeeded."""
        for name in names:
            self._count("withdrawn")
            self.ledger.remove_report(name)
            self.queue.add(RemoveReport(name))
        self._make_operations()

    def _make_operations(self) -> None:
        """Make all store operations that are due."""
        while True:
            now_ms = self.clock.now_ms()
            operation = self.queue.next_operation(now_ms)
            if operation is None:
                break
            self._make_operation(operation)
        due_ms = self.queue.next_due_ms(now_ms)
        if due_ms is not None and self.timer is None:
            delay_s = max(0.0, due_ms - now_ms) / MS_PER_S
            self.timer = self.reactor.callLater(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self._make_operations()

    def _make_operation(self, operation: Operation) -> None:
        def done(outcome: HttpResponse | str) -> None:
            if (
                isinstance(outcome, HttpResponse)
                and outcome.status in expected_statuses
            ):
                self._count(event)
                self.queue.on_succeeded(operation)
            else:
                self._count("call failed")
                reason = outcome if isinstance(outcome, str) else outcome.status
                log.bind(
                    name=operation.name, reason=reason, call=event
                ).warning("store call for a crash report failed; retrying")
                self.queue.on_failed(self.clock.now_ms(), operation)
            self._make_operations()

        call: StoreCall
        match operation:
            case WriteReport(name, report):
                call = store_calls.create_call(
                    Collection.CRASHES, name, crash_entry.encode(report)
                )
                expected_statuses, event = WRITTEN_STATUSES, "written"
            case RemoveReport(name):
                call = store_calls.delete_call(Collection.CRASHES, name)
                expected_statuses, event = REMOVED_STATUSES, "removed"
        self.client.call(call, CALL_TIMEOUT_MS, done)
