"""Tests of the log format and of the rate limiter for repeated messages."""

import io
import json
import unittest

from loguru import logger
from twisted import logger as twisted_logger

from oriolegate import logging_setup
from oriolegate.clock import FakeClock
from oriolegate.settings.logs import LogFormat


class LoggingTest(unittest.TestCase):
    def setUp(self):
        self.stream = io.StringIO()
        self.addCleanup(logger.remove)

    def lines(self):
        return self.stream.getvalue().splitlines()

    def test_text_lines_start_with_the_part(self):
        logging_setup.setup_logging(stream=self.stream)
        logging_setup.get_logger("peers").info("Linked to {}.", "entry-2")
        self.assertRegex(
            self.lines()[0],
            r"^\d{4}-\d\d-\d\dT[\d:]{8}\.\d{3}Z INFO    peers: "
            r"Linked to entry-2\.$",
        )

    def test_line_ends_in_a_message_are_escaped(self):
        logging_setup.setup_logging(stream=self.stream)
        logging_setup.get_logger("front").info("Got {}.", "a\nb\r")
        self.assertEqual(len(self.lines()), 1)

    def test_json_lines_contain_part_and_bound_fields(self):
        logging_setup.setup_logging(LogFormat.JSON, stream=self.stream)
        log = logging_setup.get_logger("coord").bind(request_id="r-1")
        log.warning("Dropped a late answer.")
        line = json.loads(self.lines()[0])
        self.assertEqual(line["part"], "coord")
        self.assertEqual(line["request_id"], "r-1")
        self.assertEqual(line["level"], "WARNING")

    def test_verbosity_enables_lower_levels(self):
        for verbose, expected in ((0, 1), (1, 2), (2, 3)):
            self.stream.seek(0)
            self.stream.truncate()
            logging_setup.setup_logging(verbose=verbose, stream=self.stream)
            log = logging_setup.get_logger("admin")
            log.info("a")
            log.debug("b")
            log.trace("c")
            self.assertEqual(len(self.lines()), expected)

    def test_exceptions_are_logged_without_values_of_variables(self):
        for log_format in LogFormat:
            logging_setup.setup_logging(log_format, stream=self.stream)
            log = logging_setup.get_logger("front")
            try:
                secret_key = "q7" * 3
                raise ValueError("bad" if secret_key else "")
            except ValueError:
                log.exception("Failed.")
        self.assertIn("ValueError", self.stream.getvalue())
        self.assertNotIn("q7q7q7", self.stream.getvalue())


class TwistedLogTest(unittest.TestCase):
    def setUp(self):
        self.stream = io.StringIO()
        logging_setup.setup_logging(stream=self.stream)
        self.addCleanup(logger.remove)
        publisher = twisted_logger.LogPublisher(logging_setup.log_twisted_event)
        self.log = twisted_logger.Logger("test", observer=publisher)

    def test_an_unhandled_failure_is_logged_as_error_with_its_traceback(self):
        try:
            raise ValueError("lost {in} the loop")
        except ValueError:
            self.log.failure("Unhandled {what}", what="error in Deferred")
        text = self.stream.getvalue()
        self.assertIn("ERROR   twisted: Unhandled error in Deferred", text)
        self.assertIn("ValueError: lost {in} the loop", text)

    def test_routine_messages_of_twisted_are_logged_at_debug_only(self):
        self.log.info("Starting factory {name}", name="{}")
        self.assertEqual(self.stream.getvalue(), "")
        logging_setup.setup_logging(verbose=1, stream=self.stream)
        self.log.info("Starting factory {name}", name="{}")
        self.assertIn("twisted: Starting factory {}", self.stream.getvalue())


class RepeatLimiterTest(unittest.TestCase):
    def setUp(self):
        self.stream = io.StringIO()
        logging_setup.setup_logging(stream=self.stream)
        self.addCleanup(logger.remove)
        self.clock = FakeClock()
        self.limiter = logging_setup.RepeatLimiter(
            logging_setup.get_logger("peers"), self.clock, interval_ms=100.0
        )

    def test_repeats_are_suppressed_and_counted_in_the_next_message(self):
        for _ in range(5):
            self.limiter.warning("entry-2", "Lost {entry-2}.")
        self.clock.advance(100.0)
        self.limiter.warning("entry-2", "Lost {entry-2}.")
        lines = self.stream.getvalue().splitlines()
        self.assertEqual(len(lines), 2)
        self.assertTrue(lines[1].endswith("(4 similar messages suppressed)"))

    def test_the_number_of_stored_keys_is_limited(self):
        for number in range(logging_setup.MAX_REPEAT_KEYS + 5):
            self.limiter.warning(str(number), "Lost.")
        self.assertEqual(
            len(self.limiter.last_ms), logging_setup.MAX_REPEAT_KEYS
        )
