"""Tests of `oriolegate check`."""

from oriolegate.cli.status_codes import ExitStatus
from tests.commands.admin_fixture import CommandTestCase


class CheckTest(CommandTestCase):
    def test_the_rules_of_a_valid_file_are_counted(self):
        path = self.write("r", "route a to b # asked-by: M\n")
        status, out, _ = self.run_command("check", path)
        self.assertEqual(status, ExitStatus.SUCCESS)
        self.assertIn("1 rules, no errors", out)

    def test_each_error_is_printed_with_its_line_and_column(self):
        path = self.write("r", "rout a to b # asked-by: M\nroute a to b\n")
        status, _, err = self.run_command("check", path)
        self.assertEqual(status, ExitStatus.ERROR)
        self.assertEqual(
            [line.split(" ")[:2] for line in err.splitlines()],
            [[f"{path}:1:1:", "5101"], [f"{path}:2:13:", "5105"]],
        )

    def test_rules_that_have_ended_are_reported(self):
        path = self.write(
            "r",
            "route a to b until 2001-01-01T00:00Z # asked-by: M\n"
            "route c to b until 9999-01-01T00:00Z # asked-by: M\n",
        )
        status, out, _ = self.run_command("check", path)
        self.assertEqual(status, ExitStatus.SUCCESS)
        self.assertIn(f"{path}:1:1: the rule has ended", out)
        self.assertEqual(out.count("has ended"), 1)

    def test_a_missing_file_is_a_usage_error(self):
        status, _, err = self.run_command("check", str(self.folder / "no"))
        self.assertEqual(status, ExitStatus.USAGE)
        self.assertIn("can't be read", err)
