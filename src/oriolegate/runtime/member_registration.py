"""Maintains this VM's member entry and removes entries of lost VMs."""

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
CALL_TIMEOUT_MS = 1_500.0
# Writing is not urgent, even in a store outage: until the entry is written, the
# shares of common limits that other VMs use are slightly too large, which the
# margin of the limits covers.
RETRY_INTERVAL_S = 1.5
# Statuses after which the entry exists: created, or written by an earlier
# start of this VM (409).
WRITTEN_STATUSES = (200, 201, 409)
# Longest delay before an entry is written again that a restored store lacks.
MAX_REWRITE_DELAY_S = 1.0
# Entries are renewed about twice an hour, so that entries of lost VMs can be
# recognised: a VM that missed three renewals is lost.
RENEW_INTERVAL_S = 1_800.0
LOST_AFTER_MS = 3.2 * RENEW_INTERVAL_S * MS_PER_S


class MemberRegistration:
    """Writes this VM's entry, renews it, and removes it at a planned stop.

    Attributes:
        renewals: When this VM first read each entry as it is now, by VM, with
            the time that it states: VMs differ in their time of day.
        is_leaving: Whether a planned stop has begun.
        is_writing: Whether a call that creates the entry is open.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        client: StoreClient,
        settings: NodeSettings,
        rng: random.Random,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.client = client
        self.settings = settings
        self.rng = rng
        self.renewals: dict[str, tuple[int, float]] = {}
        self.is_leaving = False
        self.is_writing = False

    def start(self) -> None:
        """Write the entry at the first start and schedule its renewal."""
        if self.settings.first_start:
            self._write()
        self._schedule_renewal()

    def on_members_listed(self, members: tuple[MemberEntry, ...]) -> None:
        """Store the member list; write this VM's entry if it is missing."""
        now_ms = self.clock.now_ms()
        known = self.renewals
        self.renewals = {}
        for entry in members:
            renewal = known.get(entry.vm)
            if renewal is None or renewal[0] != entry.renewed_wall_ms:
                renewal = (entry.renewed_wall_ms, now_ms)
            self.renewals[entry.vm] = renewal
        if all(entry.vm != self.settings.vm for entry in members):
            self._write()

    def on_entry_absent(self) -> None:
        """Write this VM's entry again, since a restored store lacks it."""
        # Random, so that the VMs don't write together.
        delay_s = MAX_REWRITE_DELAY_S * self.rng.random()
        self.reactor.callLater(delay_s, self._write)

    def _content(self) -> dict[str, Any]:
        settings = self.settings
        return member_entry.encode(
            MemberEntry(
                settings.vm,
                settings.data_centre,
                settings.host,
                settings.internal_ports[0],
                self.clock.wall_ms(),
                settings.link_mbps,
                accepts_forwards=True,
                holds_attempts=True,
            )
        )

    def _write(self) -> None:
        if self.is_leaving or self.is_writing:
            return
        self.is_writing = True
        call = store_calls.create_call(
            Collection.MEMBERS, self.settings.vm, self._content()
        )
        self.client.call(call, CALL_TIMEOUT_MS, self._on_written)

    def _on_written(self, outcome: HttpResponse | str) -> None:
        self.is_writing = False
        if (
            isinstance(outcome, HttpResponse)
            and outcome.status in WRITTEN_STATUSES
        ):
            return
        reason = outcome if isinstance(outcome, str) else outcome.status
        log.bind(reason=reason).warning("member entry not written; retrying")
        self.reactor.callLater(RETRY_INTERVAL_S, self._write)

    def _schedule_renewal(self) -> None:
        # Random, so that VMs which started together don't write together.
        delay_s = RENEW_INTERVAL_S * (0.75 + 0.5 * self.rng.random())
        self.reactor.callLater(delay_s, self._renew)

    def _renew(self) -> None:
        if self.is_leaving:
            return
        self._call(
            store_calls.replace_call(
                Collection.MEMBERS, self.settings.vm, self._content()
            ),
            "renewal of member entry finished",
        )
        now_ms = self.clock.now_ms()
        for vm, (_, read_at_ms) in self.renewals.items():
            if now_ms - read_at_ms > LOST_AFTER_MS:
                self._call(
                    store_calls.delete_call(Collection.MEMBERS, vm),
                    f"removal of entry of lost VM {vm} finished",
                )
        self._schedule_renewal()

    def leave(self) -> None:
        """Remove the entry, so that other VMs take over this VM's shares."""
        if self.is_leaving:
            return
        self.is_leaving = True
        self._call(
            store_calls.delete_call(Collection.MEMBERS, self.settings.vm),
            "removal of member entry finished",
        )

    def _call(self, call: StoreCall, message: str) -> None:
        def done(outcome: HttpResponse | str) -> None:
            result = outcome if isinstance(outcome, str) else outcome.status
            log.bind(outcome=result).info(message)

        self.client.call(call, CALL_TIMEOUT_MS, done)
