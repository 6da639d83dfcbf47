"""Tests of playing the regression, with a stand-in for the bench."""

import contextlib
import io
import pathlib
import sys
import tempfile
import unittest
from unittest import mock

from tools import play_regression

SITE = """
name = "small"
machines = [
  { class = "front", count = 4, spare = 1 },
  { class = "front", count = 2 },
]
"""
BENCH = """
import json, pathlib, sys
verb, site = sys.argv[1:3]
days = int(sys.argv[sys.argv.index("--days") + 1]) if verb == "hunt" else 7
rules = {RULES}
day = {"name": "d", "rules": rules, "fault": None, "gate": GATE}
entry = {"cmd": verb, "site": "small", "id": verb, "error": None,
         "days": [day] * days}
pathlib.Path("journal", verb + ".json").write_text(json.dumps(entry))
"""


class PlayRegressionTest(unittest.TestCase):
    def play(self, *, rules="", gate="True", verbs=("score", "hunt")):
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder)
            (root / "journal").mkdir()
            (root / "site.toml").write_text(SITE)
            bench = root / "bench"
            text = BENCH.replace("RULES", rules).replace("GATE", gate)
            bench.write_text(f"#!{sys.executable}\n{text}")
            bench.chmod(0o700)
            output = io.StringIO()
            with (
                mock.patch.object(play_regression, "ROOT", root),
                mock.patch.object(play_regression, "JOURNAL", root / "journal"),
                contextlib.redirect_stdout(output),
            ):
                status = play_regression.main(
                    ["--bench", str(bench), "--why", "a test", "--verbs"]
                    + [*verbs, "--", str(root / "site.toml")]
                )
            return status, output.getvalue()

    def test_a_clean_site_is_scored_and_hunted(self):
        status, output = self.play()
        self.assertEqual(status, 0)
        self.assertIn("small score score: 7 days, broken none", output)
        self.assertIn("small hunt hunt: 40 days, broken none", output)

    def test_a_broken_rule_fails_the_regression(self):
        status, output = self.play(rules='"DRAIN": 1')
        self.assertEqual(status, 1)
        self.assertIn("DRAIN", output)

    def test_a_day_below_the_gate_fails_the_regression(self):
        self.assertEqual(self.play(gate="False")[0], 1)
        self.assertEqual(self.play(gate="False", verbs=("hunt",))[0], 0)

    def test_fewer_days_of_a_large_site_are_hunted(self):
        small = play_regression.SitePlan("x", 59)
        grown = play_regression.SitePlan("x", 60)
        large = play_regression.SitePlan("x", 195)
        self.assertEqual([p.hunt_days for p in (small, grown)], [40, 8])
        self.assertEqual([p.jobs for p in (small, large)], [3, 2])

    def test_a_run_without_a_journal_entry_fails(self):
        entry = {"cmd": "hunt", "site": "s", "id": "i", "error": "x"}
        self.assertFalse(play_regression.summarize(entry)[1])
        self.assertIn("0 days", play_regression.summarize(entry)[0])
