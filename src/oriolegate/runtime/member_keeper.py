"""Keeps this VM's entry among the members in the store."""

from typing import Any

from oriolegate import logging_setup
from oriolegate.clock import Clock
from oriolegate.models.site import NodeSettings
from oriolegate.models.stored import Collection
from oriolegate.network.http_reader import HttpResponse
from oriolegate.network.store_client import StoreClient
from oriolegate.platform import member_entry
from oriolegate.platform import store_calls

log = logging_setup.get_logger("members")

CALL_LIMIT_MS = 1_500.0
# An entry that is not written yet only makes others' parts larger for a
# moment, which their margin covers; so no hurry during an outage.
RETRY_S = 1.5
# Created, or there from an earlier start of this VM.
WRITTEN = (200, 201, 409)


class MemberKeeper:
    """Writes the entry at start and removes it at a planned stop."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        client: StoreClient,
        settings: NodeSettings,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.client = client
        self.settings = settings
        self.leaving = False

    def start(self) -> None:
        """Write the entry, again and again until the store has it."""
        if self.leaving:
            return
        content = member_entry.encode(
            self.settings.vm, self.settings.data_centre, self.clock.wall_ms()
        )
        call = store_calls.create_call(
            Collection.MEMBERS, self.settings.vm, content
        )
        self.client.call(call, CALL_LIMIT_MS, self._written)

    def _written(self, outcome: HttpResponse | str) -> None:
        if isinstance(outcome, HttpResponse) and outcome.status in WRITTEN:
            return
        reason = outcome if isinstance(outcome, str) else outcome.status
        log.bind(reason=reason).warning("entry not written; trying again")
        self.reactor.callLater(RETRY_S, self.start)

    def leave(self) -> None:
        """Remove the entry, so that others take over this VM's parts."""
        if self.leaving:
            return
        self.leaving = True
        call = store_calls.delete_call(Collection.MEMBERS, self.settings.vm)
        self.client.call(call, CALL_LIMIT_MS, self._removed)

    def _removed(self, outcome: HttpResponse | str) -> None:
        reason = outcome if isinstance(outcome, str) else outcome.status
        log.bind(outcome=reason).info("entry removed")
