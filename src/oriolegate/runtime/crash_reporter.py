"""Reports requests that may have crashed leafs to the other VMs.

Each VM stops believing a report some time after it has read it. The VM that
wrote it removes it then; as that VM may be gone, each other one does so after a
random delay, unless another was faster.
"""

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
from oriolegate.models.site import CrashEntry
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
# Delays after which a VM removes an expired entry of another VM: the writer is
# first, and few VMs remove the same one.
MIN_REMOVAL_DELAY_S = 5.0
MAX_REMOVAL_DELAY_S = 60.0


class CrashReporter:
    """Reports lost requests once it is known that their leaf crashed.

    Attributes:
        queue: Operations that the store has still to confirm.
        timer: Timer of the next look at the queue, or None.
        expiry_timer: Timer of the next entry that expires, or None.
        expired: Names of expired entries that the store may still hold.
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
        self.rng = rng
        self.ledger = ledger
        self.metrics = metrics
        self.queue = ReportQueue(rng, ledger.count_reports)
        self.timer: Any = None
        self.expiry_timer: Any = None
        self.expired: set[str] = set()

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
        self.on_entry(name, report)
        self._count("reported")
        self._log(leaf, lost).warning(
            "leaf crashed with a request in flight; reporting the request"
        )
        self.queue.add(WriteReport(name, report))

    def on_entry(self, name: str, entry: CrashEntry) -> None:
        """Believe a report or trial until it expires or is removed."""
        self.ledger.add_entry(self.clock.now_ms(), name, entry)
        self._set_expiry_timer()

    def on_entry_removed(self, name: str) -> None:
        """Handle that the store no longer holds a report or trial."""
        self.expired.discard(name)
        self.ledger.remove_entry(name)

    def _set_expiry_timer(self) -> None:
        due_ms = self.ledger.next_expiry_ms()
        if due_ms is not None and self.expiry_timer is None:
            delay_s = max(0.0, due_ms - self.clock.now_ms()) / MS_PER_S
            self.expiry_timer = self.reactor.callLater(delay_s, self._expire)

    def _expire(self) -> None:
        self.expiry_timer = None
        expired = self.ledger.remove_expired(self.clock.now_ms())
        for name, entry in expired.items():
            if entry.vm == self.vm:
                self.queue.add(RemoveReport(name))
                continue
            self.expired.add(name)
            delay_s = self.rng.uniform(MIN_REMOVAL_DELAY_S, MAX_REMOVAL_DELAY_S)
            self.reactor.callLater(delay_s, self._remove_expired, name)
        if expired:
            log.bind(names=sorted(expired)).info("crash reports expired")
        self._make_operations()
        self._set_expiry_timer()

    def _remove_expired(self, name: str) -> None:
        if name in self.expired:
            self.expired.discard(name)
            self.queue.add(RemoveReport(name))
            self._make_operations()

    def on_entry_absent(self, name: str) -> None:
        """Write an entry of this VM again that a restored store lacks."""
        entry = self.ledger.find_entry(name)
        if entry is not None and entry.vm == self.vm:
            log.bind(name=name).info(
                "restored store lacks a crash report; writing it again"
            )
            self.queue.add(WriteReport(name, entry))
            self._make_operations()

    def withdraw(self, names: tuple[str, ...]) -> None:
        """Remove the reports and trials of a request that has succeeded."""
        for name in names:
            self._count("withdrawn")
            self.ledger.remove_entry(name)
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
