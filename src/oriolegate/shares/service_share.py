"""One VM's share of one service.

A process raises its share only on the store's word, and lowers it before it
writes less. So the sum of shares in use never exceeds the sum of grants in
the store, which no write lets exceed the limits.
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
REFRESH_MS = 120_000.0
LINGER_MS = 10_000.0  # the longest deadline of what a dead process has sent


@attrs.frozen
class ShareOwner:
    """The process that holds shares.

    Attributes:
        vm: Name of its VM.
        incarnation: Of the process.
        address: HOST:PORT that it has bound exclusively.
    """

    vm: str
    incarnation: int
    address: str


class ServiceShare:
    """The share of one service in one process.

    Attributes:
        known: Newest version of the share object seen here.
        held: What was last announced with `GrantChanged`.
        in_use: Upper bound of what may be in use: `held`, and more until
            a lowered grant has been applied.
        confirmed: Whether the object was read since the last pause.
        take_over_at_ms: When nothing runs any more that a former process at
            this address has sent.
        returned: Whether the store shows no grant of this process.
    """

    def __init__(
        self, service: str, owner: ShareOwner, generator: RandomSource
    ) -> None:
        """Make a share of nothing.

        Args:
            service: Name.
            owner: This process.
            generator: Spreads retries.
        """
        self.service = service
        self.owner = owner
        self.generator = generator
        self.wanted = False
        self.limits = NOTHING
        self.generation = -1
        self.known: ShareObject | None = None
        self.held = NOTHING
        self.in_use = NOTHING
        self.confirmed = False
        self.ended: Mapping[str, int] = {}
        self.take_over_at_ms = LINGER_MS
        self.ticket = 0
        self.oldest_valid_ticket = 0
        self.reading: int | None = None
        self.writing: tuple[int, ShareObject] | None = None
        # A write whose fate is open may still lower this process's grant.
        self.open_base: int | None = None
        self.open_floor = NOTHING
        self.stale = True
        self.next_try_ms = 0.0
        self.retry_ms = RETRY_MIN_MS
        self.refresh_ms = 0.0

    @property
    def returned(self) -> bool:
        """Whether the store is known to hold no grant of this process."""
        return (
            self.confirmed
            and self.writing is None
            and self.open_base is None
            and self._own_grant() is None
        )

    def want(self, event: effects.ServiceWanted) -> None:
        """Take over whether this VM is a home, and newer limits."""
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
        if self.open_base is None:
            return grant.amounts
        return grant.amounts.minimum(self.open_floor)

    def pause(self) -> None:
        """Hold nothing until a read that starts from now on."""
        self.confirmed = False
        self.oldest_valid_ticket = self.ticket + 1
        self.reading = None
        self.next_try_ms = 0.0

    def take_read(
        self, now_ms: float, ticket: int, share_object: ShareObject | None
    ) -> None:
        """Take over what a read has shown."""
        if ticket == self.reading:
            self.reading = None
            self.retry_ms = RETRY_MIN_MS
            self.refresh_ms = now_ms + self.generator.uniform(
                REFRESH_MS / 2, REFRESH_MS
            )
        if share_object is None:
            share_object = ShareObject(0, -1, NOTHING, {})
        if self.known is not None and (
            share_object.version < self.known.version
        ):
            return
        self._learn(share_object)
        if ticket >= self.oldest_valid_ticket:
            self.confirmed = True

    def _learn(self, share_object: ShareObject) -> None:
        self.known = share_object
        if self.open_base is not None and (
            share_object.version > self.open_base
        ):
            self.open_base = None

    def take_written(self, ticket: int, version: int) -> None:
        """Take over the accepted write, unless a newer object was seen."""
        if self.writing is None or self.writing[0] != ticket:
            return
        share_object = attrs.evolve(self.writing[1], version=version)
        self.writing = None
        if self.known is None or version > self.known.version:
            self._learn(share_object)
        self.retry_ms = RETRY_MIN_MS

    def take_failure(self, now_ms: float, ticket: int) -> None:
        """Read again after a failed read or write, with a jittered wait.

        A refused write closes no earlier one: that may be what changed the
        object. Only a newer version seen does.
        """
        if ticket == self.reading:
            self.reading = None
        elif self.writing is not None and self.writing[0] == ticket:
            self.writing = None
        else:
            return
        self.stale = True
        wait_ms = RETRY_MIN_MS + self.generator.uniform(0, self.retry_ms)
        self.next_try_ms = now_ms + wait_ms
        self.retry_ms = min(self.retry_ms * 2, RETRY_MAX_MS)

    def hint(self, version: int) -> None:
        """Read again if a peer knows a newer object."""
        if self.known is None or version > self.known.version:
            self.stale = True

    def apply(self, amounts: Amounts) -> None:
        """Note that what is in use fits in the announced grant."""
        if amounts == self.held:
            self.in_use = self.held

    def _is_ended(self, vm: str, grant: Grant) -> bool:
        return grant.incarnation <= self.ended.get(vm, -1)

    def _may_replace(self, now_ms: float, grant: Grant) -> bool:
        """Return whether the grant under this VM's name can be taken over.

        The address is bound exclusively: a former process that had the same
        one has closed it by ending. What it had sent may run on for a while.
        """
        owner = self.owner
        return grant.incarnation <= owner.incarnation and (
            grant.incarnation == owner.incarnation
            or (
                grant.address == owner.address
                and now_ms >= self.take_over_at_ms
            )
            or self._is_ended(owner.vm, grant)
        )

    def _plan(self, now_ms: float, known: ShareObject) -> ShareObject:
        """Return the object as this process would have it."""
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
                others = total(item.amounts for item in grants.values())
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
        """Return what to announce, read and write now."""
        out: list[SharesEffect] = []
        planned = None
        if self.known is not None:
            planned = self._plan(now_ms, self.known)
        self._announce(planned, out)
        if now_ms < self.next_try_ms or self.writing is not None:
            return out
        refresh = self.wanted and now_ms >= self.refresh_ms
        involved = (
            self.wanted
            or self._own_grant() is not None
            or self.open_base is not None
        )
        if involved and (self.stale or not self.confirmed or refresh):
            if self.reading is None:
                # A hint that comes during this read asks for another.
                self.stale = False
                self.reading = self._next_ticket()
                out.append(effects.ReadShares(self.service, self.reading))
            return out
        if planned is not None and involved and self.reading is None:
            self._write(planned, out)
        return out

    def _announce(
        self, planned: ShareObject | None, out: list[SharesEffect]
    ) -> None:
        own = planned.grants.get(self.owner.vm) if planned else None
        target = own.amounts if own is not None else NOTHING
        held = self._usable().minimum(target)
        if held != self.held:
            self.held = held
            self.in_use = self.in_use.maximum(held)
            out.append(effects.GrantChanged(self.service, *held.values()))

    def _write(self, planned: ShareObject, out: list[SharesEffect]) -> None:
        known = self.known
        if known is None:
            return
        # With a write still open, an equal one serves as a fence against it.
        if planned == known and self.open_base is None:
            return
        own = planned.grants.get(self.owner.vm)
        granted = own.amounts if own is not None else NOTHING
        if not self.in_use.fits_in(granted):
            return
        ticket = self._next_ticket()
        self.writing = (ticket, planned)
        if self.open_base is None:
            self.open_base, self.open_floor = known.version, granted
        else:
            self.open_floor = self.open_floor.minimum(granted)
        out.append(
            effects.WriteShares(self.service, ticket, planned, known.version)
        )

    def tell_holders(self) -> list[SharesEffect]:
        """Tell the other holders that the object has changed."""
        if self.known is None:
            return []
        moved = messages.SharesMoved(self.service, self.known.version)
        return [
            Send(vm, moved)
            for vm in sorted(self.known.grants)
            if vm != self.owner.vm
        ]
