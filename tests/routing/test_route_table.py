"""Tests of matching requests to routes."""

import collections
import functools
import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.models.site import CallerLimits
from oriolegate.models.site import Configuration
from oriolegate.models.site import WeightedService
from oriolegate.routing.route_table import RouteTable
from oriolegate.routing.route_table import WeightedRoundRobin
from tests import counted_steps
from tests import site_builders as build


def table(*routes):
    return RouteTable(Configuration(1, routes, {}, CallerLimits()))


class RouteTableTest(unittest.TestCase):
    def setUp(self):
        self.table = table(
            build.route(name="root", prefix="/"),
            build.route(name="a", prefix="/a/"),
            build.route(name="ab", prefix="/a/b/"),
            build.route(name="other", host="o.example", prefix="/x/"),
        )

    def name(self, host, path):
        route = self.table.match(host, path)
        return route.name if route else None

    def test_the_longest_prefix_wins(self):
        self.assertEqual(self.name("h.example", "/a/b/c"), "ab")
        self.assertEqual(self.name("h.example", "/a/bc"), "a")
        self.assertEqual(self.name("h.example", "/ab"), "root")

    def test_hosts_are_matched_case_insensitively(self):
        self.assertEqual(self.name("H.Example", "/a/"), "a")

    def test_other_hosts_and_paths_have_no_route(self):
        self.assertIsNone(self.name("n.example", "/a/"))
        self.assertIsNone(self.name("o.example", "/y/"))
        self.assertIsNone(self.name("o.example", ""))

    @given(
        strategies.sets(strategies.text(alphabet="/ab", max_size=6)),
        strategies.text(alphabet="/ab", max_size=12),
    )
    def test_the_match_equals_a_search_over_all_prefixes(self, prefixes, path):
        prefixes |= {"/", "/a/", "/a/b/"}
        routes = [build.route(name=p, prefix=p) for p in sorted(prefixes)]
        matching = [
            route
            for route in routes
            if route.prefix[:1] == route.prefix[-1:] == "/"
            and path.startswith(route.prefix)
        ]
        best = max(matching, key=lambda r: len(r.prefix), default=None)
        self.assertIs(table(*routes).match("h.example", path), best)

    # Paths of many slashes kept a process from answering anybody else.
    def test_a_lookup_takes_no_more_steps_for_a_longer_path(self):
        for unit in ("/", "/a", "/a/b"):
            counts = set()
            for size in (4_000, 8_000, 16_000):
                path = unit * (size // len(unit))
                match = functools.partial(self.table.match, "h.example", path)
                counts.add(counted_steps.count_lines(match))
            self.assertEqual(len(counts), 1, (unit, counts))


class WeightedRoundRobinTest(unittest.TestCase):
    @given(
        strategies.lists(strategies.integers(1, 9), min_size=1, max_size=4),
        strategies.integers(1, 100),
    )
    def test_counts_follow_the_weights(self, weights, count):
        split = tuple(
            WeightedService(f"s{index}", float(weight))
            for index, weight in enumerate(weights)
        )
        round_robin = WeightedRoundRobin(build.route(split=split))
        counts = collections.Counter(
            round_robin.next_service() for _ in range(count)
        )
        for part in split:
            expected = count * part.weight / sum(weights)
            self.assertLess(abs(counts[part.service] - expected), len(weights))
