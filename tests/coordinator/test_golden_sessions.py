"""Compares every event and effect of whole sessions with golden files.

Set ORIOLEGATE_UPDATE_GOLDEN=1 to rewrite the files after an intended change,
so that the difference appears in review.
"""

import os
import pathlib
import unittest

from oriolegate.coordinator import messages
from oriolegate.coordinator.messages import LeafReport
from oriolegate.coordinator.messages import SubRequestId
from oriolegate.models.policy import CoverageMode
from oriolegate.models.policy import ServicePolicy
from oriolegate.models.request import CallerRequest
from oriolegate.result_codes import ResultCode
from oriolegate.upstreams.leaf_state import Grant
from oriolegate.upstreams.leaf_state import ReportedState
from tests.coordinator import fixtures

GOLDEN = pathlib.Path(__file__).parent / "golden"


class Session:
    """Feeds a coordinator and records its events and effects."""

    def __init__(self, coordinator):
        self.coordinator = coordinator
        self.now_ms = 0.0
        self.lines = []

    def feed(self, event):
        self.lines.append(f"{self.now_ms:8.1f} < {event}")
        for effect in self.coordinator.step(self.now_ms, event):
            self.lines.append(f"{self.now_ms:8.1f} > {effect}")

    def at(self, now_ms):
        self.now_ms = now_ms

    def arrive(self, policy=None, held=False, **fields):
        fields = {"request_id": "r1", "caller": "presenter-3"} | fields
        request = CallerRequest(route="studio", body=b"rain", **fields)
        self.feed(
            messages.QueryArrived(
                request,
                fixtures.SERVICE,
                policy or ServicePolicy(),
                fingerprint=9,
                held=held,
            )
        )

    def answer(self, shard, attempt=0, replica=0, version=7, query=1):
        documents = [
            {"id": f"v{version}-s{shard}-d{n}", "score": 1.0 / (n + 1)}
            for n in range(2)
        ]
        self.feed(
            messages.SubAnswered(
                SubRequestId(query, shard, attempt),
                report(shard, replica),
                version,
                documents,
            )
        )

    def not_run(self, reason, shard, attempt=0, replica=0, state="warm"):
        self.feed(
            messages.SubNotRun(
                SubRequestId(1, shard, attempt),
                report(shard, replica, state),
                reason,
            )
        )

    def lose(self, shard, attempt=0, replica=0, may_retry=True, query=1):
        self.feed(
            messages.SubLost(
                SubRequestId(query, shard, attempt),
                fixtures.leaf_name(shard, replica),
                may_retry,
            )
        )


def report(shard, replica, state="warm"):
    return LeafReport(
        fixtures.leaf_name(shard, replica), ReportedState(state), 1
    )


class GoldenSessionsTest(unittest.TestCase):
    def setUp(self):
        self.session = Session(fixtures.coordinator(fixtures.topology(3)))

    def check(self, name):
        path = GOLDEN / f"{name}.txt"
        text = "\n".join(self.session.lines) + "\n"
        if os.environ.get("ORIOLEGATE_UPDATE_GOLDEN") == "1":
            path.write_text(text)
        self.assertEqual(path.read_text(), text)

    def test_query_answered_by_all_shards(self):
        self.session.arrive()
        for shard in (2, 0, 1):
            self.session.at(shard + 1.0)
            self.session.answer(shard)
        self.check("plain-answer")

    def test_straggler_is_hedged_and_cancelled(self):
        service = self.session.coordinator.state.service(
            fixtures.SERVICE, ServicePolicy()
        )
        for _ in range(100):
            service.latency.record(4.0)
        self.session.arrive()
        self.session.at(2.0)
        self.session.answer(0)
        self.session.answer(1)
        self.session.at(5.0)
        self.session.feed(messages.TimerFired())
        self.session.at(9.0)
        self.session.answer(2, attempt=1, replica=1)
        self.session.at(60.0)
        self.session.answer(2)
        self.check("straggler")

    def test_shard_lost_twice_is_missing_from_the_answer(self):
        policy = ServicePolicy(
            soft_deadline_ms=50.0, coverage_mode=CoverageMode.TAIL_FIRST
        )
        self.session.arrive(policy)
        self.session.at(3.0)
        self.session.answer(0)
        self.session.lose(1)
        self.session.lose(1, attempt=1, replica=1)
        self.session.at(50.0)
        self.session.feed(messages.TimerFired())
        self.check("missing-shard")

    def test_stale_version_restarts_query_on_newer_version(self):
        self.session.arrive()
        self.session.at(2.0)
        self.session.answer(0)
        newer = fixtures.topology(3, versions=(8,), generation=2)
        self.session.coordinator.state.leafs.set_topology(2.5, newer)
        self.session.at(3.0)
        self.session.not_run("no-version", 1)
        self.session.answer(2)
        for shard in range(3):
            self.session.at(5.0 + shard)
            self.session.answer(shard, attempt=1, version=8)
        self.check("repinned-snapshot")

    def test_query_without_capacity_is_refused_as_not_run(self):
        table = self.session.coordinator.state.leafs
        table.set_grant(0.0, fixtures.SERVICE, Grant(0, 0, 0))
        self.session.arrive(deadline_ms=20.0)
        self.session.at(20.0)
        self.session.feed(messages.TimerFired())
        self.check("refusal-not-run")

    def test_lost_submit_is_refused_as_may_have_run(self):
        self.session.arrive(
            idempotent=False, idempotency_key="k1", shard_key="gantry-7"
        )
        shard = next(iter(self.session.coordinator.state.queries[1].shards))
        self.session.at(4.0)
        self.session.lose(shard)
        self.check("may-have-run")

    def test_submit_is_sent_again_after_not_run(self):
        self.session.arrive(
            idempotent=False, idempotency_key="k1", shard_key="gantry-7"
        )
        shard = next(iter(self.session.coordinator.state.queries[1].shards))
        self.session.at(4.0)
        self.session.not_run("shed", shard)
        self.session.at(8.0)
        self.session.answer(shard, attempt=1, replica=1)
        self.check("submit-after-not-run")

    def test_late_duplicate_and_foreign_answers_are_dropped(self):
        self.session.arrive()
        self.session.answer(0)
        self.session.answer(0)
        self.session.answer(1, query=99)
        self.session.answer(1)
        self.session.answer(2)
        self.session.answer(2)
        self.check("late-and-foreign")

    def test_caller_gone_cancels_attempts_in_flight(self):
        self.session.arrive()
        self.session.answer(0)
        self.session.at(2.0)
        self.session.feed(messages.CallerGone("r1"))
        self.session.at(3.0)
        self.session.answer(1)
        self.check("cancel-by-caller")

    def test_waiting_sub_request_gets_the_first_free_slot(self):
        self.session = Session(
            fixtures.coordinator(
                fixtures.topology(1, replicas=1), Grant(1, 2, 1)
            )
        )
        self.session.arrive(request_id="r1")
        self.session.arrive(request_id="r2")
        self.session.at(5.0)
        self.session.answer(0, query=1)
        self.session.at(9.0)
        self.session.answer(0, query=2)
        self.check("waiting")

    def choose_canary(self, replica, hedge=None, query=1):
        names = [f"studio-desk-{replica}"]
        if hedge is not None:
            names.append(f"studio-desk-{hedge}")
        self.session.feed(messages.CanaryChosen(query, *names))

    def abort(self, query):
        self.session.feed(
            messages.RequestAborted(query, ResultCode.QUARANTINED, 1_800_000)
        )

    def test_answered_canary_is_followed_by_all_shards(self):
        self.session.arrive(held=True)
        self.choose_canary(1, hedge=0)
        self.session.at(4.0)
        self.session.answer(0, replica=1)
        self.session.feed(messages.HeldReleased(1))
        self.session.at(8.0)
        self.session.answer(1)
        self.session.answer(2)
        self.check("canary-then-fan-out")

    def test_request_whose_canaries_crash_is_refused_at_resend(self):
        self.session.arrive(held=True)
        self.choose_canary(1)
        self.session.at(4.0)
        self.session.lose(0, replica=1, may_retry=False)
        self.session.at(104.0)
        self.choose_canary(0)
        self.session.at(108.0)
        self.session.lose(0, attempt=1, may_retry=False)
        self.abort(1)
        self.session.at(120.0)
        self.session.arrive(held=True, request_id="r2")
        self.abort(2)
        self.check("canary-crash")

    def test_upstreams_that_cannot_take_the_canary_are_skipped(self):
        table = self.session.coordinator.state.leafs
        table.set_taken_out(frozenset(), frozenset(["studio-desk-1"]))
        table.set_grant(0.0, fixtures.SERVICE, Grant(0, 0, 0))
        self.session.arrive(held=True)
        self.choose_canary(1)
        self.choose_canary(0)
        table.set_grant(0.0, fixtures.SERVICE, Grant(4, 8, 1))
        self.session.at(50.0)
        self.session.feed(messages.TimerFired())
        self.choose_canary(1)
        self.choose_canary(0)
        self.session.at(54.0)
        self.session.answer(0)
        self.check("canary-passed-over")

    def test_held_query_without_usable_upstream_is_refused_at_once(self):
        table = self.session.coordinator.state.leafs
        table.set_taken_out(
            frozenset(), frozenset(["studio-desk-0", "studio-desk-1"])
        )
        self.session.arrive(held=True)
        self.choose_canary(1)
        self.choose_canary(0)
        self.check("canary-without-upstream")

    def test_hedge_of_canary_is_sent_to_second_upstream_only(self):
        service = self.session.coordinator.state.service(
            fixtures.SERVICE, ServicePolicy()
        )
        for _ in range(100):
            service.latency.record(4.0)
        self.session.arrive(held=True)
        self.choose_canary(1, hedge=0)
        self.session.at(5.0)
        self.session.feed(messages.TimerFired())
        self.session.at(6.0)
        self.session.answer(0, attempt=1, replica=0)
        self.session.feed(messages.CallerGone("r1"))
        self.check("canary-hedge")
