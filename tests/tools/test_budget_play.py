"""The retry budget is kept, with gateways as processes."""

import subprocess
import sys
import unittest

from tools.soak.gateways import ROOT


class BudgetPlayTest(unittest.TestCase):
    def test_leafs_that_want_no_requests_for_a_time_get_none(self):
        command = [sys.executable, "-m", "tools.soak.budget_play", "--events"]
        command += ["--vms", "8", "--shards", "12", "--slack", "8"]
        command += ["--seconds", "9", "--faults", "2", "--kinds", "quiet"]
        command += ["--first-seed", "3"]
        finished = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=90
        )
        self.assertEqual(
            finished.returncode, 0, finished.stdout + finished.stderr
        )
        self.assertRegex(finished.stdout, r"[1-9]\d+ quiet times")
