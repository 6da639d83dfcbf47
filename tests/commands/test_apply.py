"""Tests of `oriolegate apply`."""

import json

from oriolegate.cli.status_codes import ExitStatus
from oriolegate.rules import acceptance_messages as messages
from oriolegate.rules import admin_view
from oriolegate.rules.merge import RuleConflict
from oriolegate.rules.model import RuleKey
from oriolegate.rules.stored_rules import ACCEPTED
from tests.commands.admin_fixture import CommandTestCase
from tests.rules.fake_store import FakeStore
from tests.rules.fake_store import Operator

TEXT = "route a to b  # asked-by: M\n"


class ApplyTest(CommandTestCase):
    def apply(self, *arguments, **variables):
        path = self.write("r", TEXT)
        return self.run_command(
            "apply", path, "--admin", self.admin, *arguments, **variables
        )

    def set_answer(self, result, **confirmations):
        view = admin_view.result_view(result, **confirmations)
        self.server.answer = (admin_view.http_status(result), view)

    def test_base_text_and_key_are_sent(self):
        self.set_answer(messages.Accepted(8, ()), in_force_on=["vm-1"])
        key_file = self.write("key", "secret\n")
        status, out, _ = self.apply("--base", "7", "--admin-key-file", key_file)
        self.assertEqual(status, ExitStatus.SUCCESS)
        self.assertIn("accepted, version 8", out)
        ((method, path, key, body),) = self.server.received
        self.assertEqual(
            (method, path, key), ("POST", "/rules", "Bearer secret")
        )
        self.assertEqual(
            json.loads(body), {"base": 7, "text": TEXT, "dry_run": False}
        )

    def test_settings_can_come_from_the_environment(self):
        self.set_answer(messages.DryRun(7, (), ()))
        path = self.write("r", TEXT)
        status, out, _ = self.run_command(
            "apply",
            path,
            ORIOLEGATE_ADMIN=self.admin,
            ORIOLEGATE_BASE="7",
            ORIOLEGATE_DRY_RUN="1",
        )
        self.assertEqual(status, ExitStatus.SUCCESS)
        sent = json.loads(self.server.received[0][3])
        self.assertEqual((sent["base"], sent["dry_run"]), (7, True))
        self.assertIn("dry-run, version 7", out)

    def test_a_conflict_is_shown_with_the_accepted_rule(self):
        conflict = RuleConflict(
            RuleKey("route", "a"), None, ("route a to c",), ("route a to b",)
        )
        self.set_answer(messages.Refused(9, "take version 9", (conflict,)))
        status, _, err = self.apply("--base", "7")
        self.assertEqual(status, ExitStatus.CONFLICT)
        self.assertIn("take version 9", err)
        self.assertIn("accepted: route a to c", err)

    def test_vms_that_have_not_confirmed_are_named(self):
        self.set_answer(
            messages.Merged(8, (), ()), in_force_on=["a"], pending_on=["b"]
        )
        status, _, err = self.apply("--base", "7")
        self.assertEqual(status, ExitStatus.PENDING)
        self.assertIn("not confirmed by: b", err)

    def test_concurrent_edits_are_merged_or_refused_as_conflicts(self):
        store = FakeStore()

        def handle_edit(body):
            number = f"e{len(self.server.received)}"
            edit = admin_view.parse_edit(json.loads(body), number).ok
            operator = Operator(edit, store)
            operator.run()
            result = operator.reports[-1]
            view = admin_view.result_view(result, in_force_on=["vm-1"])
            return admin_view.http_status(result), view

        self.server.answer = handle_edit
        other = self.write("other", TEXT + "route c to b  # asked-by: R\n")
        clash = self.write("clash", TEXT.replace("to b", "to d"))
        late = self.write("late", TEXT.replace("to b", "to e"))
        admin = ("--admin", self.admin)
        self.assertEqual(self.apply("--base", "0")[0], ExitStatus.SUCCESS)
        outcomes = [
            self.run_command("apply", path, "--base", "1", *admin)
            for path in (other, clash, late)
        ]
        self.assertEqual(
            [status for status, _, _ in outcomes],
            [ExitStatus.SUCCESS, ExitStatus.SUCCESS, ExitStatus.CONFLICT],
        )
        self.assertIn("merged, version 3", outcomes[1][1])
        self.assertIn("accepted: route a to d", outcomes[2][2])
        self.assertEqual(
            store.objects[ACCEPTED][1]["text"],
            "route a to d  # asked-by: M\nroute c to b  # asked-by: R\n",
        )

    def test_unavailable_and_unknown_have_their_own_exit_status(self):
        for result, expected in (
            (messages.Unavailable("down"), ExitStatus.UNAVAILABLE),
            (messages.Unknown("not said"), ExitStatus.UNKNOWN),
        ):
            self.set_answer(result)
            self.assertEqual(self.apply("--base", "7")[0], expected)

    def test_an_answer_that_is_not_json_has_an_unknown_outcome(self):
        self.server.answer = (200, b"<html>")
        self.assertEqual(self.apply("--base", "7")[0], ExitStatus.UNKNOWN)

    def test_a_refused_key_is_unavailable_and_not_unknown(self):
        self.server.answer = (401, {})
        status, _, err = self.apply("--base", "7")
        self.assertEqual(status, ExitStatus.UNAVAILABLE)
        self.assertIn("--admin-key-file", err)

    def test_a_file_with_errors_is_not_sent(self):
        path = self.write("bad", "rout")
        status, _, err = self.run_command(
            "apply", path, "--base", "1", "--admin", self.admin
        )
        self.assertEqual(status, ExitStatus.ERROR)
        self.assertIn("5101", err)
        self.assertEqual(self.server.received, [])

    def test_a_missing_base_is_a_usage_error(self):
        status, _, err = self.apply()
        self.assertEqual(status, ExitStatus.USAGE)
        self.assertIn("--base", err)
