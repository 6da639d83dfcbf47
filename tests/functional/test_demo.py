"""Functional test of `oriolegate demo`."""

import os
import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
LIMIT_S = 120.0


class DemoTest(unittest.TestCase):
    def test_every_step_has_the_expected_result(self):
        completed = subprocess.run(
            [sys.executable, "-m", "oriolegate", "demo"],
            env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
            check=False,
        )
        self.assertEqual(
            completed.returncode, 0, completed.stdout + completed.stderr
        )
        self.assertIn("coverage 30/30", completed.stdout)
        self.assertIn("HEDGE_SENT", completed.stdout)
        self.assertIn("ALREADY_CLAIMED", completed.stdout)
        self.assertIn("out, 0 sub-requests", completed.stdout)
