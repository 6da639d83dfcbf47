"""Wire format of the upstream protocol; see docs/interfaces/upstream.md.

Another wire format would change this module only.
"""

from collections.abc import Callable
from typing import Any

import attrs
import httptools
import orjson

from oriolegate.coordinator.messages import SendSub
from oriolegate.coordinator.messages import SubRequestId
from oriolegate.exceptions import UpstreamMessageError
from oriolegate.upstreams.leaf_state import ReportedState

MAX_BODY_BYTES = 1_000_000

STATES = {state.value.encode(): state for state in ReportedState}


@attrs.define(eq=False)
class WireAnswer:
    """Answer of a leaf, as parsed from the wire.

    Attributes:
        status: HTTP status.
        query: Query id that the answer repeats.
        shard: Shard that the answer repeats, or -1.
        attempt: Attempt that the answer repeats, or -1.
        state: State that the leaf reports, or None.
        incarnation: Incarnation of the leaf.
        index_version: Version of the index that the results come from.
        not_run: Reason why the sub-request did not run, or empty.
        body: Body, not decoded.
        keep_alive: Whether the connection stays open.
    """

    status: int = 0
    query: bytes = b""
    shard: int = -1
    attempt: int = -1
    state: ReportedState | None = None
    incarnation: int = 0
    index_version: int = 0
    not_run: str = ""
    body: bytes = b""
    keep_alive: bool = True


def _set_state(answer: WireAnswer, value: bytes) -> None:
    answer.state = STATES.get(value)


def _set_number(field: str) -> Callable[[WireAnswer, bytes], None]:
    def set_field(answer: WireAnswer, value: bytes) -> None:
        setattr(answer, field, int(value))

    return set_field


def _set_query(answer: WireAnswer, value: bytes) -> None:
    answer.query = value


def _set_not_run(answer: WireAnswer, value: bytes) -> None:
    answer.not_run = value.decode("latin-1")


HEADER_SETTERS: dict[bytes, Callable[[WireAnswer, bytes], None]] = {
    b"x-query": _set_query,
    b"x-shard": _set_number("shard"),
    b"x-attempt": _set_number("attempt"),
    b"x-index-version": _set_number("index_version"),
    b"x-leaf-state": _set_state,
    b"x-incarnation": _set_number("incarnation"),
    b"x-not-run": _set_not_run,
}


class AnswerReader:
    """Parses the answers received on one connection.

    Attributes:
        answers: Complete answers not yet returned by `feed`.
        current: Answer being parsed.
        parts: Body parts of the current answer received so far.
        size_bytes: Total size of the parts.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.answers: list[WireAnswer] = []
        self.current = WireAnswer()
        self.parts: list[bytes] = []
        self.size_bytes = 0

    def feed(self, data: bytes) -> list[WireAnswer]:
        """Parse received bytes and return the completed answers.

        Raises:
            UpstreamMessageError: If the bytes aren't valid HTTP or a body is
                too large.
        """
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, ValueError) as error:
            raise UpstreamMessageError(
                f"the upstream's answer can't be read: {error}"
            ) from error
        if not self.answers:
            return []
        answers = self.answers
        self.answers = []
        return answers

    def on_message_begin(self) -> None:
        """Start an answer; called by the parser."""
        self.current = WireAnswer()
        self.parts = []
        self.size_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header; called by the parser."""
        setter = HEADER_SETTERS.get(name.lower())
        if setter is not None:
            setter(self.current, value)

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; called by the parser."""
        self.size_bytes += len(body)
        if self.size_bytes > MAX_BODY_BYTES:
            raise ValueError("the body is larger than allowed")
        self.parts.append(body)

    def on_message_complete(self) -> None:
        """Complete the answer; called by the parser."""
        answer = self.current
        answer.status = self.parser.get_status_code()
        answer.keep_alive = self.parser.should_keep_alive()
        parts = self.parts
        answer.body = parts[0] if len(parts) == 1 else b"".join(parts)
        self.answers.append(answer)


def query_id(process: bytes, sub: SubRequestId) -> bytes:
    """Return the id of a query, which is unique across VMs."""
    return b"%b.%d" % (process, sub.query)


def encode_sub_request(process: bytes, effect: SendSub) -> bytes:
    """Return the HTTP request of a sub-request.

    Args:
        process: Prefix that makes query numbers unique across VMs.
        effect: Sub-request to send.
    """
    sub = effect.sub
    key = effect.idempotency_key
    key_header = (
        b""
        if key is None
        else b"X-Idempotency-Key: %b\r\n" % (key.encode("ascii"))
    )
    return (
        b"POST /query HTTP/1.1\r\nHost: leaf\r\n"
        b"X-Query: %b\r\nX-Shard: %d\r\nX-Attempt: %d\r\n"
        b"X-Index-Version: %d\r\nX-Deadline-Ms: %d\r\n%b"
        b"Content-Length: %d\r\n\r\n%b"
        % (
            query_id(process, sub),
            sub.shard,
            sub.attempt,
            effect.index_version,
            effect.deadline_ms,
            key_header,
            len(effect.body),
            effect.body,
        )
    )


def encode_cancellation(process: bytes, sub: SubRequestId) -> bytes:
    """Return the HTTP request that cancels a sub-request."""
    return (
        b"POST /cancel HTTP/1.1\r\nHost: leaf\r\n"
        b"X-Query: %b\r\nX-Shard: %d\r\nX-Attempt: %d\r\n"
        b"Content-Length: 0\r\n\r\n"
        % (query_id(process, sub), sub.shard, sub.attempt)
    )


def decode_results(body: bytes) -> list[Any]:
    """Decode the results of one shard.

    Raises:
        UpstreamMessageError: If the body does not follow the protocol.
    """
    try:
        results = orjson.loads(body)["results"]
    except (orjson.JSONDecodeError, KeyError, TypeError) as error:
        raise UpstreamMessageError(
            "the upstream's results can't be read"
        ) from error
    if not isinstance(results, list):
        raise UpstreamMessageError("the upstream's results are not a list")
    return results
