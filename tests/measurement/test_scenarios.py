"""Scenarios in virtual time: determinism, fields and counted violations."""

import json
import unittest

import attrs

from oriolegate.measurement import report
from oriolegate.measurement import scenario
from oriolegate.measurement import scenario_sides
from oriolegate.measurement.fault_scenarios import FAULT_PLANS
from oriolegate.measurement.open_loop import Load
from oriolegate.measurement.scenario import ScenarioPlan
from oriolegate.standins.layout import measurement_layout

FIGURES = {
    "queries",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "coverage",
    "extra_load",
    "goodput_per_s",
    "new_work_after_s",
    "violations",
}
VIOLATIONS = {
    "cold_over_limit",
    "connections_over_limit",
    "cut",
    "doubled",
    "lost",
    "false_not_run",
    "mixed_snapshots",
    "untrue_coverage",
}
SECONDS = 0.8
SEED = 3


def small_plan(faults=lambda scheduler: None, baseline_grants=None):
    layout = measurement_layout(6, replicas=2, connection_ms=1.0)
    grants = baseline_grants or scenario_sides.even_split
    return ScenarioPlan(
        name="small",
        layout=layout,
        load=Load(80.0),
        policy=scenario_sides.policy_side(layout),
        baseline=scenario_sides.baseline_side(layout, grants),
        vm_data_centres=("dc-0",),
        faults=faults,
    )


def run_policy(plan, seed=SEED):
    return scenario.run_side(plan, plan.policy, SECONDS, seed)


class ScenarioTest(unittest.TestCase):
    def test_the_same_seed_gives_the_same_figures(self):
        plan = FAULT_PLANS["paused-vm"]
        once = run_policy(plan)
        self.assertEqual(once, run_policy(plan))
        self.assertNotEqual(once, run_policy(plan, SEED + 1))

    def test_figures_in_json_have_exactly_the_documented_fields(self):
        result = scenario.run_plan(small_plan(), SECONDS, SEED)
        text = json.dumps(report.to_plain(SEED, [result]))
        value = json.loads(text)
        self.assertEqual(value["seed"], SEED)
        (row,) = value["scenarios"]
        self.assertEqual(set(row), {"name", "policy", "baseline"})
        for side in ("policy", "baseline"):
            self.assertEqual(set(row[side]), FIGURES)
            self.assertEqual(set(row[side]["violations"]), VIOLATIONS)
            self.assertGreater(row[side]["queries"], 0)
            self.assertIsNone(row[side]["new_work_after_s"])

    def test_a_steady_run_has_full_coverage_and_no_violations(self):
        figures = run_policy(small_plan()).figures
        self.assertEqual(figures["coverage"], 1.0)
        self.assertEqual(sum(figures["violations"].values()), 0)

    def test_cold_leafs_exceed_their_limit_only_without_warm_up(self):
        plan = small_plan(
            lambda scheduler: scheduler.act_on_leafs_at(
                0.1, "turn-cold", data_centre="dc-0"
            ),
            scenario_sides.without_warm_up,
        )
        plan = attrs.evolve(plan, load=Load(400.0))
        baseline = scenario.run_side(plan, plan.baseline, SECONDS, SEED)
        self.assertGreater(baseline.figures["violations"]["cold_over_limit"], 0)
        policy = run_policy(plan)
        self.assertEqual(policy.figures["violations"]["cold_over_limit"], 0)

    def test_connections_over_the_limit_of_a_leaf_are_counted(self):
        def too_many(vm, vms, leaf):
            return attrs.evolve(
                scenario_sides.without_slots(vm, vms, leaf),
                slots=leaf.connections + 40,
                connections=leaf.connections + 40,
            )

        plan = attrs.evolve(small_plan(), load=Load(3_000.0))
        plan = attrs.evolve(
            plan, policy=attrs.evolve(plan.policy, grants=too_many)
        )
        figures = scenario.run_side(plan, plan.policy, 0.1, SEED).figures
        self.assertGreater(figures["violations"]["connections_over_limit"], 0)

    def test_a_request_without_an_outcome_is_counted_as_cut(self):
        def kill(scheduler):
            timers = scheduler.site.vms[0].timers
            scheduler.call_at(0.9, lambda: setattr(timers, "dead", True))

        plan = attrs.evolve(small_plan(kill), load=Load(300.0))
        plan = attrs.evolve(plan, vm_data_centres=("dc-0", "dc-0"))
        self.assertGreater(run_policy(plan).figures["violations"]["cut"], 0)

    def test_keys_run_twice_only_without_claims(self):
        plan = FAULT_PLANS["resend"]
        baseline = scenario.run_side(plan, plan.baseline, SECONDS, SEED)
        self.assertGreater(baseline.figures["violations"]["doubled"], 0)
        policy = run_policy(plan)
        self.assertEqual(policy.figures["violations"]["doubled"], 0)

    def test_time_until_the_last_new_work_after_a_take_out_is_measured(self):
        figures = run_policy(FAULT_PLANS["data-centre-out-and-back"]).figures
        self.assertIsNotNone(figures["new_work_after_s"])
        self.assertLessEqual(figures["new_work_after_s"], 5.0)
