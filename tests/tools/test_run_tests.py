"""Tests that the test runner keeps the names and traces of failures."""

import pathlib
import sys
import tempfile
import types
import unittest
from unittest import mock

from tools import run_tests

TEST_ID = "tests.some.Case.test_it"


def failed_event():
    try:
        raise AssertionError("3 != 4")
    except AssertionError:
        exc_info = sys.exc_info()
    test = types.SimpleNamespace(id=lambda: TEST_ID)
    return types.SimpleNamespace(
        outcome="failed", expected=False, exc_info=exc_info, test=test
    )


class OutcomeCounterTest(unittest.TestCase):
    def test_names_and_traces_of_failures_are_kept(self):
        counter = run_tests.OutcomeCounter(set())
        counter.testOutcome(failed_event())
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "build" / "failures.txt"
            with mock.patch.object(run_tests, "FAILURES", path):
                run_tests.write_failures(counter.failures)
                run_tests.write_failures(counter.failures)
            text = path.read_text()
        self.assertEqual(text.count(TEST_ID), 2)
        self.assertIn("AssertionError: 3 != 4", text)

    def test_a_known_red_test_is_no_failure(self):
        counter = run_tests.OutcomeCounter({TEST_ID})
        counter.testOutcome(failed_event())
        self.assertEqual((counter.failed, counter.failures), (0, []))
