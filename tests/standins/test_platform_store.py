"""Tests of the emulated store of the platform."""

import unittest

import hypothesis
from hypothesis import strategies

from oriolegate.exceptions import PlatformError
from oriolegate.network.platform_api import VmRecord
from oriolegate.network.platform_api import VmState
from oriolegate.result_codes import ResultCode
from oriolegate.standins.platform_store import MAX_VALUE_BYTES
from oriolegate.standins.platform_store import PlatformStore

NAMES = strategies.sampled_from(["a", "b"])
# The last field is the expected version minus the present one, mostly 0, so
# that most writes take effect.
WRITES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["put", "delete"]),
        NAMES,
        strategies.sampled_from([0, 0, 0, 1, -1]),
    ),
    max_size=40,
)


def code_of(operation, *arguments):
    try:
        operation(*arguments)
    except PlatformError as error:
        return error.code
    return ResultCode.OK


class ObjectsTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(WRITES)
    def test_write_takes_effect_exactly_at_the_expected_version(self, writes):
        store = PlatformStore()
        versions = {"a": 0, "b": 0}
        revision = 0
        for call, name, offset in writes:
            expected = max(0, versions[name] + offset)
            if call == "put":
                code = code_of(store.put, "k", name, {}, expected)
                applied = expected == versions[name]
            else:
                code = code_of(store.delete, "k", name, expected)
                applied = 0 < versions[name] == expected
            self.assertEqual(code is ResultCode.OK, applied)
            if applied:
                revision += 1
                versions[name] = expected + 1 if call == "put" else 0
            self.assertEqual(store.version_of("k", name), versions[name])
            self.assertEqual(store.list("k").revision, revision)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(WRITES, strategies.integers(1, 5))
    def test_reader_of_changes_sees_what_a_lister_sees(self, writes, stride):
        store = PlatformStore()
        seen, revision = {}, 0
        for number, (call, name, offset) in enumerate(writes):
            expected = max(0, store.version_of("k", name) + offset)
            if call == "put":
                code_of(store.put, "k", name, {"n": number}, expected)
            else:
                code_of(store.delete, "k", name, expected)
            if number % stride == 0:
                revision = self.follow(store, seen, revision)
        self.follow(store, seen, revision)
        present = {stored.name: stored for stored in store.list("k").items}
        self.assertEqual(seen, present)

    def follow(self, store, seen, revision):
        changes = store.changes_after("k", revision)
        for stored in changes.items:
            if stored.version:
                seen[stored.name] = stored
            else:
                seen.pop(stored.name, None)
        return changes.revision

    def test_each_kind_has_its_own_revision(self):
        store = PlatformStore()
        store.put("k", "a", {}, 0)
        self.assertEqual(store.list("other").revision, 0)
        self.assertEqual(store.changes_after("other", 0).items, ())

    def test_stored_value_does_not_change_with_the_writers_mapping(self):
        store = PlatformStore()
        value = {"list": [1]}
        store.put("k", "a", value, 0)
        value["list"].append(2)
        self.assertEqual(store.get("k", "a").value, {"list": [1]})

    def test_value_over_the_limit_is_refused(self):
        store = PlatformStore()
        value = {"text": "x" * MAX_VALUE_BYTES}
        code = code_of(store.put, "k", "a", value, 0)
        self.assertIs(code, ResultCode.PLATFORM_BAD_ANSWER)
        self.assertEqual(store.version_of("k", "a"), 0)


class FaultsTest(unittest.TestCase):
    def test_reads_and_writes_have_separate_rate_limits(self):
        store = PlatformStore(writes_per_s=2.0, reads_per_s=3.0)
        codes = [code_of(store.admit, 0.0, "put") for _ in range(3)]
        self.assertIs(codes[1], ResultCode.OK)
        self.assertIs(codes[2], ResultCode.PLATFORM_RATE_LIMITED)
        codes = [code_of(store.admit, 0.0, "watch") for _ in range(4)]
        self.assertIs(codes[2], ResultCode.OK)
        self.assertIs(codes[3], ResultCode.PLATFORM_RATE_LIMITED)
        self.assertIs(code_of(store.admit, 499.0, "delete"), codes[3])
        self.assertIs(code_of(store.admit, 500.0, "delete"), ResultCode.OK)
        self.assertEqual(store.counts, {"put": 3, "watch": 4, "delete": 2})
        self.assertEqual(store.refused, {"PLATFORM_RATE_LIMITED": 3})

    def test_idle_time_saves_up_at_most_one_second_of_calls(self):
        store = PlatformStore(writes_per_s=2.0)
        codes = [code_of(store.admit, 60_000.0, "put") for _ in range(3)]
        self.assertIs(codes[1], ResultCode.OK)
        self.assertIs(codes[2], ResultCode.PLATFORM_RATE_LIMITED)

    def test_outage_refuses_every_call_until_it_ends(self):
        store = PlatformStore()
        store.faults.outage = True
        for call in ("get", "put", "watch", "list_vms"):
            code = code_of(store.admit, 0.0, call)
            self.assertIs(code, ResultCode.PLATFORM_DOWN)
        store.faults.outage = False
        self.assertIs(code_of(store.admit, 0.0, "get"), ResultCode.OK)

    def test_only_the_given_number_of_answers_is_lost(self):
        store = PlatformStore()
        store.faults.lose_answers = 2
        lost = [store.consume_lost_answer() for _ in range(3)]
        self.assertEqual(lost, [True, True, False])

    def test_readers_see_the_list_of_vms_after_its_lag(self):
        store = PlatformStore()
        live = VmRecord("vm-1", "127.0.0.11", 7300, "dc", VmState.LIVE)
        gone = VmRecord("vm-1", "127.0.0.11", 7300, "dc", VmState.GONE)
        store.faults.vm_lag_ms = 100.0
        store.set_vms(1_000.0, (live,))
        store.set_vms(2_000.0, (gone,))
        self.assertEqual(store.list_vms(1_099.0), ())
        self.assertEqual(store.list_vms(2_099.0), (live,))
        self.assertEqual(store.list_vms(2_100.0), (gone,))
