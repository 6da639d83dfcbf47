"""Tests of `oriolegate format`."""

import pathlib

from oriolegate.cli.status_codes import ExitStatus
from tests.commands.admin_fixture import CommandTestCase

UNTIDY = "route   a to b # asked-by: M"
TIDY = "route a to b  # asked-by: M\n"


class FormatTest(CommandTestCase):
    def test_a_file_is_formatted_in_place(self):
        path = self.write("r", UNTIDY)
        self.assertEqual(self.run_command("format", path)[0], 0)
        self.assertEqual(pathlib.Path(path).read_text(), TIDY)
        self.assertEqual(self.run_command("format", "--check", path)[0], 0)

    def test_check_fails_and_leaves_the_file_unchanged(self):
        path = self.write("r", UNTIDY)
        for arguments, variables in (
            (["--check"], {}),
            ([], {"ORIOLEGATE_CHECK": "1"}),
        ):
            status, _, _ = self.run_command(
                "format", *arguments, path, **variables
            )
            self.assertEqual(status, ExitStatus.ERROR)
        self.assertEqual(pathlib.Path(path).read_text(), UNTIDY)

    def test_an_invalid_variable_is_a_usage_error(self):
        path = self.write("r", TIDY)
        status, _, err = self.run_command(
            "format", path, ORIOLEGATE_CHECK="maybe"
        )
        self.assertEqual(status, ExitStatus.USAGE)
        self.assertIn("ORIOLEGATE_CHECK", err)

    def test_errors_in_the_file_are_reported(self):
        path = self.write("r", "rout")
        status, _, err = self.run_command("format", path)
        self.assertEqual(status, ExitStatus.ERROR)
        self.assertIn("5101", err)
