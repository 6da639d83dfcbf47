"""Outcome of a request: an answer with its coverage, or a refusal."""

from typing import Any

import attrs

from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState


@attrs.frozen
class MissingShard:
    """A shard whose results are missing in an answer, and why."""

    shard: int
    reason: ResultCode


@attrs.frozen
class Coverage:
    """How much of the index an answer covers.

    Attributes:
        shards_total: Number of shards of the pinned index version that were
            queried.
        shards_answered: Number of shards whose results are in the answer.
        missing: The queried shards without results, with reasons.
    """

    shards_total: int
    shards_answered: int
    missing: tuple[MissingShard, ...] = ()


@attrs.frozen
class Answer:
    """A complete answer from one index version."""

    request_id: str
    service: str
    index_version: int
    coverage: Coverage
    results: list[Any]


@attrs.frozen
class Refusal:
    """A request that got no answer.

    Attributes:
        request_id: Id of the request.
        code: Reason.
        run_state: NOT_RUN only if no upstream can have run the request.
        message: One sentence for the caller.
        retry_after_ms: When the caller should retry, or None.
    """

    request_id: str
    code: ResultCode
    run_state: RunState
    message: str
    retry_after_ms: int | None = None


@attrs.frozen
class RelayedOutcome:
    """An outcome that another VM has encoded and this VM does not decode.

    Attributes:
        request_id: Id of the request.
        status: HTTP status.
        code: Result code.
        body: Response body for the caller.
        retry_after_ms: When the caller should retry, or None.
    """

    request_id: str
    status: int
    code: ResultCode
    body: bytes
    retry_after_ms: int | None


Outcome = Answer | Refusal | RelayedOutcome
