"""Tests of `oriolegate history`."""

from oriolegate.cli.status_codes import ExitStatus
from oriolegate.rules import admin_view
from oriolegate.rules.stored_rules import StoredRules
from tests.commands.admin_fixture import CommandTestCase

FIRST = StoredRules(1, "route a to b  # asked-by: M\n", "M", "e1", 0)
SECOND = StoredRules(2, "route a to c  # asked-by: R\n", "R", "e2", 1)


class HistoryTest(CommandTestCase):
    def test_versions_are_listed_newest_first_with_differences(self):
        view = admin_view.history_view([FIRST, SECOND])
        self.server.answer = (200, view)
        status, out, _ = self.run_command(
            "history", "--admin", self.admin, "--difference"
        )
        self.assertEqual(status, ExitStatus.SUCCESS)
        lines = [line.split() for line in out.splitlines()]
        self.assertEqual(lines[1], ["2", "1", "R", "e2"])
        self.assertEqual(lines[2][:5], ["-", "route", "a", "to", "b"])
        self.assertEqual(lines[4], ["1", "0", "M", "e1"])

    def test_no_answer_is_unavailable(self):
        status, _, err = self.run_command(
            "history", "--admin", "http://127.0.0.1:1"
        )
        self.assertEqual(status, ExitStatus.UNAVAILABLE)
        self.assertIn("gave no answer", err)
