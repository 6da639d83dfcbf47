"""Accept edits of the rules, and report which VMs have each version in force.

An accepted edit is distributed at once. Its response is delayed for a limited
time, until every VM has confirmed the version; the response lists the VMs that
have not confirmed the version. The store is accessed for edits and history
only: the rules in force are known locally.
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
from oriolegate.rules.stored_rules import parse_stored_rules
from oriolegate.rules.stored_rules import StoredRules
from oriolegate.rules.trial_report import TrialReport
from oriolegate.runtime.document_runner import DocumentRunner
from oriolegate.runtime.edit_runner import EditRunner

IN_FORCE_WAIT_MS = 5_000.0
IN_FORCE_POLL_S = 0.05
MAX_EDITS = 32  # unfinished edits in this process
MAX_HISTORY_VERSIONS = 50


@attrs.frozen
class ConfirmationStatus:
    """Which VMs have a version in force, as known in this process.

    Attributes:
        version: The version in question.
        in_force_on: VMs that have confirmed this version or a newer one.
        pending_on: VMs that have not confirmed, including unreachable VMs.
        unreachable_on: The unreachable VMs of `pending_on`.
    """

    version: int
    in_force_on: tuple[str, ...]
    pending_on: tuple[str, ...]
    unreachable_on: tuple[str, ...]


@attrs.frozen
class EditResponse:
    """The result of an edit, and the VMs that have its version in force."""

    result: messages.AcceptanceResult
    confirmed: ConfirmationStatus


class RulesService:
    """Accepts edits of the rules in one process.

    Attributes:
        edits: Edits whose acceptance has not ended.
        in_force_wait_ms: Maximum delay of a response, for all VMs to
            confirm.
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
        """The outcomes of trials and mirrors in this process."""
        return self.documents.tier.flow.trials.report

    def stop(self) -> None:
        """Stop unfinished edits; respond to edits awaiting confirmations."""
        self.stopped = True
        for edit in tuple(self.edits):
            edit.stop()

    def confirmation_status(self, version: int) -> ConfirmationStatus:
        """Return which VMs have a version in force."""
        table = self.documents.gossip.confirmations
        status = table.in_force(version)
        pending = tuple(sorted({*status.pending, *status.unreachable}))
        confirmed = tuple(sorted(set(table.possible_members) - set(pending)))
        return ConfirmationStatus(
            version, confirmed, pending, status.unreachable
        )

    def apply(
        self, fields: Mapping[str, Any]
    ) -> "defer.Deferred[EditResponse]":
        """Submit an edit for acceptance.

        Args:
            fields: Body of `POST /rules`.

        Raises:
            CallerInputError: If the body is not a valid edit.
            PlatformError: If too many edits are unfinished in this process.
        """
        parsed = admin_view.parse_edit(fields, f"{self.vm}-{uuid.uuid4().hex}")
        if parsed.is_error():
            raise CallerInputError(parsed.error)
        if len(self.edits) >= MAX_EDITS:
            raise PlatformError(
                "too many edits wait for the store here; apply again later"
            )
        edit = EditRunner(
            RulesAcceptor(parsed.ok, self.limits, self.cache),
            self.platform,
            self.clock,
            self.call_later,
            self.documents.on_rules_written,
            self.edits.discard,
        )
        self.edits.add(edit)
        return edit.start().addCallback(self._wait_in_force)

    def _wait_in_force(
        self, result: messages.AcceptanceResult
    ) -> "defer.Deferred[EditResponse]":
        response: defer.Deferred[EditResponse] = defer.Deferred()
        if not isinstance(result, messages.Accepted | messages.Merged):
            response.callback(
                EditResponse(result, ConfirmationStatus(0, (), (), ()))
            )
            return response
        due_ms = self.clock.now_ms() + self.in_force_wait_ms
        version = result.version

        def check() -> None:
            confirmed = self.confirmation_status(version)
            is_due = self.stopped or self.clock.now_ms() >= due_ms
            if confirmed.pending_on and not is_due:
                self.call_later(IN_FORCE_POLL_S, check)
            else:
                response.callback(EditResponse(result, confirmed))

        check()
        return response

    async def history(self) -> list[StoredRules]:
        """Read the accepted version and its latest predecessors.

        Raises:
            PlatformError: If the store does not respond.
        """
        accepted = await self._read(ACCEPTED)
        if accepted is None:
            return []
        # One version more than is displayed, to compute the changes that the
        # oldest displayed version made.
        paths = history_paths(accepted.version, MAX_HISTORY_VERSIONS)
        reads = [
            defer.Deferred.fromCoroutine(self._read(path)) for path in paths
        ]
        try:
            predecessors = await defer.gatherResults(reads, consumeErrors=True)
        except defer.FirstError as error:
            raise error.subFailure.value from error
        return [
            accepted,
            *(rules for rules in predecessors if rules is not None),
        ]

    async def _read(self, path: ObjectPath) -> StoredRules | None:
        try:
            stored = await self.platform.get(path.kind, path.name)
        except PlatformError as error:
            if error.code is ResultCode.PLATFORM_NOT_FOUND:
                return None
            raise
        return parse_stored_rules(stored.value)
