"""Messages by which a VM hands a whole query to a home of its service."""

import attrs

from oriolegate.models.request import CallerRequest


@attrs.frozen
class ForwardedQuery:
    """Asks the receiver to run a request.

    Attributes:
        number: Names the request between these two processes.
        request: The request; its deadline is what is left of it.
    """

    number: int
    request: CallerRequest


@attrs.frozen
class ForwardedResult:
    """What came of a forwarded query, as it goes to the caller.

    Attributes:
        number: As in the `ForwardedQuery`.
        status: HTTP status.
        code: Result code.
        not_run: True only if the request did not run.
        body: The body for the caller; the sender of the query does not
            decode it.
        retry_after_ms: When the caller may ask again, or None.
    """

    number: int
    status: int
    code: int
    not_run: bool
    body: bytes
    retry_after_ms: int | None


@attrs.frozen
class ForwardCancelled:
    """The caller of a forwarded query is gone."""

    number: int


PEER_MESSAGES: tuple[tuple[int, type], ...] = (
    (70, ForwardedQuery),
    (71, ForwardedResult),
    (72, ForwardCancelled),
)
