"""Takes edits of the rules, and tells what is accepted and in force where.

An edit that was accepted is spread from here at once, then its answer waits
a little for every VM to confirm; it names the VMs that have not. The store is
asked for edits and history only: the rules in force are known without it.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
import uuid

import attrs
from twisted.internet import defer

from oriolegate.clock import Clock
from oriolegate.exceptions import CallerInputError
from oriolegate.exceptions import PlatformError
from oriolegate.network.platform_api import Platform
from oriolegate.result_codes import ResultCode
from oriolegate.rules import acceptance_messages as messages
from oriolegate.rules import admin_view
from oriolegate.rules.acceptance import RulesAcceptor
from oriolegate.rules.acceptance_phases import AcceptanceLimits
from oriolegate.rules.model import AcceptedRules
from oriolegate.rules.parser import LineCache
from oriolegate.rules.stored_rules import ACCEPTED
from oriolegate.rules.stored_rules import history_paths
from oriolegate.rules.stored_rules import ObjectPath
from oriolegate.rules.stored_rules import read_stored
from oriolegate.rules.stored_rules import StoredRules
from oriolegate.rules.trial_report import TrialReport
from oriolegate.runtime.document_runner import DocumentRunner
from oriolegate.runtime.edit_runner import EditRunner

IN_FORCE_WAIT_MS = 5_000.0
IN_FORCE_POLL_S = 0.05
MAX_EDITS = 32
HISTORY_SHOWN = 50


@attrs.frozen
class ConfirmedOn:
    """Which VMs have a version in force, as far as is known here.

    Attributes:
        version: The version asked about.
        in_force_on: VMs that have confirmed it or a newer one.
        pending_on: VMs that have not, the unreachable ones included.
        unreachable_on: Those of them that can't be asked.
    """

    version: int
    in_force_on: tuple[str, ...]
    pending_on: tuple[str, ...]
    unreachable_on: tuple[str, ...]


@attrs.frozen
class EditAnswer:
    """What came of an edit, and where it is in force."""

    result: messages.AcceptanceResult
    confirmed: ConfirmedOn


class RulesService:
    """Accepts edits in one process.

    Attributes:
        edits: Edits that are not settled yet.
        in_force_wait_ms: How long an answer waits for all VMs to confirm.
    """

    def __init__(
        self,
        vm: str,
        platform: Platform,
        documents: DocumentRunner,
        clock: Clock,
        call_later: Callable[..., Any],
        in_force_wait_ms: float = IN_FORCE_WAIT_MS,
        limits: AcceptanceLimits | None = None,
    ) -> None:
        self.vm = vm
        self.platform = platform
        self.documents = documents
        self.clock = clock
        self.call_later = call_later
        self.in_force_wait_ms = in_force_wait_ms
        self.limits = limits
        self.cache = LineCache()
        self.edits: set[EditRunner] = set()
        self.stopped = False

    @property
    def accepted(self) -> AcceptedRules | None:
        """The version in force in this process."""
        return self.documents.tier.accepted

    @property
    def report(self) -> TrialReport:
        """What came of trials and mirrors in this process."""
        return self.documents.tier.flow.trials.report

    def stop(self) -> None:
        """Stop settling edits, and answer those that wait for VMs."""
        self.stopped = True
        for edit in tuple(self.edits):
            edit.stop()

    def confirmed_on(self, version: int) -> ConfirmedOn:
        """Return where a version is in force."""
        table = self.documents.spreader.confirmations
        known = table.in_force(version)
        pending = tuple(sorted({*known.pending, *known.unreachable}))
        confirmed = tuple(sorted(set(table.census) - set(pending)))
        return ConfirmedOn(version, confirmed, pending, known.unreachable)

    def apply(self, fields: Mapping[str, Any]) -> "defer.Deferred[EditAnswer]":
        """Ask for a new version.

        Args:
            fields: Body of `POST /rules`.

        Raises:
            CallerInputError: If the body is no edit.
            PlatformError: If too many edits are unsettled here.
        """
        read = admin_view.read_edit(fields, f"{self.vm}-{uuid.uuid4().hex}")
        if read.is_error():
            raise CallerInputError(read.error)
        if len(self.edits) >= MAX_EDITS:
            raise PlatformError(
                "too many edits wait for the store here; apply again later"
            )
        edit = EditRunner(
            RulesAcceptor(read.ok, self.limits, self.cache),
            self.platform,
            self.clock,
            self.call_later,
            self.documents.written,
            self.edits.discard,
        )
        self.edits.add(edit)
        return edit.start().addCallback(self._wait_in_force)

    def _wait_in_force(
        self, result: messages.AcceptanceResult
    ) -> "defer.Deferred[EditAnswer]":
        answered: defer.Deferred[EditAnswer] = defer.Deferred()
        if not isinstance(result, messages.Accepted | messages.Merged):
            answered.callback(EditAnswer(result, ConfirmedOn(0, (), (), ())))
            return answered
        limit_ms = self.clock.now_ms() + self.in_force_wait_ms
        version = result.version

        def look() -> None:
            confirmed = self.confirmed_on(version)
            late = self.stopped or self.clock.now_ms() >= limit_ms
            if confirmed.pending_on and not late:
                self.call_later(IN_FORCE_POLL_S, look)
            else:
                answered.callback(EditAnswer(result, confirmed))

        look()
        return answered

    async def history(self) -> list[StoredRules]:
        """Read the accepted version and the newest that it replaced.

        Raises:
            PlatformError: If the store does not answer.
        """
        accepted = await self._read(ACCEPTED)
        if accepted is None:
            return []
        # One more than is shown, to tell what the oldest shown changed.
        paths = history_paths(accepted.version, HISTORY_SHOWN)
        reads = [
            defer.Deferred.fromCoroutine(self._read(path)) for path in paths
        ]
        try:
            found = await defer.gatherResults(reads, consumeErrors=True)
        except defer.FirstError as error:
            raise error.subFailure.value from error
        return [accepted, *(one for one in found if one is not None)]

    async def _read(self, path: ObjectPath) -> StoredRules | None:
        try:
            item = await self.platform.get(path.kind, path.name)
        except PlatformError as error:
            if error.code is ResultCode.PLATFORM_NOT_FOUND:
                return None
            raise
        return read_stored(item.value)
