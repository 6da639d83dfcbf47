"""Stands before requests that are not idempotent."""

from twisted.internet import defer

from oriolegate.models.answer import Refusal
from oriolegate.models.request import CallerRequest
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState


class UnclaimedGate:
    """Refuses requests that need a claim: no claim store is wired."""

    def claim(
        self, request: CallerRequest, deadline_ms: float
    ) -> "defer.Deferred[Refusal | None]":
        """Refuse the request; it did not run."""
        return defer.succeed(
            Refusal(
                request.request_id,
                ResultCode.CLAIM_STORE_DOWN,
                RunState.NOT_RUN,
                "this VM can't claim idempotency keys",
            )
        )
