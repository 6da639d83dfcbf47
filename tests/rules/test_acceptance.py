"""Test accepting edits while calls are lost or delayed and edits race."""

import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from oriolegate.rules import acceptance_messages as messages
from oriolegate.rules.acceptance_phases import AcceptanceLimits
from oriolegate.rules.stored_rules import ACCEPTED
from oriolegate.rules.stored_rules import history_path
from oriolegate.rules.stored_rules import history_paths
from tests.rules.fake_store import FakeStore
from tests.rules.fake_store import Operator

KEYS = "ab"


def text_of(routes):
    return "".join(
        f"route {key} to {routes[key]}  # asked-by: M\n"
        for key in sorted(routes)
    )


def routes_of(text):
    return {line.split()[1]: line.split()[3] for line in text.splitlines()}


def edit(edit_id, base, routes, **fields):
    return messages.RulesEdit(edit_id, base, text_of(routes), **fields)


class AcceptanceTest(unittest.TestCase):
    def setUp(self):
        self.store = FakeStore()
        self.accept("first", 0, {"a": "x", "b": "x"})

    def accept(self, edit_id, base, routes, **fields):
        operator = Operator(edit(edit_id, base, routes, **fields), self.store)
        operator.run()
        return operator.reports[-1]

    def begin(self, routes, deliveries):
        operator = Operator(edit("mine", 1, routes), self.store)
        for _ in range(deliveries):
            operator.deliver()
        return operator

    def current(self):
        return routes_of(self.store.objects[ACCEPTED][1]["text"])

    def test_edits_of_different_rules_merge(self):
        self.accept("other", 1, {"a": "y", "b": "x"})
        result = self.accept("mine", 1, {"a": "x", "b": "x", "c": "z"})
        self.assertIsInstance(result, messages.Merged)
        self.assertEqual(result.version, 3)
        self.assertEqual([str(c.key) for c in result.others], ["route a"])
        self.assertEqual(self.current(), {"a": "y", "b": "x", "c": "z"})

    def test_a_conflicting_edit_is_refused_with_all_sides(self):
        self.accept("other", 1, {"a": "y", "b": "x"})
        result = self.accept("mine", 1, {"b": "x"})
        self.assertIsInstance(result, messages.Refused)
        (conflict,) = result.conflicts
        self.assertEqual(conflict.current, ("route a to y  # asked-by: M",))
        self.assertIsNone(conflict.edit)
        self.assertIn("--base 2", result.message)
        self.assertEqual(self.current()["a"], "y")

    def test_the_same_edit_again_changes_nothing(self):
        self.accept("other", 1, {"a": "y", "b": "x"})
        result = self.accept("again", 1, {"a": "y", "b": "x"})
        self.assertEqual(result, messages.Accepted(2, ()))
        self.assertEqual(len(self.store.accepted), 2)

    def test_invalid_text_is_not_sent_to_the_store(self):
        operator = Operator(messages.RulesEdit("e", 1, "rout"), self.store)
        self.assertEqual(operator.calls, [])
        self.assertIsInstance(operator.reports[-1], messages.Invalid)

    def test_a_dry_run_writes_nothing(self):
        before = dict(self.store.objects)
        result = self.accept("mine", 1, {"a": "y"}, dry_run=True)
        self.assertEqual(
            [str(change.key) for change in result.changes],
            ["route a", "route b"],
        )
        self.assertEqual(self.store.objects, before)

    def test_a_lost_answer_is_resolved_by_reading_back(self):
        operator = self.begin({"a": "y"}, deliveries=2)
        operator.lose_answer()
        operator.run()
        self.assertIsInstance(operator.reports[-1], messages.Accepted)
        self.assertEqual(len(self.store.accepted), 2)

    def test_a_lost_answer_is_resolved_after_other_edits(self):
        operator = self.begin({"a": "y", "b": "x"}, deliveries=2)
        operator.lose_answer()
        self.accept("other", 2, {"a": "z", "b": "x"})
        operator.run()
        self.assertEqual([r.version for r in operator.reports], [2])
        self.assertEqual(operator.spread[0].version, 2)
        self.assertEqual(self.current()["a"], "z")

    def test_a_write_that_arrives_late_is_not_repeated(self):
        operator = self.begin({"a": "y"}, deliveries=2)
        late = operator.delay_request()
        operator.advance(200.0)
        operator.deliver()  # `accepted` is read before the write arrives
        self.store.answer(late)
        operator.run()
        self.assertEqual([r.version for r in operator.reports], [2])
        self.assertEqual(len(self.store.accepted), 2)

    def test_an_edit_reported_unavailable_is_never_accepted(self):
        operator = Operator(edit("mine", 1, {"a": "y"}), self.store)
        for _ in range(60):
            if operator.calls:
                operator.lose_request()
            operator.advance(200.0)
        self.assertIsInstance(operator.reports[-1], messages.Unavailable)
        operator.run()
        self.assertEqual(len(self.store.accepted), 1)

    def test_an_unknown_result_is_resolved_later_without_new_writes(self):
        operator = self.begin({"a": "y"}, deliveries=2)
        late = operator.delay_request()
        while not operator.reports:
            if operator.calls:
                operator.lose_request()
            operator.advance(200.0)
        self.assertIsInstance(operator.reports[-1], messages.Unknown)
        for _ in range(20):
            while operator.calls:
                self.assertIsInstance(operator.calls[0], messages.ReadObject)
                operator.deliver()
            operator.advance(40_000.0)
        self.assertFalse(operator.acceptor.finished)
        self.store.answer(late)
        operator.advance(40_000.0)
        operator.run()
        self.assertEqual(operator.reports[-1].version, 2)

    def test_an_edit_of_a_deleted_base_is_refused(self):
        self.accept("other", 1, {"a": "y"})
        del self.store.objects[history_path(1)]
        result = self.accept("mine", 1, {"b": "y"})
        self.assertIn("not kept", result.message)

    def test_history_past_the_limit_is_deleted(self):
        limits = AcceptanceLimits(max_history_versions=2)
        for base in range(1, 5):
            change = edit(f"e{base}", base, {"a": f"v{base}"})
            Operator(change, self.store, limits=limits).run()
        self.assertEqual(
            set(self.store.objects),
            {ACCEPTED, history_path(3), history_path(4)},
        )
        self.assertEqual(
            history_paths(5, 2), (history_path(4), history_path(3))
        )

    def test_the_last_route_is_kept_even_when_two_edits_merge(self):
        self.accept("other", 1, {"a": "x"})
        for edit_id, base in (("merged", 1), ("whole", 2)):
            routes = {"b": "x"} if base == 1 else {}
            result = self.accept(edit_id, base, routes)
            self.assertIsInstance(result, messages.Refused)
            self.assertIn("no route", result.message)
        self.assertEqual(self.current(), {"a": "x"})

    def test_a_base_newer_than_the_accepted_version_is_refused(self):
        result = self.accept("mine", 9, {"b": "y"})
        self.assertIn("newer", result.message)


class RacingOperators(stateful.RuleBasedStateMachine):
    """Operators edit one store at once; `store.accepted` has all versions."""

    def __init__(self):
        super().__init__()
        self.store = FakeStore()
        self.operators = []
        self.late = []

    def waiting(self):
        return [operator for operator in self.operators if operator.calls]

    @stateful.rule(data=st.data(), key=st.sampled_from(KEYS))
    def start(self, data, key):
        newest = len(self.store.accepted)
        base = newest - data.draw(st.sampled_from([0, 0, 0, 1, 2, 3]))
        base = max(base, 0)
        routes = self.routes(base)
        to = data.draw(st.sampled_from(["", "x", "y"]))
        routes.pop(key, None)
        if to:
            routes[key] = to
        change = edit(f"e{len(self.operators)}", base, routes)
        self.operators.append(Operator(change, self.store))

    def act(self, data, name):
        if self.waiting():
            operator = data.draw(st.sampled_from(self.waiting()))
            return getattr(operator, name)()
        return None

    @stateful.rule(data=st.data(), count=st.integers(1, 4))
    def deliver(self, data, count):
        for _ in range(count):
            self.act(data, "deliver")

    @stateful.rule(data=st.data())
    def finish(self, data):
        self.act(data, "run")

    @stateful.rule(
        data=st.data(),
        fault=st.sampled_from(["lose_request", "lose_answer", "delay_request"]),
    )
    def fail_any_call(self, data, fault):
        self.keep_late(self.act(data, fault))

    @stateful.rule(
        data=st.data(),
        fault=st.sampled_from(["lose_request", "lose_answer", "delay_request"]),
    )
    def fail_write(self, data, fault):
        """Run an operator up to its write of `accepted`, which fails."""
        if self.waiting():
            operator = data.draw(st.sampled_from(self.waiting()))
            while operator.calls and not operator.writes_accepted():
                operator.deliver()
            if operator.calls:
                self.keep_late(getattr(operator, fault)())

    def keep_late(self, call):
        if call is not None:
            self.late.append(call)

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(data=st.data())
    def arrive_late(self, data):
        number = data.draw(st.integers(0, len(self.late) - 1))
        self.store.answer(self.late.pop(number))

    @stateful.rule(interval_ms=st.sampled_from([200.0, 1_000.0, 9_000.0]))
    def advance(self, interval_ms):
        for operator in self.operators:
            operator.advance(interval_ms)

    def routes(self, version):
        if version == 0:
            return {}
        return routes_of(self.store.accepted[version - 1]["text"])

    @stateful.invariant()
    def every_version_has_its_text(self):
        for number, value in enumerate(self.store.accepted, start=1):
            self.assert_that(value["version"] == number)
            last = number == len(self.store.accepted)
            path = ACCEPTED if last else history_path(number)
            self.assert_that(self.store.objects[path][1] == value)

    @stateful.invariant()
    def each_version_is_the_last_one_with_one_edit(self):
        for number, value in enumerate(self.store.accepted, start=1):
            change = self.operators[int(value["edit_id"][1:])].edit
            base, before = self.routes(change.base), self.routes(number - 1)
            wanted, after = routes_of(change.text), self.routes(number)
            for key in KEYS:
                sides = [r.get(key) for r in (base, before, wanted, after)]
                old, theirs, ours, result = sides
                if ours == old:
                    self.assert_that(result == theirs)
                else:
                    self.assert_that(result == ours)
                    self.assert_that(theirs in (old, ours))

    @stateful.invariant()
    def operators_are_told_the_truth(self):
        versions = {v["edit_id"]: v["version"] for v in self.store.accepted}
        self.assert_that(len(versions) == len(self.store.accepted))
        for operator in self.operators:
            landed = versions.get(operator.edit.edit_id)
            for rules in operator.spread:
                self.assert_that(rules.version == landed)
            match operator.reports[-1:]:
                case [messages.Accepted(version=v, changes=())]:
                    self.assert_that(landed in (None, v))
                    self.assert_that(self.is_in(operator.edit, v))
                case [messages.Accepted() | messages.Merged() as result]:
                    self.assert_that(result.version == landed)
                case [messages.Refused() | messages.Unavailable()]:
                    self.assert_that(landed is None)

    def is_in(self, change, version):
        """Return whether a version contains all changes of an edit."""
        base, wanted = self.routes(change.base), routes_of(change.text)
        return all(
            self.routes(version).get(key) == wanted.get(key)
            for key in KEYS
            if base.get(key) != wanted.get(key)
        )

    def assert_that(self, fact):
        if not fact:
            raise AssertionError(self.store.accepted)

    def teardown(self):
        while self.late:
            self.store.answer(self.late.pop())
        for operator in self.operators:
            operator.run(rounds=200)
            acceptor = operator.acceptor
            self.assert_that(acceptor.finished or acceptor.reported_unknown)
        self.operators_are_told_the_truth()
        self.each_version_is_the_last_one_with_one_edit()
        self.every_version_has_its_text()


RacingOperatorsTest = RacingOperators.TestCase
RacingOperatorsTest.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
)
