"""What a caller gets: an answer with its coverage, or a refusal."""

from typing import Any

import attrs

from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState


@attrs.frozen
class MissingShard:
    """A shard whose results an answer lacks, and why."""

    shard: int
    reason: ResultCode


@attrs.frozen
class Coverage:
    """How much of the index an answer covers.

    Attributes:
        shards_total: Shards of the pinned index version that were asked for.
        shards_answered: Shards whose results are in the answer.
        missing: The others, with reasons.
    """

    shards_total: int
    shards_answered: int
    missing: tuple[MissingShard, ...] = ()


@attrs.frozen
class Answer:
    """A whole answer from one index version."""

    request_id: str
    service: str
    index_version: int
    coverage: Coverage
    results: list[Any]


@attrs.frozen
class Refusal:
    """A request that got no answer.

    Attributes:
        request_id: The request.
        code: Why.
        run_state: NOT_RUN only if no upstream can have run the request.
        message: One sentence for the caller.
        retry_after_ms: When to ask again, or None.
    """

    request_id: str
    code: ResultCode
    run_state: RunState
    message: str
    retry_after_ms: int | None = None


@attrs.frozen
class RelayedOutcome:
    """An outcome that another VM has written; it is passed on unread.

    Attributes:
        request_id: The request.
        status: HTTP status.
        code: Result code.
        body: The body for the caller.
        retry_after_ms: When to ask again, or None.
    """

    request_id: str
    status: int
    code: ResultCode
    body: bytes
    retry_after_ms: int | None


Outcome = Answer | Refusal | RelayedOutcome
