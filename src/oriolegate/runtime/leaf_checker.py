"""Health checks of leafs that may have restarted or crashed."""

from collections.abc import Callable
import random
from typing import Any
from typing import TypeGuard

from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.exchange.messages import SendOutcome
from oriolegate.models.site import LeafEntry
from oriolegate.network.leaf_client import LeafClient
from oriolegate.network.leaf_client import OpenSend
from oriolegate.placement.leaf_directory import LeafDirectory
from oriolegate.placement.leaf_record import LeafRecord
from oriolegate.platform.leaf_protocol import HealthReport
from oriolegate.platform.leaf_protocol import NoAnswer

log = structured_log.get_logger("leafs")

MS_PER_S = 1_000.0
# Timeout of a check; a healthy leaf answers within tens of ms.
CHECK_TIMEOUT_MS = 700.0
# Interval between checks of one leaf, per member, so that all members together
# check it about four times a second; capped, since a VM that
# wrongly suspects a leaf can't use the leaf until the next check.
CHECK_INTERVAL_PER_MEMBER_MS = 250.0
MAX_CHECK_INTERVAL_MS = 3_000.0
# Delay until a leaf that rejected a connection is checked: a crashed leaf is
# still down, since a restart takes seconds, and a leaf at its connection limit
# has had time to close the connections of other VMs.
REJECTION_CHECK_DELAY_MS = 250.0
TIMED_OUT = NoAnswer(SendOutcome.MAY_HAVE_RUN, "no answer in time")


def _is_healthy(
    report: HealthReport | NoAnswer, record: LeafRecord
) -> TypeGuard[HealthReport]:
    """Return whether a report is that of the leaf, and good."""
    return (
        isinstance(report, HealthReport)
        and report.leaf_id == record.entry.leaf_id
        and report.healthy
    )


class LeafChecker:
    """Checks suspected leafs until they report healthy or are removed.

    Attributes:
        checking: Ids of the leafs that are being checked.
        on_liveness_known: Called with a leaf and whether it is alive.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        client: LeafClient,
        directory: LeafDirectory,
        rng: random.Random,
    ) -> None:
        self.rng = rng
        self.reactor = reactor
        self.clock = clock
        self.client = client
        self.directory = directory
        self.checking: set[str] = set()
        self.on_liveness_known: Callable[[LeafEntry, bool], None] = (
            lambda leaf, is_alive: None
        )

    def suspect(self, record: LeafRecord, detail: str) -> None:
        """Stop using a leaf until a check finds it healthy.

        Args:
            record: The leaf.
            detail: Reason for the log.
        """
        record.suspect = True
        leaf_id = record.entry.leaf_id
        if leaf_id in self.checking:
            return
        self.checking.add(leaf_id)
        log.bind(
            leaf=leaf_id, service=record.entry.service, reason=detail
        ).info("leaf suspected of a restart; checking its health")
        # The first check is immediate: most resets concern a connection, not
        # the leaf, and no request uses the leaf until the check.
        self._check(record, is_first=True)

    def _check_later(self, record: LeafRecord, max_interval_ms: float) -> None:
        delay_ms = max_interval_ms * (0.5 + 0.5 * self.rng.random())
        self.reactor.callLater(delay_ms / MS_PER_S, self._check, record)

    def _is_resolved(self, record: LeafRecord) -> bool:
        leaf_id = record.entry.leaf_id
        is_known = self.directory.leafs.get(leaf_id) is record
        return not is_known or not record.suspect

    def verify(self, record: LeafRecord) -> None:
        """Check a leaf that may have restarted unnoticed before it is used."""
        leaf_id = record.entry.leaf_id
        if leaf_id in self.checking:
            return
        self.checking.add(leaf_id)

        def on_report(report: HealthReport | NoAnswer) -> None:
            self.checking.discard(leaf_id)
            if _is_healthy(report, record):
                self._use_again(record, report)
            else:
                self.suspect(record, "not healthy when verified")

        self._request_health(record, on_report)

    def check_before_trial(
        self, record: LeafRecord, done: Callable[[bool], None]
    ) -> None:
        """Check whether a leaf is healthy before a request that may crash it.

        Args:
            record: The leaf.
            done: Called with whether it is.
        """

        def on_report(report: HealthReport | NoAnswer) -> None:
            is_healthy = _is_healthy(report, record)
            if not is_healthy:
                self.check_liveness_later(record)
            done(is_healthy)

        self._request_health(record, on_report)

    def check_liveness_later(self, record: LeafRecord) -> None:
        """Check later whether a leaf that rejected a connection has crashed.

        The leaf stays in use until the check finds it unreachable.
        """
        if record.entry.leaf_id in self.checking:
            return
        self.checking.add(record.entry.leaf_id)
        self.reactor.callLater(
            REJECTION_CHECK_DELAY_MS / MS_PER_S, self._check_liveness, record
        )

    def check_liveness(self, record: LeafRecord) -> None:
        """Check whether a leaf that does not respond has crashed.

        The leaf stays in use until the check finds it unreachable.
        """
        if record.entry.leaf_id in self.checking:
            return
        self.checking.add(record.entry.leaf_id)
        self._check_liveness(record)

    def _check_liveness(
        self, record: LeafRecord, *, is_repeated: bool = False
    ) -> None:
        leaf_id = record.entry.leaf_id
        if record.suspect:
            # The leaf is suspected by now: check it until it is healthy.
            self._check(record)
            return
        if self.directory.leafs.get(leaf_id) is not record:
            self.checking.discard(leaf_id)
            return

        def on_report(report: HealthReport | NoAnswer) -> None:
            if report == TIMED_OUT and not is_repeated:
                self._check_liveness(record, is_repeated=True)
                return
            self.checking.discard(leaf_id)
            self._report_liveness(record, report)
            if (
                isinstance(report, NoAnswer)
                and report.outcome is SendOutcome.UNSENT
            ):
                self.suspect(record, report.detail)

        self._request_health(record, on_report)

    def _check(self, record: LeafRecord, *, is_first: bool = False) -> None:
        if self._is_resolved(record):
            self.checking.discard(record.entry.leaf_id)
            return

        def on_report(report: HealthReport | NoAnswer) -> None:
            if is_first and report == TIMED_OUT:
                self._check(record)
            else:
                self._on_check_report(record, report)

        self._request_health(record, on_report)

    def _request_health(
        self,
        record: LeafRecord,
        done: Callable[[HealthReport | NoAnswer], None],
    ) -> None:
        """Send a health request with a timeout.

        If the leaf wants no requests from this VM, that time passes first.
        """
        quiet_ms = record.quiet_until_ms - self.clock.now_ms()
        if quiet_ms > 0.0:
            self.reactor.callLater(
                quiet_ms / MS_PER_S, self._request_health, record, done
            )
            return
        record.record_send(self.clock.now_ms())
        path = self.directory.check_path(record.entry.service)
        open_check: OpenSend | None = None

        def on_answer(report: HealthReport | NoAnswer) -> None:
            if timer.active():
                timer.cancel()
            done(report)

        def on_timeout() -> None:
            if open_check is not None:
                self.client.abandon(open_check)
            # The leaf may be gone without a reset, so that its connections
            # never answer: only a new one shows whether it is up.
            self.client.close_idle(record.entry.leaf_id)
            done(TIMED_OUT)

        timer = self.reactor.callLater(CHECK_TIMEOUT_MS / MS_PER_S, on_timeout)
        open_check = self.client.check_health(record.entry, path, on_answer)

    def _report_liveness(
        self, record: LeafRecord, report: HealthReport | NoAnswer
    ) -> None:
        """Report whether the leaf is alive if the check shows that."""
        match report:
            case HealthReport(leaf_id=""):
                # A full leaf rejects a check like any request, without its id.
                pass
            case HealthReport(leaf_id):
                self.on_liveness_known(
                    record.entry, leaf_id == record.entry.leaf_id
                )
            case NoAnswer(SendOutcome.UNSENT):
                self.on_liveness_known(record.entry, False)

    def _use_again(self, record: LeafRecord, report: HealthReport) -> None:
        now_ms = self.clock.now_ms()
        record.suspect = False
        record.verified_at_ms = now_ms
        record.cold_until_ms = now_ms + report.cold_left_ms

    def _on_check_report(
        self, record: LeafRecord, report: HealthReport | NoAnswer
    ) -> None:
        self._report_liveness(record, report)
        leaf_id = record.entry.leaf_id
        if _is_healthy(report, record):
            self._use_again(record, report)
            self.checking.discard(leaf_id)
            log.bind(leaf=leaf_id, cold_ms=report.cold_left_ms).info(
                "leaf healthy; in use again"
            )
            return
        member_count = len(self.directory.members)
        self._check_later(
            record,
            min(
                MAX_CHECK_INTERVAL_MS,
                CHECK_INTERVAL_PER_MEMBER_MS * member_count,
            ),
        )
