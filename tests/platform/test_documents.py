"""Tests of decoding objects of the platform's store."""

import copy
import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.exceptions import MalformedEntryError
from oriolegate.models.site import MemberEntry
from oriolegate.models.site import Repeatability
from oriolegate.platform import documents
from oriolegate.platform import member_entry

LEAF = {
    "service": "s1",
    "address": "10.0.0.9:8080",
    "zone": "dc-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "g",
            "host": "H.example",
            "path_prefix": "/g/",
            "type": "idempotent",
            "timeout_ms": 1500,
            "target_latency_ms": 161,
            "priority": 2,
            "gather": ["s1", "s2"],
            "attempts": 2,
            "top_k": 5,
            "min_coverage": 0.75,
            "allowed_regions": [],
        },
        {
            "name": "w",
            "host": "h.example",
            "path_prefix": "/w/",
            "type": "non_idempotent",
            "timeout_ms": 1500,
            "target_latency_ms": 161,
            "priority": 0,
            "traffic_split": [
                {"service": "s1", "weight": 3},
                {"service": "s2", "weight": 1},
            ],
            "attempts": 2,
            "allowed_regions": ["north"],
        },
    ],
    "services": [
        {
            "name": "s1",
            "health_path": "/health",
            "max_connections": 36,
            "protocol": "h1",
            "tls": False,
            "warmup_s": 3.0,
            "warmup_per_s": 2.5,
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1000,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}
ARBITRARY_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=5), inner, max_size=3
        )
    ),
    max_leaves=6,
)


def decode_configuration(content):
    return documents.ConfigurationDecoder().decode(content)


class LeafEntryTest(unittest.TestCase):
    def test_a_complete_entry_is_decoded(self):
        entry = documents.decode_leaf_entry("i-1", LEAF)
        self.assertEqual((entry.host, entry.port), ("10.0.0.9", 8080))
        self.assertFalse(entry.draining)
        self.assertEqual(entry.born_ms, LEAF["born"])

    def test_a_missing_start_time_is_decoded_as_zero(self):
        entry = {k: v for k, v in LEAF.items() if k != "born"}
        self.assertEqual(documents.decode_leaf_entry("i-1", entry).born_ms, 0)

    def test_each_invalid_field_rejects_the_entry(self):
        invalid_values = {
            "service": [None, 4, ""],
            "address": ["x", "10.0.0.9", "10.0.0.9:x", ":80", 7],
            "state": ["gone", None, ["ready"], 1],
            "slots": ["4", None, True, 2.5],
            "warmup_left_ms": ["soon", None, []],
            "born": [1.5, "x"],
        }
        for name, values in invalid_values.items():
            for value in values:
                with (
                    self.subTest(name=name, value=value),
                    self.assertRaises(MalformedEntryError),
                ):
                    documents.decode_leaf_entry("i-1", LEAF | {name: value})

    @given(ARBITRARY_VALUES, strategies.sampled_from(sorted(LEAF)))
    def test_arbitrary_values_are_decoded_or_rejected(self, value, name):
        for content in (value, LEAF | {name: value}):
            try:
                documents.decode_leaf_entry("i-1", content)
            except MalformedEntryError:
                continue


class ConfigurationTest(unittest.TestCase):
    def test_a_gather_route_is_decoded(self):
        route = decode_configuration(CONFIGURATION).routes[0]
        self.assertEqual(route.host, "h.example")
        self.assertEqual(route.shards, ("s1", "s2"))
        self.assertEqual((route.record_limit, route.min_coverage), (5, 0.75))
        self.assertEqual(route.split, ())

    def test_a_split_route_is_decoded(self):
        route = decode_configuration(CONFIGURATION).routes[1]
        self.assertIs(route.repeatability, Repeatability.NON_IDEMPOTENT)
        self.assertEqual([part.weight for part in route.split], [3.0, 1.0])
        self.assertEqual(route.home_regions, {"north"})

    def test_services_and_limits_are_decoded(self):
        configuration = decode_configuration(CONFIGURATION)
        self.assertEqual(configuration.services["s1"].cold_per_s, 2.5)
        self.assertEqual(configuration.limits.body_bytes, 1000)

    def test_one_invalid_part_rejects_the_configuration(self):
        for change in (
            lambda c: c.pop("version"),
            lambda c: c.pop("routes"),
            lambda c: c["routes"].append(4),
            lambda c: c["routes"][0].pop("host"),
            lambda c: c["routes"][0].update(type="once"),
            lambda c: c["services"][0].pop("max_connections"),
        ):
            content = copy.deepcopy(CONFIGURATION)
            change(content)
            with self.assertRaises(MalformedEntryError):
                decode_configuration(content)

    def test_only_changed_routes_are_decoded_again(self):
        decoder = documents.ConfigurationDecoder()
        first = decoder.decode(CONFIGURATION).routes
        content = copy.deepcopy(CONFIGURATION)
        content["routes"].reverse()
        content["routes"][0]["timeout_ms"] = 7
        second = decoder.decode(content).routes
        self.assertEqual(second, decode_configuration(content).routes)
        self.assertIs(second[1], first[0])
        self.assertEqual(second[0].timeout_ms, 7.0)

    def test_an_invalid_configuration_does_not_affect_the_next_one(self):
        decoder = documents.ConfigurationDecoder()
        first = decoder.decode(CONFIGURATION)
        content = copy.deepcopy(CONFIGURATION)
        content["routes"][0]["timeout_ms"] = "soon"
        with self.assertRaises(MalformedEntryError):
            decoder.decode(content)
        self.assertEqual(decoder.decode(CONFIGURATION), first)

    @given(ARBITRARY_VALUES)
    def test_arbitrary_values_raise_malformed_entry_error(self, value):
        with self.assertRaises(MalformedEntryError):
            decode_configuration(value)


class MemberEntryTest(unittest.TestCase):
    def test_every_field_is_kept_and_required(self):
        entry = MemberEntry("vm-1", "dc-a", "10.0.0.1", 7740, 5)
        content = member_entry.encode(entry)
        self.assertEqual(member_entry.decode(content), entry)
        for name in content:
            with self.assertRaises(MalformedEntryError):
                member_entry.decode(content | {name: None})

    def test_invalid_entries_are_rejected(self):
        for content in (None, [], {}, {"vm": ""}, {"vm": 4}):
            with self.assertRaises(MalformedEntryError):
                member_entry.decode(content)
