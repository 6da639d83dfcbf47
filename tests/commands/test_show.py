"""Tests of `oriolegate show`."""

from oriolegate.cli.status_codes import ExitStatus
from oriolegate.rules import admin_view
from oriolegate.rules.stored_rules import StoredRules
from tests.commands.admin_fixture import CommandTestCase

TEXT = """\
route a to b  # asked-by: M
priority caller "x*" urgent until 2026-12-24T00:00Z  # asked-by: R
"""


class ShowTest(CommandTestCase):
    def test_only_the_accepted_text_goes_to_standard_output(self):
        stored = StoredRules(7, TEXT, "M", "e", 6)
        view = admin_view.rules_view(stored, ["vm-1"], ["vm-2"])
        self.server.answer = (200, view)
        status, out, err = self.run_command("show", "--admin", self.admin)
        self.assertEqual((status, out), (ExitStatus.SUCCESS, TEXT))
        self.assertIn("version 7, in force on 1 VMs, pending on vm-2", err)

    def test_an_explained_priority_depends_on_the_time_of_the_request(self):
        path = self.write("r", TEXT)
        for time, priority in (
            ("2026-12-23T23:59Z", "urgent"),
            ("2026-12-24T00:00Z", "normal"),
        ):
            request = f"caller=x1 route=a at={time}"
            status, out, _ = self.run_command(
                "show", "--file", path, "--explain", request
            )
            self.assertEqual(status, ExitStatus.SUCCESS)
            self.assertIn(f"priority  {priority}", out)
            self.assertEqual("asked by R" in out, priority == "urgent")

    def test_an_invalid_request_to_explain_is_a_usage_error(self):
        path = self.write("r", TEXT)
        for request in ("route=a", "caller=x route=a at=noon", "colour=red"):
            status, _, err = self.run_command(
                "show", "--file", path, "--explain", request
            )
            self.assertEqual(status, ExitStatus.USAGE)
            self.assertIn("--explain", err)

    def test_a_route_without_a_rule_is_an_error(self):
        path = self.write("r", TEXT)
        status, _, err = self.run_command(
            "show", "--file", path, "--explain", "caller=x route=z"
        )
        self.assertEqual(status, ExitStatus.ERROR)
        self.assertIn("no rule names the route z", err)

    def test_a_vm_without_rules_is_unavailable(self):
        self.server.answer = (503, {"message": "no version confirmed yet"})
        status, _, err = self.run_command("show", "--admin", self.admin)
        self.assertEqual(status, ExitStatus.UNAVAILABLE)
        self.assertIn("no version confirmed yet", err)
