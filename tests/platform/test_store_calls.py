"""Tests of building store calls and decoding the responses."""

import unittest

from hypothesis import given
from hypothesis import strategies
import orjson

from oriolegate.exceptions import MalformedEntryError
from oriolegate.models.stored import Collection
from oriolegate.models.stored import StoredObject
from oriolegate.platform import store_calls

# Contents that the decoder rejects, or that could not be sent to other VMs.
UNREADABLE = (
    b'"\\udcff\\udc00"',
    b'{"slots":1e999}',
    b"[" * 300 + b"]" * 300,
    b"[" * 1_100 + b"]" * 1_100,
)
OBJECT = {"meta": {"name": "a", "revision": 3}, "spec": {"x": 1}}


class CallTest(unittest.TestCase):
    def test_list_and_watch_calls_state_their_query(self):
        call = store_calls.list_call(Collection.LEAFS, "a/b", may_lag=False)
        self.assertEqual(call.target, "/objects/servers?after=a%2Fb")
        call = store_calls.list_call(Collection.LEAFS, "", may_lag=True)
        self.assertEqual(call.target, "/objects/servers?allow_stale=1")
        call = store_calls.watch_call(Collection.CONFIGURATION, 7, 500)
        self.assertEqual(call.target, "/objects/config?watch=7&wait_ms=500")

    def test_create_and_delete_calls_name_their_object(self):
        call = store_calls.create_call(Collection.MEMBERS, "vm", {"vm": "vm"})
        self.assertEqual(call.method, "POST")
        self.assertEqual(orjson.loads(call.body)["meta"], {"name": "vm"})
        call = store_calls.delete_call(Collection.MEMBERS, "vm/1")
        self.assertTrue(call.target.endswith("/vm%2F1"))


class ResponseTest(unittest.TestCase):
    def test_a_page_is_decoded(self):
        body = {"items": [OBJECT], "has_more": True, "as_of": 9}
        page = store_calls.decode_page(orjson.dumps(body), 0)
        self.assertEqual(page.items, (StoredObject("a", 3, {"x": 1}),))
        self.assertTrue(page.more_follow)
        self.assertEqual(page.revision, 9)

    def test_changes_are_decoded(self):
        events = [
            {"object": OBJECT, "deleted": False},
            {"object": OBJECT, "deleted": True},
        ]
        body = {"events": events, "as_of": 9}
        batch = store_calls.decode_changes(orjson.dumps(body), 0)
        self.assertEqual([c.removed for c in batch.changes], [False, True])

    def test_objects_without_a_name_are_skipped(self):
        items = [4, {}, {"meta": {"name": 4, "revision": 1}}, OBJECT]
        body = {"items": items, "has_more": False, "as_of": 9}
        page = store_calls.decode_page(orjson.dumps(body), 0)
        self.assertEqual([item.name for item in page.items], ["a"])

    def test_content_that_cannot_be_read_is_none_and_the_others_hold(self):
        for content in UNREADABLE:
            odd = {"meta": OBJECT["meta"] | {"name": "odd"}}
            odd["spec"] = orjson.Fragment(content)
            items = [odd, OBJECT]
            events = [{"object": item, "deleted": False} for item in items]
            page_body = {"items": items, "has_more": False, "as_of": 9}
            page = store_calls.decode_page(orjson.dumps(page_body), 0)
            batch = store_calls.decode_changes(
                orjson.dumps({"events": events, "as_of": 9}), 0
            )
            with self.subTest(content=content[:20]):
                expected = [
                    StoredObject("odd", 3, None),
                    StoredObject("a", 3, {"x": 1}),
                ]
                self.assertEqual(list(page.items), expected)
                self.assertEqual([c.item for c in batch.changes], expected)
                self.assertEqual((page.revision, batch.revision), (9, 9))

    @given(strategies.binary(max_size=40))
    def test_invalid_responses_are_rejected(self, body):
        for decode in (store_calls.decode_page, store_calls.decode_changes):
            with self.assertRaises(MalformedEntryError):
                decode(body, 0)
