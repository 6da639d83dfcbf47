"""Stopping gateways end what they take, with gateways as processes."""

import subprocess
import sys
import unittest

from tools.soak.gateways import ROOT


class StopPlayTest(unittest.TestCase):
    def test_no_request_is_lost_though_signals_come_in_series(self):
        command = [sys.executable, "-m", "tools.soak.stop_play"]
        command += ["--vms", "4", "--seconds", "3", "--first-seed", "21"]
        finished = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=120
        )
        self.assertEqual(
            finished.returncode, 0, finished.stdout + finished.stderr
        )
        self.assertRegex(finished.stdout, r"[1-9]\d* stops, \d{2,} requests")
