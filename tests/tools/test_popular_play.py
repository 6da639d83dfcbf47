"""Popular requests are served again, with gateways as processes."""

import subprocess
import sys
import unittest

from tools.soak.gateways import ROOT


class PopularPlayTest(unittest.TestCase):
    def test_a_popular_path_is_served_after_all_its_leafs_were_down(self):
        # It was refused at every VM without end, as one that crashes leafs.
        command = [sys.executable, "-m", "tools.soak.popular_play"]
        command += ["--plays", "one-path"]
        finished = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=90
        )
        self.assertEqual(
            finished.returncode, 0, finished.stdout + finished.stderr
        )
