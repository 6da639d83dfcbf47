"""Stands before requests that are not idempotent: claims their keys."""

from typing import Protocol

from twisted.internet import defer

from oriolegate.claims.effects import ClaimGranted
from oriolegate.claims.effects import ClaimRefused
from oriolegate.clock import Clock
from oriolegate.models.answer import Outcome
from oriolegate.models.answer import Refusal
from oriolegate.models.request import CallerRequest
from oriolegate.network.claim_store import ClaimDecision
from oriolegate.network.claim_store import ClaimStore
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState


class ClaimGate(Protocol):
    """Claims the key of a request that is not idempotent."""

    def claim(
        self, request: CallerRequest, limit_ms: float
    ) -> "defer.Deferred[Refusal | None]":
        """Return None once the key is claimed, or why it can't be."""
        ...

    def ended(self, request: CallerRequest, outcome: Outcome) -> None:
        """Take what came of a request whose key was claimed."""
        ...


class StoreClaimGate:
    """Claims keys in the platform's store.

    Attributes:
        store: Carries the claims core's effects.
    """

    def __init__(self, store: ClaimStore, clock: Clock) -> None:
        self.store = store
        self.clock = clock

    def claim(
        self, request: CallerRequest, limit_ms: float
    ) -> "defer.Deferred[Refusal | None]":
        """Claim a request's key before its first dispatch.

        Args:
            request: Not idempotent.
            limit_ms: Time until its deadline.
        """
        assert request.idempotency_key is not None
        decision = self.store.claim(
            request.idempotency_key,
            request.request_id,
            self.clock.now_ms() + limit_ms,
        )

        def told(found: ClaimDecision) -> Refusal | None:
            match found:
                case ClaimGranted():
                    return None
                case ClaimRefused():
                    return _refusal(request, found)

        return decision.addCallback(told)

    def ended(self, request: CallerRequest, outcome: Outcome) -> None:
        """Record what came of a request whose key was claimed.

        A refusal "not run" promises that it will not be dispatched, so its
        claim can be released.
        """
        assert request.idempotency_key is not None
        run_state = RunState.RAN
        code = ResultCode.OK
        if isinstance(outcome, Refusal):
            run_state = outcome.run_state
            code = outcome.code
        self.store.outcome_known(
            request.idempotency_key, request.request_id, run_state, code
        )


def _refusal(request: CallerRequest, found: ClaimRefused) -> Refusal:
    retry_ms = found.retry_after_ms
    return Refusal(
        request.request_id,
        found.code,
        found.run_state,
        found.message,
        None if retry_ms is None else int(retry_ms),
    )
