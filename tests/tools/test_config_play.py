"""Configurations are in force in time, with gateways as processes."""

import subprocess
import sys
import unittest

from tools.soak.gateways import ROOT


class ConfigPlayTest(unittest.TestCase):
    def test_no_old_route_is_served_though_store_connections_are_silent(self):
        command = [sys.executable, "-m", "tools.soak.config_play"]
        command += ["--vms", "4", "--seconds", "25", "--first-seed", "2"]
        command += ["--kinds", "watch", "silent"]
        finished = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=120
        )
        self.assertEqual(
            finished.returncode, 0, finished.stdout + finished.stderr
        )
        self.assertRegex(finished.stdout, r"\d{2} versions, \d{3,} runs")
