"""Tests of open connections that go silent for good; whole gateways.

New connections work, nothing is reset, and the peer acknowledges at the TCP
level, so that only the missing answer shows it.
"""

from oriolegate.models.stored import Collection
from oriolegate.platform import store_calls
from oriolegate.runtime import gateway as gateway_module
from tests.runtime.test_store_reader_cuts import CALM_S
from tests.runtime.test_store_reader_cuts import STORE
from tests.runtime.test_store_reader_cuts import StoreReaderCutCase

# All VMs are in touch again so long after the connections went silent.
CONTACT_S = 5.0
# A change is in force so long after its acknowledgement.
APPLY_S = {
    Collection.LEAFS: 4.0,
    Collection.CONFIGURATION: 4.0,
    Collection.EVACUATIONS: 5.0,
    Collection.CRASHES: 5.0,
    Collection.MEMBERS: 5.0,
}
KINDS = {
    collection: path.rpartition("/")[2]
    for collection, path in store_calls.PATHS.items()
}
MEMBERS_TRUSTED_S = gateway_module.MEMBERS_TRUSTED_MS / 1_000.0
# Moments of the silence within the cycle of watches: the last change was that
# long before.
OFFSETS_S = [round(0.05 + 0.67 * number, 2) for number in range(10)]
# Moments of the change after the silence.
CHANGE_AFTER_S = (0.02, 0.9, 2.0, 4.0)


class SilentConnectionCase(StoreReaderCutCase):
    """A fleet whose changes are timed by the rules' bounds."""

    def setUp(self):
        super().setUp()
        self.serial = 0
        self.targets = self.record_targets()

    def record_targets(self):
        """Record the target of the last call on each connection."""
        targets = {}
        handle = self.fleet.store.handle

        def record(request):
            targets[request.transport] = request.uri.decode()
            handle(request)

        self.fleet.store.handle = record
        return targets

    def is_watch(self, transport):
        return "watch=" in self.targets.get(transport.other, "")

    def write(self, collection):
        """Change a collection; return the name of the new object."""
        self.serial += 1
        if collection is Collection.CONFIGURATION:
            self.change()
            return "main"
        name = f"new-{self.serial}"
        content = {
            Collection.LEAFS: lambda: self.fleet.leaf_spec("first", "s1"),
            Collection.EVACUATIONS: dict,
            Collection.MEMBERS: lambda: self.member_content(name),
            Collection.CRASHES: dict,
        }[collection]()
        self.fleet.store.put(KINDS[collection], name, content)
        return name

    def member_content(self, name):
        stored = self.fleet.store.objects[KINDS[Collection.MEMBERS]]
        return stored[self.ranked[-1]]["spec"] | {"zone": f"dc-{name}"}

    def check_read(self, collection, name):
        wanted = self.fleet.store.objects[KINDS[collection]][name]["meta"]
        caches = {
            vm: process.parts.views.caches[collection].objects
            for vm, process in self.fleet.gateways.items()
        }
        behind = [
            vm
            for vm, objects in caches.items()
            if name not in objects
            or objects[name].revision < wanted["revision"]
        ]
        self.assertEqual(behind, [])

    def play(self, silence):
        for offset_s in OFFSETS_S:
            for after_s in CHANGE_AFTER_S:
                self.play_one(silence, offset_s, after_s)

    def play_one(self, silence, offset_s, after_s):
        """Change all collections, before and after the silence."""
        for collection in APPLY_S:
            self.write(collection)
        self.network.run_for(offset_s)
        silence()
        self.network.run_for(after_s)
        written = {collection: self.write(collection) for collection in APPLY_S}
        passed_s = after_s
        for collection, apply_s in APPLY_S.items():
            due_s = max(CONTACT_S, after_s + apply_s)
            self.network.run_for(max(0.0, due_s - passed_s))
            passed_s = max(passed_s, due_s)
            with self.subTest(
                collection=collection.name, offset_s=offset_s, after_s=after_s
            ):
                self.check_read(collection, written[collection])
        self.network.run_for(CALM_S - passed_s)


class SilentReaderTest(SilentConnectionCase):
    def test_a_change_is_read_in_time_though_a_readers_watches_are_silent(self):
        reader = self.ranked[0]
        self.play(
            lambda: self.network.silence_connections(
                reader, STORE, self.is_watch
            )
        )

    def test_a_change_is_read_in_time_though_all_store_connections_are_silent(
        self,
    ):
        def silence():
            for vm in self.ranked:
                self.network.silence_connections(vm, STORE)

        self.play(silence)

    def test_a_change_is_read_in_time_though_all_connections_are_silent(self):
        def silence():
            for vm in self.ranked:
                for other in (STORE, *self.ranked):
                    self.network.silence_connections(vm, other)

        self.play(silence)

    def test_a_change_is_read_in_time_though_a_followers_feed_is_silent(self):
        def silence():
            for vm in self.ranked[1:]:
                self.network.silence_connections(vm, self.ranked[0])

        self.play(silence)


class LostAnswerTest(SilentConnectionCase):
    def test_a_change_is_read_in_time_though_the_answer_to_a_watch_is_lost(
        self,
    ):
        """The answer that is lost carries the change itself."""
        reader = self.ranked[0]
        collection = Collection.CONFIGURATION
        for offset_s in OFFSETS_S:
            with self.subTest(offset_s=offset_s):
                self.network.run_for(offset_s)
                self.network.silence_connections(reader, STORE, self.is_watch)
                name = self.write(collection)
                self.network.run_for(CONTACT_S)
                self.check_read(collection, name)
                self.network.run_for(CALM_S - CONTACT_S)


class StaleMembersTest(SilentConnectionCase):
    def test_members_are_not_known_by_the_answers_to_other_watches(self):
        reader = self.ranked[0]
        gateway = self.fleet.gateways[reader]
        path = store_calls.PATHS[Collection.MEMBERS]
        handle = self.fleet.store.handle

        def lose_members(request):
            if not request.uri.decode().startswith(f"{path}?"):
                handle(request)

        self.fleet.store.handle = lose_members
        self.assertTrue(gateway.parts.directory.members_known)
        self.network.run_for(CALM_S + MEMBERS_TRUSTED_S)
        self.assertFalse(gateway.parts.directory.members_known)
        self.fleet.store.handle = handle
        self.network.run_for(CONTACT_S)
        self.assertTrue(gateway.parts.directory.members_known)
