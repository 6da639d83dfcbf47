"""Tests of the views that VMs pass on to each other, with whole gateways."""

import random
import unittest

from oriolegate.following import follower as follower_module
from oriolegate.following.source_choice import RANKING_KEY
from oriolegate.membership import rendezvous
from oriolegate.models.site import Bounds
from oriolegate.models.stored import Collection
from tests.platform import stand_in_documents as documents
from tests.virtual_fleet import FAST_BYTES_PER_S
from tests.virtual_fleet import STORE_ADDRESS
from tests.virtual_fleet import VirtualFleet

STORE = STORE_ADDRESS[0]
VM_COUNT = 5
LEAF_COUNT = 10
STEP_S = 0.1
STEPS_PER_CHANGE = 3
# A cut may hold an answer with changes, which then seems to be new, for as long
# as a watch and the timeout of its call last.
MAX_ERROR_MS = (
    follower_module.longest_watch_ms(Bounds().contact_ms)
    + follower_module.CALL_TIMEOUT_MS
)
# A leaf that leaves gets no request later than this after its entry, and after
# the end of a cut (`drain_ms` and `contact_ms` of the largest site), less the
# time from the choice of a leaf to the arrival there.
NEWS_MS = 8_000.0 - 500.0
CUT_COUNT = 25
CHANGES_AFTER_CUT_S = 1.0
CALM_S = (0.2, 2.0, 8.5)
SEEDS = range(1, 13)


def start_fleet(vm_count=VM_COUNT):
    routes = [documents.route_spec("one", service="s1")]
    fleet = VirtualFleet(documents.configuration_spec(1, routes, ["s1"]))
    fleet.add_leaf("first", "s1")
    fleet.start(vm_count, FAST_BYTES_PER_S)
    return fleet


def ranked_vms(fleet):
    return rendezvous.ranked(RANKING_KEY, set(fleet.gateways))


class Changes:
    """Changes entries of leafs and checks which VMs know the changes.

    Attributes:
        changed_ms: When the entry of each leaf last changed, by leaf.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.rng = random.Random(1)
        self.changed_ms = {}

    def put(self, number):
        """Add a leaf, or change its entry."""
        cold_ms = self.rng.randint(1, 1_000_000)
        spec = self.fleet.leaf_spec(f"leaf-{number}", "s1", cold_ms=cold_ms)
        self.fleet.store.put("servers", f"leaf-{number}", spec)
        self._record(f"leaf-{number}")

    def make_any(self):
        """Add, change or remove a random leaf."""
        number = self.rng.randrange(LEAF_COUNT)
        name = f"leaf-{number}"
        if (
            name in self.fleet.store.objects["servers"]
            and self.rng.random() < 0.4
        ):
            self.remove(number)
        else:
            self.put(number)

    def remove(self, number):
        """Remove the entry of a leaf."""
        self.fleet.store.delete("servers", f"leaf-{number}")
        self._record(f"leaf-{number}")

    def _record(self, name):
        self.changed_ms[name] = self.fleet.network.clock.now_ms()

    def missing(self, vm):
        """Return when the entries changed that a VM knows otherwise."""
        stored = self.fleet.store.objects["servers"]
        views = self.fleet.gateways[vm].parts.views
        known = views.caches[Collection.LEAFS].objects
        return [
            changed_ms
            for name, changed_ms in self.changed_ms.items()
            if (name in known) != (name in stored)
            or (name in known and known[name].content != stored[name]["spec"])
        ]


class ViewAgeTest(unittest.TestCase):
    def setUp(self):
        self.fleet = start_fleet()
        self.network = self.fleet.network
        self.changes = Changes(self.fleet)

    def leaf_follower(self, vm):
        return self.fleet.gateways[vm].parts.followers[Collection.LEAFS]

    def test_a_vm_knows_how_old_the_view_of_its_peer_is(self):
        reader, *followers = ranked_vms(self.fleet)
        self.network.run_for(3.0)
        cut_ms = self.network.clock.now_ms()
        self.network.cut(STORE, reader)
        self.changes.put(1)
        self.network.run_for(1.0)
        for vm in followers:
            self.assertLess(self.leaf_follower(vm).confirmed_ms, cut_ms + 1.0)

    def test_a_vm_that_turns_to_the_store_does_not_pass_on_an_old_view(self):
        reader, second, *_ = ranked_vms(self.fleet)
        self.network.cut(STORE, reader)
        self.network.cut(STORE, second)
        follower = self.leaf_follower(second)
        views = self.fleet.gateways[second].parts.views
        for _ in range(120):
            self.network.run_for(STEP_S)
            age_ms = self.network.clock.now_ms() - follower.confirmed_ms
            if age_ms > follower.max_age_ms:
                self.assertFalse(views.is_confirmed())


class RemovalTest(unittest.TestCase):
    def test_a_removal_reaches_a_vm_that_knew_more_than_its_peer(self):
        fleet = start_fleet()
        network = fleet.network
        changes = Changes(fleet)
        reader, second, third, *_ = ranked_vms(fleet)
        changes.put(1)
        network.run_for(2.0)
        # The third VM has only the store, and the second one has nothing.
        for cut in ((reader, second), (reader, third), (STORE, second)):
            network.cut(*cut)
        network.run_for(4.0)
        changes.put(1)
        network.run_for(2.0)
        network.cut(STORE, third)
        changes.remove(1)
        # The second VM gets both changes as one, and the third follows it.
        network.heal(reader, second)
        network.run_for(15.0)
        for cut in ((reader, third), (STORE, second), (STORE, third)):
            network.heal(*cut)
        network.run_for(NEWS_MS / 1_000.0)
        for vm in fleet.gateways:
            self.assertEqual(changes.missing(vm), [])


class DeepTreeTest(unittest.TestCase):
    """A data centre of 50 VMs: three hops from the reader to the last."""

    VM_COUNT = 50
    CALM_S = 25.0

    def test_in_calm_times_all_views_stay_confirmed(self):
        fleet = start_fleet(1)
        changes = Changes(fleet)
        rng = random.Random(1)
        for number in range(1, self.VM_COUNT):
            # One after the other, so that their requests are out of step.
            fleet.add_gateway(
                f"vm{number}", FAST_BYTES_PER_S, first_start=False
            )
            fleet.network.run_for(rng.uniform(0.1, 0.4))
        fleet.network.run_for(10.0)
        changes.put(1)
        sources = {vm: p.parts.feed.peer for vm, p in fleet.gateways.items()}
        fleet.store.calls.clear()
        for _ in range(round(self.CALM_S / STEP_S)):
            fleet.network.run_for(STEP_S)
            for vm, process in fleet.gateways.items():
                self.assertTrue(process.parts.views.is_confirmed())
                self.assertEqual(process.parts.feed.peer, sources[vm])
        # The reader alone calls the store, for less than two calls a second.
        self.assertLess(fleet.store.price, 2.0 * self.CALM_S)


class StoreCallsTest(unittest.TestCase):
    """Failures that only the reader of a data centre has cost its calls."""

    def setUp(self):
        self.fleet = start_fleet()
        self.network = self.fleet.network
        self.reader, *_ = ranked_vms(self.fleet)
        self.network.run_for(5.0)

    def price_in(self, seconds):
        before = self.fleet.store.price
        self.network.run_for(seconds)
        return self.fleet.store.price - before

    def check_news(self):
        changes = Changes(self.fleet)
        changes.put(1)
        self.network.run_for(2.0)
        for vm in self.fleet.gateways:
            self.assertEqual(changes.missing(vm), [])

    def test_a_reset_of_the_readers_connections(self):
        calm = self.price_in(10.0)
        for transport in self.fleet.hosts[self.reader].transports:
            if transport.other.host.name == STORE:
                transport.abortConnection()
        # The reader and the VM that ranks next probe and watch anew.
        self.assertLessEqual(self.price_in(10.0), calm + 4 * len(Collection))
        self.check_news()

    def test_a_short_outage_of_the_store(self):
        calm = self.price_in(10.0)
        self.fleet.store.refuse = 503
        during = self.price_in(3.0)
        self.fleet.store.refuse = None
        after = self.price_in(7.0)
        # The reader's watches fail, one collection probes, and then each
        # collection probes and watches.
        self.assertLessEqual(during + after, calm + 4 * len(Collection))
        self.check_news()


class ReturnTest(unittest.TestCase):
    """A data centre that was cut off from the store comes back."""

    VM_COUNT = 12
    CUT_S = 7.0
    BACK_S = 5.0

    def test_most_vms_follow_peers_again_and_read_little_themselves(self):
        fleet = start_fleet(self.VM_COUNT)
        network = fleet.network
        changes = Changes(fleet)
        calls_per_s = 1.0
        for vm in fleet.gateways:
            network.cut(STORE, vm)
        network.run_for(self.CUT_S)
        changes.put(1)
        for vm in fleet.gateways:
            network.heal(STORE, vm)
        fleet.store.calls.clear()
        network.run_for(self.BACK_S)
        for vm in fleet.gateways:
            self.assertEqual(changes.missing(vm), [])
        # The readers of the data centre, and at most a probe, a watch and the
        # leafs' of each other VM.
        allowed = 4 * len(Collection) + 4 * self.VM_COUNT
        self.assertLess(
            len(fleet.store.calls), allowed + calls_per_s * self.BACK_S
        )
        followed = [vm for vm in fleet.gateways.values() if vm.parts.feed.peer]
        self.assertEqual(len(followed), self.VM_COUNT - 1)


class RandomCutsTest(unittest.TestCase):
    """Cuts one-way paths at random; VMs follow each other or the store."""

    def play(self, seed):
        self.rng = random.Random(seed)
        self.fleet = start_fleet()
        self.network = self.fleet.network
        self.changes = Changes(self.fleet)
        self.healed_ms = self.network.clock.now_ms()
        hosts = [STORE, *self.fleet.gateways]
        for _ in range(CUT_COUNT):
            cuts = {
                tuple(self.rng.sample(hosts, 2))
                for _ in range(self.rng.randint(1, 4))
            }
            cuts |= {(STORE, vm) for vm in hosts[1:] if self.rng.random() < 0.3}
            self.run_cut(cuts, self.rng.uniform(0.3, 8.0))
        self.run_steps(10.0)

    def run_cut(self, cuts, seconds):
        for cut in cuts:
            self.network.cut(*cut)
        self.run_steps(seconds)
        for cut in cuts:
            self.network.heal(*cut)
        self.healed_ms = self.network.clock.now_ms()
        self.run_steps(CHANGES_AFTER_CUT_S)
        self.run_steps(self.rng.choice(CALM_S), with_changes=False)

    def run_steps(self, seconds, *, with_changes=True):
        for step in range(round(seconds / STEP_S)):
            if with_changes and step % STEPS_PER_CHANGE == 0:
                self.changes.make_any()
            self.network.run_for(STEP_S)
            for vm in self.fleet.gateways:
                self.check(vm)

    def check(self, vm):
        now_ms = self.network.clock.now_ms()
        missing_ms = min(self.changes.missing(vm), default=now_ms)
        process = self.fleet.gateways[vm]
        follower = process.parts.followers[Collection.LEAFS]
        self.assertLess(follower.confirmed_ms, missing_ms + MAX_ERROR_MS)
        if not self.network.held:
            due_ms = max(missing_ms, self.healed_ms) + NEWS_MS
            self.assertLess(now_ms, due_ms)

    def test_each_vm_gets_the_news_in_time_and_knows_the_age_of_its_view(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(seed)
