"""Serves this VM's view of the store to VMs of the same data centre."""

from collections.abc import Callable
from collections.abc import Mapping
import math
from typing import Any

import attrs

from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.exceptions import PeerMessageError
from oriolegate.following import store_era
from oriolegate.following.follower import Follower
from oriolegate.following.source_choice import MAX_FOLLOWERS
from oriolegate.following.view_cache import ViewCache
from oriolegate.models.stored import Collection
from oriolegate.models.stored import StoredObject
from oriolegate.network import view_wire
from oriolegate.network.object_packing import ObjectPacker

log = structured_log.get_logger("views")

MS_PER_S = 1_000.0
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_UNAVAILABLE = 503
# Maximum time that a request waits for updates.
MAX_WAIT_MS = 5_000
# How long after a request of a peer this VM counts as followed.
FOLLOWED_MS = 5_000.0

Respond = Callable[[int, bytes], None]


@attrs.define(eq=False)
class WaitingPeer:
    """A long-poll request of a peer that waits for updates."""

    request: view_wire.UpdatesRequest
    respond: Respond
    timer: Any = None


class ViewServer:
    """Answers requests for updates.

    Attributes:
        caches: View of each collection.
        followers: Follower of each collection, which knows up to which
            revision the view is current.
        is_confirmed: Returns whether the view may be served as confirmed by
            the store.
        waiting: Requests of peers that wait for updates.
        last_request_ms: When a peer last sent a request.
        packer: Compresses large objects.
        slow_for_ms: Returns for how long each slow leaf still counts as slow.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        caches: Mapping[Collection, ViewCache],
        followers: Mapping[Collection, Follower],
        is_confirmed: Callable[[], bool],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.caches = caches
        self.followers = followers
        self.is_confirmed = is_confirmed
        self.waiting: list[WaitingPeer] = []
        self.last_request_ms = float("-inf")
        self.packer = ObjectPacker()
        self.slow_for_ms: Callable[[], dict[str, float]] = dict

    def handle(self, target: bytes, respond: Respond) -> None:
        """Answer a request now, or once there are updates.

        Args:
            target: Path and query.
            respond: Called once, with status and body.
        """
        try:
            request = view_wire.decode_request(target)
        except PeerMessageError as error:
            log.bind(reason=error.message).warning(
                "malformed request for updates rejected"
            )
            respond(STATUS_BAD_REQUEST, b"")
            return
        self.last_request_ms = self.clock.now_ms()
        if not self._is_comparable(request):
            respond(STATUS_UNAVAILABLE, b"")
            return
        peer = WaitingPeer(request, respond)
        if request.unconfirmed and all(
            cache.revision for cache in self.caches.values()
        ):
            self._answer(peer)
            return
        if not self.is_confirmed() or len(self.waiting) >= MAX_FOLLOWERS:
            respond(STATUS_UNAVAILABLE, b"")
            return
        if self._has_updates(peer) or request.wait_ms <= 0:
            self._answer(peer)
            return
        self.waiting.append(peer)
        wait_s = min(request.wait_ms, MAX_WAIT_MS) / MS_PER_S
        peer.timer = self.reactor.callLater(wait_s, self._on_wait_timeout, peer)

    def _is_comparable(self, request: view_wire.UpdatesRequest) -> bool:
        """Return whether the eras of a peer's revisions and of ours agree.

        A view of an earlier era than the peer's is of no use to it, and a peer
        that knows no eras can't compare revisions of several.
        """
        eras = {
            collection: store_era.era_of(cache.revision)
            for collection, cache in self.caches.items()
        }
        if not request.has_eras and any(eras.values()):
            return False
        return all(
            store_era.era_of(revision) <= eras[collection]
            for collection, revision in request.revisions.items()
        )

    def _has_updates(self, peer: WaitingPeer) -> bool:
        return any(
            self.caches[collection].revision > revision
            and self.caches[collection].has_change_after(revision)
            for collection, revision in peer.request.revisions.items()
        )

    def _answer(self, peer: WaitingPeer) -> None:
        # Without changes too, a peer learns the current revision: the store
        # has no history for a watch from an old one.
        updates = {
            collection: attrs.evolve(
                self.caches[collection].since(revision),
                revision=self.followers[collection].revision,
            )
            for collection, revision in peer.request.revisions.items()
            if self.followers[collection].revision > revision
        }
        packer = self.packer if peer.request.accepts_packed else None
        ages_ms = self._ages_ms() if peer.request.wants_ages else None
        known_revisions = (
            peer.request.revisions if peer.request.accepts_deltas else None
        )
        # Versions that know no ages know no other fields either.
        slow_for_ms = self.slow_for_ms() if peer.request.wants_ages else None
        body = view_wire.encode_updates(
            updates, packer, ages_ms, known_revisions, slow_for_ms
        )
        peer.respond(STATUS_OK, body)

    def on_replaced(self, before: StoredObject, after: StoredObject) -> None:
        """Keep what changed in a large object if any peer follows this VM."""
        if self.clock.now_ms() - self.last_request_ms < FOLLOWED_MS:
            self.packer.record_change(before, after)

    def _ages_ms(self) -> dict[Collection, float]:
        """Return how long ago the store confirmed each complete view."""
        now_ms = self.clock.now_ms()
        return {
            collection: now_ms - follower.confirmed_ms
            for collection, follower in self.followers.items()
            if math.isfinite(follower.confirmed_ms)
        }

    def _on_wait_timeout(self, peer: WaitingPeer) -> None:
        self.waiting.remove(peer)
        if self.is_confirmed():
            self._answer(peer)
        else:
            peer.respond(STATUS_UNAVAILABLE, b"")

    def on_slow_leafs_changed(self) -> None:
        """Tell all waiting peers at once which leafs are slow."""
        if not self.is_confirmed():
            return
        waiting, self.waiting = self.waiting, []
        for peer in waiting:
            peer.timer.cancel()
            self._answer(peer)

    def on_view_changed(self) -> None:
        """Send updates to waiting requests; reject all without confirmation."""
        is_confirmed = self.is_confirmed()
        for peer in list(self.waiting):
            if is_confirmed and not self._has_updates(peer):
                continue
            self.waiting.remove(peer)
            peer.timer.cancel()
            if is_confirmed:
                self._answer(peer)
            else:
                peer.respond(STATUS_UNAVAILABLE, b"")
