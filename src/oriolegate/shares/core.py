"""All shares of one process: events in, grants and store calls out."""

import collections

from oriolegate.membership.effects import Send
from oriolegate.membership.random_source import RandomSource
from oriolegate.shares import effects
from oriolegate.shares import messages
from oriolegate.shares.effects import SharesEffect
from oriolegate.shares.service_share import LINGER_MS
from oriolegate.shares.service_share import ServiceShare
from oriolegate.shares.service_share import ShareOwner
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind

MAX_ENDED = 8_192


class Shares:
    """The shares of one process.

    Attributes:
        services: By name; kept once a service was wanted.
        ended: Newest incarnation of each VM that is known to have ended and
            of which nothing runs any more.
        lingering: Newest ended incarnation of which requests may still run,
            and until when.
    """

    def __init__(
        self,
        owner: ShareOwner,
        generator: RandomSource,
        buffer: EventBuffer | None = None,
    ) -> None:
        """Make a core without services.

        Args:
            owner: This process.
            generator: Spreads retries.
            buffer: Records changes of grants for the time line.
        """
        self.owner = owner
        self.buffer = buffer
        self.generator = generator
        self.services: dict[str, ServiceShare] = {}
        self.ended: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.lingering: dict[str, tuple[int, float]] = {}
        self.started_ms: float | None = None
        self.stopping = False
        self.returned = False

    def step(
        self, now_ms: float, event: effects.SharesEvent
    ) -> list[SharesEffect]:
        """Take one event and return what follows from it."""
        out: list[SharesEffect] = []
        if self.started_ms is None:
            self.started_ms = now_ms
        self._end_lingering(now_ms)
        match event:
            case effects.ServiceWanted():
                self._service(event.service).want(event)
            case effects.SharesRead():
                self._service(event.service).take_read(
                    now_ms, event.ticket, event.share_object
                )
            case effects.SharesWritten():
                share = self._service(event.service)
                share.take_written(event.ticket, event.version)
                out += share.tell_holders()
            case (
                effects.ReadFailed()
                | effects.WriteRefused()
                | effects.WriteUnknown()
            ):
                self._service(event.service).take_failure(now_ms, event.ticket)
            case effects.GrantApplied():
                self._service(event.service).apply(event.amounts)
            case effects.ProcessPaused():
                for share in self.services.values():
                    share.pause()
            case effects.ProcessEnded():
                self._linger(now_ms, event.vm, event.incarnation)
            case effects.StopSharing():
                self.stopping = True
            case effects.Received():
                self._receive(event.vm, event.message)
        for share in self.services.values():
            if self.stopping:
                share.wanted = False
            out += share.advance(now_ms)
        out += self._finish()
        self._record(now_ms, out)
        return out

    def _record(self, now_ms: float, out: list[SharesEffect]) -> None:
        if self.buffer is None:
            return
        for effect in out:
            if isinstance(effect, effects.GrantChanged):
                self.buffer.record(
                    now_ms,
                    EventKind.SHARES_CHANGED,
                    "",
                    effect.service,
                    *effect.amounts.values(),
                )

    def _service(self, service: str) -> ServiceShare:
        share = self.services.get(service)
        if share is None:
            share = ServiceShare(service, self.owner, self.generator)
            share.ended = self.ended
            if self.started_ms is not None:
                share.take_over_at_ms = self.started_ms + LINGER_MS
            self.services[service] = share
        return share

    def _linger(self, now_ms: float, vm: str, incarnation: int) -> None:
        """Count a process as ended once its last requests have run out."""
        known = self.lingering.get(vm, (self.ended.get(vm, -1), 0.0))
        if incarnation > known[0]:
            self.lingering[vm] = (incarnation, now_ms + LINGER_MS)

    def _end_lingering(self, now_ms: float) -> None:
        for vm, (incarnation, until_ms) in list(self.lingering.items()):
            if now_ms >= until_ms:
                del self.lingering[vm]
                self._end(vm, incarnation)

    def _end(self, vm: str, incarnation: int) -> None:
        if vm == self.owner.vm and incarnation >= self.owner.incarnation:
            return
        self.ended[vm] = max(incarnation, self.ended.get(vm, -1))
        self.ended.move_to_end(vm)
        if len(self.ended) > MAX_ENDED:
            self.ended.popitem(last=False)

    def _receive(self, vm: str, message: object) -> None:
        match message:
            case messages.SharesMoved():
                share = self.services.get(message.service)
                if share is not None:
                    share.hint(message.version)
            case messages.HolderStopped() if message.vm == vm:
                self._end(vm, message.incarnation)

    def _finish(self) -> list[SharesEffect]:
        """Say once that nothing is held any more."""
        idle = all(
            share.returned or share.known is None
            for share in self.services.values()
        )
        if self.returned or not self.stopping or not idle:
            return []
        self.returned = True
        return [effects.SharesReturned()]

    def farewell(self) -> list[SharesEffect]:
        """Return goodbyes to all holders, for a stop with the store down.

        Call only when this process sends nothing more to any upstream.
        """
        stopped = messages.HolderStopped(self.owner.vm, self.owner.incarnation)
        peers = {
            vm
            for share in self.services.values()
            if share.known is not None
            for vm in share.known.grants
        }
        return [Send(vm, stopped) for vm in sorted(peers - {self.owner.vm})]
