"""Tests of `DocumentGossip`: starting, watching, isolation and limits."""

import unittest

from oriolegate.configuration import document_gossip
from oriolegate.configuration import effects
from oriolegate.configuration import messages
from oriolegate.membership.effects import Send
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind

RULES = messages.DocumentKey("rules", "accepted")


def rules(version):
    accepted = messages.AcceptedRules(version, f"text {version}", "e-1")
    return messages.rules_document(accepted)


def members_updated(*names, unreachable=()):
    return effects.MembersUpdated(
        tuple(
            effects.PossibleMember(name, "scl-a", 1, name not in unreachable)
            for name in names
        )
    )


def version_list(version, confirmed=True):
    rules_version = messages.DocumentVersion(RULES, version)
    return messages.VersionList((rules_version,), confirmed)


class DocumentGossipTest(unittest.TestCase):
    def setUp(self):
        self.gossip = document_gossip.DocumentGossip("vm-1", 1, "scl-a")

    def kinds_of(self, now_ms, event):
        return [type(effect) for effect in self.gossip.step(now_ms, event)]

    def open_by_store(self, *documents):
        for kind in ("rules", "topology"):
            of_kind = tuple(
                document for document in documents if document.key.kind == kind
            )
            self.gossip.step(0.0, effects.StoreRead(kind, of_kind, True))

    def test_decoding_an_encoded_document_returns_the_same_rules(self):
        accepted = messages.AcceptedRules(3, "take out scl-a # Marta", "e-9")
        document = messages.rules_document(accepted)
        self.assertEqual(messages.accepted_rules(document), accepted)

    def test_the_store_opens_the_gate_once_all_kinds_are_listed(self):
        read = effects.StoreRead("rules", (rules(4),), True)
        self.assertNotIn(effects.VersionsConfirmed, self.kinds_of(0.0, read))
        read = effects.StoreRead("topology", (), True)
        self.assertIn(effects.VersionsConfirmed, self.kinds_of(0.0, read))
        self.assertNotIn(effects.VersionsConfirmed, self.kinds_of(0.0, read))

    def test_two_confirmed_peers_open_the_gate_once_their_versions_arrived(
        self,
    ):
        self.gossip.step(0.0, members_updated("vm-1", "vm-2", "vm-3", "vm-4"))
        for vm in ("vm-2", "vm-3", "vm-4"):
            self.gossip.step(0.0, effects.PeerLinked(vm))
        self.gossip.step(
            0.0, effects.Received("vm-2", version_list(9, confirmed=False))
        )
        self.gossip.step(0.0, effects.Received("vm-3", version_list(4)))
        self.gossip.step(0.0, effects.Received("vm-4", version_list(5)))
        pushed = effects.Received("vm-3", messages.Push((rules(4),)))
        self.gossip.step(1.0, pushed)
        self.assertFalse(self.gossip.gate.opened)
        pushed = effects.Received("vm-4", messages.Push((rules(5),)))
        self.gossip.step(2.0, pushed)
        self.assertTrue(self.gossip.gate.opened)

    def test_peers_that_are_starting_do_not_open_the_gate(self):
        self.gossip.step(0.0, members_updated("vm-1", "vm-2", "vm-3", "vm-4"))
        self.gossip.step(0.0, effects.DocumentWritten(rules(4)))
        unconfirmed = version_list(4, confirmed=False)
        for vm in ("vm-2", "vm-3"):
            self.gossip.step(0.0, effects.Received(vm, unconfirmed))
        self.assertFalse(self.gossip.gate.opened)
        for vm in ("vm-2", "vm-3"):
            self.gossip.step(0.0, effects.Received(vm, version_list(4)))
        self.assertTrue(self.gossip.gate.opened)

    def test_kinds_of_a_newer_release_do_not_keep_the_gate_closed(self):
        self.gossip.step(0.0, effects.DocumentWritten(rules(4)))
        known = messages.DocumentVersion(RULES, 4)
        newer = messages.DocumentVersion(messages.DocumentKey("trials", "a"), 3)
        versions = messages.VersionList((known, newer), confirmed=True)
        for vm in ("vm-2", "vm-3"):
            self.gossip.step(0.0, effects.Received(vm, versions))
        self.assertTrue(self.gossip.gate.opened)

    def test_a_confirmed_process_sends_its_versions_to_a_starting_one(self):
        self.gossip.step(0.0, effects.PeerLinked("vm-2"))
        self.open_by_store(rules(4))
        starting = effects.Received("vm-2", messages.VersionList((), False))
        out = self.gossip.step(10.0, starting)
        self.assertIn(Send("vm-2", version_list(4)), out)

    def test_a_single_peer_opens_the_gate_only_after_a_delay(self):
        self.gossip.step(0.0, members_updated("vm-1", "vm-2"))
        self.gossip.step(0.0, effects.PeerLinked("vm-2"))
        self.gossip.step(0.0, effects.Received("vm-2", version_list(4)))
        pushed = effects.Received("vm-2", messages.Push((rules(4),)))
        self.gossip.step(0.0, pushed)
        self.assertFalse(self.gossip.gate.opened)
        self.gossip.step(5_000.0, effects.Tick())
        self.assertTrue(self.gossip.gate.opened)

    def test_a_process_without_store_and_peers_never_opens(self):
        for now_ms in range(0, 60_000, 250):
            self.gossip.step(float(now_ms), effects.Tick())
        self.assertFalse(self.gossip.gate.opened)

    def resume(self):
        self.gossip.step(0.0, effects.PeerLinked("vm-2"))
        self.open_by_store(rules(4))
        return self.gossip.step(90_000.0, effects.ProcessPaused())

    def test_after_a_pause_work_waits_for_the_versions_of_a_peer(self):
        out = self.resume()
        self.assertIn(effects.VersionsUnconfirmed(), out)
        self.assertIn(Send("vm-2", version_list(4, confirmed=False)), out)
        received = effects.Received("vm-2", version_list(6))
        out = self.gossip.step(90_010.0, received)
        self.assertNotIn(effects.VersionsConfirmed(), out)
        pushed = effects.Received("vm-2", messages.Push((rules(6),)))
        out = self.gossip.step(90_020.0, pushed)
        self.assertIn(effects.VersionsConfirmed(), out)

    def test_after_a_pause_a_read_of_the_store_ends_the_hold(self):
        self.resume()
        read = effects.StoreRead("rules", (rules(6),), True)
        out = self.gossip.step(90_010.0, read)
        self.assertIn(effects.VersionsConfirmed(), out)

    def test_the_hold_after_a_pause_times_out(self):
        self.resume()
        self.assertNotIn(
            effects.VersionsConfirmed(),
            self.gossip.step(91_000.0, effects.Tick()),
        )
        self.assertIn(
            effects.VersionsConfirmed(),
            self.gossip.step(92_000.0, effects.Tick()),
        )

    def test_two_processes_on_hold_do_not_answer_each_other(self):
        self.resume()
        unconfirmed = effects.Received("vm-2", version_list(4, confirmed=False))
        self.assertEqual(self.gossip.step(90_010.0, unconfirmed), [])

    def test_reads_at_the_start_back_off_while_they_fail(self):
        reads = []
        for now_ms in range(0, 60_000, 250):
            out = self.gossip.step(float(now_ms), effects.Tick())
            if effects.ReadStore("topology") in out:
                reads.append(now_ms)
        gaps = [
            later - earlier
            for earlier, later in zip(reads, reads[1:], strict=False)
        ]
        self.assertEqual(gaps, [2_000, 4_000, 8_000, 16_000, 16_000])

    def test_a_written_document_is_announced_without_a_store_read(self):
        self.gossip.step(0.0, effects.PeerLinked("vm-2"))
        out = self.gossip.step(0.0, effects.DocumentWritten(rules(7)))
        versions = (messages.DocumentVersion(RULES, 7),)
        self.assertIn(Send("vm-2", messages.Announcement(versions)), out)

    def test_a_lost_pull_is_retried_at_the_next_peer(self):
        announcement = messages.Announcement(
            (messages.DocumentVersion(RULES, 7),)
        )
        for vm in ("vm-2", "vm-3"):
            self.gossip.step(0.0, effects.PeerLinked(vm))
            self.gossip.step(0.0, effects.Received(vm, announcement))
        pulled_from = []
        for now_ms in (1_000.0, 2_000.0):
            pulled_from += [
                effect.vm
                for effect in self.gossip.step(now_ms, effects.Tick())
                if isinstance(effect, Send)
                and isinstance(effect.message, messages.Pull)
            ]
        self.assertEqual(pulled_from, ["vm-2", "vm-3"])

    def test_a_persistent_digest_mismatch_sends_all_versions(self):
        self.open_by_store(rules(4))
        self.gossip.step(0.0, effects.PeerLinked("vm-2"))
        different = effects.PeerDigest("vm-2", (("documents", 1),))
        exchanges = [
            Send("vm-2", version_list(4)) in self.gossip.step(now_ms, different)
            for now_ms in (3_000.0, 4_000.0, 5_000.0, 6_000.0)
        ]
        self.assertEqual(exchanges, [False, True, False, True])

    def test_equal_digests_send_nothing(self):
        self.gossip.step(0.0, effects.PeerLinked("vm-2"))
        self.open_by_store(rules(4))
        same = effects.PeerDigest("vm-2", self.gossip.sent_digests)
        for now_ms in (3_000.0, 4_000.0, 5_000.0):
            self.assertEqual(self.gossip.step(now_ms, same), [])

    def test_lost_confirmations_are_resent_in_chunks(self):
        self.gossip.step(0.0, effects.PeerLinked("vm-2"))
        confirmations = tuple(
            messages.Confirmation(f"vm-{number}", 1, 4)
            for number in range(10, 110)
        )
        known = effects.Received("vm-3", messages.Confirmations(confirmations))
        self.gossip.step(0.0, known)
        self.gossip.step(0.0, effects.Tick())
        different = effects.PeerDigest("vm-2", (("confirmed", 1),))
        chunk_sizes = []
        for now_ms in (2_000.0, 3_000.0, 4_000.0):
            for effect in self.gossip.step(now_ms, different):
                if isinstance(effect, Send) and isinstance(
                    effect.message, messages.Confirmations
                ):
                    chunk_sizes.append(len(effect.message.items))
        self.assertEqual(chunk_sizes, [64, 36])

    def test_accepted_documents_are_recorded_in_the_timeline(self):
        buffer = EventBuffer("vm-1", 0.0)
        gossip = document_gossip.DocumentGossip(
            "vm-1", 1, "scl-a", buffer=buffer
        )
        gossip.step(0.0, effects.DocumentWritten(rules(7)))
        recorded = [(event.kind, event.detail) for event in buffer.events()]
        self.assertEqual(
            recorded, [(EventKind.RULES_ACCEPTED, ("accepted", 7))]
        )

    def test_few_vms_of_a_data_centre_watch_the_store(self):
        names = [f"vm-{number}" for number in range(20)]
        watching = 0
        for name in names:
            gossip = document_gossip.DocumentGossip(name, 1, "scl-a")
            out = gossip.step(0.0, members_updated(*names))
            watching += effects.WatchStore("rules") in out
        self.assertEqual(watching, document_gossip.WATCHERS_PER_DATA_CENTRE)

    def test_a_vm_that_reaches_no_peers_watches_the_store_itself(self):
        names = [f"vm-{number}" for number in range(20)]
        gossip = document_gossip.DocumentGossip("vm-0", 1, "scl-a")
        gossip.step(0.0, members_updated(*names))
        out = gossip.step(0.0, members_updated(*names, unreachable=names[1:]))
        self.assertTrue(gossip.watching)
        self.assertIn(effects.WatchStore("topology"), out)
        out = gossip.step(0.0, members_updated(*names))
        self.assertIn(effects.UnwatchStore("topology"), out)

    def test_unreachable_vms_are_listed_as_unconfirmed(self):
        self.gossip.step(0.0, effects.DocumentWritten(rules(3)))
        self.gossip.step(
            0.0, members_updated("vm-1", "vm-2", "vm-3", unreachable=("vm-3",))
        )
        status = self.gossip.confirmations.in_force(3)
        self.assertEqual(status.pending, ("vm-2",))
        self.assertEqual(status.unreachable, ("vm-3",))
        self.assertFalse(status.everywhere)

    def test_a_confirmation_of_a_previous_incarnation_does_not_count(self):
        self.gossip.step(0.0, effects.DocumentWritten(rules(3)))
        members = tuple(
            effects.PossibleMember(vm, "scl-a", number, True)
            for vm, number in (("vm-1", 1), ("vm-2", 2))
        )
        self.gossip.step(0.0, effects.MembersUpdated(members))
        old = messages.Confirmations((messages.Confirmation("vm-2", 1, 3),))
        self.gossip.step(0.0, effects.Received("vm-3", old))
        self.assertEqual(
            self.gossip.confirmations.in_force(3).pending, ("vm-2",)
        )

    def test_silence_is_probed_and_then_reported_as_isolation(self):
        self.gossip.step(0.0, effects.StoreRead("rules", (), True))
        probe = self.gossip.step(4_500.0, effects.Tick())
        self.assertIn(effects.ReadStore("rules"), probe)
        out = self.gossip.step(10_500.0, effects.Tick())
        self.assertIn(effects.IsolationChanged(True), out)
        self.gossip.step(11_000.0, effects.PeerDigest("vm-2", ()))
        out = self.gossip.step(11_250.0, effects.Tick())
        self.assertIn(effects.IsolationChanged(False), out)

    def test_a_large_push_is_split(self):
        documents = [
            messages.VersionedDocument(
                messages.DocumentKey("topology", f"s-{number}"),
                1,
                b"x" * 100_000,
            )
            for number in range(5)
        ]
        for document in documents:
            self.gossip.step(0.0, effects.DocumentWritten(document))
        empty = messages.VersionList((), False)
        out = self.gossip.step(0.0, effects.Received("vm-2", empty))
        pushes = [effect.message for effect in out if isinstance(effect, Send)]
        self.assertEqual([len(push.documents) for push in pushes], [2, 2, 1])

    def test_documents_of_unknown_kinds_are_ignored(self):
        key = messages.DocumentKey("claims", "1")
        document = messages.VersionedDocument(key, 1, b"{}")
        pushed = effects.Received("vm-2", messages.Push((document,)))
        self.gossip.step(0.0, pushed)
        self.assertEqual(self.gossip.table.documents, {})
