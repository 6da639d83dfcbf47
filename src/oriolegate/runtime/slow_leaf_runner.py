"""Passes on between VMs which leafs answer late.

Samples go up the tree in which VMs follow each other; what is known of slow
leafs comes down with the views.
"""

from collections.abc import Callable
from typing import Any

from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.exceptions import PeerMessageError
from oriolegate.network import view_wire
from oriolegate.placement import slow_leafs
from oriolegate.placement.slow_leafs import LeafSample
from oriolegate.placement.slow_leafs import SlowLeafs

log = structured_log.get_logger("slow")

MS_PER_S = 1_000.0
# Delay in which samples and changes are gathered.
GATHER_MS = 100.0
STATUS_OK = 200
STATUS_BAD_REQUEST = 400


class SlowLeafRunner:
    """Gathers samples, sends them to the peer that is followed, and decides.

    Attributes:
        slow: What is known of slow leafs.
        send: Sends samples to the peer that is followed, if any.
        on_change: Called soon after a leaf became slow.
        queue: Samples to be sent.
    """

    def __init__(self, reactor: Any, clock: Clock, slow: SlowLeafs) -> None:
        self.reactor = reactor
        self.clock = clock
        self.slow = slow
        self.send: Callable[[list[LeafSample]], None] = lambda samples: None
        self.on_change: Callable[[], None] = lambda: None
        self.queue: list[LeafSample] = []
        self.is_flush_scheduled = False
        self.has_changed = False

    def on_sample(self, sample: LeafSample) -> None:
        """Record a sample of this VM or of one that follows it."""
        if not self.slow.is_relevant(sample):
            return
        if self.slow.record(self.clock.now_ms(), sample):
            log.bind(leaf=sample.leaf_id).info(
                "leaf answers late; using others while it does"
            )
            self.has_changed = True
        if len(self.queue) < slow_leafs.MAX_SAMPLES:
            self.queue.append(sample)
        self._schedule_flush()

    def on_report(
        self, target: bytes, respond: Callable[[int, bytes], None]
    ) -> None:
        """Handle the samples of a VM that follows this one."""
        try:
            samples = view_wire.decode_samples(target, self.clock.now_ms())
        except PeerMessageError as error:
            log.bind(reason=error.message).warning(
                "malformed samples of a peer rejected"
            )
            respond(STATUS_BAD_REQUEST, b"")
            return
        for sample in samples:
            self.on_sample(sample)
        respond(STATUS_OK, b"")

    def on_peer_knows(self, slow_for_ms: dict[str, float]) -> None:
        """Apply which leafs the peer that is followed knows as slow."""
        if self.slow.merge(self.clock.now_ms(), slow_for_ms):
            self.has_changed = True
            self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self.is_flush_scheduled:
            self.is_flush_scheduled = True
            self.reactor.callLater(GATHER_MS / MS_PER_S, self._flush)

    def _flush(self) -> None:
        self.is_flush_scheduled = False
        self.slow.drop_expired(self.clock.now_ms())
        queue, self.queue = self.queue, []
        if queue:
            self.send(queue)
        if self.has_changed:
            self.has_changed = False
            self.on_change()
