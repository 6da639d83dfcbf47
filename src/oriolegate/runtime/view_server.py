"""Tells other VMs of the data centre what this one knows of the store."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import attrs

from oriolegate import structured_log
from oriolegate.exceptions import PeerMessageError
from oriolegate.following.view_cache import ViewCache
from oriolegate.models.stored import Collection
from oriolegate.network import view_wire

log = structured_log.get_logger("views")

MS_PER_S = 1_000.0
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_UNAVAILABLE = 503
LONGEST_WAIT_MS = 5_000

Respond = Callable[[int, bytes], None]


@attrs.define(eq=False)
class WaitingPeer:
    """A request that waits for news."""

    revisions: Mapping[Collection, int]
    respond: Respond
    timer: Any = None


class ViewServer:
    """Answers requests for news.

    Attributes:
        caches: What is known, by collection.
        is_trusted: Whether it is confirmed by the store.
        waiting: Requests that wait for news.
    """

    def __init__(
        self,
        reactor: Any,
        caches: Mapping[Collection, ViewCache],
        is_trusted: Callable[[], bool],
    ) -> None:
        self.reactor = reactor
        self.caches = caches
        self.is_trusted = is_trusted
        self.waiting: list[WaitingPeer] = []

    def handle(self, target: bytes, respond: Respond) -> None:
        """Answer a request now, or once there is news.

        Args:
            target: Path and query.
            respond: Takes status and body; called once.
        """
        try:
            wanted = view_wire.decode_request(target)
        except PeerMessageError as fault:
            log.bind(reason=fault.message).warning("request for news rejected")
            respond(STATUS_BAD_REQUEST, b"")
            return
        peer = WaitingPeer(wanted.revisions, respond)
        if wanted.unconfirmed and all(
            cache.revision for cache in self.caches.values()
        ):
            self._answer(peer)
            return
        if not self.is_trusted():
            respond(STATUS_UNAVAILABLE, b"")
            return
        if self._has_news(peer) or wanted.wait_ms <= 0:
            self._answer(peer)
            return
        self.waiting.append(peer)
        wait_s = min(wanted.wait_ms, LONGEST_WAIT_MS) / MS_PER_S
        peer.timer = self.reactor.callLater(wait_s, self._end_wait, peer)

    def _has_news(self, peer: WaitingPeer) -> bool:
        return any(
            self.caches[collection].revision > revision
            and self._holds_change(collection, revision)
            for collection, revision in peer.revisions.items()
        )

    def _holds_change(self, collection: Collection, revision: int) -> bool:
        cache = self.caches[collection]
        if revision < cache.oldest_revision:
            return True
        return bool(cache.changes) and cache.changes[-1].revision > revision

    def _answer(self, peer: WaitingPeer) -> None:
        news = {
            collection: self.caches[collection].since(revision)
            for collection, revision in peer.revisions.items()
            if self.caches[collection].revision > revision
        }
        peer.respond(STATUS_OK, view_wire.encode_news(news))

    def _end_wait(self, peer: WaitingPeer) -> None:
        self.waiting.remove(peer)
        if self.is_trusted():
            self._answer(peer)
        else:
            peer.respond(STATUS_UNAVAILABLE, b"")

    def changed(self) -> None:
        """Tell news, or that this view can't be relied on any more."""
        is_trusted = self.is_trusted()
        for peer in list(self.waiting):
            if is_trusted and not self._has_news(peer):
                continue
            self.waiting.remove(peer)
            peer.timer.cancel()
            if is_trusted:
                self._answer(peer)
            else:
                peer.respond(STATUS_UNAVAILABLE, b"")
