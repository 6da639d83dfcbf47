"""Tests that gateways follow what leafs say of themselves, in random plays."""

import unittest

from tests.leaf_notice_play import NoticePlay

SEEDS = (1, 5, 9)


class NoticePlayTest(unittest.TestCase):
    def test_limits_quiet_times_and_leavings_are_respected(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                play = NoticePlay(seed)
                self.assertEqual(play.run(), [])
                statuses = {outcome.status for outcome in play.load.outcomes}
                self.assertLessEqual(statuses, {200, 503})
