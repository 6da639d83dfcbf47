"""Claim the idempotency keys of requests that are not idempotent."""

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
    """Claims keys, so that a request that is resent runs only once."""

    def claim(
        self, request: CallerRequest, timeout_ms: float
    ) -> "defer.Deferred[Refusal | None]":
        """Return None once the key is claimed, otherwise a refusal."""
        ...

    def on_outcome(self, request: CallerRequest, outcome: Outcome) -> None:
        """Record the outcome of a request whose key was claimed."""
        ...


class StoreClaimGate:
    """Claims keys in the platform's store.

    Attributes:
        store: Reads and writes claims.
    """

    def __init__(self, store: ClaimStore, clock: Clock) -> None:
        self.store = store
        self.clock = clock

    def claim(
        self, request: CallerRequest, timeout_ms: float
    ) -> "defer.Deferred[Refusal | None]":
        """Claim a request's key before the request is first sent to a leaf.

        Args:
            request: A request that is not idempotent.
            timeout_ms: Time left until the request's deadline.
        """
        assert request.idempotency_key is not None
        pending_decision = self.store.claim(
            request.idempotency_key,
            request.request_id,
            self.clock.now_ms() + timeout_ms,
        )

        def refusal_of(decision: ClaimDecision) -> Refusal | None:
            match decision:
                case ClaimGranted():
                    return None
                case ClaimRefused():
                    return _refusal(request, decision)

        return pending_decision.addCallback(refusal_of)

    def on_outcome(self, request: CallerRequest, outcome: Outcome) -> None:
        """Record the outcome of a request whose key was claimed.

        A refusal "not run" guarantees that the request will not be sent to
        a leaf, so that the claim can be released.
        """
        assert request.idempotency_key is not None
        run_state = RunState.RAN
        code = ResultCode.OK
        if isinstance(outcome, Refusal):
            run_state = outcome.run_state
            code = outcome.code
        self.store.on_outcome(
            request.idempotency_key, request.request_id, run_state, code
        )


def _refusal(request: CallerRequest, refused: ClaimRefused) -> Refusal:
    retry_ms = refused.retry_after_ms
    return Refusal(
        request.request_id,
        refused.code,
        refused.run_state,
        refused.message,
        None if retry_ms is None else int(retry_ms),
    )
