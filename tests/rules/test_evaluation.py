"""Test what the rules decide for a request."""

import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from oriolegate.models.policy import Priority
from oriolegate.models.request import CallerRequest
from oriolegate.rules import evaluation
from oriolegate.rules.evaluation import compile_rules
from oriolegate.rules.matching import CallerPattern
from oriolegate.rules.model import Asker
from oriolegate.rules.model import PriorityRule
from oriolegate.rules.model import RuleSet
from oriolegate.rules.parser import parse_rule_set
from oriolegate.rules.priorities import index_priorities
from tests.rules import strategies

PATTERNS = st.text("ab-*", min_size=1, max_size=4)
END_MS = 1_798_070_400_000  # 2026-12-24T00:00Z
TEXT = """\
route forecast to desk # asked-by: M
service desk deadline 800ms soft 250ms coverage tail-first # asked-by: M
priority caller "studio-*" bulk # asked-by: M
priority caller "studio-1*" urgent # asked-by: M
take-out upstream desk-9 # asked-by: M
take-out data-centre mombasa-a until 2026-12-24T00:00Z # asked-by: M
trial eight send 20% of caller "studio-*" on service desk to index 8 \
until 2026-12-24T00:00Z # asked-by: M
trial gone send 100% of caller "*" on service desk to upstream desk-9 \
# asked-by: M
mirror shadow 50% of caller "copy" on service desk to policy hedge off \
# asked-by: M
"""


def active(text=TEXT, wall_ms=0):
    return compile_rules(parse_rule_set(7, text).ok, wall_ms)


def request(caller="x", number=0, **fields):
    return CallerRequest(f"r{number}", caller, "forecast", b"", **fields)


class EvaluationTest(unittest.TestCase):
    def test_unknown_route_has_no_decision(self):
        unknown = CallerRequest("r", "x", "weather", b"")
        self.assertIsNone(active().decide(unknown, 0))
        self.assertIsNone(active().explain(unknown, 0))

    def test_policy_follows_the_service_rules(self):
        decision = active().decide(request(), 0)
        self.assertEqual(decision.service, "desk")
        self.assertEqual(decision.policy.deadline_ms, 800.0)
        self.assertEqual(decision.policy.soft_deadline_ms, 250.0)

    def test_a_short_deadline_shortens_the_soft_one(self):
        text = (
            "route forecast to desk # asked-by: M\n"
            "service desk deadline 90ms # asked-by: M"
        )
        policy = active(text).decide(request(), 0).policy
        self.assertEqual(policy.soft_deadline_ms, 90.0)

    def test_the_most_precise_pattern_sets_the_priority(self):
        rules = active()
        for caller, priority in (
            ("studio-12", Priority.URGENT),
            ("studio-2", Priority.BULK),
            ("other", Priority.NORMAL),
        ):
            decided = rules.decide(request(caller), 0).priority
            self.assertIs(decided, priority)

    def test_a_trial_selects_a_share_of_callers_and_keeps_them(self):
        rules = active()
        callers = [f"studio-{number}" for number in range(5_000)]
        chosen = {
            caller
            for caller in callers
            if rules.decide(request(caller), 0).index_version == 8
        }
        self.assertAlmostEqual(len(chosen) / 5_000, 0.2, delta=0.02)
        wider = active(TEXT.replace("send 20%", "send 40%"))
        for caller in chosen:
            again = wider.decide(request(caller, number=5), 0)
            self.assertEqual((again.trial, again.index_version), ("eight", 8))
        control = rules.decide(request(min(set(callers) - chosen)), 0)
        self.assertEqual(
            (control.trial, control.trial_control), (None, "eight")
        )

    def test_rules_end_at_their_end_time_without_an_edit(self):
        rules = active(wall_ms=END_MS - 1)
        self.assertEqual(rules.out_data_centres, {"mombasa-a"})
        self.assertFalse(rules.refresh(END_MS - 1))
        self.assertTrue(rules.refresh(END_MS))
        self.assertEqual(rules.out_data_centres, frozenset())
        decisions = [
            rules.decide(request(f"studio-{n}"), END_MS) for n in range(50)
        ]
        self.assertEqual({d.trial for d in decisions}, {None})

    def test_a_trial_never_prefers_an_upstream_taken_out(self):
        decision = active().decide(request("zzz"), 0)
        self.assertIsNone(decision.preferred_upstream)
        self.assertIsNone(decision.trial)

    def test_a_mirror_copies_its_share_of_idempotent_requests_only(self):
        rules = active()
        plain = rules.decide(request("x"), 0)
        copies = 0
        for number in range(2_000):
            decision = rules.decide(request("copy", number), 0)
            self.assertEqual(decision.policy, plain.policy)
            copies += decision.mirror is not None
            charge = request("copy", number, idempotent=False)
            self.assertIsNone(rules.decide(charge, 0).mirror)
        self.assertAlmostEqual(copies / 2_000, 0.5, delta=0.05)

    def test_explain_lists_each_rule_that_applies(self):
        matched_rules = active().explain(request("studio-1"), 0).matched_rules
        kinds = [type(matched.rule).__name__ for matched in matched_rules]
        self.assertEqual(
            kinds,
            ["RouteRule", "ServiceRule", "PriorityRule", "TrialRule"]
            + ["TakeOutRule"] * 2,
        )

    def test_cached_plans_are_bounded(self):
        rules = active()
        for number in range(evaluation.MAX_CACHED_CALLERS + 10):
            rules.decide(request(f"c{number}"), 0)
        self.assertLessEqual(len(rules.plans), evaluation.MAX_CACHED_CALLERS)

    def test_plans_of_callers_with_long_names_are_not_cached(self):
        rules = active()
        name = "studio-1" + "x" * evaluation.MAX_CACHED_NAME_LENGTH
        decision = rules.decide(request(name), 0)
        self.assertIs(decision.priority, Priority.URGENT)
        self.assertEqual(rules.plans, {})

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(strategies.DOCUMENTS)
    def test_the_order_of_rules_decides_nothing(self, document):
        shuffled = list(document.rules)
        random.Random(1).shuffle(shuffled)
        ordered = compile_rules(RuleSet(1, document.rules, ""), 10**12)
        other = compile_rules(RuleSet(1, tuple(shuffled), ""), 10**12)
        for route in ordered.compiled.routes:
            for caller in ("a", "ab-", "b a"):
                asked = CallerRequest("r", caller, route, b"")
                self.assertEqual(
                    ordered.decide(asked, 10**12), other.decide(asked, 10**12)
                )


class PriorityIndexTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.sets(PATTERNS, max_size=12), st.text("ab-", max_size=6))
    def test_finds_the_most_precise_rule_that_matches(self, patterns, caller):
        rules = [
            PriorityRule(pattern=text, priority=Priority.BULK, asker=Asker("M"))
            for text in patterns
        ]
        matching = [
            (-len(text.replace("*", "")), text)
            for text in patterns
            if CallerPattern(text).matches(caller)
        ]
        found = index_priorities(rules).find(caller)
        wanted = min(matching)[1] if matching else None
        self.assertEqual(found and found.pattern, wanted)


class CallerPatternTest(unittest.TestCase):
    def test_a_star_matches_any_number_of_characters(self):
        for pattern, caller, expected in (
            ("a*", "abc", True),
            ("*", "", True),
            ("a", "ab", False),
            ("a*b*c", "aXbYc", True),
            ("ab*ba", "aba", False),
            ("a*aa*a", "aaa", False),
            ("*x*", "axb", True),
        ):
            matched = CallerPattern(pattern).matches(caller)
            self.assertIs(matched, expected, (pattern, caller))
