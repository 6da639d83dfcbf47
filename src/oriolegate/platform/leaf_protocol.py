"""Encodes HTTP requests to leafs and decodes their responses."""

import attrs

from oriolegate.exchange.messages import CallerCall
from oriolegate.exchange.messages import LeafAnswer
from oriolegate.exchange.messages import SendOutcome
from oriolegate.models.header_lines import HeaderLines
from oriolegate.models.leaf_notice import LeafNotice
from oriolegate.models.leaf_notice import NO_NOTICE
from oriolegate.models.site import LeafEntry
from oriolegate.network.http_reader import HttpResponse
from oriolegate.platform import header_names

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Set by this VM itself, or valid only for the connection to the caller.
NOT_FORWARDED = HOP_BY_HOP | {
    b"content-length",
    b"expect",
    header_names.TIME_LEFT_MS,
    header_names.EXPECTED_LEAF,
}
MS_PER_S = 1_000.0
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
# Statuses that promise the caller that its request never runs. If a leaf sends
# one, it is trusted only together with the header `header_names.NOT_RUN`.
NOT_RUN_STATUSES = (408, 429, 503)
# Highest limit that a leaf may name.
MAX_LIMIT_PER_S = 1_000_000.0
IS_LEAVING = b"1"
# Longest time for which a leaf may ask for no requests: after it, the leaf is
# asked again.
MAX_QUIET_MS = 60_000.0
BODY_METHODS = (b"POST", b"PUT", b"PATCH")


@attrs.frozen
class HealthReport:
    """Decoded response to a health check.

    Attributes:
        leaf_id: Id of the leaf that answered; empty if not stated.
        healthy: Whether the leaf accepts requests.
        cold_left_ms: How much longer the leaf stays cold.
    """

    leaf_id: str
    healthy: bool
    cold_left_ms: float


@attrs.frozen
class NoAnswer:
    """A call that was sent to a leaf and got no usable answer.

    Attributes:
        outcome: Whether the request may have run.
        detail: Why there is no usable answer, for logs.
        connection_rejected: Whether the leaf seems to have rejected a new
            connection.
    """

    outcome: SendOutcome
    detail: str
    connection_rejected: bool = False


def request_head(call: CallerCall) -> bytes:
    """Return request line and headers, without the final blank line.

    Both are the same each time that the call is sent to a leaf.
    """
    head = b"%b %b HTTP/1.1%b" % (call.method, call.target, call.headers.data)
    if call.body or call.method in BODY_METHODS:
        head += b"\r\nContent-Length: %d" % len(call.body)
    return head


def request_bytes(
    head: bytes, body: bytes, leaf: LeafEntry, time_left_ms: float
) -> bytes:
    """Return the bytes that send a call to a leaf once.

    Args:
        head: From `request_head`.
        body: Body of the caller's request.
        leaf: The receiver; another leaf at this address must reject the call.
        time_left_ms: How long this VM waits for the answer.
    """
    return b"%s\r\nDeadline-Ms: %d\r\nTarget-Instance: %s\r\n\r\n%s" % (
        head,
        max(1, int(time_left_ms)),
        leaf.leaf_id.encode("latin-1"),
        body,
    )


def health_request(leaf: LeafEntry, path: str) -> bytes:
    """Return the bytes of a health check."""
    return b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (
        path.encode("latin-1"),
        f"{leaf.host}:{leaf.port}".encode(),
    )


def decode_health_response(response: HttpResponse) -> HealthReport:
    """Decode the response to a health check."""
    cold_header = response.header(header_names.COLD_LEFT_MS)
    try:
        cold_left_ms = float(cold_header) if cold_header else 0.0
    except ValueError:
        cold_left_ms = 0.0
    leaf_id = response.header(header_names.LEAF_ID) or b""
    return HealthReport(
        leaf_id.decode("latin-1"), response.status == 200, cold_left_ms
    )


def _decode_limit(value: bytes) -> float | None:
    try:
        limit_per_s = float(value)
    except ValueError:
        return None
    # A limit that no leaf can reach says nothing; NaN fails both comparisons.
    return limit_per_s if 0.0 <= limit_per_s <= MAX_LIMIT_PER_S else None


def _decode_quiet(value: bytes) -> float | None:
    try:
        quiet_ms = float(value) * MS_PER_S
    except ValueError:
        return None
    return min(quiet_ms, MAX_QUIET_MS) if quiet_ms > 0.0 else None


def decode_notice(response: HttpResponse) -> LeafNotice:
    """Return what a leaf says of itself; invalid values count as unsaid."""
    notice = NO_NOTICE
    for name, value in response.headers:
        if name == header_names.REQUEST_LIMIT:
            notice = attrs.evolve(notice, limit_per_s=_decode_limit(value))
        elif name == header_names.LEAVING:
            notice = attrs.evolve(notice, is_leaving=value == IS_LEAVING)
        elif (
            name == header_names.RETRY_AFTER
            and response.status == STATUS_UNAVAILABLE
        ):
            notice = attrs.evolve(notice, quiet_ms=_decode_quiet(value))
    return notice


def is_answer_to(response: HttpResponse, attempt_id: str) -> bool:
    """Return whether a response answers the attempt `attempt_id`.

    Leafs echo the id in each response to a request. One without it may be a
    late copy of what a leaf has answered to a health check.
    """
    echoed = response.header(header_names.ATTEMPT_ID)
    return echoed == attempt_id.encode("latin-1")


def is_health_response(response: HttpResponse) -> bool:
    """Return whether a response may answer a health check.

    A late copy of an answer to a caller's request doesn't.
    """
    return response.header(header_names.ATTEMPT_ID) is None


def states_request(response: HttpResponse) -> bool:
    """Return whether a response shows what it answers.

    An answer to an attempt states it, and a health report its leaf. A check
    that a full leaf rejects gets neither.
    """
    return (
        response.header(header_names.ATTEMPT_ID) is not None
        or response.header(header_names.LEAF_ID) is not None
    )


def connection_headers(headers: HeaderLines) -> frozenset[bytes]:
    """Return the names of the headers that are limited to one connection."""
    options = {
        token.strip().lower()
        for value in headers.values(b"connection")
        for token in value.split(b",")
    }
    return HOP_BY_HOP | options


def decode_response(response: HttpResponse) -> LeafAnswer | NoAnswer:
    """Decode a leaf's response to a caller's request."""
    if response.status == STATUS_MISDIRECTED:
        return NoAnswer(SendOutcome.WRONG_LEAF, "another leaf has the address")
    if response.header(header_names.NOT_RUN) is not None:
        return NoAnswer(SendOutcome.NOT_RUN, f"status {response.status}")
    if response.status in NOT_RUN_STATUSES:
        return NoAnswer(
            SendOutcome.MAY_HAVE_RUN,
            f"status {response.status} without the header Not-Executed",
        )
    signature = response.header(header_names.SIGNATURE)
    if response.header(b"content-encoding") is not None:
        return NoAnswer(SendOutcome.MAY_HAVE_RUN, "the body is encoded")
    if 200 <= response.status < 300 and not signature:
        return NoAnswer(SendOutcome.MAY_HAVE_RUN, "the signature is missing")
    return LeafAnswer(
        response.status,
        response.headers,
        response.body,
        signature,
    )
