"""Tests of the judge of configurations in force."""

import unittest

from tools.soak.config_judge import ConfigBounds
from tools.soak.config_judge import ConfigJudge
from tools.soak.config_judge import SentRequest
from tools.soak.config_judge import ServiceRun
from tools.soak.config_judge import WrittenVersion

APPLY_MS = ConfigBounds().apply_ms
DOWNGRADE_MS = ConfigBounds().downgrade_ms
CHANGED_MS = 20_000.0


class ConfigJudgeTest(unittest.TestCase):
    def setUp(self):
        self.in_touch = {"vm-1", "vm-2"}
        self.judge = ConfigJudge(
            ConfigBounds(), lambda vm, at_ms: vm in self.in_touch
        )
        self.write(0.0, one="old")
        self.write(CHANGED_MS, one="new", added="new")

    def write(self, at_ms, **services):
        routes = {name: frozenset({it}) for name, it in services.items()}
        self.judge.versions.append(WrittenVersion(at_ms, routes))

    def send(self, at_ms, service, route="one", vm="vm-1"):
        attempt = f"a{len(self.judge.requests)}"
        self.judge.requests[attempt] = SentRequest(at_ms, vm, route)
        if service is None:
            self.judge.not_found.append(attempt)
        else:
            run = ServiceRun(at_ms + 10.0, attempt, service, vm)
            self.judge.runs.append(run)

    def assert_broken(self, count):
        violations = self.judge.judge()
        self.assertEqual(len(violations), count, violations)

    def test_both_services_may_run_until_the_change_is_due(self):
        for at_ms in (CHANGED_MS + 1.0, CHANGED_MS + APPLY_MS):
            self.send(at_ms, "old")
            self.send(at_ms, "new", vm="vm-2")
        self.assert_broken(0)

    def test_an_old_service_is_found_once_the_change_is_due(self):
        self.send(CHANGED_MS + APPLY_MS + 1.0, "old")
        self.assert_broken(1)

    def test_a_vm_out_of_touch_may_be_late(self):
        self.in_touch.clear()
        self.send(CHANGED_MS + APPLY_MS + 1.0, "old")
        self.send(CHANGED_MS + APPLY_MS + 1.0, None)
        self.assert_broken(0)

    def test_a_service_that_no_version_names_is_found_at_any_time(self):
        self.in_touch.clear()
        self.send(CHANGED_MS + 1.0, "other")
        self.send(CHANGED_MS - 100.0, "new")
        self.assert_broken(2)

    def test_a_route_that_was_added_must_be_known_once_it_is_due(self):
        self.send(CHANGED_MS + APPLY_MS, None, "added")
        self.send(CHANGED_MS + APPLY_MS + 1.0, None, "added")
        self.assert_broken(1)

    def test_a_route_may_be_unknown_if_a_version_in_question_drops_it(self):
        self.write(CHANGED_MS + 6_000.0, one="new")
        self.send(CHANGED_MS + APPLY_MS + 1.0, None, "added")
        self.assert_broken(0)

    def test_a_vm_that_goes_back_is_found_before_the_change_is_due(self):
        self.send(CHANGED_MS + 100.0, "new")
        self.send(CHANGED_MS + 100.0, "old")
        self.send(CHANGED_MS + 200.0 + DOWNGRADE_MS, "old")
        self.assert_broken(1)

    def test_another_vm_or_process_may_still_have_the_older_version(self):
        self.send(CHANGED_MS + 100.0, "new")
        self.judge.starts_ms["vm-1"] = [0.0, CHANGED_MS + 300.0]
        self.send(CHANGED_MS + 1_000.0, "old", vm="vm-2")
        self.send(CHANGED_MS + 1_000.0, "old")
        self.assert_broken(0)

    def test_a_service_that_an_older_version_names_too_is_no_step_back(self):
        self.write(CHANGED_MS + 1_000.0, one="old")
        self.send(CHANGED_MS + 1_100.0, "old")
        self.send(CHANGED_MS + 2_000.0, "new", vm="vm-2")
        self.send(CHANGED_MS + 2_000.0, "old")
        self.assert_broken(0)
