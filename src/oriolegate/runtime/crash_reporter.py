"""Tells the other VMs with which requests leafs fell."""

import collections
from typing import Any

from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.crashes.crash_ledger import CrashLedger
from oriolegate.crashes.crash_ledger import LostRequest
from oriolegate.models.site import CrashReport
from oriolegate.models.site import LeafEntry
from oriolegate.models.stored import Collection
from oriolegate.network.http_reader import HttpResponse
from oriolegate.network.store_client import StoreClient
from oriolegate.platform import crash_entry
from oriolegate.platform import store_calls

log = structured_log.get_logger("crashes")

MS_PER_S = 1_000.0
CALL_LIMIT_MS = 1_500.0
# Written by this VM, or by another one that saw the same leaf fall.
WRITTEN = (200, 201, 409)
# All VMs must know within 5 s; a refused write is tried again in that time.
RETRY_S = 1.0
MAX_TRIES = 4
# How long a report holds, and with it a refusal: until a person has looked.
KEPT_S = 600.0
# Most reports that a VM writes within a window: where many leafs fall for
# another reason, their requests are no suspects worth a priced call.
MAX_REPORTS = 20
WINDOW_MS = 10_000.0


class CrashReporter:
    """Judges lost requests once it is known whether their leaf fell.

    Attributes:
        written_ms: When the last reports were written.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        client: StoreClient,
        vm: str,
        ledger: CrashLedger,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.client = client
        self.vm = vm
        self.ledger = ledger
        self.written_ms: collections.deque[float] = collections.deque()

    def judge(self, leaf: LeafEntry, is_alive: bool) -> None:
        """Take whether a leaf lives whose connection was lost."""
        if is_alive:
            self.ledger.leaf_survived(leaf.leaf_id)
            return
        for lost in self.ledger.leaf_crashed(leaf.leaf_id):
            if self._may_write():
                self._report(leaf, lost)

    def _may_write(self) -> bool:
        now_ms = self.clock.now_ms()
        while self.written_ms and now_ms - self.written_ms[0] >= WINDOW_MS:
            self.written_ms.popleft()
        if len(self.written_ms) >= MAX_REPORTS:
            return False
        self.written_ms.append(now_ms)
        return True

    def _report(self, leaf: LeafEntry, lost: LostRequest) -> None:
        name = f"{lost.fingerprint:016x}-{leaf.leaf_id}-{leaf.born_ms}"
        report = CrashReport(
            fingerprint=lost.fingerprint,
            attempt_id=lost.attempt_id,
            leaf_id=leaf.leaf_id,
            vm=self.vm,
            wall_ms=self.clock.wall_ms(),
        )
        self.ledger.add_report(name, report)
        log.bind(
            id=lost.attempt_id,
            leaf=leaf.leaf_id,
            service=leaf.service,
            fingerprint=f"{lost.fingerprint:016x}",
        ).warning("leaf fell with request")
        self._write(name, report, tries=1)
        self.reactor.callLater(KEPT_S, self._remove, name)

    def _write(self, name: str, report: CrashReport, tries: int) -> None:
        def done(outcome: HttpResponse | str) -> None:
            if isinstance(outcome, HttpResponse) and outcome.status in WRITTEN:
                return
            reason = outcome if isinstance(outcome, str) else outcome.status
            log.bind(name=name, reason=reason, tries=tries).warning(
                "report not written"
            )
            if tries < MAX_TRIES:
                self.reactor.callLater(
                    RETRY_S, self._write, name, report, tries + 1
                )

        call = store_calls.create_call(
            Collection.CRASHES, name, crash_entry.encode(report)
        )
        self.client.call(call, CALL_LIMIT_MS, done)

    def withdraw(self, names: tuple[str, ...]) -> None:
        """Take reports back: a leaf has answered the request."""
        for name in names:
            self._remove(name)

    def _remove(self, name: str) -> None:
        def done(outcome: HttpResponse | str) -> None:
            result = outcome if isinstance(outcome, str) else outcome.status
            log.bind(name=name, outcome=result).info("report removed")

        self.ledger.remove_report(name)
        call = store_calls.delete_call(Collection.CRASHES, name)
        self.client.call(call, CALL_LIMIT_MS, done)
