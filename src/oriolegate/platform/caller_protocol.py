"""Decodes callers' requests and encodes the answers to them."""

from typing import assert_never

import attrs

from oriolegate.exchange.messages import AnswerGathered
from oriolegate.exchange.messages import CallerCall
from oriolegate.exchange.messages import Headers
from oriolegate.exchange.messages import Refuse
from oriolegate.exchange.messages import RelayAnswer
from oriolegate.exchange.messages import Reply
from oriolegate.platform import headers as names
from oriolegate.platform import leaf_protocol

MS_PER_S = 1_000.0


@attrs.frozen
class HttpReply:
    """An answer to a caller, without the headers that frame its body."""

    status: int
    headers: Headers
    body: bytes


def decode_call(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> CallerCall:
    """Decode a request.

    Args:
        method: Such as GET.
        target: Path and query, as sent.
        headers: All headers, as sent.
        body: The whole body.
    """
    lower = {name.lower(): value for name, value in headers}
    host = lower.get(b"host", b"").decode("latin-1").strip().lower()
    path = target.partition(b"?")[0].decode("latin-1")
    return CallerCall(
        attempt_id=lower.get(names.ATTEMPT_ID, b"").decode("latin-1").strip(),
        method=method,
        target=target,
        host=host.partition(":")[0],
        path=path,
        headers=tuple(
            (name, value)
            for name, value in leaf_protocol.end_to_end(headers)
            if name.lower() not in leaf_protocol.NOT_FORWARDED
        ),
        body=body,
        time_left_ms=_time_left_ms(lower.get(names.TIME_LEFT_MS)),
    )


def _time_left_ms(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        found = float(value)
    except ValueError:
        return None
    return found if found >= 0.0 else None


def encode_reply(reply: Reply, attempt_id: str) -> HttpReply:
    """Encode an answer."""
    match reply:
        case RelayAnswer(answer):
            headers = tuple(
                (name, value)
                for name, value in leaf_protocol.end_to_end(answer.headers)
                if name.lower() != b"content-length"
            )
            return HttpReply(answer.status, headers, answer.body)
        case AnswerGathered(body, signatures, missing):
            return HttpReply(
                200,
                (
                    (b"Content-Type", b"application/octet-stream"),
                    (b"Attempt-Id", attempt_id.encode("latin-1")),
                    (b"Part-Seals", b", ".join(signatures)),
                    (b"Missing-Parts", b"%d" % missing),
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
            return HttpReply(status, tuple(fields), f"{reason}\n".encode())
        case _:
            assert_never(reply)
