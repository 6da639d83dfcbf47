"""Follows a VM of the same data centre instead of the store.

A VM that reads the store and loses it takes the view of a VM that ranks below
it or is in another data centre, until the store answers again.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import attrs

from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.exceptions import PeerMessageError
from oriolegate.following import content_delta
from oriolegate.following.content_delta import DeltaMismatchError
from oriolegate.following.follower import Follower
from oriolegate.following.source_choice import Peer
from oriolegate.following.source_choice import SourceChoice
from oriolegate.following.store_era import StoreEra
from oriolegate.following.view_cache import ViewCache
from oriolegate.models.stored import ChangeBatch
from oriolegate.models.stored import Collection
from oriolegate.models.stored import ListPage
from oriolegate.network import view_wire
from oriolegate.network.http_client import HttpClient
from oriolegate.network.http_reader import HttpResponse
from oriolegate.placement.slow_leafs import LeafSample
from oriolegate.runtime import large_answers
from oriolegate.runtime.store_runner import StoreRunner

log = structured_log.get_logger("feed")

MS_PER_S = 1_000.0
# How long a peer without updates may delay its answer, and how much longer the
# answer may take, so that an unresponsive peer is abandoned within 1.5 s.
MAX_WAIT_MS = 1_000
ANSWER_TIMEOUT_MS = 400.0
# Delay from a response to the next request; short, since the peer already
# batches changes.
POLL_DELAY_MS = 20.0
# Interval at which a VM without a peer to follow looks for a peer.
PEER_SEARCH_INTERVAL_MS = 250.0
STATUS_OK = 200
# The peer has a version that does not know a field of the request.
STATUS_BAD_REQUEST = 400
# The peer is alive, but the store does not confirm its view.
STATUS_UNCONFIRMED = 503


@attrs.frozen
class SeedQueryVariant:
    """What a version of a seed knows of the wire format."""

    has_eras: bool
    accepts_packed: bool


# Which version a seed has is seen by trying, the newest first.
SEED_QUERY_VARIANTS = (
    SeedQueryVariant(has_eras=True, accepts_packed=True),
    SeedQueryVariant(has_eras=True, accepts_packed=False),
    SeedQueryVariant(has_eras=False, accepts_packed=False),
)


class PeerFeed:
    """Polls a peer for updates; without a peer, resumes the store runner.

    Attributes:
        choice: Ranks the peers that may be followed.
        seeds: VMs to query at the start if the store can't be listed.
        seed_query_count: Queries sent to seeds so far.
        peer: The peer that is followed, or None.
        fallback: The peer that brings changes while the store doesn't answer,
            or None.
        clients: HTTP client of each peer, by VM name.
        caches: View of each collection, to which changes are applied.
        earlier_peers: Peers whose version neither states the ages of its views
            nor sends changes of large objects.
        accepts_deltas: Whether the next request accepts changes of large
            objects; after one that did not fit, the whole object is needed.
        on_update: Called after each successful response of a peer.
        on_slow_leafs: Called with the leafs that a peer knows as slow, and for
            how many ms.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        choice: SourceChoice,
        followers: dict[Collection, Follower],
        caches: Mapping[Collection, ViewCache],
        store: StoreRunner,
        era: StoreEra,
        seeds: tuple[Peer, ...] = (),
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.choice = choice
        self.followers = followers
        self.caches = caches
        self.store = store
        self.era = era
        self.seeds = seeds
        self.seed_query_count = 0
        self.peer: Peer | None = None
        self.fallback: Peer | None = None
        self.clients: dict[str, HttpClient] = {}
        self.earlier_peers: set[Peer] = set()
        self.accepts_deltas = True
        self.on_update: Callable[[], None] = lambda: None
        self.on_slow_leafs: Callable[[dict[str, float]], None] = (
            lambda slow_for_ms: None
        )
        self.stopped = False

    def start(self) -> None:
        """Start looking for peers."""
        self._schedule_poll(PEER_SEARCH_INTERVAL_MS)

    def stop(self) -> None:
        """Stop polling and close idle connections."""
        self.stopped = True
        for client in self.clients.values():
            client.pool.close()

    def confirm_with_store(self) -> None:
        """Stop following the peer and query the store at once."""
        self.peer = None
        self.store.pause()
        self.store.resume(at_once=True)

    def _schedule_poll(self, delay_ms: float) -> None:
        if not self.stopped:
            self.reactor.callLater(delay_ms / MS_PER_S, self._poll)

    def _poll(self) -> None:
        if self.stopped:
            return
        if not all(f.complete for f in self.followers.values()):
            self._query_seed()
            self._schedule_poll(PEER_SEARCH_INTERVAL_MS)
            return
        peer = self.choice.choose(self.clock.now_ms())
        if peer is None:
            if self.peer is not None:
                self._abandon_peer("no VM ranks above this one")
            self.store.resume()
            self._query_fallback()
            return
        self._query_peer(peer)

    def _query_fallback(self) -> None:
        """Query a VM that this one doesn't follow if the store is cut off."""
        peer = None
        if self.store.is_cut_off:
            peer = self.choice.choose_fallback(self.clock.now_ms())
        if peer is None:
            self.fallback = None
            self._schedule_poll(PEER_SEARCH_INTERVAL_MS)
            return
        self._query_peer(peer)

    def _query_seed(self) -> None:
        """Query a seed for its last view if the store can't be listed."""
        if not self.seeds or not any(
            follower.failures for follower in self.followers.values()
        ):
            return
        round_number, index = divmod(self.seed_query_count, len(self.seeds))
        seed = self.seeds[index]
        self.seed_query_count += 1
        revisions = dict.fromkeys(self.followers, 0)
        variant = SEED_QUERY_VARIANTS[round_number % len(SEED_QUERY_VARIANTS)]
        request = view_wire.UpdatesRequest(
            revisions,
            0,
            unconfirmed=True,
            has_eras=variant.has_eras,
            accepts_packed=variant.accepts_packed,
        )
        data = view_wire.encode_request(seed.host, seed.port, request)

        def done(outcome: HttpResponse | str) -> None:
            self._on_seed_response(seed, outcome)

        self._get_client(seed).send(data, ANSWER_TIMEOUT_MS, done)

    def _on_seed_response(
        self, seed: Peer, outcome: HttpResponse | str
    ) -> None:
        try:
            updates = self._decode_response(outcome).updates
        except PeerMessageError as error:
            log.bind(peer=seed.vm, reason=error.message).info(
                "no view from seed; retrying with the next seed"
            )
            return
        now_ms = self.clock.now_ms()
        for collection, follower in self.followers.items():
            update = updates.get(collection)
            if isinstance(update, ListPage):
                follower.adopt_unconfirmed(now_ms, update)
        log.bind(peer=seed.vm).info("unconfirmed view of a seed adopted")

    def _query_peer(self, peer: Peer) -> None:
        revisions = {
            collection: follower.revision
            for collection, follower in self.followers.items()
        }
        # The first request to a peer does not wait for updates, to learn at
        # once whether the peer answers.
        wait_ms = MAX_WAIT_MS if peer in (self.peer, self.fallback) else 0
        request = view_wire.UpdatesRequest(
            revisions,
            wait_ms,
            has_eras=self.era.number > 0,
            accepts_packed=True,
            wants_ages=peer not in self.earlier_peers,
            accepts_deltas=self.accepts_deltas
            and peer not in self.earlier_peers,
        )
        data = view_wire.encode_request(peer.host, peer.port, request)

        sent_at_ms = self.clock.now_ms()

        def done(outcome: HttpResponse | str) -> None:
            received_at_ms = self.clock.now_ms()
            if self._is_unknown_field(request, outcome):
                self.earlier_peers.add(peer)
                self._schedule_poll(0.0)
                return
            self._on_response(peer, outcome)
            large_answers.log_if_large(
                log.bind(peer=peer.vm),
                outcome,
                received_at_ms - sent_at_ms,
                self.clock.now_ms() - received_at_ms,
            )

        self._get_client(peer).send(data, wait_ms + ANSWER_TIMEOUT_MS, done)

    def _is_unknown_field(
        self, request: view_wire.UpdatesRequest, outcome: HttpResponse | str
    ) -> bool:
        """Return whether the peer's version may not know a field."""
        return (
            request.wants_ages
            and isinstance(outcome, HttpResponse)
            and outcome.status == STATUS_BAD_REQUEST
        )

    def _get_client(self, peer: Peer) -> HttpClient:
        client = self.clients.get(peer.vm)
        if client is None or client.pool.address != (peer.host, peer.port):
            client = HttpClient(
                self.reactor, self.clock, (peer.host, peer.port)
            )
            self.clients[peer.vm] = client
        return client

    def _on_response(self, peer: Peer, outcome: HttpResponse | str) -> None:
        if self.stopped:
            return
        try:
            self._apply_response(outcome)
        except PeerMessageError as error:
            self._back_off(peer, outcome)
            log.bind(peer=peer.vm, reason=error.message).info(
                "no updates from peer; trying another source"
            )
            if peer == self.peer:
                self._abandon_peer(error.message)
            if peer == self.fallback:
                self.fallback = None
                self.store.end_suspension()
            self._schedule_poll(0.0)
            return
        self.choice.record_answer(peer.vm)
        if self.choice.is_fallback(peer):
            self._set_fallback(peer)
        else:
            self._set_peer(peer)
        self.on_update()
        self._schedule_poll(POLL_DELAY_MS)

    def _back_off(self, peer: Peer, outcome: HttpResponse | str) -> None:
        now_ms = self.clock.now_ms()
        if (
            isinstance(outcome, HttpResponse)
            and outcome.status == STATUS_UNCONFIRMED
        ):
            self.choice.record_unconfirmed(now_ms, peer.vm)
        else:
            self.choice.record_failure(now_ms, peer.vm)

    def _decode_response(
        self, outcome: HttpResponse | str
    ) -> view_wire.UpdatesResponse:
        if isinstance(outcome, str):
            raise PeerMessageError(outcome)
        if outcome.status != STATUS_OK:
            raise PeerMessageError(f"status {outcome.status}")
        return view_wire.decode_updates(outcome.body)

    def _apply_response(self, outcome: HttpResponse | str) -> None:
        response = self._decode_response(outcome)
        self.accepts_deltas = True
        if response.slow_for_ms:
            self.on_slow_leafs(dict(response.slow_for_ms))
        now_ms = self.clock.now_ms()
        for collection, follower in self.followers.items():
            update = response.updates.get(collection)
            confirmed_ms = now_ms - response.ages_ms.get(collection, 0.0)
            if update is None:
                follower.confirm(confirmed_ms)
            elif isinstance(update, ChangeBatch):
                self._apply_changes(follower, update, confirmed_ms)
            else:
                follower.on_complete_list(now_ms, update, confirmed_ms)

    def _apply_changes(
        self, follower: Follower, batch: ChangeBatch, confirmed_ms: float
    ) -> None:
        """Apply changes; if one does not fit, the next request gets the whole.

        The follower's revision stays as it is then, so that the peer answers
        the next request at once.
        """
        objects = self.caches[follower.collection].objects
        try:
            whole_batch = content_delta.resolve(batch, objects)
        except DeltaMismatchError:
            self.accepts_deltas = False
            log.bind(collection=follower.collection.name).warning(
                "change of an object does not fit; requesting the whole object"
            )
            return
        follower.on_changes(self.clock.now_ms(), whole_batch, confirmed_ms)

    def send_samples(self, samples: list[LeafSample]) -> None:
        """Report samples of leafs to the peer that is followed, if any.

        They are not sent again if they get lost.
        """
        peer = self.peer
        if peer is None or peer in self.earlier_peers:
            return
        data = view_wire.encode_samples(
            peer.host, peer.port, samples, self.clock.now_ms()
        )
        self._get_client(peer).send(
            data, ANSWER_TIMEOUT_MS, lambda outcome: None
        )

    def _set_peer(self, peer: Peer) -> None:
        self.fallback = None
        if self.peer == peer:
            return
        self.peer = peer
        self.store.pause()
        log.bind(peer=peer.vm).info("following a peer instead of the store")

    def _set_fallback(self, peer: Peer) -> None:
        self.store.suspend()
        if self.fallback == peer:
            return
        self.fallback = peer
        log.bind(peer=peer.vm).warning(
            "store does not answer; taking the view of another VM"
        )

    def _abandon_peer(self, reason: str) -> None:
        """Stop following a peer; the next poll chooses another source."""
        log.bind(peer=self.peer and self.peer.vm, reason=reason).info(
            "peer no longer followed; choosing another source"
        )
        self.peer = None
