"""Tests that the documented result codes match the program's."""

import pathlib
import re
import unittest

from oriolegate.network import caller_wire
from oriolegate.result_codes import ResultCode

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "result-codes.md"
ROW = re.compile(r"\| (\d+) \| ([A-Z_]+) \| (\d+|-) \| ([^|]+) \|")
SUCCESSES = {ResultCode.OK: 200, ResultCode.PARTIAL: 200}


def documented_rows():
    lines = PAGE.read_text(encoding="utf-8").splitlines()
    return [match.groups() for match in map(ROW.match, lines) if match]


class ResultCodeTableTest(unittest.TestCase):
    def test_table_and_enumeration_contain_the_same_codes(self):
        documented = [(int(row[0]), row[1]) for row in documented_rows()]
        defined = [(int(code), code.name) for code in ResultCode]
        self.assertEqual(documented, defined)

    def test_documented_http_statuses_match_those_sent_to_callers(self):
        statuses = caller_wire.HTTP_STATUS | SUCCESSES
        for number, name, documented, _ in documented_rows():
            if documented == "-":
                continue
            status = statuses.get(
                ResultCode(int(number)), caller_wire.DEFAULT_STATUS
            )
            self.assertEqual(int(documented), status, name)

    def test_the_first_digits_of_the_codes_are_0_to_7(self):
        categories = {int(code) // 1000 for code in ResultCode}
        self.assertEqual(categories, set(range(8)))
