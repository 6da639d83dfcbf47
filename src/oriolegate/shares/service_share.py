"""One VM's share of one service.

A process raises its share only after the store has confirmed the grant, and
lowers it before it writes a lower grant. So the shares in use never add up to
more than the grants in the store, and no write lets the grants exceed the
limits.
"""

from collections.abc import Mapping

import attrs

from oriolegate.membership.effects import Send
from oriolegate.membership.random_source import RandomSource
from oriolegate.shares import effects
from oriolegate.shares import messages
from oriolegate.shares.effects import SharesEffect
from oriolegate.shares.homes import fair_share
from oriolegate.shares.share_object import Amounts
from oriolegate.shares.share_object import Grant
from oriolegate.shares.share_object import NOTHING
from oriolegate.shares.share_object import remaining
from oriolegate.shares.share_object import ShareObject
from oriolegate.shares.share_object import total

RETRY_MIN_MS = 100.0
RETRY_MAX_MS = 5_000.0
# A home reads its share object again after at most this time.
REFRESH_MS = 120_000.0
# Longest time that a request of an ended process may still run: the maximum
# deadline.
REQUEST_DRAIN_MS = 10_000.0


@attrs.frozen
class ShareOwner:
    """The process that holds shares.

    Attributes:
        vm: Name of the process's VM.
        incarnation: Incarnation of the process.
        address: HOST:PORT that the process has bound exclusively.
    """

    vm: str
    incarnation: int
    address: str


class ServiceShare:
    """The share of one service in one process.

    Attributes:
        wanted: Whether this VM is a home of the service.
        known: Newest known version of the share object.
        announced: Amounts of the last `GrantChanged`.
        in_use: Upper bound of current use: `announced`, or more until a
            lowered grant has been applied.
        confirmed: Whether the object was read since the last pause.
        ended: Newest incarnation that has ended, by VM.
        reclaim_after_ms: Time from which no request of a previous process at
            this address can still run.
        oldest_valid_ticket: First ticket of a read that started after the
            last pause.
        read_ticket: Ticket of the read in progress.
        pending_write: Ticket and object of the write in progress.
        unconfirmed_base: Version that the oldest write without a known outcome
            was based on, or None. Until a newer version is seen, such a write
            may still take effect and lower this process's grant.
        unconfirmed_minimum: Lowest grant of this process in the writes without
            a known outcome.
        stale: Whether the object must be read again.
    """

    def __init__(
        self, service: str, owner: ShareOwner, rng: RandomSource
    ) -> None:
        """Create an empty share.

        Args:
            service: Name of the service.
            owner: This process.
            rng: Adds jitter to retries and refreshes.
        """
        self.service = service
        self.owner = owner
        self.rng = rng
        self.wanted = False
        self.limits = NOTHING
        self.generation = -1
        self.known: ShareObject | None = None
        self.announced = NOTHING
        self.in_use = NOTHING
        self.confirmed = False
        self.ended: Mapping[str, int] = {}
        self.reclaim_after_ms = REQUEST_DRAIN_MS
        self.ticket = 0
        self.oldest_valid_ticket = 0
        self.read_ticket: int | None = None
        self.pending_write: tuple[int, ShareObject] | None = None
        self.unconfirmed_base: int | None = None
        self.unconfirmed_minimum = NOTHING
        self.stale = True
        self.next_try_ms = 0.0
        self.retry_ms = RETRY_MIN_MS
        self.refresh_ms = 0.0

    @property
    def returned(self) -> bool:
        """Whether the store is known to have no grant of this process."""
        return (
            self.confirmed
            and self.pending_write is None
            and self.unconfirmed_base is None
            and self._own_grant() is None
        )

    def set_wanted(self, event: effects.ServiceWanted) -> None:
        """Set whether this VM is a home; apply limits of a newer topology."""
        if event.generation > self.generation:
            self.generation = event.generation
            self.limits = event.limits
        self.wanted = event.wanted

    def _next_ticket(self) -> int:
        self.ticket += 1
        return self.ticket

    def _own_grant(self) -> Grant | None:
        grant = self.known.grants.get(self.owner.vm) if self.known else None
        if grant is None or grant.incarnation != self.owner.incarnation:
            return None
        return grant

    def _usable(self) -> Amounts:
        grant = self._own_grant()
        if grant is None or not self.confirmed:
            return NOTHING
        if self.unconfirmed_base is None:
            return grant.amounts
        return grant.amounts.minimum(self.unconfirmed_minimum)

    def on_process_paused(self) -> None:
        """Suspend the share until a read that starts after the pause."""
        self.confirmed = False
        self.oldest_valid_ticket = self.ticket + 1
        self.read_ticket = None
        self.next_try_ms = 0.0

    def on_read(
        self, now_ms: float, ticket: int, share_object: ShareObject | None
    ) -> None:
        """Apply the result of a read, unless a newer version is known."""
        if ticket == self.read_ticket:
            self.read_ticket = None
            self.retry_ms = RETRY_MIN_MS
            self.refresh_ms = now_ms + self.rng.uniform(
                REFRESH_MS / 2, REFRESH_MS
            )
        if share_object is None:
            share_object = ShareObject(0, -1, NOTHING, {})
        if self.known is not None and (
            share_object.version < self.known.version
        ):
            return
        self._set_known(share_object)
        if ticket >= self.oldest_valid_ticket:
            self.confirmed = True

    def _set_known(self, share_object: ShareObject) -> None:
        self.known = share_object
        if self.unconfirmed_base is not None and (
            share_object.version > self.unconfirmed_base
        ):
            self.unconfirmed_base = None

    def on_written(self, ticket: int, version: int) -> None:
        """Apply an accepted write, unless a newer version is known."""
        if self.pending_write is None or self.pending_write[0] != ticket:
            return
        share_object = attrs.evolve(self.pending_write[1], version=version)
        self.pending_write = None
        if self.known is None or version > self.known.version:
            self._set_known(share_object)
        self.retry_ms = RETRY_MIN_MS

    def on_failure(self, now_ms: float, ticket: int) -> None:
        """Schedule a new read after a failed call, with a jittered backoff.

        A refused write doesn't settle earlier writes without a known
        outcome: one of them may have changed the object. Only reading a newer
        version settles them.
        """
        if ticket == self.read_ticket:
            self.read_ticket = None
        elif self.pending_write is not None and self.pending_write[0] == ticket:
            self.pending_write = None
        else:
            return
        self.stale = True
        wait_ms = RETRY_MIN_MS + self.rng.uniform(0, self.retry_ms)
        self.next_try_ms = now_ms + wait_ms
        self.retry_ms = min(self.retry_ms * 2, RETRY_MAX_MS)

    def on_version_hint(self, version: int) -> None:
        """Schedule a new read if a peer knows a newer version."""
        if self.known is None or version > self.known.version:
            self.stale = True

    def on_grant_applied(self, amounts: Amounts) -> None:
        """Record that current use fits in the announced grant."""
        if amounts == self.announced:
            self.in_use = self.announced

    def _is_ended(self, vm: str, grant: Grant) -> bool:
        return grant.incarnation <= self.ended.get(vm, -1)

    def _may_replace(self, now_ms: float, grant: Grant) -> bool:
        """Return whether this process may replace the grant of its VM.

        The address is bound exclusively, so a previous process with the same
        address has ended. Its requests may still run for a while.
        """
        owner = self.owner
        return grant.incarnation <= owner.incarnation and (
            grant.incarnation == owner.incarnation
            or (
                grant.address == owner.address
                and now_ms >= self.reclaim_after_ms
            )
            or self._is_ended(owner.vm, grant)
        )

    def _plan(self, now_ms: float, known: ShareObject) -> ShareObject:
        """Return the object that this process would write next."""
        limits, generation = known.limits, known.generation
        if self.generation > generation:
            limits, generation = self.limits, self.generation
        grants = {
            vm: grant
            for vm, grant in known.grants.items()
            if not self._is_ended(vm, grant)
        }
        own = grants.get(self.owner.vm)
        if own is None or self._may_replace(now_ms, own):
            grants.pop(self.owner.vm, None)
            if self.wanted:
                others = total(grant.amounts for grant in grants.values())
                fair = fair_share(
                    self.service,
                    limits,
                    {*grants, self.owner.vm},
                    self.owner.vm,
                )
                grants[self.owner.vm] = Grant(
                    self.owner.incarnation,
                    self.owner.address,
                    fair.minimum(remaining(limits, others)),
                )
        return ShareObject(known.version, generation, limits, grants)

    def advance(self, now_ms: float) -> list[SharesEffect]:
        """Return the grant change and the store call that are due now."""
        out: list[SharesEffect] = []
        planned = None
        if self.known is not None:
            planned = self._plan(now_ms, self.known)
        self._announce(planned, out)
        if now_ms < self.next_try_ms or self.pending_write is not None:
            return out
        refresh = self.wanted and now_ms >= self.refresh_ms
        involved = (
            self.wanted
            or self._own_grant() is not None
            or self.unconfirmed_base is not None
        )
        if involved and (self.stale or not self.confirmed or refresh):
            if self.read_ticket is None:
                # A version hint during this read sets `stale` again.
                self.stale = False
                self.read_ticket = self._next_ticket()
                out.append(effects.ReadShares(self.service, self.read_ticket))
            return out
        if planned is not None and involved and self.read_ticket is None:
            self._write(planned, out)
        return out

    def _announce(
        self, planned: ShareObject | None, out: list[SharesEffect]
    ) -> None:
        own = planned.grants.get(self.owner.vm) if planned else None
        target = own.amounts if own is not None else NOTHING
        announced = self._usable().minimum(target)
        if announced != self.announced:
            self.announced = announced
            self.in_use = self.in_use.maximum(announced)
            out.append(effects.GrantChanged(self.service, *announced.values()))

    def _write(self, planned: ShareObject, out: list[SharesEffect]) -> None:
        known = self.known
        if known is None:
            return
        # An unchanged object is written too if an earlier write may still
        # take effect: the new version makes the store refuse that write.
        if planned == known and self.unconfirmed_base is None:
            return
        own = planned.grants.get(self.owner.vm)
        granted = own.amounts if own is not None else NOTHING
        if not self.in_use.fits_in(granted):
            return
        ticket = self._next_ticket()
        self.pending_write = (ticket, planned)
        if self.unconfirmed_base is None:
            self.unconfirmed_base, self.unconfirmed_minimum = (
                known.version,
                granted,
            )
        else:
            self.unconfirmed_minimum = self.unconfirmed_minimum.minimum(granted)
        out.append(
            effects.WriteShares(self.service, ticket, planned, known.version)
        )

    def notify_holders(self) -> list[SharesEffect]:
        """Notify the other holders that the object has changed."""
        if self.known is None:
            return []
        updated = messages.SharesUpdated(self.service, self.known.version)
        return [
            Send(vm, updated)
            for vm in sorted(self.known.grants)
            if vm != self.owner.vm
        ]
