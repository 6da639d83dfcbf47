"""A request that crashes leafs is stopped, with gateways as processes."""

import subprocess
import sys
import unittest

from tools.soak.gateways import ROOT


class CrashPlayTest(unittest.TestCase):
    def play(self, name, *more):
        command = [sys.executable, "-m", "tools.soak.crash_play", "--events"]
        command += ["--plays", name, "--seconds", "14", *more]
        finished = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=60
        )
        self.assertEqual(
            finished.returncode, 0, finished.stdout + finished.stderr
        )

    def test_a_crashing_request_is_stopped_although_leafs_fail_others(self):
        self.play("errors")

    def test_a_request_that_crashes_leafs_without_a_reset_is_stopped(self):
        self.play("silent", "--gap", "1")

    def test_a_request_that_crashes_a_leaf_of_each_shard_is_stopped(self):
        self.play("many-shards", "--gap", "1.5")
