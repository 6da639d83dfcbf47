"""Properties of the coordinator under arbitrary event orders and losses."""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from oriolegate.coordinator import messages
from oriolegate.coordinator.coordinator_state import WakeKind
from oriolegate.coordinator.messages import LeafReport
from oriolegate.models.answer import Answer
from oriolegate.models.answer import Refusal
from oriolegate.models.policy import CoverageMode
from oriolegate.models.policy import ServicePolicy
from oriolegate.models.request import CallerRequest
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState
from oriolegate.upstreams.leaf_state import Grant
from oriolegate.upstreams.leaf_state import ReportedState
from tests.coordinator import fixtures

SHARDS = 3
NOT_RUN_REASONS = ("shed", "cold", "draining", "no-version", "expired")


def document(sub_request, version):
    return {
        "id": f"v{version}-q{sub_request.query}-s{sub_request.shard}",
        "score": 1.0,
    }


UPSTREAMS = ("studio-desk-0", "studio-desk-1")


class CanaryCheck:
    """Checks that a held query sends one shard, to allowed upstreams only."""

    def __init__(self):
        self.allowed = []
        self.shard = None

    def check(self, effect):
        assert self.allowed
        first = self.shard is None
        self.shard = effect.sub.shard if first else self.shard
        assert effect.sub.shard == self.shard
        # Replica n of each shard is at upstream n.
        upstream = UPSTREAMS[int(effect.leaf[-1])]
        assert upstream == self.allowed.pop(0)


class CoordinatorMachine(stateful.RuleBasedStateMachine):
    """Upstreams that respond in any order, twice, late or never."""

    def __init__(self):
        super().__init__()
        self.versions = [7]
        self.coordinator = fixtures.coordinator(
            fixtures.topology(SHARDS, slots=2), Grant(2, 4, 1)
        )
        self.now_ms = 0.0
        self.open = {}
        self.closed = []
        self.requests = {}
        self.runs = {}
        self.answered = set()
        self.outcomes = {}
        self.numbers = {}
        self.canary_checks = {}
        self.pending_admissions = {}

    @stateful.initialize(hedging=st.booleans())
    def record_latencies(self, hedging):
        service = self.coordinator.state.service(
            fixtures.SERVICE, ServicePolicy()
        )
        for _ in range(100 * hedging):
            service.latency.record(4.0)

    def feed(self, event):
        for effect in self.coordinator.step(self.now_ms, event):
            match effect:
                case messages.SendSub():
                    self.sent(effect)
                case messages.Deliver(outcome):
                    self.delivered(outcome)
                case messages.SetTimer(at_ms):
                    assert at_ms >= 0
                case messages.AdmissionWanted(number, _, _, upstreams):
                    assert set(upstreams) <= set(UPSTREAMS)
                    self.canary_checks[number] = CanaryCheck()
                    self.pending_admissions[number] = upstreams
                case messages.AdmissionDropped(number):
                    self.pending_admissions.pop(number, None)

    def sent(self, effect):
        assert effect.sub not in self.open
        number = effect.sub.query
        request = self.requests[self.numbers[number]]
        if not request.idempotent:
            # Every earlier attempt must be known not to have run.
            assert not self.runs.get(request.request_id)
            assert all(sub.query != number for sub in self.open)
        self.open[effect.sub] = effect
        if number in self.canary_checks:
            self.canary_checks[number].check(effect)

    def delivered(self, outcome):
        assert outcome.request_id not in self.outcomes
        self.outcomes[outcome.request_id] = outcome
        match outcome:
            case Answer():
                self.check_answer(outcome)
            case Refusal(run_state=RunState.NOT_RUN):
                assert not self.runs.get(outcome.request_id)
                assert not self.may_still_run(outcome.request_id)

    def may_still_run(self, request_id):
        return any(self.numbers[sub.query] == request_id for sub in self.open)

    def check_answer(self, answer):
        version = answer.index_version
        number = next(
            n for n, r in self.numbers.items() if r == answer.request_id
        )
        ids = [result["id"] for result in answer.results]
        assert len(ids) == len(set(ids))
        expected_ids = {
            f"v{version}-q{number}-s{shard}"
            for (query, shard, v) in self.answered
            if query == number and v == version
        }
        assert set(ids) == expected_ids
        missing = {row.shard for row in answer.coverage.missing}
        assert answer.coverage.shards_answered == len(ids)
        assert answer.coverage.shards_total == len(ids) + len(missing)

    def close(self, sub, ran):
        effect = self.open.pop(sub)
        self.closed.append(effect)
        if ran:
            request_id = self.numbers[sub.query]
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            if not self.requests[request_id].idempotent:
                assert self.runs[request_id] == 1

    def is_in_flight(self, sub):
        """Return whether the coordinator still has this attempt in flight."""
        query = self.coordinator.state.queries.get(sub.query)
        shard = query.shards.get(sub.shard) if query else None
        return shard is not None and sub.attempt in shard.in_flight

    def report(self, effect, state="warm"):
        return LeafReport(effect.leaf, ReportedState(state), 1)

    @stateful.rule(
        idempotent=st.booleans(),
        tail_first=st.booleans(),
        deadline_ms=st.floats(5.0, 100.0),
        held=st.booleans(),
    )
    def arrive(self, idempotent, tail_first, deadline_ms, held):
        request_id = f"r{len(self.requests)}"
        request = CallerRequest(
            request_id=request_id,
            caller="c",
            route="studio",
            body=b"",
            deadline_ms=deadline_ms,
            idempotent=idempotent,
            idempotency_key=None if idempotent else request_id,
        )
        self.requests[request_id] = request
        self.numbers[self.coordinator.state.next_query] = request_id
        mode = CoverageMode.COVERAGE_FIRST
        if tail_first:
            mode = CoverageMode.TAIL_FIRST
        policy = ServicePolicy(coverage_mode=mode, soft_deadline_ms=20.0)
        number = self.coordinator.state.next_query
        if held:
            self.canary_checks[number] = CanaryCheck()
        self.feed(
            messages.QueryArrived(
                request,
                fixtures.SERVICE,
                policy,
                fingerprint=number,
                held=held,
            )
        )

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(data=st.data(), stale=st.booleans())
    def answer(self, data, stale):
        sub = data.draw(st.sampled_from(sorted(self.open, key=repr)))
        effect = self.open[sub]
        version = effect.index_version - (1 if stale else 0)
        if self.is_in_flight(sub) and not stale:
            self.answered.add((sub.query, sub.shard, version))
        self.close(sub, ran=True)
        self.feed(
            messages.SubAnswered(
                sub, self.report(effect), version, [document(sub, version)]
            )
        )

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(data=st.data(), reason=st.sampled_from(NOT_RUN_REASONS))
    def not_run(self, data, reason):
        sub = data.draw(st.sampled_from(sorted(self.open, key=repr)))
        effect = self.open[sub]
        self.close(sub, ran=False)
        state = reason if reason in ("cold", "draining") else "warm"
        self.feed(messages.SubNotRun(sub, self.report(effect, state), reason))

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(data=st.data(), lost=st.booleans(), retry=st.booleans())
    def fail(self, data, lost, retry):
        sub = data.draw(st.sampled_from(sorted(self.open, key=repr)))
        effect = self.open[sub]
        self.close(sub, ran=True)
        if lost:
            self.lose(effect, retry)
        else:
            self.feed(messages.SubFailed(sub, self.report(effect)))

    def lose(self, effect, may_retry):
        number = effect.sub.query
        idempotent = self.requests[self.numbers[number]].idempotent
        newly_held = (
            idempotent and not may_retry and number not in self.canary_checks
        )
        if newly_held and self.is_in_flight(effect.sub):
            self.canary_checks[number] = CanaryCheck()
        self.feed(messages.SubLost(effect.sub, effect.leaf, may_retry))

    @stateful.precondition(lambda self: self.pending_admissions)
    @stateful.rule(data=st.data(), hedged=st.booleans())
    def choose_canary(self, data, hedged):
        number = data.draw(st.sampled_from(sorted(self.pending_admissions)))
        upstreams = data.draw(
            st.permutations(self.pending_admissions.pop(number))
        )
        allowed = upstreams[: 2 if hedged else 1]
        self.canary_checks[number].allowed = list(allowed)
        self.feed(messages.CanaryChosen(number, *allowed))

    @stateful.rule(slots=st.integers(0, 2))
    def change_grant(self, slots):
        grant = Grant(slots, 2 * slots, min(slots, 1))
        table = self.coordinator.state.leafs
        table.set_grant(self.now_ms, fixtures.SERVICE, grant)
        self.feed(messages.CapacityChanged())

    @stateful.precondition(lambda self: self.pending_admissions)
    @stateful.rule(data=st.data())
    def release(self, data):
        number = data.draw(st.sampled_from(sorted(self.pending_admissions)))
        del self.pending_admissions[number]
        del self.canary_checks[number]
        self.feed(messages.HeldReleased(number))

    @stateful.precondition(lambda self: self.pending_admissions)
    @stateful.rule(data=st.data())
    def abort(self, data):
        number = data.draw(st.sampled_from(sorted(self.pending_admissions)))
        del self.pending_admissions[number]
        code = ResultCode.QUARANTINED
        self.feed(messages.RequestAborted(number, code, 1_000))
        assert isinstance(self.outcomes[self.numbers[number]], Refusal)

    @stateful.rule(out=st.sets(st.sampled_from(UPSTREAMS)))
    def take_out(self, out):
        self.coordinator.state.leafs.set_taken_out(frozenset(), frozenset(out))
        self.feed(messages.CapacityChanged())

    @stateful.precondition(lambda self: self.closed)
    @stateful.rule(data=st.data())
    def duplicate_answer(self, data):
        effect = data.draw(st.sampled_from(self.closed))
        version = effect.index_version
        self.feed(
            messages.SubAnswered(
                effect.sub,
                self.report(effect),
                version,
                [document(effect.sub, version)],
            )
        )

    @stateful.rule(interval_ms=st.floats(0.1, 40.0))
    def time_passes(self, interval_ms):
        self.now_ms += interval_ms
        self.feed(messages.TimerFired())

    @stateful.rule(keep_old=st.booleans())
    def publish(self, keep_old):
        self.versions.append(self.versions[-1] + 1)
        kept = self.versions[-2:] if keep_old else self.versions[-1:]
        topology = fixtures.topology(
            SHARDS,
            versions=tuple(kept),
            generation=len(self.versions),
            slots=2,
        )
        self.coordinator.state.leafs.set_topology(self.now_ms, topology)
        self.feed(messages.CapacityChanged())

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(data=st.data())
    def caller_gone(self, data):
        request_id = data.draw(st.sampled_from(sorted(self.requests)))
        self.feed(messages.CallerGone(request_id))

    @stateful.invariant()
    def slots_in_use_are_within_the_grant(self):
        for state in self.coordinator.state.leafs.leafs.values():
            assert 0 <= state.in_flight <= 2

    @stateful.invariant()
    def every_query_has_a_scheduled_wakeup(self):
        for query in self.coordinator.state.queries.values():
            wakes = [key for _, _, _, key in self.coordinator.state.wakeups]
            assert query.number in wakes

    @stateful.invariant()
    def every_held_query_waits_for_an_admission_wakeup_or_canary(self):
        for number, query in self.coordinator.state.queries.items():
            assert query.held == (number in self.canary_checks)
            if not query.held or number in self.pending_admissions:
                continue
            shard = query.shards.get(query.canary_shard)
            if shard is None or shard.waiting:
                wakes = self.coordinator.state.wakeups
                assert any(
                    kind is WakeKind.CANARY_RECHECK and key == number
                    for _, _, kind, key in wakes
                )
            else:
                assert shard.in_flight

    def teardown(self):
        self.now_ms += 1_000.0
        self.feed(messages.TimerFired())
        assert not self.coordinator.state.queries
        for sub in list(self.open):
            effect = self.open.pop(sub)
            self.feed(messages.SubLost(sub, effect.leaf))
        for state in self.coordinator.state.leafs.leafs.values():
            assert state.in_flight == 0


CoordinatorMachine.TestCase.settings = hypothesis.settings(
    max_examples=400,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    report_multiple_bugs=False,
)


class CoordinatorPropertiesTest(unittest.TestCase):
    def test_answers_match_responses_and_come_from_one_index_version(self):
        stateful.run_state_machine_as_test(
            CoordinatorMachine, settings=CoordinatorMachine.TestCase.settings
        )
