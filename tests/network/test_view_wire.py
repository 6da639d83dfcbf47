"""Tests of the wire format between VMs."""

import unittest

from hypothesis import given
from hypothesis import strategies
import orjson

from oriolegate.exceptions import PeerMessageError
from oriolegate.models.stored import Change
from oriolegate.models.stored import ChangeBatch
from oriolegate.models.stored import Collection
from oriolegate.models.stored import ListPage
from oriolegate.models.stored import StoredObject
from oriolegate.network import view_wire
from oriolegate.network.object_packing import ObjectPacker
from oriolegate.placement.slow_leafs import LeafSample

ITEM = StoredObject("a", 3, {"x": [1, None]})


class ViewWireTest(unittest.TestCase):
    def test_a_request_survives_encoding_and_decoding(self):
        revisions = {Collection.LEAFS: 7, Collection.MEMBERS: 0}
        for unconfirmed in (False, True):
            request = view_wire.UpdatesRequest(
                revisions,
                900,
                unconfirmed,
                accepts_packed=not unconfirmed,
                wants_ages=not unconfirmed,
            )
            data = view_wire.encode_request("10.0.0.1", 7740, request)
            target = data.split(b" ")[1]
            self.assertEqual(view_wire.decode_request(target), request)

    def test_updates_survive_encoding_and_decoding(self):
        updates = {
            Collection.LEAFS: ChangeBatch((Change(ITEM, removed=True),), 9),
            Collection.CONFIGURATION: ListPage((ITEM,), False, 8),
        }
        for packer in (None, ObjectPacker()):
            body = view_wire.encode_updates(updates, packer)
            response = view_wire.decode_updates(body)
            self.assertEqual(response, view_wire.UpdatesResponse(updates, {}))

    def test_ages_survive_encoding_and_decoding(self):
        ages_ms = {Collection.LEAFS: 1_200.0, Collection.MEMBERS: 0.0}
        body = view_wire.encode_updates({}, ages_ms=ages_ms)
        response = view_wire.decode_updates(body)
        self.assertEqual(response, view_wire.UpdatesResponse({}, ages_ms))

    def test_slow_leafs_survive_encoding_and_decoding(self):
        slow_for_ms = {"leaf-1": 1_200.0}
        body = view_wire.encode_updates({}, slow_for_ms=slow_for_ms)
        response = view_wire.decode_updates(body)
        self.assertEqual(response.slow_for_ms, slow_for_ms)

    def test_samples_keep_their_age(self):
        samples = [
            LeafSample("a,b", 700.0, True),
            LeafSample("c", 900.0, False),
        ]
        data = view_wire.encode_samples("10.0.0.1", 7740, samples, 1_000.0)
        target = data.split(b" ")[1]
        self.assertTrue(view_wire.is_samples_request(target))
        expected = [
            LeafSample("a,b", 4_700.0, True),
            LeafSample("c", 4_900.0, False),
        ]
        self.assertEqual(view_wire.decode_samples(target, 5_000.0), expected)

    def test_a_large_configuration_is_sent_compressed(self):
        content = {"routes": [{"name": f"route{n}"} for n in range(5_000)]}
        item = StoredObject("main", 3, content)
        updates = {Collection.CONFIGURATION: ListPage((item,), False, 3)}
        plain = view_wire.encode_updates(updates)
        packed = view_wire.encode_updates(updates, ObjectPacker())
        self.assertLess(len(packed), len(plain) / 4)
        self.assertEqual(view_wire.decode_updates(packed).updates, updates)

    def test_an_invalid_packed_object_is_rejected(self):
        for text in (1, "%", "AAAA"):
            view = {"revision": 3, "all": [["main", 3, None, text]]}
            with self.assertRaises(PeerMessageError):
                view_wire.decode_updates(orjson.dumps({"LEAFS": view}))

    def test_invalid_requests_are_rejected(self):
        for target in (b"/view", b"/view?LEAFS=x&wait_ms=1", b"/view?A=1"):
            with self.assertRaises(PeerMessageError):
                view_wire.decode_request(target)

    @given(strategies.binary(max_size=30))
    def test_invalid_bodies_are_rejected(self, body):
        if body.strip() == b"{}":
            return
        with self.assertRaises(PeerMessageError):
            view_wire.decode_updates(body)
