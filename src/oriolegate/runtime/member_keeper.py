"""Keeps this VM's entry among the members, and removes those of lost VMs."""

import random
from typing import Any

from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.models.site import MemberEntry
from oriolegate.models.site import NodeSettings
from oriolegate.models.stored import Collection
from oriolegate.network.http_reader import HttpResponse
from oriolegate.network.store_client import StoreClient
from oriolegate.platform import member_entry
from oriolegate.platform import store_calls
from oriolegate.platform.store_calls import StoreCall

log = structured_log.get_logger("members")

MS_PER_S = 1_000.0
CALL_LIMIT_MS = 1_500.0
# An entry that is not written yet only makes others' parts larger for a
# moment, which their margin covers; so no hurry during an outage.
RETRY_S = 1.5
# Created, or there from an earlier start of this VM.
WRITTEN = (200, 201, 409)
# An entry is written again at times so that those of lost VMs stand out. Two
# writes an hour and VM; three missed ones mean that the VM is gone.
RENEW_S = 1_800.0
LOST_AFTER_MS = 3.2 * RENEW_S * MS_PER_S


class MemberKeeper:
    """Writes the entry, renews it, and removes it at a planned stop.

    Attributes:
        members: The entries last heard of.
        leaving: Whether a planned stop has begun.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        client: StoreClient,
        settings: NodeSettings,
        chance: random.Random,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.client = client
        self.settings = settings
        self.chance = chance
        self.members: tuple[MemberEntry, ...] = ()
        self.leaving = False
        self.writing = False

    def start(self) -> None:
        """Write the entry if this is the first start, and renew it later."""
        if self.settings.first_start:
            self._write()
        self._renew_later()

    def listed(self, members: tuple[MemberEntry, ...]) -> None:
        """Take the member list; write the entry if it lacks this VM's."""
        self.members = members
        if all(entry.vm != self.settings.vm for entry in members):
            self._write()

    def _content(self) -> dict[str, Any]:
        settings = self.settings
        return member_entry.encode(
            MemberEntry(
                settings.vm,
                settings.data_centre,
                settings.host,
                settings.internal_ports[0],
                self.clock.wall_ms(),
            )
        )

    def _write(self) -> None:
        if self.leaving or self.writing:
            return
        self.writing = True
        call = store_calls.create_call(
            Collection.MEMBERS, self.settings.vm, self._content()
        )
        self.client.call(call, CALL_LIMIT_MS, self._written)

    def _written(self, outcome: HttpResponse | str) -> None:
        self.writing = False
        if isinstance(outcome, HttpResponse) and outcome.status in WRITTEN:
            return
        reason = outcome if isinstance(outcome, str) else outcome.status
        log.bind(reason=reason).warning("entry not written; trying again")
        self.reactor.callLater(RETRY_S, self._write)

    def _renew_later(self) -> None:
        # Spread, so that VMs which started together don't write together.
        wait_s = RENEW_S * (0.75 + 0.5 * self.chance.random())
        self.reactor.callLater(wait_s, self._renew)

    def _renew(self) -> None:
        if self.leaving:
            return
        self._call(
            store_calls.replace_call(
                Collection.MEMBERS, self.settings.vm, self._content()
            ),
            "entry renewed",
        )
        now_ms = self.clock.wall_ms()
        for entry in self.members:
            if now_ms - entry.renewed_wall_ms > LOST_AFTER_MS:
                self._call(
                    store_calls.delete_call(Collection.MEMBERS, entry.vm),
                    f"entry of lost VM {entry.vm} removed",
                )
        self._renew_later()

    def leave(self) -> None:
        """Remove the entry, so that others take over this VM's parts."""
        if self.leaving:
            return
        self.leaving = True
        self._call(
            store_calls.delete_call(Collection.MEMBERS, self.settings.vm),
            "entry removed",
        )

    def _call(self, call: StoreCall, what: str) -> None:
        def done(outcome: HttpResponse | str) -> None:
            result = outcome if isinstance(outcome, str) else outcome.status
            log.bind(outcome=result).info(what)

        self.client.call(call, CALL_LIMIT_MS, done)
