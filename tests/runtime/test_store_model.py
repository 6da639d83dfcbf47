"""A model of store, VMs and peers, checked by random steps.

The store is restored from older copies while leafs come and go, configurations
change, and VMs are cut off and started again.
"""

import functools
import unittest
from unittest import mock

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from oriolegate.following import follower
from oriolegate.following import store_era
from oriolegate.following.store_era import Observation
from oriolegate.following.store_era import StoreEra
from oriolegate.models.stored import Collection
from oriolegate.network import view_wire
from tests.platform import stand_in_documents as documents
from tests.virtual_fleet import FAST_BYTES_PER_S
from tests.virtual_fleet import STORE_ADDRESS
from tests.virtual_fleet import VirtualFleet

VM_COUNT = 3
LEAFS = tuple(f"leaf-{number}" for number in range(5))
STORE = STORE_ADDRESS[0]
AWAY_S = 0.4
# Leafs and the operator write again what a copy lacks, and entries of leafs
# that have left lapse.
REWRITE_S = 1.5
# Bound on having the view of a new era, after the store's return.
VIEW_S = 2.5
# Bound on being current after the last cut.
SETTLE_S = 8.0
EXAMPLES = 12
STEPS = 14


class StoreModel(stateful.RuleBasedStateMachine):
    """Random steps and what must hold after each of them."""

    def __init__(self):
        super().__init__()
        self.version = 1
        self.fleet = VirtualFleet(self.configuration())
        self.fleet.store.era = 1
        self.fleet.start(VM_COUNT, FAST_BYTES_PER_S)
        self.live = {}
        self.serial = 0
        self.copy = self.fleet.store.make_copy()
        # Newest configuration that each process had in force.
        self.newest = {}

    def configuration(self):
        routes = [documents.route_spec("one", service="s1")]
        return documents.configuration_spec(self.version, routes, ["s1"])

    def run_for(self, seconds):
        self.fleet.network.run_for(seconds)

    def write_leaf(self, name):
        self.fleet.store.put("servers", name, self.live[name])

    @stateful.rule(name=strategies.sampled_from(LEAFS))
    def put_leaf(self, name):
        self.serial += 1
        self.live[name] = self.fleet.leaf_spec(name, "s1", cold_ms=self.serial)
        self.write_leaf(name)

    @stateful.rule(name=strategies.sampled_from(LEAFS))
    def remove_leaf(self, name):
        if self.live.pop(name, None) is not None:
            self.fleet.store.delete("servers", name)

    @stateful.rule()
    def change_configuration(self):
        self.version += 1
        self.fleet.configure(self.configuration())

    @stateful.rule()
    def make_copy(self):
        self.copy = self.fleet.store.make_copy()

    @stateful.rule()
    def restore(self):
        store = self.fleet.store
        store.refuse = 503
        self.run_for(AWAY_S)
        store.refuse = None
        store.restore(self.copy)
        self.run_for(REWRITE_S)
        self.check_nothing_is_dropped()
        for name in list(store.objects.get("servers", {})):
            if name not in self.live:
                store.delete("servers", name)
        for name in self.live:
            self.write_leaf(name)
        self.fleet.configure(self.configuration())
        self.run_for(VIEW_S - REWRITE_S)

    @stateful.rule(
        number=strategies.integers(0, VM_COUNT - 1),
        incoming=strategies.booleans(),
    )
    def cut(self, number, incoming):
        pair = (STORE, f"vm{number}") if incoming else (f"vm{number}", STORE)
        self.fleet.network.cut(*pair)

    @stateful.rule()
    def heal(self):
        for pair in list(self.fleet.network.held):
            self.fleet.network.heal(*pair)

    @stateful.rule(number=strategies.integers(0, VM_COUNT - 1))
    def restart(self, number):
        vm = f"vm{number}"
        self.fleet.kill(vm)
        self.newest.pop(vm, None)
        self.fleet.add_gateway(vm, FAST_BYTES_PER_S, first_start=False)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 0.9, 3.0]))
    def wait(self, seconds):
        self.run_for(seconds)

    @stateful.rule()
    def settle(self):
        self.heal()
        self.run_for(SETTLE_S)
        stored = self.fleet.store.objects.get("servers", {})
        assert set(stored) == set(self.live)
        for process in self.fleet.gateways.values():
            parts = process.parts
            assert set(parts.directory.leafs) == set(self.live)
            assert parts.configuration.table.configuration.version == (
                self.version
            )
            for one in parts.followers.values():
                era = store_era.era_of(one.revision)
                assert era == self.fleet.store.era, one.collection

    def check_nothing_is_dropped(self):
        """Check that no VM takes a leaf that lives for gone."""
        for process in self.fleet.gateways.values():
            for name in self.live:
                record = process.parts.directory.leafs.get(name)
                if record is not None:
                    assert record.entry_removed_at_ms is None, name

    @stateful.invariant()
    def no_configuration_goes_back(self):
        for vm, version in self.fleet.versions().items():
            assert version >= self.newest.get(vm, 0)
            self.newest[vm] = version

    def teardown(self):
        self.settle()


def play(examples=EXAMPLES):
    """Run the model; raise an error if a check fails."""
    stateful.run_state_machine_as_test(
        StoreModel,
        settings=settings(
            max_examples=examples,
            stateful_step_count=STEPS,
            deadline=None,
            derandomize=True,
            database=None,
            # A failing example isn't made smaller: that takes minutes.
            phases=[Phase.generate],
        ),
    )


def strip_eras(encode, updates, *args, **kwargs):
    """Encode updates whose revisions have lost their era."""
    body = encode(updates, *args, **kwargs)
    document = view_wire.orjson.loads(body)
    for name, view in document.items():
        if name in Collection.__members__:
            view["revision"] = store_era.plain(view["revision"])
    return view_wire.orjson.dumps(document)


class StoreModelTest(unittest.TestCase):
    def test_all_checks_hold(self):
        play()

    def check_finds(self):
        with self.assertRaises(AssertionError):
            play(examples=60)

    def test_it_finds_an_era_that_is_ignored(self):
        with mock.patch.object(
            StoreEra, "observe", return_value=Observation.CURRENT
        ):
            self.check_finds()

    def test_it_finds_an_era_that_is_dropped_between_vms(self):
        encode = functools.partial(strip_eras, view_wire.encode_updates)
        with mock.patch.object(view_wire, "encode_updates", encode):
            self.check_finds()

    def test_it_finds_entries_that_are_taken_as_gone_at_once(self):
        with mock.patch.dict(follower.ABSENT_GRACE_MS, {Collection.LEAFS: 0.0}):
            self.check_finds()
