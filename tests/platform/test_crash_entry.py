"""Tests of encoding and decoding crash reports for the store."""

import unittest

from oriolegate.exceptions import MalformedEntryError
from oriolegate.models.site import CrashReport
from oriolegate.models.site import CrashTrial
from oriolegate.platform import crash_entry

REPORT = CrashReport(2**64 - 1, "a1", "i-1", "vm-1", 17)
TRIAL = CrashTrial(2**64 - 1, 2, "a1", "vm-1", 17)


class CrashEntryTest(unittest.TestCase):
    def test_a_decoded_report_equals_the_encoded_one(self):
        content = crash_entry.encode(REPORT)
        self.assertEqual(crash_entry.decode(content), REPORT)

    def test_a_decoded_trial_equals_the_encoded_one(self):
        content = crash_entry.encode(TRIAL)
        self.assertEqual(crash_entry.decode(content), TRIAL)

    def test_earlier_versions_do_not_take_a_trial_for_a_report(self):
        self.assertNotIn("leaf", crash_entry.encode(TRIAL))

    def test_invalid_entries_are_rejected(self):
        valid = crash_entry.encode(REPORT)
        invalid = [None, [], {}, valid | {"fingerprint": "no hex"}]
        invalid += [valid | {name: None} for name in valid]
        valid = crash_entry.encode(TRIAL)
        invalid += [valid | {name: None} for name in valid]
        for content in invalid:
            with self.subTest(content=content):
                self.assertRaises(
                    MalformedEntryError, crash_entry.decode, content
                )
