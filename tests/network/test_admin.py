"""Tests of reading operators' requests."""

import unittest

from oriolegate.exceptions import CallerInputError
from oriolegate.network import admin


class StandInRequest:
    """What the admin server reads of a request."""

    too_large = False
    method = b"GET"
    path = b"/timeline/"

    def __init__(self, query):
        self.query = query


class AdminRequestTest(unittest.TestCase):
    def test_the_first_value_of_each_argument_counts(self):
        request = admin._read(StandInRequest(b"a=1&a=2&b&c=%C3%A9"))
        self.assertEqual(request.arguments, {"a": "1", "b": "", "c": "é"})
        self.assertEqual(request.path, "/timeline")

    def test_queries_of_many_arguments_are_rejected(self):
        query = b"&".join(b"%d=" % n for n in range(admin.MAX_ARGUMENTS + 1))
        with self.assertRaises(CallerInputError):
            admin._read(StandInRequest(query))


if __name__ == "__main__":
    unittest.main()
