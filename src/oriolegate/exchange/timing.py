"""Deadlines of one request.

The target is the route's latency up to which an answer counts as on time. The
value of a scatter-gather answer to the caller is the square of its coverage if
the answer is on time and a tenth of the square if the answer is late. An answer
on time with any permitted coverage is therefore worth more than a complete
answer shortly after the target. A late answer waits only briefly for the
missing parts.
"""

import attrs

from oriolegate.models.site import Route

# Subtracted from the target: network latency to and from the caller, and timer
# delay.
TARGET_MARGIN_MS = 18.0
# Subtracted from the caller's own timeout, so that the answer arrives in time.
LIMIT_MARGIN_MS = 25.0
# Fraction of the target that a request may wait for a free connection. A caller
# that is refused within a quarter of the target can still retry in time.
QUEUE_FRACTION = 0.2
# Fraction of the target that one part of a scatter-gather request may wait for
# a free connection: the other parts run in the meantime, and half of the target
# is enough for one more send.
GATHER_QUEUE_FRACTION = 0.5
# How often a waiting part looks for a free leaf.
PLACEMENT_RETRY_MS = 15.0
# Fraction of the target that a late answer waits for missing parts: enough for
# a second send to a local leaf.
LATE_WAIT_FRACTION = 0.25
# A part whose leafs do not respond is given up after the longer of this minimum
# and this multiple of the target: leafs pause for up to 300 ms, and the longest
# requests run for slightly longer than the target.
MIN_STALL_MS = 900.0
STALL_TARGET_FACTOR = 2.0
# A stalled request is given up early only if this many times the target is left
# for an immediate retry by the caller.
CALLER_RETRY_TARGET_FACTOR = 2.0
# How long open sends may still finish after the reply, so that their
# connections can be reused.
LATE_ANSWER_GRACE_MS = 400.0


@attrs.frozen
class Deadlines:
    """Points in time of one request, in ms of the process's clock.

    Attributes:
        arrived_ms: When the request was read.
        queue_until_ms: Until when the request may wait for a free leaf.
        target_ms: When a partial answer is given.
        late_until_ms: When a late answer stops waiting for missing parts.
        stall_after_ms: Duration after which a part whose leafs do not respond
            is given up.
        give_up_until_ms: Until when a stalled part may be given up early.
        limit_ms: When the final answer is given in any case.
    """

    arrived_ms: float
    queue_until_ms: float
    target_ms: float
    late_until_ms: float
    stall_after_ms: float
    give_up_until_ms: float
    limit_ms: float


def compute_deadlines(
    route: Route, arrived_ms: float, time_left_ms: float | None
) -> Deadlines:
    """Compute the deadlines of a request.

    Args:
        route: Route of the request.
        arrived_ms: When the request was read.
        time_left_ms: Remaining timeout of the caller, or None if not stated.
    """
    allowed_ms = route.timeout_ms
    if time_left_ms is not None:
        allowed_ms = min(allowed_ms, time_left_ms - LIMIT_MARGIN_MS)
    limit_ms = arrived_ms + max(0.0, allowed_ms)
    queue_fraction = GATHER_QUEUE_FRACTION if route.shards else QUEUE_FRACTION
    target_ms = arrived_ms + max(0.0, route.target_ms - TARGET_MARGIN_MS)
    return Deadlines(
        arrived_ms=arrived_ms,
        queue_until_ms=arrived_ms + queue_fraction * route.target_ms,
        target_ms=min(target_ms, limit_ms),
        late_until_ms=min(
            target_ms + LATE_WAIT_FRACTION * route.target_ms, limit_ms
        ),
        stall_after_ms=max(MIN_STALL_MS, STALL_TARGET_FACTOR * route.target_ms),
        give_up_until_ms=limit_ms
        - CALLER_RETRY_TARGET_FACTOR * route.target_ms,
        limit_ms=limit_ms,
    )
