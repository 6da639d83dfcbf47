"""Tests of what responses of leafs report besides the answer."""

import unittest

from oriolegate.clock import FakeClock
from oriolegate.network.http_connection import Answered
from oriolegate.network.http_reader import HttpResponse
from oriolegate.network.leaf_client import LeafClient
from tests import site_builders as build

LIMIT = (b"server-limit", b"2.5")
SIGNED = (b"server-seal", b"x.1")


class NoticeTest(unittest.TestCase):
    def setUp(self):
        self.client = LeafClient(None, FakeClock())
        self.client._get_pool = lambda leaf: self
        self.limits = []
        self.client.on_notice = lambda leaf_id, notice: self.limits.append(
            (leaf_id, notice.limit_per_s)
        )

    def send(self, call):
        """Answer a call at once, in place of a pool."""
        call.done(Answered(self.response))

    def request(self, status, *headers):
        self.response = HttpResponse(status, list(headers), b"")
        self.client.send(
            build.leaf("a"), build.call(), b"", 9.0, lambda answer: None
        )

    def check_health(self, *headers):
        self.response = HttpResponse(200, list(headers), b"")
        self.client.check_health(
            build.leaf("a"), "/health", lambda report: None
        )

    def test_every_answer_of_the_leaf_states_the_limit_or_its_end(self):
        self.request(200, LIMIT, SIGNED)
        self.request(500, LIMIT, SIGNED)
        self.request(503, LIMIT, (b"not-executed", b"1"))
        self.check_health(LIMIT, (b"instance-id", b"a"))
        self.assertEqual(self.limits, [("a", 2.5)] * 4)
        self.request(200, SIGNED)
        self.assertEqual(self.limits[-1], ("a", None))

    def test_an_answer_of_another_leaf_at_the_address_is_ignored(self):
        self.request(421, LIMIT, (b"not-executed", b"1"))
        self.check_health(LIMIT, (b"instance-id", b"b"))
        self.check_health(LIMIT)
        self.assertEqual(self.limits, [])
