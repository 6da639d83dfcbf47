"""Tests that random histories of the whole fleet break no rule."""

import pathlib
import unittest

import attrs
import hypothesis

from tests.fleet_model import history as model
from tests.fleet_model import judge
from tests.fleet_model import player
from tests.fleet_model.record import Acknowledged
from tests.fleet_model.record import Attempt
from tests.fleet_model.record import Record
from tests.fleet_model.record import Run
from tests.fleet_model.record import Span

HISTORIES = 20
KEPT = pathlib.Path(__file__).parent / "kept"


class RandomHistoriesTest(unittest.TestCase):
    @hypothesis.seed(1)
    @hypothesis.settings(
        max_examples=HISTORIES,
        deadline=None,
        database=None,
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(model.histories())
    def test_no_history_breaks_a_rule(self, history):
        self.assertEqual(player.play(history), [], str(history))


class KeptHistoriesTest(unittest.TestCase):
    def check(self, name):
        violations = player.play(model.read(KEPT / f"{name}.txt"))
        self.assertEqual(violations, [])

    def test_a_vm_alone_without_the_store_spares_cold_leafs(self):
        self.check("alone-without-the-store")

    def test_a_new_vm_spares_cold_leafs_after_the_store_was_restored(self):
        self.check("new-vm-after-restore")

    def test_leafs_readmitted_while_the_store_is_restored_are_spared(self):
        self.check("readmitted-while-restored")

    def test_leafs_that_come_back_cold_after_lost_history_are_spared(self):
        self.check("back-after-lost-history")

    def test_no_old_route_is_served_though_store_connections_are_silent(self):
        self.check("silent-store-connections")


class JudgeTest(unittest.TestCase):
    """Each rule is seen when it is broken, and not where it is excused."""

    def setUp(self):
        self.record = Record()

    def run_at(self, at_s, *, vm="vm0", leaf="a", service="s0", route="one"):
        name = f"a{len(self.record.attempts)}"
        self.record.attempts[name] = Attempt(route, at_s, vm, 200)
        self.record.runs.append(Run(at_s, name, leaf, service, "dc-a", vm))

    def check(self, rule, expected):
        violations = judge.judge(self.record, calm_from_s=1e9)
        self.assertEqual([v.split()[0] for v in violations], [rule] * expected)

    def test_an_old_version_is_seen_after_its_bound(self):
        self.record.versions = [
            Acknowledged(0.0, 1e9, "s0"),
            Acknowledged(10.0, 1e9, "s1"),
        ]
        self.run_at(13.9)
        self.check("CONFIG", 0)
        self.run_at(14.1)
        self.check("CONFIG", 1)
        self.record.vm_trouble["vm0"].append(Span(8.0, 9.2))
        self.check("CONFIG", 0)

    def test_a_vm_that_goes_back_is_seen(self):
        self.record.versions = [
            Acknowledged(0.0, 1e9, "s0"),
            Acknowledged(10.0, 1e9, "s1"),
        ]
        self.run_at(11.0, service="s1")
        self.run_at(11.2)
        self.check("CONFIG", 0)
        self.run_at(11.3)
        self.check("CONFIG", 1)

    def test_a_request_to_an_evacuated_data_centre_is_seen(self):
        self.record.evacuations = [Acknowledged(10.0, 20.0, "dc-a")]
        self.run_at(14.9)
        self.run_at(20.1)
        self.check("EVAC", 0)
        self.run_at(15.1)
        self.check("EVAC", 1)

    def test_a_request_to_a_leaf_that_leaves_is_seen(self):
        self.record.drained = [Acknowledged(10.0, 1e9, "a")]
        self.run_at(13.9)
        self.check("DRAIN", 0)
        self.run_at(14.1)
        self.check("DRAIN", 1)
        self.record.store_trouble = [Span(4.0, 6.0)]
        self.check("DRAIN", 0)

    def test_too_many_requests_to_a_cold_leaf_are_seen(self):
        self.record.cold["a"].append(Span(10.0, 13.0))
        for number in range(judge.COLD_SLACK):
            self.run_at(11.0 + 0.1 * number)
        self.check("FAILBACK", 0)
        self.run_at(11.9)
        self.check("FAILBACK", 1)

    def test_requests_in_a_quiet_time_are_seen(self):
        self.record.quiet["a", "vm0"].append(Span(10.0, 20.0))
        for at_s in (10.4, 11.0, 12.0):
            self.run_at(at_s)
        self.check("BUDGET", 0)
        self.run_at(13.0)
        self.check("BUDGET", 1)
        self.record.restarts["a"].append(15.0)
        self.check("BUDGET", 0)

    def test_rejected_requests_in_a_quiet_time_are_seen(self):
        self.record.quiet["a", "vm0"].append(Span(10.0, 20.0))
        for at_s in (11.0, 12.0, 13.0):
            self.run_at(at_s)
        self.record.rejected = self.record.runs[:]
        self.record.runs.clear()
        self.check("BUDGET", 1)
        self.record.vm_cuts["vm0"].append(Span(15.0, 16.0))
        self.check("BUDGET", 0)

    def test_requests_on_too_many_leafs_are_seen(self):
        for number in range(4):
            at_s = 30.0 * number
            self.run_at(at_s)
            for leaf in ("b", "c"):
                run = attrs.evolve(self.record.runs[-1], leaf=leaf)
                self.record.runs.append(attrs.evolve(run, left_ms=1_000.0))
        for attempt in self.record.attempts.values():
            attempt.attempts = 2
        self.check("BUDGET", 1)

    def test_a_request_that_runs_twice_or_is_called_unrun_is_seen(self):
        self.run_at(10.0, route="once")
        self.check("TWICE", 0)
        self.record.runs.append(self.record.runs[0])
        self.check("TWICE", 1)
        self.record.runs.pop()
        self.record.attempts["a0"].status = 503
        self.check("REFUSED", 1)
