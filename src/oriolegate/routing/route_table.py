"""Finds the route of a request by host and longest path prefix."""

import attrs

from oriolegate.models.site import Configuration
from oriolegate.models.site import Route


@attrs.define
class WeightedRoundRobin:
    """Distributes requests among services in proportion to their weights.

    Smooth weighted round robin: over any sequence of requests, each service's
    count differs from its share by at most one.
    """

    route: Route
    credits: list[float] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.credits = [0.0] * len(self.route.split)

    def next_service(self) -> str:
        """Return the service of the next request."""
        split = self.route.split
        if len(split) == 1:
            return split[0].service
        for index, part in enumerate(split):
            self.credits[index] += part.weight
        best = max(range(len(split)), key=self.credits.__getitem__)
        self.credits[best] -= sum(part.weight for part in split)
        return split[best].service


@attrs.define
class PrefixNode:
    """The routes below one path prefix.

    Attributes:
        route: Route of this prefix, or None.
        children: Nodes of the prefixes that are one segment longer, by that
            segment.
    """

    route: Route | None = None
    children: "dict[str, PrefixNode]" = attrs.field(factory=dict)


class RouteTable:
    """The routes of one configuration version."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.by_host: dict[str, PrefixNode] = {}
        self.round_robins: dict[str, WeightedRoundRobin] = {}
        for route in configuration.routes:
            self._add(route)

    def _add(self, route: Route) -> None:
        segments = route.prefix.split("/")
        if len(segments) < 2 or segments[0] or segments[-1]:
            # Only a prefix that begins and ends with a slash matches anything.
            return
        node = self.by_host.setdefault(route.host, PrefixNode())
        for segment in segments[1:-1]:
            node = node.children.setdefault(segment, PrefixNode())
        node.route = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None if there is none.

        Looks at no more segments than the longest prefix has: the path may be
        as long as a header, with a slash at each byte.

        Args:
            host: Host that the request names, without a port.
            path: Path without the query.
        """
        node = self.by_host.get(host.lower())
        if node is None or not path.startswith("/"):
            return None
        route = node.route
        start = 1
        while node.children and (slash := path.find("/", start)) >= 0:
            child = node.children.get(path[start:slash])
            if child is None:
                break
            node = child
            route = node.route or route
            start = slash + 1
        return route

    def services(self, route: Route) -> tuple[str, ...]:
        """Return the services that a request of this route is sent to."""
        if route.shards:
            return route.shards
        round_robin = self.round_robins.get(route.name)
        if round_robin is None:
            round_robin = self.round_robins[route.name] = WeightedRoundRobin(
                route
            )
        return (round_robin.next_service(),)
