"""The bytes by which a VM tells another what the store holds.

One request covers all collections: `GET /view?LEAFS=12&...&wait_ms=900`. JSON
and the HTTP client and server that the process has anyway stand in for CBOR
over websockets, since memory is priced on every machine.
"""

from collections.abc import Mapping
from typing import Any
import urllib.parse

import attrs
import orjson

from oriolegate.exceptions import PeerMessageError
from oriolegate.models.stored import Change
from oriolegate.models.stored import ChangeBatch
from oriolegate.models.stored import Collection
from oriolegate.models.stored import ListPage
from oriolegate.models.stored import StoredObject

PATH = b"/view"
WAIT_FIELD = "wait_ms"
# Asks for what is known even if the store can't confirm it now.
UNCONFIRMED_FIELD = "unconfirmed"


@attrs.frozen
class NewsRequest:
    """What a VM asks of another.

    Attributes:
        revisions: What the asking VM has, by collection.
        wait_ms: How long the answer may wait for news.
        unconfirmed: Whether a view that the store can't confirm will do.
    """

    revisions: Mapping[Collection, int]
    wait_ms: int
    unconfirmed: bool = False


News = Mapping[Collection, ChangeBatch | ListPage]


def request_bytes(host: str, port: int, wanted: NewsRequest) -> bytes:
    """Return the bytes of a request.

    Args:
        host: Whom it goes to.
        port: At which port.
        wanted: What is asked.
    """
    fields: dict[str, int] = {
        collection.name: revision
        for collection, revision in wanted.revisions.items()
    }
    fields[WAIT_FIELD] = wanted.wait_ms
    if wanted.unconfirmed:
        fields[UNCONFIRMED_FIELD] = 1
    query = urllib.parse.urlencode(fields)
    return (
        f"GET {PATH.decode()}?{query} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
    ).encode()


def decode_request(target: bytes) -> NewsRequest:
    """Return what a request asks.

    Raises:
        PeerMessageError: If it is another one.
    """
    query = target.partition(b"?")[2].decode("latin-1")
    try:
        fields = {
            name: int(value) for name, value in urllib.parse.parse_qsl(query)
        }
        wait_ms = fields.pop(WAIT_FIELD)
        unconfirmed = bool(fields.pop(UNCONFIRMED_FIELD, 0))
        revisions = {Collection[n]: v for n, v in fields.items()}
    except (KeyError, ValueError) as error:
        raise PeerMessageError(f"not a request for news: {error}") from error
    return NewsRequest(revisions, wait_ms, unconfirmed)


def _encode_object(item: StoredObject) -> list[Any]:
    return [item.name, item.revision, item.content]


def encode_news(news: News) -> bytes:
    """Return the body that tells news."""
    document: dict[str, Any] = {}
    for collection, found in news.items():
        match found:
            case ListPage(items, _, revision):
                all_items = [_encode_object(item) for item in items]
                document[collection.name] = {
                    "revision": revision,
                    "all": all_items,
                }
            case ChangeBatch(changes, revision):
                document[collection.name] = {
                    "revision": revision,
                    "changes": [
                        [change.removed, *_encode_object(change.item)]
                        for change in changes
                    ],
                }
    return orjson.dumps(document)


def decode_news(body: bytes) -> dict[Collection, ChangeBatch | ListPage]:
    """Decode what `encode_news` made.

    Raises:
        PeerMessageError: If the bytes are something else.
    """
    try:
        document = orjson.loads(body)
        return {
            Collection[name]: _decode_view(view)
            for name, view in document.items()
        }
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise PeerMessageError(f"not news: {error}") from error


def _decode_view(view: Mapping[str, Any]) -> ChangeBatch | ListPage:
    revision = int(view["revision"])
    if "all" in view:
        items = tuple(StoredObject(*fields) for fields in view["all"])
        return ListPage(items, False, revision)
    return ChangeBatch(
        tuple(
            Change(StoredObject(*fields), bool(removed))
            for removed, *fields in view["changes"]
        ),
        revision,
    )
