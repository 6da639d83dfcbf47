"""Test the JSON bodies of the admin endpoint for rules."""

import unittest

from oriolegate.rules import acceptance_messages as messages
from oriolegate.rules import admin_view
from oriolegate.rules.parser import parse
from oriolegate.rules.stored_rules import parse_stored_rules
from oriolegate.rules.stored_rules import StoredRules


class AdminViewTest(unittest.TestCase):
    def test_a_valid_body_is_parsed_to_an_edit(self):
        body = {"base": 3, "text": "", "dry_run": True}
        edit = admin_view.parse_edit(body, "e").ok
        self.assertEqual(edit, messages.RulesEdit("e", 3, "", True))

    def test_rejects_bodies_that_are_not_an_edit(self):
        for body in (
            {},
            {"text": ""},
            {"base": True, "text": ""},
            {"base": -1, "text": ""},
            {"base": 1, "text": 2},
            {"base": 1, "text": "", "dry_run": 1},
        ):
            result = admin_view.parse_edit(body, "e")
            self.assertTrue(result.is_error(), body)

    def test_errors_carry_line_column_code_and_message(self):
        result = messages.Invalid(parse("rout").error)
        view = admin_view.result_view(result)
        self.assertEqual(view["state"], "invalid")
        (error,) = [e for e in view["errors"] if e["code"] == 5101]
        self.assertEqual((error["line"], error["column"]), (1, 1))
        self.assertEqual(admin_view.http_status(result), 400)

    def test_history_has_only_the_newest_versions(self):
        versions = [
            StoredRules(number, "", "", f"e{number}", number - 1)
            for number in (4, 5, 6)
        ]
        rows = admin_view.history_view(versions, limit=2)["versions"]
        self.assertEqual([row["version"] for row in rows], [6, 5])


class StoredRulesTest(unittest.TestCase):
    def test_a_stored_value_is_decoded_to_the_same_version(self):
        stored = StoredRules(2, "t", "M", "e", 1)
        self.assertEqual(parse_stored_rules(stored.to_value()), stored)

    def test_invalid_values_are_not_decoded(self):
        value = StoredRules(2, "t", "M", "e", 1).to_value()
        for wrong in ({}, {**value, "text": 1}, {**value, "version": True}):
            self.assertIsNone(parse_stored_rules(wrong))
