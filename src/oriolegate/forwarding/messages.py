"""Peer messages that forward a whole query to a home of its service."""

import attrs

from oriolegate.models.request import CallerRequest


@attrs.frozen
class ForwardedQuery:
    """Requests that the receiver runs a query.

    Attributes:
        number: Identifies the query between the two VMs.
        request: The caller's request, with the remaining deadline.
    """

    number: int
    request: CallerRequest


@attrs.frozen
class ForwardedResult:
    """Response to a forwarded query, to be passed on to the caller.

    Attributes:
        number: Number of the `ForwardedQuery`.
        status: HTTP status.
        code: Result code.
        not_run: Whether the query certainly did not run.
        body: Body for the caller; passed on without decoding.
        retry_after_ms: When the caller may retry, or None.
    """

    number: int
    status: int
    code: int
    not_run: bool
    body: bytes
    retry_after_ms: int | None


@attrs.frozen
class ForwardCancelled:
    """Cancels a forwarded query whose caller disconnected."""

    number: int


PEER_MESSAGES: tuple[tuple[int, type], ...] = (
    (70, ForwardedQuery),
    (71, ForwardedResult),
    (72, ForwardCancelled),
)
