"""Tests of the requests that a VM sends to a leaf with a limit."""

import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.placement import request_limit

MEMBERS = [f"vm-{number}" for number in range(7)]
LIMITS = strategies.floats(min_value=0.0, max_value=200.0)


def create(per_s, vm="vm-0", members=MEMBERS, now_ms=0.0):
    return request_limit.create(now_ms, vm, members, "leaf", per_s)


class RequestLimitTest(unittest.TestCase):
    @given(LIMITS, strategies.integers(min_value=1, max_value=90))
    def test_the_quotas_of_all_vms_add_up_to_the_limit(self, per_s, count):
        members = [f"vm-{number}" for number in range(count)]
        quotas = [create(per_s, vm, members).quota for vm in members]
        self.assertEqual(sum(quotas), int(per_s * 4.0))
        self.assertLessEqual(max(quotas) - min(quotas), 1)

    @given(
        LIMITS,
        strategies.lists(
            strategies.floats(min_value=0.0, max_value=900.0), max_size=200
        ),
    )
    def test_no_window_holds_more_than_the_quota(self, per_s, pauses_ms):
        limit = create(per_s)
        now_ms = 0.0
        sent_at_ms = []
        for pause_ms in pauses_ms:
            now_ms += pause_ms
            if limit.allows(now_ms):
                limit.record_send(now_ms)
                sent_at_ms.append(now_ms)
        for first_ms in sent_at_ms:
            end_ms = first_ms + request_limit.WINDOW_MS
            in_window = sum(first_ms <= at_ms <= end_ms for at_ms in sent_at_ms)
            self.assertLessEqual(in_window, max(1, limit.quota))

    def test_the_quota_is_not_sent_in_one_burst(self):
        limit = create(28.0)
        self.assertEqual(limit.quota, 16)
        sent = 0
        while limit.allows(0.0):
            limit.record_send(0.0)
            sent += 1
        self.assertEqual(sent, 4)
        self.assertTrue(limit.allows(request_limit.QUOTA_WINDOW_MS / 4.0))

    def test_a_vm_without_a_quota_sends_a_request_now_and_then(self):
        limit = create(0.0, now_ms=100.0)
        interval_ms = request_limit.probe_interval_ms(len(MEMBERS), 0.0)
        self.assertFalse(limit.allows(99.0 + interval_ms))
        self.assertTrue(limit.allows(100.0 + interval_ms))
        limit.record_send(100.0 + interval_ms)
        self.assertFalse(limit.allows(101.0 + interval_ms))

    def test_a_new_limit_or_number_of_members_changes_the_quota(self):
        limit = create(14.0)
        self.assertEqual(limit.quota, 8)
        limit.per_s = 7.0
        self.assertEqual(limit.quota, 4)
        limit.set_members("vm-0", MEMBERS[:4], "leaf")
        self.assertEqual(limit.quota, 7)
