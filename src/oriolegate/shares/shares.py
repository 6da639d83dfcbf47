"""The state machine of all shares of one process."""

import collections

from oriolegate.membership.effects import Send
from oriolegate.membership.random_source import RandomSource
from oriolegate.shares import effects
from oriolegate.shares import messages
from oriolegate.shares.effects import SharesEffect
from oriolegate.shares.service_share import REQUEST_DRAIN_MS
from oriolegate.shares.service_share import ServiceShare
from oriolegate.shares.service_share import ShareOwner
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind

MAX_ENDED_VMS = 8_192


class Shares:
    """The shares of one process, one for each service.

    Attributes:
        services: Shares by service name; never removed.
        ended: Newest incarnation that has ended together with all its
            requests, by VM.
        draining: Newest incarnation that has ended but whose requests may
            still run, and until when they may, by VM.
        started_ms: Time of the first event.
        stopping: Whether all shares are being returned.
        returned: Whether `SharesReturned` was emitted.
    """

    def __init__(
        self,
        owner: ShareOwner,
        rng: RandomSource,
        buffer: EventBuffer | None = None,
    ) -> None:
        """Create the state machine without services.

        Args:
            owner: This process.
            rng: Adds jitter to retries.
            buffer: Records changes of grants for the timeline.
        """
        self.owner = owner
        self.buffer = buffer
        self.rng = rng
        self.services: dict[str, ServiceShare] = {}
        self.ended: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.draining: dict[str, tuple[int, float]] = {}
        self.started_ms: float | None = None
        self.stopping = False
        self.returned = False

    def step(
        self, now_ms: float, event: effects.SharesEvent
    ) -> list[SharesEffect]:
        """Process one event and return its effects."""
        out: list[SharesEffect] = []
        if self.started_ms is None:
            self.started_ms = now_ms
        self._end_drained(now_ms)
        match event:
            case effects.ServiceWanted():
                self._share_of(event.service).set_wanted(event)
            case effects.SharesRead():
                self._share_of(event.service).on_read(
                    now_ms, event.ticket, event.share_object
                )
            case effects.SharesWritten():
                share = self._share_of(event.service)
                share.on_written(event.ticket, event.version)
                out += share.notify_holders()
            case (
                effects.ReadFailed()
                | effects.WriteRefused()
                | effects.WriteUnknown()
            ):
                self._share_of(event.service).on_failure(now_ms, event.ticket)
            case effects.GrantApplied():
                self._share_of(event.service).on_grant_applied(event.amounts)
            case effects.ProcessPaused():
                for share in self.services.values():
                    share.on_process_paused()
            case effects.ProcessEnded():
                self._on_process_ended(now_ms, event.vm, event.incarnation)
            case effects.StopSharing():
                self.stopping = True
            case effects.Received():
                self._on_message(event.vm, event.message)
        for share in self.services.values():
            if self.stopping:
                share.wanted = False
            out += share.advance(now_ms)
        out += self._report_returned()
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

    def _share_of(self, service: str) -> ServiceShare:
        share = self.services.get(service)
        if share is None:
            share = ServiceShare(service, self.owner, self.rng)
            share.ended = self.ended
            if self.started_ms is not None:
                share.reclaim_after_ms = self.started_ms + REQUEST_DRAIN_MS
            self.services[service] = share
        return share

    def _on_process_ended(
        self, now_ms: float, vm: str, incarnation: int
    ) -> None:
        """Record a process as ended once its last requests have ended."""
        known = self.draining.get(vm, (self.ended.get(vm, -1), 0.0))
        if incarnation > known[0]:
            self.draining[vm] = (
                incarnation,
                now_ms + REQUEST_DRAIN_MS,
            )

    def _end_drained(self, now_ms: float) -> None:
        for vm, (incarnation, until_ms) in list(self.draining.items()):
            if now_ms >= until_ms:
                del self.draining[vm]
                self._record_end(vm, incarnation)

    def _record_end(self, vm: str, incarnation: int) -> None:
        if vm == self.owner.vm and incarnation >= self.owner.incarnation:
            return
        self.ended[vm] = max(incarnation, self.ended.get(vm, -1))
        self.ended.move_to_end(vm)
        if len(self.ended) > MAX_ENDED_VMS:
            self.ended.popitem(last=False)

    def _on_message(self, vm: str, message: object) -> None:
        match message:
            case messages.SharesUpdated():
                share = self.services.get(message.service)
                if share is not None:
                    share.on_version_hint(message.version)
            case messages.HolderStopped() if message.vm == vm:
                self._record_end(vm, message.incarnation)

    def _report_returned(self) -> list[SharesEffect]:
        """Report once that the store shows no grant of this process."""
        idle = all(
            share.returned or share.known is None
            for share in self.services.values()
        )
        if self.returned or not self.stopping or not idle:
            return []
        self.returned = True
        return [effects.SharesReturned()]

    def stop_messages(self) -> list[SharesEffect]:
        """Return messages that notify all holders that this process stopped.

        The messages free this process's grants if the store is down. Call this
        method only when the process sends no more requests to any upstream.
        """
        stopped = messages.HolderStopped(self.owner.vm, self.owner.incarnation)
        peers = {
            vm
            for share in self.services.values()
            if share.known is not None
            for vm in share.known.grants
        }
        return [Send(vm, stopped) for vm in sorted(peers - {self.owner.vm})]
