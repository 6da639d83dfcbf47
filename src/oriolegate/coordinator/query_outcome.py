"""Builds the answer or refusal that the caller of a query receives."""

import itertools
import operator
from typing import Any

from oriolegate.coordinator.query_state import QueryState
from oriolegate.models.answer import Answer
from oriolegate.models.answer import Coverage
from oriolegate.models.answer import MissingShard
from oriolegate.models.answer import Refusal
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState

DEFAULT_RETRY_AFTER_MS = 500


_score_of = operator.itemgetter("score")


def _score_or_zero(result: Any) -> float:
    if isinstance(result, dict):
        score = result.get("score", 0.0)
        if isinstance(score, (int, float)):
            return float(score)
    return 0.0


def merge_results(parts: list[list[Any]], limit: int) -> list[Any]:
    """Merge the results of shards, best score first.

    Results without a score come last; ties keep shard order.

    Args:
        parts: The results of each answered shard, in shard order.
        limit: Maximum number of results returned.
    """
    merged = list(itertools.chain.from_iterable(parts))
    try:
        merged.sort(key=_score_of, reverse=True)
    except (KeyError, TypeError, IndexError):
        merged.sort(key=_score_or_zero, reverse=True)
    return merged[:limit]


def coverage_of(query: QueryState) -> Coverage:
    """Return which shards of the pinned index version answered."""
    missing = tuple(
        MissingShard(state.shard, state.missing_reason)
        for state in query.shards.values()
        if state.results is None
    )
    total = len(query.shards)
    return Coverage(total, total - len(missing), missing)


def run_state_of(query: QueryState) -> RunState:
    """Return whether any upstream may have run the request."""
    if query.may_have_run:
        return RunState.MAY_HAVE_RUN
    for state in query.shards.values():
        if state.may_have_run or state.in_flight or state.results is not None:
            return RunState.MAY_HAVE_RUN
    return RunState.NOT_RUN


def build_refusal(
    query: QueryState,
    code: ResultCode,
    message: str,
    retry_after_ms: int = DEFAULT_RETRY_AFTER_MS,
) -> Refusal:
    """Return a refusal with the run state that the attempts show.

    For a non-idempotent request that may have run, the code becomes
    MAY_HAVE_RUN.
    """
    run_state = run_state_of(query)
    if run_state is RunState.MAY_HAVE_RUN and not _is_idempotent(query):
        code = ResultCode.MAY_HAVE_RUN
    return Refusal(query.request_id, code, run_state, message, retry_after_ms)


def _is_idempotent(query: QueryState) -> bool:
    return query.arrival.request.idempotent


def build_outcome(query: QueryState) -> Answer | Refusal:
    """Return the merged answer, or a refusal if coverage is too low."""
    coverage = coverage_of(query)
    policy = query.arrival.policy
    if coverage.shards_answered == 0:
        return _refuse_unanswered(query, coverage)
    fraction = coverage.shards_answered / coverage.shards_total
    if fraction < policy.min_coverage:
        message = (
            f"{coverage.shards_answered} of {coverage.shards_total} shards "
            "answered, fewer than the service's least coverage"
        )
        return build_refusal(query, ResultCode.COVERAGE_TOO_LOW, message)
    parts = [
        state.results
        for state in query.shards.values()
        if state.results is not None
    ]
    return Answer(
        request_id=query.request_id,
        service=query.arrival.service,
        index_version=query.index_version,
        coverage=coverage,
        results=merge_results(parts, policy.result_limit),
    )


def _refuse_unanswered(query: QueryState, coverage: Coverage) -> Refusal:
    reason = ResultCode.NO_REPLICA
    if coverage.missing:
        reason = coverage.missing[0].reason
    if run_state_of(query) is RunState.NOT_RUN:
        message = f"no shard could be asked in time ({reason.name.lower()})"
        return build_refusal(query, ResultCode.NOT_RUN, message)
    return build_refusal(query, reason, "no shard answered in time")
