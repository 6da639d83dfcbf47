"""Spread accepted documents by store watches, peer links and digests.

Few VMs of each data centre watch the store. What one learns it announces to
its peers, who pull what they lack; digests in heartbeats find what was lost.
A document's version never falls in a process.
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
START_READ_MAX_INTERVAL_MS = 16_000.0  # all VMs may start at once
ISOLATION_MS = 10_000.0
PROBE_INTERVAL_MS = 4_000.0
RECORDED_KINDS = {
    messages.RULES_KIND: EventKind.RULES_ACCEPTED,
    messages.TOPOLOGY_KIND: EventKind.TOPOLOGY_CHANGED,
}
DOCUMENTS_DIGEST = "documents"
CONFIRMED_DIGEST = "confirmed"


@attrs.define
class PeerProgress:
    """What is under way with one linked peer.

    Attributes:
        mismatches: Heartbeats in a row with another documents digest.
        versions_sent_ms: When versions were last sent to it.
    """

    mismatches: int = 0
    versions_sent_ms: float = -VERSIONS_INTERVAL_MS


class DocumentGossip:
    """Keeps the documents of one process up to date and tells its peers.

    Attributes:
        table: Documents in force in this process.
        confirmations: Who has which version of the rules.
        gate: Whether the process has ever known current versions.
        hold: Keeps new work waiting for a moment after a pause.
        watching: Whether this VM watches the store.
        isolated: Whether neither store nor peers were heard for a while.
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
        """Make a spreader without documents.

        Args:
            vm: Name of this VM.
            incarnation: Of this process.
            data_centre: Where it runs.
            kinds: Kinds of documents to keep.
            buffer: Records accepted documents for the time line.
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
        """Take one event and return what follows from it."""
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
            case effects.CensusTaken():
                self._on_census(event.entries)
            case effects.Resumed():
                self._on_resumed(now_ms)
        self._try_open(now_ms)
        self._publish_digests()
        return self.out

    @property
    def confirmed(self) -> bool:
        """Whether this process may take work by what it knows."""
        return self.gate.opened and not self.hold.active

    def _on_resumed(self, now_ms: float) -> None:
        if self.gate.opened:
            self.hold.begin(now_ms)
            self.out.append(effects.VersionsUnconfirmed())
            self.out.append(effects.ReadStore(messages.RULES_KIND))
        for vm in self.peers:
            self._send_versions(now_ms, vm)

    def _try_open(self, now_ms: float) -> None:
        if self.hold.try_end(now_ms, self.table):
            self.out.append(effects.VersionsConfirmed())
        if self.gate.opened:
            return
        reachable = sum(
            entry.reachable and entry.vm != self.vm
            for entry in self.confirmations.census.values()
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
            item
            for item in documents
            if item.key.kind in self.kinds and self.table.accept(item)
        ]
        for document in accepted:
            self.pulls.on_document(document)
            self._record(now_ms, document)
            self.out.append(effects.DocumentAccepted(document))
            if document.key.kind == messages.RULES_KIND:
                self.confirmation_gossip.confirm(document.version)
        if accepted:
            versions = tuple(
                DocumentVersion(item.key, item.version) for item in accepted
            )
            announcement = messages.Announcement(versions)
            for vm in self.peers:
                if vm != source:
                    self.out.append(Send(vm, announcement))

    def _record(self, now_ms: float, document: VersionedDocument) -> None:
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
        # One difference may be an announcement under way.
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
        # A newer release may keep kinds that this one does not know.
        kept = tuple(
            item for item in message.versions if item.key.kind in self.kinds
        )
        if message.confirmed:
            self.gate.record_peer_versions(now_ms, vm, kept)
            self.hold.record_peer_versions(kept)
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
        kept = [item for item in versions if item.key.kind in self.kinds]
        missing = self.table.missing_versions(kept)
        self.out += self.pulls.on_announcement(now_ms, vm, missing)

    def _on_census(self, entries: tuple[effects.CensusEntry, ...]) -> None:
        self.confirmations.set_census(entries)
        local = [
            entry.vm
            for entry in entries
            if entry.reachable and entry.data_centre == self.data_centre
        ]
        names = ranked("store-watch", {*local, self.vm})
        watching = self.vm in names[:WATCHERS_PER_DATA_CENTRE]
        if watching == self.watching:
            return
        self.watching = watching
        for kind in self.kinds:
            effect = effects.WatchStore if watching else effects.UnwatchStore
            self.out.append(effect(kind))
