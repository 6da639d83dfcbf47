"""Tests of sites: replica placement, topology, faults and records."""

import collections
import json
import unittest

from oriolegate.standins.layout import measurement_layout
from oriolegate.standins.leaf_messages import LeafState
from oriolegate.standins.leaf_messages import Query
from oriolegate.standins.named_layouts import NAMED_LAYOUTS
from oriolegate.standins.platform_store import PlatformStore
from oriolegate.standins.site import Site
from oriolegate.standins.site_control import SiteControl


def make_site(layout):
    return Site(layout, PlatformStore(), first_port=20_000, seed=5)


def topology(site, service):
    return site.store.get("topology", service).value


class PlacementTest(unittest.TestCase):
    def layouts(self):
        yield from NAMED_LAYOUTS.values()
        for shards in (3, 30, 130):
            yield measurement_layout(shards)

    def test_replicas_of_a_shard_are_in_different_data_centres(self):
        for layout in self.layouts():
            site = make_site(layout)
            for service in layout.services:
                value = topology(site, service.name)
                shards = value["versions"]["1"]["shards"]
                self.assertEqual(len(shards), service.shards)
                for names in shards:
                    centres = {site.leafs[n].data_centre for n in names}
                    self.assertEqual(len(centres), service.replicas)
                    self.assertGreater(service.replicas, 1)

    def test_first_replicas_are_spread_over_all_data_centres(self):
        for layout in self.layouts():
            site = make_site(layout)
            for service in layout.services:
                value = topology(site, service.name)
                firsts = collections.Counter(
                    site.leafs[names[0]].data_centre
                    for names in value["versions"]["1"]["shards"]
                )
                self.assertEqual(len(firsts), len(layout.regions))
                self.assertLessEqual(
                    max(firsts.values()) - min(firsts.values()), 1
                )

    def test_cold_notice_is_the_longest_latency_plus_loopback_delay(self):
        site = make_site(NAMED_LAYOUTS["anga-pamoja"])
        for leaf in site.leafs.values():
            self.assertEqual(leaf.model.settings.cold_notice_ms, 20.0 + 5.0)

    def test_leafs_of_a_data_centre_hold_shards_evenly(self):
        for layout in self.layouts():
            site = make_site(layout)
            for service in layout.services:
                shard_counts = collections.defaultdict(list)
                for leaf in site.leafs_of(service=service.name):
                    count = len(leaf.model.versions.get(1, ()))
                    shard_counts[leaf.data_centre].append(count)
                for counts in shard_counts.values():
                    self.assertLessEqual(max(counts) - min(counts), 1)

    def test_leafs_serve_exactly_the_shards_in_the_topology(self):
        site = make_site(NAMED_LAYOUTS["consortium"])
        for service in site.layout.services:
            value = topology(site, service.name)
            shards = value["versions"]["1"]["shards"]
            for name in value["leafs"]:
                listed = {s for s, names in enumerate(shards) if name in names}
                self.assertEqual(site.leafs[name].model.versions[1], listed)

    def test_ports_are_consecutive_over_the_whole_site(self):
        site = make_site(NAMED_LAYOUTS["anga-pamoja"])
        ports = [leaf.port for leaf in site.leafs.values()]
        self.assertEqual(ports, list(range(20_000, 20_090)))


class SiteControlTest(unittest.TestCase):
    def setUp(self):
        self.site = make_site(measurement_layout(3, services=2))
        self.control = SiteControl(self.site)
        self.model = self.site.leafs["service-0-00-0"].model

    def act(self, action, **fields):
        return self.control.act_on_leafs(
            50.0, {"action": action, "leaf": "service-0-00-0", **fields}
        )

    def query(self, key=None, index_version=1):
        return Query(
            connection=0,
            query="q",
            shard=next(iter(self.model.versions[1])),
            attempt=0,
            index_version=index_version,
            expires_ms=1e9,
            sent_ms=60.0,
            idempotency_key=key,
        )

    def test_repartition_serves_both_versions_until_the_old_is_retired(self):
        command = {"service": "service-0", "action": "publish", "shards": 5}
        self.assertEqual(self.control.act_on_service(command), 2)
        value = topology(self.site, "service-0")
        self.assertEqual(value["current"], 2)
        self.assertEqual(sorted(value["versions"]), ["1", "2"])
        self.assertEqual(len(value["versions"]["2"]["shards"]), 5)
        self.assertEqual(sorted(self.model.versions), [1, 2])
        command = {"service": "service-0", "action": "withdraw", "version": 1}
        self.control.act_on_service(command)
        value = topology(self.site, "service-0")
        self.assertEqual(sorted(value["versions"]), ["2"])
        self.assertEqual(sorted(self.model.versions), [1, 2])
        self.control.act_on_service({**command, "action": "retire"})
        self.assertEqual(sorted(self.model.versions), [2])
        self.assertEqual(topology(self.site, "service-1")["current"], 1)

    def test_the_current_version_cannot_be_withdrawn(self):
        for action in ("withdraw", "retire"):
            command = {"service": "service-0", "action": action, "version": 1}
            with self.assertRaises(ValueError):
                self.control.act_on_service(command)
        self.assertEqual(topology(self.site, "service-0")["current"], 1)
        self.assertEqual(sorted(self.model.versions), [1])

    def test_each_action_affects_only_the_selected_leafs(self):
        everywhere = self.control.act_on_leafs(0.0, {"action": "drain"})
        self.assertEqual(everywhere, 12)
        self.control.act_on_leafs(0.0, {"action": "end-drain"})
        command = {
            "action": "drain",
            "service": "service-1",
            "data_centre": "dc-1",
        }
        self.assertEqual(self.control.act_on_leafs(0.0, command), 3)
        draining = [
            leaf
            for leaf in self.site.leafs.values()
            if leaf.model.state() is LeafState.DRAINING
        ]
        self.assertEqual({leaf.data_centre for leaf in draining}, {"dc-1"})
        self.assertEqual({leaf.service for leaf in draining}, {"service-1"})

    def test_actions_turn_cold_restart_stop_and_start_a_leaf(self):
        self.act("turn-cold")
        self.assertIs(self.model.state(), LeafState.COLD)
        self.assertEqual(self.model.incarnation, 1)
        self.act("restart")
        self.assertEqual(self.model.incarnation, 2)
        self.act("stop")
        self.assertTrue(self.model.faults.down)
        self.act("start")
        self.assertFalse(self.model.faults.down)
        self.assertEqual(self.model.incarnation, 3)

    def test_faults_are_set_by_name(self):
        self.act("fault", shed=True, slow_factor=4.0, lie="warm")
        faults = self.model.faults
        self.assertEqual(
            (faults.shed, faults.slow_factor, faults.lie), (True, 4.0, "warm")
        )

    def test_invalid_commands_are_refused(self):
        for command in (
            {"action": "explode"},
            {"action": "fault", "shedd": True},
            {"action": "drain", "data_center": "dc-1"},
            {"action": "drain", "leaf": "no-such-leaf"},
        ):
            with self.assertRaises(ValueError):
                self.control.act_on_leafs(0.0, command)
        with self.assertRaises(ValueError):
            self.control.act_on_service({"action": "x", "service": "service-0"})

    def test_records_hold_the_counts_and_runs_of_leafs(self):
        for _ in range(2):
            run = self.query("key-1")
            self.model.on_query_arrived(60.0, run)
            self.model.on_run_done(70.0, run)
        self.model.on_query_arrived(80.0, self.query(index_version=9))
        records = json.loads(json.dumps(self.control.records(with_runs=True)))
        self.assertEqual((records["runs"], records["doubled_runs"]), (2, 1))
        self.assertEqual(records["doubled_keys"], ["key-1"])
        self.assertEqual(records["totals"]["queries"], 3)
        leaf = records["leafs"]["service-0-00-0"]
        self.assertEqual(leaf["not_run"], {"no-version": 1})
        self.assertEqual(records["leafs"]["service-1-00-0"]["queries"], 0)
        self.assertEqual(
            [row["outcome"] for row in records["records"]], ["ran", "ran"]
        )
