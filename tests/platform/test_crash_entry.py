"""Tests of reports of crashes as they lie in the store."""

import unittest

from oriolegate.exceptions import MalformedEntryError
from oriolegate.models.site import CrashReport
from oriolegate.platform import crash_entry

REPORT = CrashReport(2**64 - 1, "a1", "i-1", "vm-1", 17)


class CrashEntryTest(unittest.TestCase):
    def test_a_report_comes_back_as_it_was(self):
        content = crash_entry.encode(REPORT)
        self.assertEqual(crash_entry.decode(content), REPORT)

    def test_broken_entries_are_no_reports(self):
        whole = crash_entry.encode(REPORT)
        broken = [None, [], {}, whole | {"fingerprint": "no hex"}]
        broken += [whole | {name: None} for name in whole]
        for content in broken:
            with self.subTest(content=content):
                self.assertRaises(
                    MalformedEntryError, crash_entry.decode, content
                )
