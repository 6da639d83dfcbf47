"""A short run of the fault soak, and checks that it can fail."""

import subprocess
import sys
import unittest

from tools.soak import __main__ as soak
from tools.soak import promises
from tools.soak.gateways import ROOT

SEED = 4
SECONDS = 2.0


class SoakRunTest(unittest.TestCase):
    def test_a_seed_keeps_all_promises(self):
        command = [sys.executable, "-m", "tools.soak"]
        command += ["--seeds", str(SEED), "--seconds", str(SECONDS)]
        printed = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=120
        )
        self.assertEqual(printed.returncode, 0, printed.stdout + printed.stderr)
        self.assertRegex(printed.stdout, r"all 200: \d{2,}")


class PromisesTest(unittest.TestCase):
    def setUp(self):
        self.record = promises.Record()
        self.record.once.add("a1")

    def broken(self):
        return [promise for promise, _ in self.record.broken]

    def test_a_second_run_is_seen(self):
        self.record.ran(0.0, "a1", "s1-dca-1", "s1")
        self.assertEqual(self.broken(), [])
        self.record.ran(1.0, "a1", "s1-dca-2", "s1")
        self.assertEqual(self.broken(), ["at most once"])

    def test_a_false_not_run_is_seen_before_and_after(self):
        self.record.ran(0.0, "a1", "s1-dca-1", "s1")
        self.record.refused("a1")
        self.record.refused("a2")
        self.record.ran(1.0, "a2", "s1-dca-1", "s1")
        self.assertEqual(self.broken(), ["not run is true"] * 2)

    def test_too_many_at_a_cold_leaf_are_seen(self):
        for number in range(promises.COLD_BOUND + 1):
            self.record.cold_arrival(100.0 * number, "s1-dca-1")
        self.assertEqual(self.broken(), ["cold leafs are spared"])

    def test_work_for_a_leaf_that_left_is_seen(self):
        late_ms = promises.DRAIN_MS + 1.0
        self.record.arrival_after_drain(late_ms, "s1-dca-1", 0.0)
        self.record.faults.append(late_ms)
        self.record.arrival_after_drain(late_ms + 1.0, "s1-dca-1", 0.0)
        self.assertEqual(self.broken(), ["leaving leafs are left"])

    def test_wrong_parts_are_seen(self):
        self.record.answers["s1-dca-1", "a3"] = b"x" * 16
        self.record.answers["s1-dcb-2", "a3"] = b"y" * 16
        sets = [frozenset({"s1", "s2"})]
        check = self.record.gathered
        check("a3", ["s1-dca-1"], 1, b"x" * 16, sets)
        self.assertEqual(self.broken(), [])
        check("a3", ["s1-dca-1"], 0, b"x" * 16, sets)
        check("a3", ["s1-dca-1"], 1, b"y" * 16, sets)
        check("a3", ["s2-dca-9"], 1, b"x" * 16, sets)
        twice = ["s1-dca-1", "s1-dcb-2"]
        check("a3", twice, 0, b"y" * 16 + b"x" * 16, sets)
        self.assertEqual(
            self.broken(),
            [
                "one snapshot",
                "answers are whole",
                "answers are whole",
                "no part twice",
            ],
        )


class SeedsTest(unittest.TestCase):
    def test_ranges_and_lists(self):
        self.assertEqual(soak.seeds_of("3,7,10-12"), [3, 7, 10, 11, 12])
