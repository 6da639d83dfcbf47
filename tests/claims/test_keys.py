"""Tests of idempotency keys and of their store objects and owners."""

import unittest

import hypothesis
from hypothesis import strategies as st

from oriolegate.claims import buckets
from oriolegate.claims.keys import parse_key
from oriolegate.claims.settings import ClaimsSettings
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState

SETTINGS = ClaimsSettings()
WALL_MS = 1_700_000_000_000
RANDOM_PART = "a1B2_c3D4_e5F6_g7"


def parse(time_ms, random_part=RANDOM_PART):
    return parse_key(f"{time_ms}-{random_part}", WALL_MS, SETTINGS)


class KeyTest(unittest.TestCase):
    def test_key_contains_its_creation_time(self):
        self.assertEqual(parse(WALL_MS - 5).ok.time_ms, WALL_MS - 5)

    def test_malformed_keys_are_refused_as_not_run(self):
        for text in ("", "abc", "17-" + RANDOM_PART, f"{WALL_MS}-short"):
            error = parse_key(text, WALL_MS, SETTINGS).error
            self.assertIs(error.code, ResultCode.IDEMPOTENCY_KEY_INVALID, text)
            self.assertIs(error.run_state, RunState.NOT_RUN, text)

    def test_old_key_is_refused_as_one_that_may_have_run(self):
        oldest_ms = WALL_MS - SETTINGS.retention_ms
        self.assertTrue(parse(oldest_ms).is_ok())
        error = parse(oldest_ms - 1).error
        self.assertIs(error.code, ResultCode.KEY_TOO_OLD)
        self.assertIs(error.run_state, RunState.MAY_HAVE_RUN)

    def test_key_from_the_future_is_refused(self):
        newest_ms = WALL_MS + SETTINGS.clock_skew_ms
        self.assertTrue(parse(newest_ms).is_ok())
        error = parse(newest_ms + 1).error
        self.assertIs(error.code, ResultCode.IDEMPOTENCY_KEY_INVALID)


class RingTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True)
    @hypothesis.given(
        retention_ms=st.integers(1, 600_000),
        skew_ms=st.integers(0, 60_000),
        width_ms=st.integers(1, 60_000),
        offset_ms=st.integers(0, 60_000),
    )
    def test_object_is_reused_only_after_the_retention(
        self, retention_ms, skew_ms, width_ms, offset_ms
    ):
        settings = ClaimsSettings(
            retention_ms=retention_ms,
            clock_skew_ms=skew_ms,
            slot_width_ms=width_ms,
        )
        slot = (WALL_MS + offset_ms) // width_ms
        last_key_ms = (slot + 1) * width_ms - 1
        first_reuse_ms = (slot + settings.ring_size) * width_ms
        earliest_wall_ms = first_reuse_ms - skew_ms
        self.assertGreater(earliest_wall_ms - last_key_ms, retention_ms)

    def test_only_the_buckets_of_a_removed_vm_move(self):
        vms = tuple(f"vm-{number}" for number in range(8))
        moved = 0
        owners = set()
        for bucket in range(200):
            before = buckets.owner_of(bucket, vms)
            owners.add(before)
            after = buckets.owner_of(bucket, vms[:-1])
            moved += before != after and before != vms[-1]
        self.assertEqual(moved, 0)
        self.assertEqual(owners, set(vms))
