"""Builds the reply to a caller from the state of the parts."""

from collections.abc import Sequence

from oriolegate.exchange import merging
from oriolegate.exchange import planned_stop
from oriolegate.exchange.messages import AnswerGathered
from oriolegate.exchange.messages import Refuse
from oriolegate.exchange.messages import RelayAnswer
from oriolegate.exchange.messages import Reply
from oriolegate.exchange.part import Part
from oriolegate.models.site import Route
from oriolegate.placement.leaf_directory import NoLeaf

STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
# Callers honour a Retry-After up to this fraction of their remaining timeout.
RETRY_AFTER_FRACTION = 1.0 / 3.0
# Longest useful Retry-After: crashed leafs are back within seconds.
LONGEST_RETRY_AFTER_MS = 1_500.0
# Retry-After if leafs are only busy: a few times the typical work time of a
# request.
BUSY_RETRY_AFTER_MS = 150.0
# Retry-After of a request that this VM can't end before it exits: another VM
# takes it at once.
OTHER_VM_RETRY_AFTER_MS = 0.0
# Values of `Part.wait_reason` after which a leaf is usually available within a
# few times the typical work time of a request, at this VM or at another one.
BUSY_REASONS = frozenset(
    {NoLeaf.ALL_FULL.value, NoLeaf.UNSURE.value, NoLeaf.ALL_LIMITED.value}
)


def has_enough_parts(route: Route, answered: int, parts: int) -> bool:
    """Return whether the answered parts reach the minimum coverage."""
    return answered > 0 and answered >= route.min_coverage * parts


def merge_answers(route: Route, parts: Sequence[Part]) -> AnswerGathered:
    """Merge the parts that were answered."""
    answers = [part.answer for part in parts if part.answer is not None]
    return AnswerGathered(
        merging.greatest_records(
            (answer.body for answer in answers), route.record_limit
        ),
        tuple(a.signature for a in answers if a.signature is not None),
        len(parts) - len(answers),
    )


def build_refusal(
    parts: Sequence[Part], limit_ms: float, now_ms: float
) -> Refuse:
    """Build the error for a request without an answer.

    The status is 503 only if no leaf can have run any part of the request.

    Args:
        parts: All parts of the request.
        limit_ms: Deadline of the request.
        now_ms: Current time.
    """
    reasons = {part.wait_reason for part in parts if part.wait_reason}
    preferred_ms = LONGEST_RETRY_AFTER_MS
    if reasons <= BUSY_REASONS:
        preferred_ms = BUSY_RETRY_AFTER_MS
    if reasons == {planned_stop.REFUSAL_REASON}:
        preferred_ms = OTHER_VM_RETRY_AFTER_MS
    usable_at_ms = [
        part.usable_at_ms for part in parts if part.usable_at_ms is not None
    ]
    if usable_at_ms:
        preferred_ms = max(BUSY_RETRY_AFTER_MS, max(usable_at_ms) - now_ms)
    left_ms = max(0.0, limit_ms - now_ms)
    retry_after_ms = min(preferred_ms, left_ms * RETRY_AFTER_FRACTION)
    is_unreachable = any(
        part.is_unreachable and part.answer is None for part in parts
    )
    if any(part.possible_runs for part in parts):
        if now_ms >= limit_ms:
            return Refuse(STATUS_GATEWAY_TIMEOUT, "no answer in time")
        # A part without a free leaf may get a leaf later; after a failure the
        # caller may retry at once.
        return Refuse(
            STATUS_BAD_GATEWAY,
            ", ".join(sorted({"the upstreams failed", *reasons})),
            retry_after_ms if reasons else None,
            is_unreachable,
        )
    return Refuse(
        STATUS_UNAVAILABLE,
        ", ".join(sorted(reasons)) or "no upstream took it",
        retry_after_ms,
        is_unreachable,
    )


def final_reply(
    route: Route, parts: Sequence[Part], limit_ms: float, now_ms: float
) -> Reply:
    """Return the best reply that the parts allow.

    Args:
        route: Route of the request.
        parts: All parts of the request.
        limit_ms: Deadline of the request.
        now_ms: Current time.
    """
    if route.shards:
        answered = sum(part.answer is not None for part in parts)
        if has_enough_parts(route, answered, len(parts)):
            return merge_answers(route, parts)
    else:
        response = parts[0].answer or parts[0].failure
        if response is not None:
            return RelayAnswer(response)
    return build_refusal(parts, limit_ms, now_ms)
