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


class RouteTable:
    """The routes of one configuration version."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.by_host: dict[str, dict[str, Route]] = {}
        self.round_robins: dict[str, WeightedRoundRobin] = {}
        for route in configuration.routes:
            self.by_host.setdefault(route.host, {})[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None if there is none.

        Args:
            host: Host that the request names, without a port.
            path: Path without the query.
        """
        routes = self.by_host.get(host.lower())
        if routes is None:
            return None
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None

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
