"""Finds the route of a request by host and longest path prefix."""

import attrs

from oriolegate.models.site import Configuration
from oriolegate.models.site import Route


@attrs.define
class WeightedTurns:
    """Deals requests out in proportion to weights, evenly spread.

    Smooth weighted round robin: over any run of requests each service's
    count is within one of its share.
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
        self.turns: dict[str, WeightedTurns] = {}
        for route in configuration.routes:
            self.by_host.setdefault(route.host, {})[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None.

        Args:
            host: The host that the caller names, without a port.
            path: The path, without a query.
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
        """Return the services that a request of this route needs."""
        if route.shards:
            return route.shards
        turns = self.turns.get(route.name)
        if turns is None:
            turns = self.turns[route.name] = WeightedTurns(route)
        return (turns.next_service(),)
