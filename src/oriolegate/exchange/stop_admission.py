"""Decides whether a stopping VM still takes a request.

A request that is still open when the process exits ends with an error and may
have run. A refused one has not run, and its caller reaches another VM at once.
"""

import attrs

from oriolegate.models.site import Repeatability
from oriolegate.models.site import Route
from oriolegate.placement.route_latency import RouteLatencies

# Time that must be left, as a multiple of the route's usual latency. More for
# requests that may not be repeated, as their callers can't try again.
REPEATABLE_FACTOR = 1.0
ONCE_FACTOR = 2.0
# Time to write the answer to the caller.
REPLY_MS = 50.0


@attrs.frozen
class StopAdmission:
    """Admission until a planned exit.

    Attributes:
        exit_ms: When all open requests are answered.
        latencies: Latencies of the routes.
    """

    exit_ms: float
    latencies: RouteLatencies

    def can_end(self, now_ms: float, route: Route) -> bool:
        """Return whether a new request probably ends before the exit."""
        factor = ONCE_FACTOR
        if route.repeatability is Repeatability.IDEMPOTENT:
            factor = REPEATABLE_FACTOR
        latency = self.latencies.for_route(route.name, route.target_ms)
        needed_ms = factor * latency.usual_ms + REPLY_MS
        return now_ms + needed_ms <= self.exit_ms
