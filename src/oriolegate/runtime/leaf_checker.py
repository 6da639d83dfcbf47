"""Asks leafs that are suspected of a restart for their health."""

from collections.abc import Callable
import random
from typing import Any

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
# Time limit of a check; a healthy leaf answers within tens of ms.
CHECK_LIMIT_MS = 700.0
# Pause between checks of one leaf for each member, so that all members
# together ask it about four times a second; and the longest, since a VM whose
# suspicion was wrong does without the leaf meanwhile.
PAUSE_FOR_EACH_MEMBER_MS = 250.0
LONGEST_PAUSE_MS = 3_000.0
# When a leaf that turned a connection away is looked at: one that died is down
# for seconds, one that is crowded has had time to lose others' connections.
LOOK_MS = 250.0
DEFAULT_HEALTH_PATH = "/health"


class LeafChecker:
    """Checks suspects until they are heard to be warm, or are gone.

    Attributes:
        running: Ids of the leafs that are being checked.
        on_verdict: Takes a leaf and whether it lives, once that is known.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        client: LeafClient,
        directory: LeafDirectory,
        chance: random.Random,
    ) -> None:
        self.chance = chance
        self.reactor = reactor
        self.clock = clock
        self.client = client
        self.directory = directory
        self.running: set[str] = set()
        self.on_verdict: Callable[[LeafEntry, bool], None] = (
            lambda leaf, is_alive: None
        )

    def suspect(self, record: LeafRecord, detail: str) -> None:
        """Use a leaf no more until it is heard to be warm."""
        record.suspect = True
        leaf_id = record.entry.leaf_id
        if leaf_id in self.running:
            return
        self.running.add(leaf_id)
        log.bind(
            leaf=leaf_id, service=record.entry.service, reason=detail
        ).info("leaf suspected")
        # At once: most resets are of a connection and not of the leaf, which
        # would be missed by every gather until the check.
        self._check(record)

    def _check_later(self, record: LeafRecord, longest_ms: float) -> None:
        pause_ms = longest_ms * (0.5 + 0.5 * self.chance.random())
        self.reactor.callLater(pause_ms / MS_PER_S, self._check, record)

    def _is_over(self, record: LeafRecord) -> bool:
        leaf_id = record.entry.leaf_id
        is_known = self.directory.leafs.get(leaf_id) is record
        return not is_known or not record.suspect

    def look_at(self, record: LeafRecord) -> None:
        """Find out whether a leaf that turned a connection away has died.

        It stays in use unless it has.
        """
        if record.entry.leaf_id in self.running:
            return
        self.running.add(record.entry.leaf_id)
        self.reactor.callLater(LOOK_MS / MS_PER_S, self._look, record)

    def _look(self, record: LeafRecord) -> None:
        leaf_id = record.entry.leaf_id
        if record.suspect:
            # Suspected meanwhile: it is checked until it is well.
            self._check(record)
            return
        self.running.discard(leaf_id)
        if self.directory.leafs.get(leaf_id) is not record:
            return

        def looked(report: HealthReport | NoAnswer) -> None:
            self._judge(record, report)
            if (
                isinstance(report, NoAnswer)
                and report.fate is SendOutcome.UNSENT
            ):
                self.suspect(record, report.detail)

        self._ask(record, looked)

    def _check(self, record: LeafRecord) -> None:
        if self._is_over(record):
            self.running.discard(record.entry.leaf_id)
            return

        def checked(report: HealthReport | NoAnswer) -> None:
            self._checked(record, report)

        self._ask(record, checked)

    def _ask(
        self,
        record: LeafRecord,
        done: Callable[[HealthReport | NoAnswer], None],
    ) -> None:
        """Ask a leaf for its health, for a limited time."""
        service = self.directory.services.get(record.entry.service)
        path = service.check_path if service else DEFAULT_HEALTH_PATH
        open_check: OpenSend | None = None

        def answered(report: HealthReport | NoAnswer) -> None:
            if timer.active():
                timer.cancel()
            done(report)

        def too_long() -> None:
            if open_check is not None:
                self.client.abandon(open_check)
            done(NoAnswer(SendOutcome.MAY_HAVE_RUN, "no answer in time"))

        timer = self.reactor.callLater(CHECK_LIMIT_MS / MS_PER_S, too_long)
        open_check = self.client.check_health(record.entry, path, answered)

    def _judge(
        self, record: LeafRecord, report: HealthReport | NoAnswer
    ) -> None:
        """Tell whether the leaf lives, if that is known now."""
        match report:
            case HealthReport(leaf_id):
                self.on_verdict(record.entry, leaf_id == record.entry.leaf_id)
            case NoAnswer(SendOutcome.UNSENT):
                self.on_verdict(record.entry, False)

    def _checked(
        self, record: LeafRecord, report: HealthReport | NoAnswer
    ) -> None:
        self._judge(record, report)
        leaf_id = record.entry.leaf_id
        if (
            isinstance(report, HealthReport)
            and report.leaf_id == leaf_id
            and report.healthy
        ):
            now_ms = self.clock.now_ms()
            record.suspect = False
            record.cold_until_ms = now_ms + report.cold_left_ms
            self.running.discard(leaf_id)
            log.bind(leaf=leaf_id, cold_ms=report.cold_left_ms).info(
                "leaf trusted again"
            )
            return
        members = len(self.directory.members)
        self._check_later(
            record, min(LONGEST_PAUSE_MS, PAUSE_FOR_EACH_MEMBER_MS * members)
        )
