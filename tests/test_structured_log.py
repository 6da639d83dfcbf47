"""Tests of the gateway's log lines."""

import json
import unittest

from twisted import logger as twisted_logger
from twisted.python import failure

from oriolegate import structured_log


class RenderTest(unittest.TestCase):
    def setUp(self):
        self.events = []
        self.log = structured_log.BoundLog(
            twisted_logger.Logger("part", observer=self.events.append),
            "part",
            {},
        )

    def lines(self):
        return [json.loads(structured_log.render(e)) for e in self.events]

    def test_a_line_contains_message_part_fields_and_time(self):
        self.log.bind(id="a1", status=200).info("request forwarded")
        (line,) = self.lines()
        self.assertEqual(line["message"], "request forwarded")
        self.assertEqual((line["part"], line["id"]), ("part", "a1"))
        self.assertRegex(line["time"], r"^\d{4}-\d\d-\d\dT[\d:.]{12}Z$")

    def test_braces_in_a_message_are_not_formatted(self):
        self.log.warning("left {out} {")
        self.assertEqual(self.lines()[0]["message"], "left {out} {")

    def test_fields_of_any_type_are_serialised(self):
        self.log.bind(value={1, 2}.__class__).info("odd")
        self.assertIn("set", self.lines()[0]["value"])

    def test_unhandled_errors_of_twisted_are_logged_with_traceback(self):
        logger = twisted_logger.Logger("x", observer=self.events.append)
        logger.failure("unhandled", failure.Failure(ValueError("why")))
        (line,) = self.lines()
        self.assertEqual(line["part"], "twisted")
        self.assertIn("ValueError: why", line["exception"])
