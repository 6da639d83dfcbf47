"""Decodes callers' HTTP requests and encodes responses.

The API is described in docs/interfaces/callers.md. Another API for callers
would change only this module and `caller_resource`.
"""

from collections.abc import Callable
import re
from typing import Any

import attrs
import orjson

from oriolegate.exceptions import CallerInputError
from oriolegate.models.answer import Answer
from oriolegate.models.answer import Outcome
from oriolegate.models.answer import Refusal
from oriolegate.models.answer import RelayedOutcome
from oriolegate.models.policy import Priority
from oriolegate.models.request import CallerRequest
from oriolegate.result_codes import ResultCode

NAME_PATTERN = re.compile(r"[A-Za-z0-9_.:-]{1,128}\Z")
MAX_DEADLINE_MS = 3_600_000.0

HTTP_STATUS = {
    ResultCode.BAD_REQUEST: 400,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.UNKNOWN_ROUTE: 404,
    ResultCode.NOT_FOUND: 404,
    ResultCode.DEADLINE_INVALID: 400,
    ResultCode.DEADLINE_PASSED: 400,
    ResultCode.IDEMPOTENCY_KEY_MISSING: 400,
    ResultCode.IDEMPOTENCY_KEY_INVALID: 400,
    ResultCode.KEY_TOO_OLD: 409,
    ResultCode.ALREADY_CLAIMED: 409,
    ResultCode.UNAUTHORIZED: 401,
    ResultCode.QUARANTINED: 429,
    ResultCode.OVERLOADED: 429,
    ResultCode.MAY_HAVE_RUN: 504,
    ResultCode.SHARD_DEADLINE: 504,
}
DEFAULT_STATUS = 503

Header = Callable[[str], str | None]


@attrs.frozen
class WireResponse:
    """An HTTP response to a caller."""

    status: int
    code: ResultCode
    body: bytes
    retry_after_ms: int | None = None


def _name(value: str | None, what: str, default: str) -> str:
    if value is None or value == "":
        return default
    if not NAME_PATTERN.match(value):
        raise CallerInputError(
            f"{what} holds characters that are not allowed or is too long; "
            "use up to 128 letters, digits, '.', '_', ':' and '-'"
        )
    return value


def _deadline_ms(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        deadline_ms = float(value)
    except ValueError:
        deadline_ms = float("nan")
    if not abs(deadline_ms) <= MAX_DEADLINE_MS:
        raise CallerInputError(
            "X-Deadline-Ms is not a number of milliseconds up to "
            f"{MAX_DEADLINE_MS:.0f}",
            ResultCode.DEADLINE_INVALID,
        )
    if deadline_ms <= 0:
        raise CallerInputError(
            "the deadline had passed when the request arrived",
            ResultCode.DEADLINE_PASSED,
        )
    return deadline_ms


def _priority(value: str | None) -> Priority:
    if value is None:
        return Priority.NORMAL
    try:
        return Priority[value.upper()]
    except KeyError:
        raise CallerInputError(
            "X-Priority is not urgent, normal or bulk"
        ) from None


def read_request(
    path: list[str], header: Header, body: bytes, fresh_id: str
) -> CallerRequest:
    """Decode a caller's request.

    Args:
        path: Segments of the path after `/v1`.
        header: Returns the value of a header, or None.
        body: The complete body.
        fresh_id: Request id to use if the caller sent none.

    Raises:
        CallerInputError: The request is invalid; the error's code goes to the
            caller.
    """
    if len(path) != 2 or path[0] not in ("query", "submit"):
        raise CallerInputError(
            "there is nothing at this path; use /v1/query/ROUTE or "
            "/v1/submit/ROUTE",
            ResultCode.NOT_FOUND,
        )
    idempotent = path[0] == "query"
    key = header("Idempotency-Key")
    if not idempotent and not key:
        raise CallerInputError(
            "a submit needs the header Idempotency-Key",
            ResultCode.IDEMPOTENCY_KEY_MISSING,
        )
    shard_key = header("X-Shard-Key")
    return CallerRequest(
        request_id=_name(header("X-Request-Id"), "X-Request-Id", fresh_id),
        caller=_name(header("X-Caller"), "X-Caller", "anonymous"),
        route=_name(path[1], "the route", ""),
        body=body,
        deadline_ms=_deadline_ms(header("X-Deadline-Ms")),
        idempotent=idempotent,
        idempotency_key=None if idempotent else _name(key, "the key", ""),
        shard_key=_name(shard_key, "X-Shard-Key", "") or None,
        priority=_priority(header("X-Priority")),
    )


def answer_response(answer: Answer) -> WireResponse:
    """Encode an answer."""
    coverage = answer.coverage
    code = ResultCode.PARTIAL if coverage.missing else ResultCode.OK
    missing = [
        {
            "shard": row.shard,
            "reason": int(row.reason),
            "reason_name": row.reason.name,
        }
        for row in coverage.missing
    ]
    value: dict[str, Any] = {
        "request_id": answer.request_id,
        "code": int(code),
        "service": answer.service,
        "index_version": answer.index_version,
        "coverage": {
            "shards_total": coverage.shards_total,
            "shards_answered": coverage.shards_answered,
            "missing": missing,
        },
        "results": answer.results,
    }
    return WireResponse(200, code, orjson.dumps(value))


def refusal_response(refusal: Refusal) -> WireResponse:
    """Encode a refusal."""
    value = {
        "request_id": refusal.request_id,
        "code": int(refusal.code),
        "code_name": refusal.code.name,
        "run_state": refusal.run_state.value,
        "message": refusal.message,
        "retry_after_ms": refusal.retry_after_ms,
    }
    return WireResponse(
        HTTP_STATUS.get(refusal.code, DEFAULT_STATUS),
        refusal.code,
        orjson.dumps(value),
        refusal.retry_after_ms,
    )


def response(outcome: Outcome) -> WireResponse:
    """Encode the outcome of a request."""
    match outcome:
        case Answer():
            return answer_response(outcome)
        case Refusal():
            return refusal_response(outcome)
        case RelayedOutcome():
            return WireResponse(
                outcome.status,
                outcome.code,
                outcome.body,
                outcome.retry_after_ms,
            )
