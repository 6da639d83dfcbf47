"""Tests of splitting JSON texts."""

import contextlib
import json
import unittest

from hypothesis import given
from hypothesis import strategies
import orjson

from oriolegate.exceptions import MalformedEntryError
from oriolegate.platform import json_parts

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**53), 2**53)
    | strategies.text(max_size=6),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=4), inner)
    ),
    max_leaves=12,
)


class SplitTest(unittest.TestCase):
    @given(strategies.lists(VALUES, max_size=4), strategies.integers(0, 2))
    def test_the_elements_of_a_list_are_those_of_the_decoder(self, value, wide):
        text = json.dumps(value, indent=wide or None).encode()
        parts = json_parts.split_list(text)
        self.assertEqual([json_parts.read(part) for part in parts], value)

    @given(strategies.dictionaries(strategies.text(max_size=4), VALUES))
    def test_the_fields_of_an_object_are_those_of_the_decoder(self, value):
        parts = json_parts.split_object(orjson.dumps(value))
        fields = {name: json_parts.read(part) for name, part in parts.items()}
        self.assertEqual(fields, value)

    @given(strategies.binary(max_size=30))
    def test_arbitrary_bytes_are_split_or_rejected(self, text):
        for split in (json_parts.split_list, json_parts.split_object):
            for body in (text, b"[" + text + b"]", b"{" + text + b"}"):
                with contextlib.suppress(MalformedEntryError):
                    split(body)

    def test_incomplete_texts_are_rejected(self):
        for text in (b"", b"[", b"[[]", b'["a]', b"[]]", b"{}"):
            with (
                self.subTest(text=text),
                self.assertRaises(MalformedEntryError),
            ):
                json_parts.split_list(text)


class ReadTest(unittest.TestCase):
    def test_values_that_the_decoder_rejects_are_none(self):
        for text in (b"1e999", b'"\\udcff"', b"[" * 2_000 + b"]" * 2_000, b""):
            with self.subTest(text=text[:9]):
                self.assertIsNone(json_parts.read(text))

    def test_values_that_no_other_vm_could_be_sent_are_none(self):
        self.assertIsNone(json_parts.read(b"[" * 300 + b"]" * 300))
