"""Tests of the soak: a short run, and that its checks can fail."""

import subprocess
import sys
import unittest

from tools.soak import __main__ as soak
from tools.soak import gateways
from tools.soak import promises
from tools.soak.config_judge import SentRequest
from tools.soak.config_judge import WrittenVersion
from tools.soak.gateways import ROOT

SEED = 4
SECONDS = 2.0


class SoakRunTest(unittest.TestCase):
    def test_a_seed_keeps_all_promises(self):
        command = [sys.executable, "-m", "tools.soak"]
        command += ["--seeds", str(SEED), "--seconds", str(SECONDS)]
        command += ["--silences", "1"]
        finished = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=120
        )
        self.assertEqual(
            finished.returncode, 0, finished.stdout + finished.stderr
        )
        self.assertRegex(finished.stdout, r"all 200: \d{2,}")


class AddressTest(unittest.TestCase):
    def test_soaks_beside_each_other_share_no_address(self):
        command = "from tools.soak import gateways; print(gateways.host_for(0))"
        other = subprocess.run(
            [sys.executable, "-c", command],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertNotEqual(other.stdout.strip(), gateways.host_for(0))


class PromisesTest(unittest.TestCase):
    def setUp(self):
        self.checker = promises.PromiseChecker()
        self.checker.at_most_once.add("a1")

    def broken_promises(self):
        return [promise for promise, _ in self.checker.violations]

    def test_a_second_run_is_a_violation(self):
        self.checker.on_run(0.0, "a1", "s1-dca-1", "s1")
        self.assertEqual(self.broken_promises(), [])
        self.checker.on_run(1.0, "a1", "s1-dca-2", "s1")
        self.assertEqual(self.broken_promises(), ["at most once"])

    def test_a_false_not_run_is_a_violation_in_either_order(self):
        self.checker.on_run(0.0, "a1", "s1-dca-1", "s1")
        self.checker.on_refused("a1")
        self.checker.on_refused("a2")
        self.checker.on_run(1.0, "a2", "s1-dca-1", "s1")
        self.assertEqual(self.broken_promises(), ["not run is true"] * 2)

    def test_too_many_requests_to_a_cold_leaf_are_a_violation(self):
        for number in range(promises.MAX_COLD_REQUESTS_PER_S + 1):
            self.checker.on_cold_arrival(100.0 * number, "s1-dca-1")
        self.assertEqual(self.broken_promises(), ["cold leafs are spared"])

    def test_too_many_requests_to_a_limited_leaf_are_a_violation(self):
        known_ms = promises.LIMIT_KNOWN_MS
        bound = int(1.5 * 2.0 * 4.0) + 5
        for number in range(bound + 1):
            self.assertEqual(self.broken_promises(), [])
            at_ms = known_ms + 1.0 + 100.0 * number
            self.checker.on_limited_arrival(at_ms, "s1-dca-1", 2.0, 0.0)
        self.assertEqual(self.broken_promises(), ["limits are kept"])

    def test_a_late_request_to_a_draining_leaf_is_a_violation(self):
        late_ms = promises.DRAIN_MS + 1.0
        self.checker.on_arrival_at_draining_leaf(late_ms, "s1-dca-1", 0.0)
        self.checker.view_faults_ms.append(late_ms)
        self.checker.on_arrival_at_draining_leaf(late_ms + 1.0, "s1-dca-1", 0.0)
        self.assertEqual(self.broken_promises(), ["leaving leafs are left"])

    def test_a_run_by_an_old_configuration_is_a_violation(self):
        judge = self.checker.configurations
        for at_ms, service in ((0.0, "s1"), (1_000.0, "s2")):
            services = {"one": frozenset({service})}
            judge.versions.append(WrittenVersion(at_ms, services))
        for name, sent_ms in (("b1", 7_000.0), ("b2", 20_000.0)):
            judge.requests[name] = SentRequest(sent_ms, "vm-1", "one")
            self.checker.on_run(sent_ms + 1.0, name, "s1-dca-1", "s1")
        self.checker.view_fault_spans_ms.append((1_500.0, 2_500.0))
        self.checker.judge_configurations()
        self.assertEqual(
            self.broken_promises(), ["configurations are in force"]
        )

    def test_wrong_parts_of_a_gathered_answer_are_violations(self):
        self.checker.answers["s1-dca-1", "a3"] = b"x" * 16
        self.checker.answers["s1-dcb-2", "a3"] = b"y" * 16
        sets = [frozenset({"s1", "s2"})]
        check = self.checker.check_gathered_answer
        check("a3", ["s1-dca-1"], 1, b"x" * 16, sets)
        self.assertEqual(self.broken_promises(), [])
        check("a3", ["s1-dca-1"], 0, b"x" * 16, sets)
        check("a3", ["s1-dca-1"], 1, b"y" * 16, sets)
        check("a3", ["s2-dca-9"], 1, b"x" * 16, sets)
        twice = ["s1-dca-1", "s1-dcb-2"]
        check("a3", twice, 0, b"y" * 16 + b"x" * 16, sets)
        self.assertEqual(
            self.broken_promises(),
            [
                "one snapshot",
                "answers are whole",
                "answers are whole",
                "no part twice",
            ],
        )


class SeedsTest(unittest.TestCase):
    def test_seeds_are_parsed_from_ranges_and_lists(self):
        self.assertEqual(soak.parse_seeds("3,7,10-12"), [3, 7, 10, 11, 12])
