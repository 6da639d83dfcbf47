"""The bytes of requests to leafs, and what their responses mean."""

import attrs

from oriolegate.exchange.messages import CallerCall
from oriolegate.exchange.messages import Headers
from oriolegate.exchange.messages import LeafAnswer
from oriolegate.exchange.messages import SendOutcome
from oriolegate.models.site import LeafEntry
from oriolegate.network.http_reader import HttpResponse
from oriolegate.platform import headers as names

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
# Replaced by this VM, or settled between the caller and this VM.
NOT_FORWARDED = HOP_BY_HOP | {
    b"content-length",
    b"expect",
    names.TIME_LEFT_MS,
    names.EXPECTED_LEAF,
}
STATUS_OTHER_LEAF = 421
# By these a caller is promised that its request never runs; a leaf's answer
# may say so only together with the header that states it.
PROMISING_STATUSES = (408, 429, 503)
BODY_METHODS = (b"POST", b"PUT", b"PATCH")


@attrs.frozen
class HealthReport:
    """What a leaf's health answer says.

    Attributes:
        leaf_id: Who answered, or an empty text.
        healthy: Whether it takes requests.
        cold_left_ms: How much longer it stays cold.
    """

    leaf_id: str
    healthy: bool
    cold_left_ms: float


@attrs.frozen
class NoAnswer:
    """A response by which the request was not served.

    Attributes:
        fate: Whether it may have run.
        detail: What came in place of an answer.
        turned_away: Whether the leaf took no further connection.
    """

    fate: SendOutcome
    detail: str
    turned_away: bool = False


def request_head(call: CallerCall) -> bytes:
    """Return what all sends of a call share: line, headers, no blank line."""
    lines = [call.method + b" " + call.target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in call.headers]
    if call.body or call.method in BODY_METHODS:
        lines.append(b"Content-Length: %d" % len(call.body))
    return b"\r\n".join(lines)


def request_bytes(
    head: bytes, body: bytes, leaf: LeafEntry, time_left_ms: float
) -> bytes:
    """Return the bytes of one send.

    Args:
        head: From `request_head`.
        body: The caller's body.
        leaf: The only leaf that may run it.
        time_left_ms: How long the answer is waited for.
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


def health_report(response: HttpResponse) -> HealthReport:
    """Decode the response to a health check."""
    cold = response.header(names.COLD_LEFT_MS)
    try:
        cold_left_ms = float(cold) if cold else 0.0
    except ValueError:
        cold_left_ms = 0.0
    leaf_id = response.header(names.LEAF_ID) or b""
    return HealthReport(
        leaf_id.decode("latin-1"), response.status == 200, cold_left_ms
    )


def belongs(response: HttpResponse, attempt_id: str) -> bool:
    """Return whether a response is one to this attempt."""
    echoed = response.header(names.ATTEMPT_ID)
    return echoed is None or echoed == attempt_id.encode("latin-1")


def end_to_end(headers: Headers | list[tuple[bytes, bytes]]) -> Headers:
    """Return the headers that concern more than one connection."""
    listed = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP and name.lower() not in listed
    )


def interpret(response: HttpResponse) -> LeafAnswer | NoAnswer:
    """Decode a leaf's response to a request."""
    if response.status == STATUS_OTHER_LEAF:
        return NoAnswer(SendOutcome.WRONG_LEAF, "another leaf has the address")
    if response.header(names.NOT_RUN) is not None:
        return NoAnswer(SendOutcome.NOT_RUN, f"status {response.status}")
    if response.status in PROMISING_STATUSES:
        return NoAnswer(
            SendOutcome.MAY_HAVE_RUN,
            f"status {response.status} without a promise",
        )
    signature = response.header(names.SIGNATURE)
    if response.header(b"content-encoding") is not None:
        return NoAnswer(SendOutcome.MAY_HAVE_RUN, "the body is encoded")
    if 200 <= response.status < 300 and not signature:
        return NoAnswer(SendOutcome.MAY_HAVE_RUN, "the signature is missing")
    return LeafAnswer(
        response.status,
        tuple(response.headers),
        response.body,
        signature,
    )
