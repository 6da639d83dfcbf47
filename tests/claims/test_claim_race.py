"""Tests of several claim managers that race for keys in a faulty store."""

import json
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from oriolegate.claims import events
from oriolegate.claims.object_content import ClaimRecord
from oriolegate.claims.object_content import ObjectContent
from oriolegate.claims.settings import ClaimsSettings
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState
from tests.claims.claim_race import ClaimRace
from tests.claims.claim_race import key_at
from tests.claims.claim_race import WALL_OFFSET_MS

VMS = ("vm-a", "vm-b", "vm-c")
KEYS = tuple(key_at(0, number) for number in range(2))
SETTINGS = ClaimsSettings(bucket_count=1, release_timeout_ms=5_000.0)

vms = st.sampled_from(VMS)
indexes = st.integers(0, 7)


class ClaimRaceMachine(stateful.RuleBasedStateMachine):
    """Each step is one request, one fault or one passage of time."""

    def __init__(self):
        super().__init__()
        self.race = ClaimRace(VMS, SETTINGS)

    @stateful.initialize(
        owners=st.lists(
            st.sampled_from(((), VMS, ("vm-a",), ("vm-gone",))),
            min_size=3,
            max_size=3,
        )
    )
    def believe_in_owners(self, owners):
        for vm, believed in zip(VMS, owners, strict=True):
            self.race.step(vm, events.OwnersChanged(believed))

    @stateful.rule()
    def answer_all(self):
        for _ in range(10):
            while self.race.messages:
                self.race.deliver()
            while self.race.calls:
                self.race.answer()
            self.race.advance(25.0)

    @stateful.rule(
        vm=vms,
        key=st.sampled_from(KEYS),
        timeout_ms=st.sampled_from((30.0, 500.0, 5_000.0)),
    )
    def request(self, vm, key, timeout_ms):
        self.race.request(vm, key, timeout_ms)

    @stateful.precondition(lambda self: self.race.calls)
    @stateful.rule(
        index=indexes,
        fault=st.sampled_from(
            ("answer", "answer", "lose_answer", "fail", "fail_early")
        ),
    )
    def end_call(self, index, fault):
        index %= len(self.race.calls)
        getattr(self.race, fault)(index)

    @stateful.precondition(lambda self: self.race.messages)
    @stateful.rule(index=indexes, lost=st.booleans())
    def end_message(self, index, lost):
        index %= len(self.race.messages)
        if lost:
            self.race.messages.pop(index)
        else:
            self.race.deliver(index)

    @stateful.rule(
        interval_ms=st.sampled_from((5.0, 25.0, 300.0, 2_000.0)),
        paused=st.sets(vms, max_size=2),
    )
    def advance(self, interval_ms, paused):
        self.race.advance(interval_ms, paused)

    @stateful.rule(vm=vms)
    def report_pause(self, vm):
        self.race.step(vm, events.ProcessPaused())

    @stateful.precondition(lambda self: any(self.race.runs.values()))
    @stateful.rule(
        index=indexes,
        run_state=st.sampled_from(
            (RunState.NOT_RUN, RunState.RAN, RunState.MAY_HAVE_RUN)
        ),
    )
    def end_run(self, index, run_state):
        keys = [key for key, runs in self.race.runs.items() if runs]
        self.race.end_run(keys[index % len(keys)], run_state)

    def teardown(self):
        """Every request ends once the faults stop."""
        self.race.settle()
        missing = set(self.race.requests) - set(self.race.ended)
        assert not missing, f"never ended: {missing}"


ClaimRacePropertyTest = ClaimRaceMachine.TestCase
ClaimRacePropertyTest.settings = hypothesis.settings(
    max_examples=300,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
)


class ClaimRaceScenarioTest(unittest.TestCase):
    def setUp(self):
        self.race = ClaimRace(VMS, ClaimsSettings(bucket_count=1))

    def test_one_of_two_sends_at_the_same_time_is_granted(self):
        key = key_at(0, 1)
        sends = [self.race.request(vm, key, 1_000.0) for vm in VMS]
        self.race.settle()
        self.assertEqual(len(self.race.runs[key]), 1)
        end_effects = [self.race.ended[send] for send in sends]
        codes = [getattr(effect, "code", None) for effect in end_effects]
        self.assertEqual(codes.count(ResultCode.ALREADY_CLAIMED), 2)

    def test_a_write_without_response_is_settled_by_reading_back(self):
        send = self.race.request("vm-a", key_at(0, 1), 1_000.0)
        self.race.answer()
        self.race.lose_answer()
        self.assertNotIn(send, self.race.ended)
        self.race.advance(60.0)
        self.race.answer()
        self.assertEqual(self.race.runs[key_at(0, 1)], [send])

    def test_late_effect_of_a_failed_write_is_fenced(self):
        send = self.race.request("vm-a", key_at(0, 1), 1_000.0)
        self.race.answer()
        self.race.fail_early()  # the write is still in flight
        self.race.advance(60.0)
        self.race.answer(1)  # vm-a reads back: the write has no effect yet
        self.race.answer(1)  # vm-a writes again
        self.assertEqual(self.race.runs[key_at(0, 1)], [send])
        self.race.answer()  # the first write fails with a conflict
        self.assertEqual(self.race.store.holder(key_at(0, 1)), "vm-a/1/1")

    def test_timed_out_claim_is_released_and_its_key_can_be_sent_again(self):
        key = key_at(0, 1)
        first = self.race.request("vm-a", key, 100.0)
        self.race.answer()
        self.race.store.apply(self.race.calls.pop()[1])  # no response
        self.race.advance(150.0)
        self.assertIs(self.race.ended[first].run_state, RunState.NOT_RUN)
        self.race.advance(400.0)
        self.race.settle()
        self.assertIsNone(self.race.store.holder(key))
        second = self.race.request("vm-b", key, 1_000.0)
        self.race.settle()
        self.assertEqual(self.race.runs[key], [second])

    def test_key_is_refused_once_its_object_is_reused_for_a_later_slot(self):
        settings = self.race.managers["vm-a"].settings
        key = key_at(0, 1)
        self.race.request("vm-a", key, 1_000.0)
        self.race.settle()
        ring_ms = settings.ring_size * settings.slot_width_ms
        late_ms = self.race.now_ms
        self.race.now_ms = float(ring_ms)
        self.race.request("vm-a", key_at(ring_ms, 2), 1_000.0)
        self.race.settle()
        self.race.now_ms = late_ms  # the clock of vm-b is behind
        send = self.race.request("vm-b", key, 1_000.0)
        self.race.settle()
        end = self.race.ended[send]
        self.assertIs(end.code, ResultCode.KEY_TOO_OLD)
        self.assertIs(end.run_state, RunState.MAY_HAVE_RUN)

    def test_owner_does_not_release_a_claim_that_its_sender_may_have_granted(
        self,
    ):
        key = key_at(0, 1)
        for vm in VMS:
            self.race.step(vm, events.OwnersChanged(("vm-a",)))
        first = self.race.request("vm-b", key, 5_000.0)
        self.race.deliver()
        self.race.answer()
        self.race.lose_answer()  # the owner has no result of its write
        self.race.advance(350.0, paused=("vm-a",))
        self.race.answer()  # vm-b reads its own claim back
        self.assertEqual(self.race.runs[key], [first])
        self.race.advance(1_000.0)  # the claim times out at the owner
        self.race.messages.clear()
        for _ in range(20):
            while self.race.calls:
                self.race.answer()
            self.race.advance(50.0)
        second = self.race.request("vm-c", key, 1_000.0)
        self.race.settle()
        self.assertEqual(self.race.runs[key], [first])
        self.assertIs(self.race.ended[second].code, ResultCode.ALREADY_CLAIMED)

    def test_late_response_to_an_old_write_grants_nothing(self):
        first = self.race.request("vm-a", key_at(0, 1), 5_000.0)
        self.race.answer()
        self.race.advance(450.0)  # the first write times out
        self.race.advance(60.0)
        second = self.race.request("vm-a", key_at(0, 2), 5_000.0)
        self.race.answer(1)  # vm-a reads back; its second write has both keys
        self.race.answer(0)  # the first write takes effect
        self.assertNotIn(second, self.race.ended)
        self.race.settle()
        self.assertEqual(self.race.runs[key_at(0, 1)], [first])
        self.assertEqual(self.race.runs[key_at(0, 2)], [second])

    def test_waiting_claims_share_one_write(self):
        keys = [key_at(0, number) for number in range(20)]
        for key in keys:
            self.race.request("vm-a", key, 1_000.0)
        self.race.settle()
        self.assertEqual(sum(map(len, self.race.runs.values())), 20)
        self.assertEqual(self.race.managers["vm-a"].counts.writes, 1)

    def test_recorded_outcome_is_reported_to_a_later_send(self):
        key = key_at(0, 1)
        self.race.request("vm-a", key, 1_000.0)
        self.race.settle()
        self.race.end_run(key, RunState.RAN)
        self.race.advance(60.0)
        # The next write records the outcome too.
        self.race.request("vm-a", key_at(0, 2), 1_000.0)
        self.race.settle()
        later = self.race.request("vm-b", key, 1_000.0)
        self.race.settle()
        self.assertIs(self.race.ended[later].run_state, RunState.RAN)
        self.assertIs(self.race.ended[later].outcome, ResultCode.OK)

    def test_owner_reports_an_outcome_that_is_not_yet_recorded(self):
        key = key_at(0, 1)
        for vm in VMS:
            self.race.step(vm, events.OwnersChanged(("vm-a",)))
        self.race.request("vm-a", key, 1_000.0)
        self.race.settle()
        self.race.end_run(key, RunState.RAN)
        later = self.race.request("vm-b", key, 1_000.0)
        self.race.settle()
        self.assertIs(self.race.ended[later].run_state, RunState.RAN)
        self.assertIs(self.race.ended[later].outcome, ResultCode.OK)

    def test_claims_beyond_the_size_of_an_object_are_refused_not_run(self):
        settings = ClaimsSettings(bucket_count=1, max_claims_per_object=3)
        self.race = ClaimRace(VMS, settings)
        sends = [
            self.race.request("vm-a", key_at(0, number), 1_000.0)
            for number in range(4)
        ]
        self.race.settle()
        end = self.race.ended[sends[3]]
        self.assertIs(end.code, ResultCode.OVERLOADED)
        self.assertIs(end.run_state, RunState.NOT_RUN)
        self.assertIsNone(self.race.store.holder(key_at(0, 3)))

    def test_full_object_stays_below_the_size_limit_of_the_platform(self):
        settings = ClaimsSettings()
        record = ClaimRecord("v" * 64, ResultCode.MAY_HAVE_RUN)
        records = {
            f"{WALL_OFFSET_MS}-{number:040d}": record
            for number in range(settings.max_claims_per_object)
        }
        value = ObjectContent(10**9, records).encode()
        self.assertLess(len(json.dumps(value)), 1_000_000)

    def test_claims_are_refused_immediately_after_two_failed_calls(self):
        first = self.race.request("vm-a", key_at(0, 1), 5_000.0)
        self.race.fail()
        self.race.advance(60.0)
        self.race.fail()
        self.assertIs(self.race.ended[first].code, ResultCode.CLAIM_STORE_DOWN)
        second = self.race.request("vm-a", key_at(0, 2), 5_000.0)
        end = self.race.ended[second]
        self.assertIs(end.code, ResultCode.CLAIM_STORE_DOWN)
        self.assertIs(end.run_state, RunState.NOT_RUN)

    def test_request_is_refused_if_its_calls_never_end(self):
        send = self.race.request("vm-a", key_at(0, 1), 5_000.0)
        self.race.calls.clear()
        self.race.advance(450.0)
        self.race.calls.clear()
        self.race.advance(100.0)
        self.race.calls.clear()
        self.race.advance(450.0)
        self.assertIs(self.race.ended[send].code, ResultCode.CLAIM_STORE_DOWN)

    def test_calls_that_never_end_and_unused_objects_are_dropped(self):
        manager = self.race.managers["vm-a"]
        for second in range(0, 200, 4):
            self.race.now_ms = second * 1_000.0
            self.race.request("vm-a", key_at(self.race.now_ms, 1), 100.0)
            if second % 8:
                self.race.calls.clear()
            self.race.settle()
        self.assertLess(len(manager.writers.by_name), 6)
        self.assertLess(len(manager.writers.by_operation), 6)

    def test_claim_is_refused_if_a_pause_exceeds_the_deadline(self):
        send = self.race.request("vm-a", key_at(0, 1), 100.0)
        self.race.answer()
        self.race.now_ms += 60_000.0
        self.race.step("vm-a", events.ProcessPaused())
        self.assertIs(self.race.ended[send].code, ResultCode.DEADLINE_PASSED)
        self.race.answer()  # the write takes effect after the refusal
        self.assertNotIn(key_at(0, 1), self.race.runs)
