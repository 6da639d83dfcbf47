"""The moments at which a request's handling changes.

Credit of a gathered answer is the square of the share of its parts if it is
in time and a tenth of that if it is late. So at the target any permitted
share is worth more than the whole answer a moment later. A caller that is
answered late is not kept waiting much longer for the last parts.
"""

import attrs

from oriolegate.models.site import Route

# Way to the caller and back and the delay of timers, taken off the target.
TARGET_MARGIN_MS = 18.0
# Taken off the caller's own limit, so that the answer still reaches it.
LIMIT_MARGIN_MS = 25.0
# Part of the target that a request may wait for a free connection; a caller
# that hears of a refusal within a quarter of it can still be served in time.
QUEUE_PART = 0.2
# The same for a part of a gather: its other parts are worked on meanwhile, and
# half of the target is enough for one more send.
GATHER_QUEUE_PART = 0.5
# How often a waiting part looks for a free leaf.
RETRY_PLACING_MS = 15.0
# Part of the target that a late answer waits for the rest: enough for a second
# send to a near leaf.
LATE_WAIT_PART = 0.25
# How long the only leafs that may still have a part are waited for before it
# is given up, at least, and as a part of the target: leafs pause for up to
# 300 ms, and the longest work takes a little over the target.
LEAST_STUCK_MS = 900.0
STUCK_PART = 2.0
# A request is given up early only if a caller that comes back at once has so
# many times the target left.
RETURN_PART = 2.0
# How long an answer that comes too late may still use its connection.
LINGER_MS = 400.0


@attrs.frozen
class Moments:
    """Moments of one request, in ms of the process's clock.

    Attributes:
        arrived_ms: When it was read.
        queue_until_ms: Until when it may wait for a free leaf.
        target_ms: When a partial answer is given.
        late_until_ms: When a late answer stops waiting for missing parts.
        stuck_after_ms: Age at which a send that can't be replaced is given up.
        early_until_ms: Until when a request that got stuck is given up early.
        limit_ms: When it gets its final answer in any case.
    """

    arrived_ms: float
    queue_until_ms: float
    target_ms: float
    late_until_ms: float
    stuck_after_ms: float
    early_until_ms: float
    limit_ms: float


def moments(
    route: Route, arrived_ms: float, time_left_ms: float | None
) -> Moments:
    """Work out the moments of a request.

    Args:
        route: Its route.
        arrived_ms: When it was read.
        time_left_ms: How long the caller waits, or None.
    """
    allowed_ms = route.timeout_ms
    if time_left_ms is not None:
        allowed_ms = min(allowed_ms, time_left_ms - LIMIT_MARGIN_MS)
    limit_ms = arrived_ms + max(0.0, allowed_ms)
    queue_part = GATHER_QUEUE_PART if route.shards else QUEUE_PART
    target_ms = arrived_ms + max(0.0, route.target_ms - TARGET_MARGIN_MS)
    return Moments(
        arrived_ms=arrived_ms,
        queue_until_ms=arrived_ms + queue_part * route.target_ms,
        target_ms=min(target_ms, limit_ms),
        late_until_ms=min(
            target_ms + LATE_WAIT_PART * route.target_ms, limit_ms
        ),
        stuck_after_ms=max(LEAST_STUCK_MS, STUCK_PART * route.target_ms),
        early_until_ms=limit_ms - RETURN_PART * route.target_ms,
        limit_ms=limit_ms,
    )
