"""Tests of the bytes between VMs."""

import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.exceptions import PeerMessageError
from oriolegate.models.stored import Change
from oriolegate.models.stored import ChangeBatch
from oriolegate.models.stored import Collection
from oriolegate.models.stored import ListPage
from oriolegate.models.stored import StoredObject
from oriolegate.network import view_wire

ITEM = StoredObject("a", 3, {"x": [1, None]})


class ViewWireTest(unittest.TestCase):
    def test_a_request_comes_back(self):
        revisions = {Collection.LEAFS: 7, Collection.MEMBERS: 0}
        for unconfirmed in (False, True):
            wanted = view_wire.NewsRequest(revisions, 900, unconfirmed)
            data = view_wire.request_bytes("10.0.0.1", 7740, wanted)
            target = data.split(b" ")[1]
            self.assertEqual(view_wire.decode_request(target), wanted)

    def test_news_come_back(self):
        news = {
            Collection.LEAFS: ChangeBatch((Change(ITEM, removed=True),), 9),
            Collection.CONFIGURATION: ListPage((ITEM,), False, 8),
        }
        found = view_wire.decode_news(view_wire.encode_news(news))
        self.assertEqual(found, news)

    def test_other_requests_are_rejected(self):
        for target in (b"/view", b"/view?LEAFS=x&wait_ms=1", b"/view?A=1"):
            with self.assertRaises(PeerMessageError):
                view_wire.decode_request(target)

    @given(strategies.binary(max_size=30))
    def test_other_bytes_are_rejected(self, body):
        if body.strip() == b"{}":
            return
        with self.assertRaises(PeerMessageError):
            view_wire.decode_news(body)
