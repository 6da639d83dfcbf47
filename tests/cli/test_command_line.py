"""Functional tests that run the command line in a subprocess."""

import os
import pathlib
import subprocess
import sys
import unittest

import oriolegate
from oriolegate.cli import registry
from oriolegate.cli import status_codes
from oriolegate.cli.status_codes import ExitStatus
from oriolegate.result_codes import ResultCode

SOURCE = pathlib.Path(oriolegate.__file__).parent.parent
TIMEOUT_S = 60


def run_command(*arguments, **environ):
    return subprocess.run(
        [sys.executable, "-m", "oriolegate", *arguments],
        env={"PYTHONPATH": str(SOURCE), **environ},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


class CommandLineTest(unittest.TestCase):
    def test_help_lists_every_command_and_status(self):
        completed = run_command("--help")
        self.assertEqual(completed.returncode, ExitStatus.SUCCESS)
        for name, entry in registry.COMMANDS.items():
            self.assertRegex(
                completed.stdout, rf"\n  {name} +{entry.summary}\n"
            )
        for status, meaning in status_codes.MEANINGS.items():
            self.assertIn(f"\n  {int(status)}  {meaning}\n", completed.stdout)
        self.assertEqual(run_command("help").stdout, completed.stdout)

    def test_no_command_is_a_usage_error_with_help_on_stderr(self):
        completed = run_command()
        self.assertEqual(completed.returncode, ExitStatus.USAGE)
        self.assertEqual(completed.stdout, "")
        self.assertIn("commands:", completed.stderr)

    def test_help_of_a_command_can_be_requested_in_two_ways(self):
        for name in registry.COMMANDS:
            completed = run_command(name, "--help")
            self.assertEqual(completed.returncode, ExitStatus.SUCCESS, name)
            self.assertIn(f"usage: oriolegate {name}", completed.stdout)
            self.assertEqual(run_command("help", name).stdout, completed.stdout)

    def test_an_unknown_command_suggests_the_closest_match(self):
        for arguments in (("versoin",), ("help", "versoin")):
            completed = run_command(*arguments)
            self.assertEqual(completed.returncode, ExitStatus.USAGE)
            self.assertIn("did you mean 'version'?", completed.stderr)
        self.assertIn("see oriolegate --help", run_command("zzz").stderr)

    def test_an_unknown_option_is_a_usage_error(self):
        completed = run_command("version", "--frobnicate")
        self.assertEqual(completed.returncode, ExitStatus.USAGE)
        self.assertIn("--frobnicate", completed.stderr)

    def test_the_version_can_be_requested_in_two_ways(self):
        expected = f"oriolegate {oriolegate.__version__}\n"
        self.assertEqual(run_command("version").stdout, expected)
        self.assertEqual(run_command("--version").stdout, expected)

    def test_serve_reports_every_invalid_setting_and_exits(self):
        completed = run_command(
            "serve", "--peer-port=x", ORIOLEGATE_STOP_LIMIT_MS="1"
        )
        self.assertEqual(completed.returncode, ExitStatus.USAGE)
        for label in (
            "--vm (ORIOLEGATE_VM)",
            "--data-centre (ORIOLEGATE_DATA_CENTRE)",
            "--platform-urls (ORIOLEGATE_PLATFORM_URLS)",
            "ORIOLEGATE_PEER_KEY: neither is set",
            "ORIOLEGATE_ADMIN_KEY: neither is set",
            "--peer-port (ORIOLEGATE_PEER_PORT): got 'x' from the flag",
            "--stop-limit-ms (ORIOLEGATE_STOP_LIMIT_MS): got 1",
        ):
            self.assertIn(label, completed.stderr)

    def test_a_closed_output_pipe_is_not_an_error(self):
        reader, writer = os.pipe()
        os.close(reader)
        with open(writer, "wb") as output:
            completed = subprocess.run(
                [sys.executable, "-m", "oriolegate", "version"],
                env={"PYTHONPATH": str(SOURCE)},
                stdout=output,
                stderr=subprocess.PIPE,
                timeout=TIMEOUT_S,
                check=False,
            )
        self.assertEqual(completed.stderr, b"")
        self.assertEqual(completed.returncode, ExitStatus.SUCCESS)


class StatusCodeTest(unittest.TestCase):
    def test_every_status_has_a_meaning(self):
        self.assertEqual(set(status_codes.MEANINGS), set(ExitStatus))

    def test_only_ok_has_the_exit_status_success(self):
        for code in ResultCode:
            status = status_codes.exit_status_of(code)
            self.assertEqual(
                status is ExitStatus.SUCCESS, code is ResultCode.OK
            )
