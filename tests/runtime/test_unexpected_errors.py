"""Tests that malformed messages and unexpected errors stop no gateway."""

import random
import unittest

import orjson

from oriolegate.models.stored import Collection
from tests.platform import stand_in_documents as documents
from tests.virtual_fleet import CallerLoad
from tests.virtual_fleet import FAST_BYTES_PER_S
from tests.virtual_fleet import VirtualFleet

LOAD_PER_S = 20.0
SEEDS = range(1, 9)
# Values that entries and answers of another writer may hold in any place.
VALUES = (None, True, -1, 0, 2**62, 1e308, "", "x", "\r\nA: b", "€", [], {})
# Contents of entries that no decoder of a VM, or none of its peers, can read.
UNREADABLE = {
    "surrogates": b'"\\udcff\\udcfe not a leaf"',
    "nested": b'{"slots":' + b"[" * 1_100 + b"]" * 1_100 + b"}",
    "nested less": b'{"slots":' + b"[" * 300 + b"]" * 300 + b"}",
    "number": b'{"warmup_left_ms":1e999}',
    "long number": b'{"born":' + b"9" * 5_000 + b"}",
}
# Addresses that are none, in an entry that is else that of a leaf.
BAD_ADDRESSES = (
    "10.0.0.0:0",
    "10.0.0.0:65536",
    "10.0.0.0:" + "9" * 5_000,
    "10.0.0.0:-1",
    ":1",
    "10.0.0.0",
    "10.0.0.0:1e9",
    "10.0.0.0:\u0661",
    "10.0.0.256:1",
    "leaf-0:1",
    "leaf-0\x00:1",
)
KINDS = ("servers", "evacuations", "oriolegate-members", "oriolegate-crashes")


def start_fleet(vm_count=2):
    routes = [documents.route_spec("one", service="s1")]
    fleet = VirtualFleet(documents.configuration_spec(1, routes, ["s1"]))
    for number in range(3):
        fleet.add_leaf(f"leaf-{number}", "s1")
    fleet.start(vm_count, FAST_BYTES_PER_S)
    return fleet


def random_document(rng, depth=3):
    """Return a document of the fields that the store uses, in any place."""
    names = ("items", "events", "meta", "spec", "object", "name", "revision")
    others = ("as_of", "has_more", "deleted", "service", "address", "state")
    if depth == 0 or rng.random() < 0.3:
        return rng.choice(VALUES)
    if rng.random() < 0.3:
        return [random_document(rng, depth - 1) for _ in range(2)]
    return {
        name: random_document(rng, depth - 1)
        for name in rng.sample(names + others, 6)
    }


class MalformedMessagesTest(unittest.TestCase):
    def check_service(self, fleet):
        load = CallerLoad(fleet, "/one/x")
        load.run(LOAD_PER_S, 3.0)
        self.assertEqual(load.served_fraction(0.0), 1.0)

    def test_entries_with_names_that_no_header_can_hold_are_no_leafs(self):
        fleet = start_fleet()
        for name in ("i-€", "i-\r\nDeadline-Ms: 9", "i 1", "\x00"):
            fleet.store.put("servers", name, fleet.leaf_spec("leaf-1", "s1"))
        fleet.network.run_for(3.0)
        self.check_service(fleet)
        for leaf_id in fleet.leafs:
            fleet.store.delete("servers", leaf_id)
        fleet.network.run_for(5.0)
        load = CallerLoad(fleet, "/one/x")
        load.run(LOAD_PER_S, 1.0)
        self.assertEqual({o.status for o in load.outcomes}, {503})
        self.assertEqual(len(load.outcomes), load.sent_count)

    def test_entries_with_any_content_do_no_harm(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                fleet = start_fleet()
                for number in range(100):
                    kind = rng.choice(KINDS)
                    spec = random_document(rng)
                    if kind == "servers" and rng.random() < 0.7:
                        spec = fleet.leaf_spec("leaf-0", "s1")
                        spec[rng.choice(list(spec))] = rng.choice(VALUES)
                    fleet.store.put(kind, f"odd-{number}", spec)
                    fleet.network.run_for(0.05)
                fleet.network.run_for(3.0)
                for vm in fleet.gateways:
                    self.assertIn("leaf-0", self.leafs(fleet, vm))
                # An odd evacuation of the leafs' data centre is none.
                self.check_service(fleet)

    def check_leafs_are_followed(self, fleet):
        """Replace a leaf; all VMs, also a new one, must know both changes."""
        fleet.add_leaf("late", "s1")
        fleet.store.delete("servers", "leaf-0")
        fleet.add_gateway("vm-late", FAST_BYTES_PER_S, first_start=False)
        fleet.network.run_for(5.0)
        for vm, process in fleet.gateways.items():
            usable = [
                leaf_id
                for leaf_id, leaf in self.leafs(fleet, vm).items()
                if leaf.entry_removed_at_ms is None
            ]
            self.assertEqual(sorted(usable), ["late", "leaf-1", "leaf-2"])
            errors = process.parts.metrics.counter(
                "oriolegate_unexpected_errors_total"
            )
            self.assertEqual(errors.value, 0)
        followed = [p for p in fleet.gateways.values() if p.parts.feed.peer]
        self.assertEqual(len(followed), len(fleet.gateways) - 1)
        self.check_service(fleet)

    def test_other_leafs_are_followed_beside_an_entry_that_is_unreadable(self):
        for name, content in UNREADABLE.items():
            with self.subTest(name=name):
                fleet = start_fleet(3)
                fleet.store.put("servers", "odd", orjson.Fragment(content))
                fleet.network.run_for(3.0)
                self.check_leafs_are_followed(fleet)

    def test_an_entry_without_a_valid_address_is_no_leaf(self):
        fleet = start_fleet(3)
        for number, address in enumerate(BAD_ADDRESSES):
            spec = fleet.leaf_spec("leaf-0", "s1") | {"address": address}
            fleet.store.put("servers", f"odd-{number}", spec)
        fleet.network.run_for(3.0)
        self.check_leafs_are_followed(fleet)

    def leafs(self, fleet, vm):
        return fleet.gateways[vm].parts.directory.leafs

    def test_answers_of_the_store_with_any_content_do_no_harm(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play_answers(random.Random(seed))

    def play_answers(self, rng):
        fleet = start_fleet()
        store = fleet.store
        handle = store.handle

        def handle_oddly(request):
            if rng.random() < 0.5:
                handle(request)
            else:
                request.send(200, random_document(rng))

        store.handle = handle_oddly
        for vm in fleet.gateways.values():
            vm.parts.feed.confirm_with_store()
        fleet.network.run_for(30.0)
        store.handle = handle
        fleet.network.run_for(10.0)
        fleet.add_leaf("late", "s1")
        fleet.network.run_for(5.0)
        for vm in fleet.gateways:
            self.assertIn("late", self.leafs(fleet, vm))
        self.check_service(fleet)

    def test_views_of_a_peer_with_any_content_do_no_harm(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play_views(random.Random(seed))

    def play_views(self, rng):
        fleet = start_fleet(3)
        names = [collection.name for collection in Collection]

        def answer_oddly(views):
            def handle(target, respond):
                document = {
                    name: {
                        "revision": rng.choice(VALUES),
                        rng.choice(("all", "changes")): random_document(rng),
                    }
                    for name in rng.sample(names, 2)
                }
                body = orjson.dumps(rng.choice((document, rng.choice(VALUES))))
                respond(200, rng.choice((body, b"{", body)))

            return handle

        for vm in fleet.gateways.values():
            vm.parts.views.handle = answer_oddly(vm.parts.views)
        fleet.network.run_for(20.0)
        self.check_service(fleet)


class UnexpectedErrorTest(unittest.TestCase):
    """An error in the code for one entry harms neither others nor later."""

    def setUp(self):
        self.fleet = start_fleet()
        for process in self.fleet.gateways.values():
            self.break_for("poison", process.parts.directory)

    def break_for(self, leaf_id, directory):
        put = directory.put

        def put_or_fail(now_ms, entry):
            if entry.leaf_id == leaf_id:
                raise RuntimeError("a fault in the code")
            return put(now_ms, entry)

        directory.put = put_or_fail

    def test_other_entries_are_still_followed(self):
        self.fleet.add_leaf("poison", "s1")
        self.fleet.network.run_for(3.0)
        self.fleet.add_leaf("late", "s1")
        self.fleet.network.run_for(3.0)
        for process in self.fleet.gateways.values():
            self.assertIn("late", process.parts.directory.leafs)
            errors = process.parts.metrics.counter(
                "oriolegate_unexpected_errors_total"
            )
            self.assertEqual(errors.value, 1)

    def test_periodic_work_goes_on(self):
        process = next(iter(self.fleet.gateways.values()))
        directory = process.parts.directory
        drop_expired = directory.drop_expired
        failures = iter([RuntimeError("a fault in the code")])

        def fail_once(now_ms):
            for failure in failures:
                raise failure
            return drop_expired(now_ms)

        directory.drop_expired = fail_once
        with self.assertRaises(RuntimeError):
            self.fleet.network.run_for(1.0)
        self.assertFalse(process.was_ready and not process.ready)
        self.fleet.network.run_for(1.0)
        process.was_ready = False
        self.fleet.network.run_for(1.0)
        self.assertTrue(process.was_ready)
