"""Wire format of requests that one gateway forwards to another.

`POST /forwarded` with one line of JSON and the caller's body. The response is
200 with one line of JSON and the body for the caller. Any other response is of
a VM whose version doesn't know the path.
"""

from typing import Any

import orjson

from oriolegate.exceptions import PeerMessageError
from oriolegate.exchange.messages import CallerCall
from oriolegate.forwarding.forwarded_call import ForwardedCall
from oriolegate.forwarding.forwarded_call import ForwardedReply
from oriolegate.forwarding.forwarded_call import ForwardState
from oriolegate.models.header_lines import HeaderLines

PATH = b"/forwarded"
CONTENT_TYPE = b"application/x-oriolegate-forwarded"
SEPARATOR = b"\n"


def _encode_headers(headers: HeaderLines) -> list[list[str]]:
    return [[n.decode("latin-1"), v.decode("latin-1")] for n, v in headers]


def _decode_headers(fields: Any) -> HeaderLines:
    return HeaderLines.of(
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in fields
    )


def encode_call(host: str, port: int, forwarded: ForwardedCall) -> bytes:
    """Encode a forwarded request as HTTP.

    Args:
        host: Address of the receiving VM.
        port: Internal port of the receiving VM.
        forwarded: The request.
    """
    call = forwarded.call
    fields = {
        "id": call.attempt_id,
        "method": call.method.decode("latin-1"),
        "target": call.target.decode("latin-1"),
        "host": call.host,
        "path": call.path,
        "headers": _encode_headers(call.headers),
        "time_left_ms": call.time_left_ms,
        "elapsed_ms": round(forwarded.elapsed_ms, 1),
        "min_version": forwarded.min_version,
        "used_attempts": forwarded.used_attempts,
        "is_counted": forwarded.is_counted,
        "vm": forwarded.vm,
        "hold_ms": round(forwarded.hold_ms, 1),
    }
    body = orjson.dumps(fields) + SEPARATOR + call.body
    head = (
        f"POST {PATH.decode()} HTTP/1.1\r\nHost: {host}:{port}\r\n"
        f"Content-Type: {CONTENT_TYPE.decode()}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def decode_call(data: bytes) -> ForwardedCall:
    """Decode the body of a forwarded request.

    Raises:
        PeerMessageError: If the body has another format.
    """
    line, separator, body = data.partition(SEPARATOR)
    try:
        if not separator:
            raise ValueError("incomplete")
        fields = orjson.loads(line)
        time_left_ms = fields["time_left_ms"]
        call = CallerCall(
            attempt_id=str(fields["id"]),
            method=fields["method"].encode("latin-1"),
            target=fields["target"].encode("latin-1"),
            host=str(fields["host"]),
            path=str(fields["path"]),
            headers=_decode_headers(fields["headers"]),
            body=body,
            time_left_ms=None if time_left_ms is None else float(time_left_ms),
        )
        return ForwardedCall(
            call,
            float(fields["elapsed_ms"]),
            int(fields["min_version"]),
            int(fields["used_attempts"]),
            bool(fields["is_counted"]),
            str(fields["vm"]),
            # Earlier versions don't send the field.
            float(fields.get("hold_ms", 0.0)),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise PeerMessageError(f"not a forwarded request: {error}") from error


def encode_reply(reply: ForwardedReply) -> bytes:
    """Encode a response to a forwarded request as an HTTP body."""
    fields = {
        "id": reply.attempt_id,
        "state": reply.state.value,
        "may_have_run": reply.may_have_run,
        "version": reply.version,
        "status": reply.status,
        "headers": _encode_headers(reply.headers),
        "used_attempts": reply.used_attempts,
        "has_arrived": reply.has_arrived,
    }
    return orjson.dumps(fields) + SEPARATOR + reply.body


def is_reply_to(data: bytes, attempt_id: str) -> bool:
    """Return whether a body is the reply to a request.

    A late copy of another reply isn't.
    """
    try:
        return decode_reply(data).attempt_id == attempt_id
    except PeerMessageError:
        return False


def decode_reply(data: bytes) -> ForwardedReply:
    """Decode a body made by `encode_reply`.

    Raises:
        PeerMessageError: If the body has another format.
    """
    line, separator, body = data.partition(SEPARATOR)
    try:
        if not separator:
            raise ValueError("incomplete")
        fields = orjson.loads(line)
        # Earlier versions send neither of the last two.
        used_attempts = fields.get("used_attempts")
        return ForwardedReply(
            str(fields["id"]),
            ForwardState(fields["state"]),
            bool(fields["may_have_run"]),
            int(fields["version"]),
            int(fields["status"]),
            _decode_headers(fields["headers"]),
            body,
            None if used_attempts is None else int(used_attempts),
            bool(fields.get("has_arrived", True)),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise PeerMessageError(
            f"not a response to a forwarded request: {error}"
        ) from error
