"""What a caller is answered, given what came of the parts."""

from collections.abc import Sequence

from oriolegate.exchange import merging
from oriolegate.exchange.messages import AnswerGathered
from oriolegate.exchange.messages import PassOn
from oriolegate.exchange.messages import Refuse
from oriolegate.exchange.messages import Reply
from oriolegate.exchange.part import Part
from oriolegate.models.site import Route
from oriolegate.placement.leaf_directory import NoLeaf

STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
# A caller follows a Retry-After up to this part of the time that it has left.
RETRY_AFTER_PART = 1.0 / 3.0
# Longest useful Retry-After: leafs that crashed are back after seconds.
LONGEST_RETRY_AFTER_MS = 1_500.0
# Retry-After where leafs are only busy: a few service times.
BUSY_RETRY_AFTER_MS = 150.0
# Reasons that pass within a few service times.
BUSY_REASONS = frozenset({NoLeaf.ALL_FULL.value, NoLeaf.UNSURE.value})


def may_gather(route: Route, answered: int, parts: int) -> bool:
    """Return whether so many parts make up an answer."""
    return answered > 0 and answered >= route.min_coverage * parts


def gathered(route: Route, parts: Sequence[Part]) -> AnswerGathered:
    """Merge the parts that are in."""
    answers = [part.answer for part in parts if part.answer is not None]
    return AnswerGathered(
        merging.greatest(
            (answer.body for answer in answers), route.record_limit
        ),
        tuple(a.signature for a in answers if a.signature is not None),
        len(parts) - len(answers),
    )


def refusal(parts: Sequence[Part], limit_ms: float, now_ms: float) -> Refuse:
    """Say why there is no answer, and promise "not run" only if it is true.

    Args:
        parts: What came of the parts.
        limit_ms: When the caller's time is over.
        now_ms: The time.
    """
    reasons = {part.waiting for part in parts if part.waiting}
    wanted_ms = LONGEST_RETRY_AFTER_MS
    if reasons <= BUSY_REASONS:
        wanted_ms = BUSY_RETRY_AFTER_MS
    left_ms = max(0.0, limit_ms - now_ms)
    retry_after_ms = min(wanted_ms, left_ms * RETRY_AFTER_PART)
    if any(part.may_have_run for part in parts):
        if now_ms >= limit_ms:
            return Refuse(STATUS_GATEWAY_TIMEOUT, "no answer in time")
        # A part that found no leaf finds one later; a failed one may at once.
        return Refuse(
            STATUS_BAD_GATEWAY,
            ", ".join(sorted({"the upstreams failed", *reasons})),
            retry_after_ms if reasons else None,
        )
    return Refuse(
        STATUS_UNAVAILABLE,
        ", ".join(sorted(reasons)) or "no upstream took it",
        retry_after_ms,
    )


def final_reply(
    route: Route, parts: Sequence[Part], limit_ms: float, now_ms: float
) -> Reply:
    """Choose the answer from what is there.

    Args:
        route: The route of the request.
        parts: What came of the parts.
        limit_ms: When the caller's time is over.
        now_ms: The time.
    """
    if route.shards:
        answered = sum(part.answer is not None for part in parts)
        if may_gather(route, answered, len(parts)):
            return gathered(route, parts)
    else:
        found = parts[0].answer or parts[0].failure
        if found is not None:
            return PassOn(found)
    return refusal(parts, limit_ms, now_ms)
