"""Distribute accepted documents by store watches and gossip between peers.

A few VMs of each data centre watch the store and announce new versions to
their peers, which pull the documents they are missing. Digests in heartbeats
reveal lost messages. The version of a document never decreases in a process.
"""

from collections.abc import Iterable

import attrs

from oriolegate.configuration import effects
from oriolegate.configuration import messages
from oriolegate.configuration.confirmation_gossip import ConfirmationGossip
from oriolegate.configuration.confirmation_table import ConfirmationTable
from oriolegate.configuration.document_table import DocumentTable
from oriolegate.configuration.effects import GossipEffect
from oriolegate.configuration.messages import DocumentVersion
from oriolegate.configuration.messages import VersionedDocument
from oriolegate.configuration.pull_tracker import PullTracker
from oriolegate.configuration.resume_hold import ResumeHold
from oriolegate.configuration.start_gate import StartGate
from oriolegate.membership.effects import Send
from oriolegate.membership.rendezvous import ranked
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind

WATCHERS_PER_DATA_CENTRE = 2
VERSIONS_INTERVAL_MS = 2_000.0
FLUSH_INTERVAL_MS = 250.0
START_READ_INTERVAL_MS = 2_000.0
# Limits the load on the store when all VMs start at once.
START_READ_MAX_INTERVAL_MS = 16_000.0
ISOLATION_MS = 10_000.0
# While store and peers are silent, the store is read at this interval.
PROBE_INTERVAL_MS = 4_000.0
RECORDED_KINDS = {
    messages.RULES_KIND: EventKind.RULES_ACCEPTED,
    messages.TOPOLOGY_KIND: EventKind.TOPOLOGY_CHANGED,
}
DOCUMENTS_DIGEST = "documents"
CONFIRMED_DIGEST = "confirmed"


@attrs.define
class PeerProgress:
    """State of the exchange with one linked peer.

    Attributes:
        mismatches: Consecutive heartbeats of the peer whose documents digest
            differs from that of this process.
        versions_sent_ms: When the version list was last sent to the peer.
    """

    mismatches: int = 0
    versions_sent_ms: float = -VERSIONS_INTERVAL_MS


class DocumentGossip:
    """Keeps the documents of one process current and informs its peers.

    A state machine without I/O: it takes events and returns effects.

    Attributes:
        table: Documents in force in this process.
        confirmations: Rules version that each VM has confirmed.
        gate: Opens once the versions are confirmed after the process start.
        hold: Delays new work after a process pause.
        watching: Whether this VM watches the store.
        isolated: Whether the store and all peers have been silent for
            `ISOLATION_MS`.
        last_received_ms: When the store last responded or a peer last sent
            a message.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        data_centre: str,
        kinds: tuple[str, ...] = (
            messages.RULES_KIND,
            messages.TOPOLOGY_KIND,
        ),
        buffer: EventBuffer | None = None,
    ) -> None:
        """Create an instance without documents.

        Args:
            vm: Name of this VM.
            incarnation: Incarnation of this process.
            data_centre: Data centre of this VM.
            kinds: Kinds of documents to distribute.
            buffer: Receives accepted documents for the timeline.
        """
        self.vm = vm
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.kinds = kinds
        self.buffer = buffer
        self.table = DocumentTable()
        self.confirmations = ConfirmationTable()
        self.confirmation_gossip = ConfirmationGossip(
            vm, incarnation, self.confirmations
        )
        self.gate = StartGate(kinds)
        self.hold = ResumeHold()
        self.peers: dict[str, PeerProgress] = {}
        self.pulls = PullTracker()
        self.watching = False
        self.isolated = False
        self.last_received_ms = 0.0
        self.last_probe_ms = 0.0
        self.next_flush_ms = 0.0
        self.next_start_read_ms = 0.0
        self.start_read_interval_ms = START_READ_INTERVAL_MS
        self.sent_digests: tuple[tuple[str, int], ...] = ()
        self.out: list[GossipEffect] = []

    def step(
        self, now_ms: float, event: effects.GossipEvent
    ) -> list[GossipEffect]:
        """Handle one event and return the effects to carry out."""
        self.out = []
        match event:
            case effects.Tick():
                self._on_tick(now_ms)
            case effects.StoreRead():
                self._on_store_read(now_ms, event)
            case effects.DocumentWritten():
                self._accept(now_ms, (event.document,), "")
            case effects.PeerLinked():
                self.peers[event.vm] = PeerProgress()
                self._send_versions(now_ms, event.vm)
            case effects.PeerLost():
                self.peers.pop(event.vm, None)
                self.confirmation_gossip.on_peer_lost(event.vm)
            case effects.PeerDigest():
                self._on_digest(now_ms, event.vm, dict(event.digests))
            case effects.Received():
                self.last_received_ms = now_ms
                self._on_message(now_ms, event.vm, event.message)
            case effects.MembersUpdated():
                self._on_members_updated(event.members)
            case effects.ProcessPaused():
                self._on_process_paused(now_ms)
        self._update_confirmed(now_ms)
        self._publish_digests()
        return self.out

    @property
    def confirmed(self) -> bool:
        """Whether this process may accept work with its current versions."""
        return self.gate.opened and not self.hold.active

    def _on_process_paused(self, now_ms: float) -> None:
        if self.gate.opened:
            self.hold.begin(now_ms)
            self.out.append(effects.VersionsUnconfirmed())
            self.out.append(effects.ReadStore(messages.RULES_KIND))
        for vm in self.peers:
            self._send_versions(now_ms, vm)

    def _update_confirmed(self, now_ms: float) -> None:
        if self.hold.try_end(now_ms, self.table):
            self.out.append(effects.VersionsConfirmed())
        if self.gate.opened:
            return
        reachable = sum(
            member.reachable and member.vm != self.vm
            for member in self.confirmations.possible_members.values()
        )
        if self.gate.try_open(now_ms, self.table, reachable):
            self.out.append(effects.VersionsConfirmed())

    def _publish_digests(self) -> None:
        digests = (
            (DOCUMENTS_DIGEST, self.table.digest),
            (CONFIRMED_DIGEST, self.confirmations.digest),
        )
        if digests != self.sent_digests:
            self.sent_digests = digests
            self.out.append(effects.DigestsChanged(digests))

    def _on_tick(self, now_ms: float) -> None:
        if not self.gate.opened and now_ms >= self.next_start_read_ms:
            self.next_start_read_ms = now_ms + self.start_read_interval_ms
            self.start_read_interval_ms = min(
                self.start_read_interval_ms * 2, START_READ_MAX_INTERVAL_MS
            )
            for kind in sorted(self.gate.missing_kinds):
                self.out.append(effects.ReadStore(kind))
        self.out += self.pulls.retry(now_ms, self.peers)
        if now_ms >= self.next_flush_ms:
            self.next_flush_ms = now_ms + FLUSH_INTERVAL_MS
            self.out += self.confirmation_gossip.flush(self.peers)
        self._check_isolation(now_ms)

    def _check_isolation(self, now_ms: float) -> None:
        silence_ms = now_ms - self.last_received_ms
        if (
            silence_ms > PROBE_INTERVAL_MS
            and now_ms - self.last_probe_ms > PROBE_INTERVAL_MS
        ):
            self.last_probe_ms = now_ms
            self.out.append(effects.ReadStore(messages.RULES_KIND))
        isolated = silence_ms > ISOLATION_MS
        if isolated != self.isolated:
            self.isolated = isolated
            self.out.append(effects.IsolationChanged(isolated))

    def _on_store_read(self, now_ms: float, event: effects.StoreRead) -> None:
        self.last_received_ms = now_ms
        self._accept(now_ms, event.documents, "")
        if event.complete:
            self.gate.record_store_list(event.kind)
            if event.kind == messages.RULES_KIND:
                self.hold.record_store_read()

    def _accept(
        self,
        now_ms: float,
        documents: Iterable[VersionedDocument],
        source: str,
    ) -> None:
        accepted = [
            document
            for document in documents
            if document.key.kind in self.kinds and self.table.accept(document)
        ]
        for document in accepted:
            self.pulls.on_document(document)
            self._record_event(now_ms, document)
            self.out.append(effects.DocumentAccepted(document))
            if document.key.kind == messages.RULES_KIND:
                self.confirmation_gossip.confirm(document.version)
        if accepted:
            versions = tuple(
                DocumentVersion(document.key, document.version)
                for document in accepted
            )
            announcement = messages.Announcement(versions)
            for vm in self.peers:
                if vm != source:
                    self.out.append(Send(vm, announcement))

    def _record_event(self, now_ms: float, document: VersionedDocument) -> None:
        kind = RECORDED_KINDS.get(document.key.kind)
        if self.buffer is not None and kind is not None:
            self.buffer.record(
                now_ms, kind, "", document.key.name, document.version
            )

    def _send_versions(self, now_ms: float, vm: str) -> None:
        self.peers[vm].versions_sent_ms = now_ms
        versions = messages.VersionList(self.table.versions(), self.confirmed)
        self.out.append(Send(vm, versions))

    def _on_digest(
        self, now_ms: float, vm: str, digests: dict[str, int]
    ) -> None:
        self.last_received_ms = now_ms
        peer = self.peers.get(vm)
        if peer is None:
            return
        if digests.get(DOCUMENTS_DIGEST) == self.table.digest:
            peer.mismatches = 0
        else:
            peer.mismatches += 1
        due = now_ms - peer.versions_sent_ms >= VERSIONS_INTERVAL_MS
        # A single mismatch may be caused by an announcement in flight.
        if due and (peer.mismatches > 1 or not self.gate.opened):
            self._send_versions(now_ms, vm)
        self.out += self.confirmation_gossip.on_digest(
            now_ms, vm, digests.get(CONFIRMED_DIGEST)
        )

    def _on_message(self, now_ms: float, vm: str, message: object) -> None:
        match message:
            case messages.Announcement():
                self._pull(now_ms, vm, message.versions)
            case messages.Pull():
                documents = [
                    self.table.documents[key]
                    for key in message.keys
                    if key in self.table.documents
                ]
                self._push(vm, documents)
            case messages.Push():
                self._accept(now_ms, message.documents, vm)
            case messages.VersionList():
                self._on_version_list(now_ms, vm, message)
            case messages.Confirmations():
                self.confirmation_gossip.on_confirmations(vm, message)

    def _on_version_list(
        self, now_ms: float, vm: str, message: messages.VersionList
    ) -> None:
        # A newer release may distribute kinds unknown to this release.
        known = tuple(
            listed
            for listed in message.versions
            if listed.key.kind in self.kinds
        )
        if message.confirmed:
            self.gate.record_peer_versions(now_ms, vm, known)
            self.hold.record_peer_versions(known)
        elif self.confirmed and vm in self.peers:
            self._send_versions(now_ms, vm)
        self._push(vm, self.table.newer_than(message.versions))
        self._pull(now_ms, vm, message.versions)

    def _push(self, vm: str, documents: list[VersionedDocument]) -> None:
        for batch in self.table.batches(documents):
            self.out.append(Send(vm, messages.Push(batch)))

    def _pull(
        self, now_ms: float, vm: str, versions: Iterable[DocumentVersion]
    ) -> None:
        known = [listed for listed in versions if listed.key.kind in self.kinds]
        missing = self.table.missing_versions(known)
        self.out += self.pulls.on_announcement(now_ms, vm, missing)

    def _on_members_updated(
        self, members: tuple[effects.PossibleMember, ...]
    ) -> None:
        self.confirmations.set_possible_members(members)
        local = [
            member.vm
            for member in members
            if member.reachable and member.data_centre == self.data_centre
        ]
        ranking = ranked("store-watch", {*local, self.vm})
        watching = self.vm in ranking[:WATCHERS_PER_DATA_CENTRE]
        if watching == self.watching:
            return
        self.watching = watching
        for kind in self.kinds:
            effect = effects.WatchStore if watching else effects.UnwatchStore
            self.out.append(effect(kind))
