"""Decodes callers' HTTP requests and encodes the responses."""

from typing import assert_never

import attrs

from oriolegate.exchange.messages import AnswerGathered
from oriolegate.exchange.messages import CallerCall
from oriolegate.exchange.messages import Refuse
from oriolegate.exchange.messages import RelayAnswer
from oriolegate.exchange.messages import Reply
from oriolegate.models.header_lines import HeaderLines
from oriolegate.platform import header_names
from oriolegate.platform import leaf_protocol

MS_PER_S = 1_000.0


@attrs.frozen
class HttpReply:
    """An HTTP response to a caller, without its framing headers.

    The server adds Content-Length and Connection.
    """

    status: int
    headers: HeaderLines
    body: bytes


def decode_attempt_id(headers: HeaderLines) -> str:
    """Return the id of a caller's attempt, or an empty string."""
    value = headers.last(header_names.ATTEMPT_ID) or b""
    return value.decode("latin-1").strip()


def decode_call(
    method: bytes, target: bytes, headers: HeaderLines, body: bytes
) -> CallerCall:
    """Decode a caller's request.

    Args:
        method: HTTP method.
        target: Path and query, as received.
        headers: All headers, as received.
        body: The complete body.
    """
    host = (headers.last(b"host") or b"").decode("latin-1").strip().lower()
    dropped = (
        leaf_protocol.connection_headers(headers) | leaf_protocol.NOT_FORWARDED
    )
    path = target.partition(b"?")[0].decode("latin-1")
    return CallerCall(
        attempt_id=decode_attempt_id(headers),
        method=method,
        target=target,
        host=host.partition(":")[0],
        path=path,
        headers=headers.without(dropped),
        body=body,
        time_left_ms=_time_left_ms(headers.last(header_names.TIME_LEFT_MS)),
    )


def _time_left_ms(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        time_left_ms = float(value)
    except ValueError:
        return None
    return time_left_ms if time_left_ms >= 0.0 else None


def encode_reply(reply: Reply, attempt_id: str) -> HttpReply:
    """Encode a reply as an HTTP response."""
    match reply:
        case RelayAnswer(answer):
            dropped = leaf_protocol.connection_headers(answer.headers) | {
                b"content-length"
            }
            return HttpReply(
                answer.status, answer.headers.without(dropped), answer.body
            )
        case AnswerGathered(body, signatures, missing):
            return HttpReply(
                200,
                HeaderLines.of(
                    (
                        (b"Content-Type", b"application/octet-stream"),
                        (b"Attempt-Id", attempt_id.encode("latin-1")),
                        (b"Part-Seals", b", ".join(signatures)),
                        (b"Missing-Parts", b"%d" % missing),
                    )
                ),
                body,
            )
        case Refuse(status, reason, retry_after_ms):
            fields: list[tuple[bytes, bytes]] = [
                (b"Content-Type", b"text/plain")
            ]
            if retry_after_ms is not None:
                seconds = f"{retry_after_ms / MS_PER_S:.3f}"
                fields.append((b"Retry-After", seconds.encode()))
            body = f"{reason}\n".encode()
            return HttpReply(status, HeaderLines.of(fields), body)
        case _:
            assert_never(reply)
