"""Tests of how a VM tells that it reaches no leaf."""

import unittest

from oriolegate.placement.leaf_contact import LeafContact
from oriolegate.placement.leaf_contact import MIN_FAILED_PROBES
from oriolegate.placement.leaf_contact import MIN_LEAFS
from oriolegate.placement.leaf_contact import SILENCE_MS

KNOWN_LEAFS = 40
LEAFS = [f"leaf-{number}" for number in range(MIN_LEAFS)]


class LeafContactTest(unittest.TestCase):
    def setUp(self):
        self.contact = LeafContact(0.0)

    def is_cut_off(self, now_ms, known_leafs=KNOWN_LEAFS):
        return self.contact.is_cut_off(now_ms, known_leafs)

    def fail_all(self, now_ms):
        for leaf_id in LEAFS:
            self.contact.record_send(now_ms, leaf_id)
            self.contact.record_unconnected(leaf_id)

    def test_an_idle_vm_is_not_cut_off(self):
        self.assertFalse(self.is_cut_off(3_600_000.0))

    def test_a_vm_whose_connections_are_all_refused_is_cut_off(self):
        self.fail_all(10.0)
        self.assertTrue(self.is_cut_off(SILENCE_MS))

    def test_a_vm_whose_sends_all_hang_is_cut_off(self):
        for leaf_id in LEAFS:
            self.contact.record_send(10.0, leaf_id)
        self.assertFalse(self.is_cut_off(9.0 + SILENCE_MS))
        self.assertTrue(self.is_cut_off(10.0 + SILENCE_MS))

    def test_one_response_ends_the_cut(self):
        self.fail_all(10.0)
        self.contact.record_response(500.0)
        self.assertFalse(self.is_cut_off(5_000.0))

    def test_all_leafs_slow_is_not_a_cut(self):
        for step in range(40):
            now_ms = step * SILENCE_MS / 2.0
            self.contact.record_send(now_ms, LEAFS[step % MIN_LEAFS])
            if step % 2:
                self.contact.record_response(now_ms)
            self.assertFalse(self.is_cut_off(now_ms))

    def test_a_few_crashed_leafs_are_not_a_cut(self):
        for leaf_id in LEAFS[1:]:
            self.contact.record_unconnected(leaf_id)
        self.assertFalse(self.is_cut_off(60_000.0))

    def test_a_site_with_few_leafs_is_cut_off_when_all_fail(self):
        self.contact.record_unconnected(LEAFS[0])
        self.assertFalse(self.is_cut_off(1_000.0, known_leafs=2))
        self.contact.record_unconnected(LEAFS[1])
        self.assertTrue(self.is_cut_off(1_000.0, known_leafs=2))

    def test_callers_that_leave_early_are_no_evidence(self):
        for leaf_id in LEAFS:
            self.contact.record_send(1_000.0, leaf_id)
            self.contact.record_abandoned(1_100.0, leaf_id)
        self.assertFalse(self.is_cut_off(10_000.0))

    def test_sends_that_were_given_up_after_silence_are_evidence(self):
        for leaf_id in LEAFS:
            self.contact.record_send(1_000.0, leaf_id)
            self.contact.record_abandoned(1_000.0 + SILENCE_MS, leaf_id)
        self.assertTrue(self.is_cut_off(1_000.0 + SILENCE_MS))

    def test_a_vm_whose_new_connections_all_fail_is_cut_off(self):
        for number in range(MIN_FAILED_PROBES):
            self.assertFalse(self.is_cut_off(1_000.0))
            self.contact.record_failed_probe()
            # Open connections live on.
            self.contact.record_response(1_000.0 + number)
        self.assertTrue(self.is_cut_off(1_010.0))
        self.contact.record_connected(1_020.0)
        self.assertFalse(self.is_cut_off(1_030.0))

    def test_failed_connections_to_several_leafs_call_for_probes(self):
        self.fail_all(10.0)
        self.contact.record_response(20.0)
        self.assertTrue(self.contact.needs_probe(KNOWN_LEAFS))
        self.contact.record_connected(30.0)
        self.assertFalse(self.contact.needs_probe(KNOWN_LEAFS))
