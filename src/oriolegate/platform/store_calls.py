"""Builds HTTP calls to the platform's store and decodes the responses."""

from typing import Any
import urllib.parse

import attrs
import orjson

from oriolegate.exceptions import MalformedEntryError
from oriolegate.following import store_era
from oriolegate.models.stored import Change
from oriolegate.models.stored import ChangeBatch
from oriolegate.models.stored import Collection
from oriolegate.models.stored import ListPage
from oriolegate.models.stored import StoredObject
from oriolegate.network.http_reader import HttpResponse
from oriolegate.platform import header_names
from oriolegate.platform import json_parts

PATHS = {
    Collection.LEAFS: "/objects/servers",
    Collection.CONFIGURATION: "/objects/config",
    Collection.EVACUATIONS: "/objects/evacuations",
    Collection.MEMBERS: "/objects/oriolegate-members",
    Collection.CRASHES: "/objects/oriolegate-crashes",
}
# The store no longer has all changes since the revision of a watch.
STATUS_HISTORY_GONE = 410
STATUS_OK = 200
STATUS_NOT_FOUND = 404
# Answers to `probe_call` of a store that serves this VM.
PROBE_STATUSES = frozenset({STATUS_OK, STATUS_NOT_FOUND})
# Tagged revisions, which are exchanged as JSON numbers, stay within 63 bits.
MAX_ERA = 2**22


@attrs.frozen
class StoreCall:
    """One HTTP request to the store."""

    method: str
    target: str
    body: bytes = b""


def list_call(
    collection: Collection, after: str, *, may_lag: bool
) -> StoreCall:
    """Return the call that lists one page of a collection.

    Args:
        collection: The collection to list.
        after: Last name of the previous page; empty for the first page.
        may_lag: Whether the page may be a few seconds stale.
    """
    fields: dict[str, str | int] = {}
    if after:
        fields["after"] = after
    if may_lag:
        fields["allow_stale"] = 1
    target = PATHS[collection]
    if fields:
        target += "?" + urllib.parse.urlencode(fields)
    return StoreCall("GET", target)


def watch_call(
    collection: Collection, revision: int, wait_ms: int
) -> StoreCall:
    """Return the call that waits for changes after a tagged revision."""
    # The field `watch` is the revision, not a flag.
    query = urllib.parse.urlencode(
        {"watch": store_era.plain(revision), "wait_ms": wait_ms}
    )
    return StoreCall("GET", f"{PATHS[collection]}?{query}")


def probe_call(vm: str) -> StoreCall:
    """Return the cheapest call: a read of one entry, which may be stale."""
    target = _object_path(Collection.MEMBERS, vm)
    return StoreCall("GET", f"{target}?allow_stale=1")


def create_call(collection: Collection, name: str, content: Any) -> StoreCall:
    """Return the call that creates an object owned by this tier."""
    body = orjson.dumps({"meta": {"name": name}, "spec": content})
    return StoreCall("POST", PATHS[collection], body)


def replace_call(collection: Collection, name: str, content: Any) -> StoreCall:
    """Return the call that replaces an object owned by this tier."""
    body = orjson.dumps({"meta": {"name": name}, "spec": content})
    return StoreCall("PUT", _object_path(collection, name), body)


def delete_call(collection: Collection, name: str) -> StoreCall:
    """Return the call that deletes an object owned by this tier."""
    return StoreCall("DELETE", _object_path(collection, name))


def _object_path(collection: Collection, name: str) -> str:
    return f"{PATHS[collection]}/{urllib.parse.quote(name, safe='')}"


def decode_era(response: HttpResponse) -> int | None:
    """Return the era that a response states, or None if it states none.

    Raises:
        MalformedEntryError: The header is no positive integer.
    """
    value = response.header(header_names.STORE_ERA)
    if value is None:
        return None
    if not value.isdigit() or int(value) > MAX_ERA:
        raise MalformedEntryError("the era is not a positive integer")
    return int(value)


def _read_stored_object(text: bytes) -> Any:
    """Decode an object whose content may be unreadable, then None."""
    try:
        fields = json_parts.split_object(text)
    except MalformedEntryError:
        return None
    return {name: json_parts.read(field) for name, field in fields.items()}


def _read_event(text: bytes) -> Any:
    """Decode an event whose object may have unreadable content."""
    try:
        fields = json_parts.split_object(text)
    except MalformedEntryError:
        return None
    event = {name: json_parts.read(field) for name, field in fields.items()}
    if "object" in fields:
        event["object"] = _read_stored_object(fields["object"])
    return event


# How each element of a list in an answer is decoded by itself.
ELEMENT_READERS = {"items": _read_stored_object, "events": _read_event}


def _json_object_by_parts(body: bytes) -> dict[str, Any]:
    """Decode an answer that holds unreadable content, which becomes None."""
    document: dict[str, Any] = {}
    for name, text in json_parts.split_object(body).items():
        read_element = ELEMENT_READERS.get(name)
        if read_element is None:
            document[name] = json_parts.read(text)
        else:
            document[name] = [
                read_element(element) for element in json_parts.split_list(text)
            ]
    return document


def _json_object(body: bytes) -> dict[str, Any]:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return _json_object_by_parts(body)
    if not isinstance(document, dict):
        raise MalformedEntryError("the response is not a JSON object")
    if not json_parts.is_transferable(document):
        return _json_object_by_parts(body)
    return document


def _revision(document: dict[str, Any]) -> int:
    # `as_of` is a revision of the store, not a timestamp.
    value = document.get("as_of")
    if not isinstance(value, int):
        raise MalformedEntryError("`as_of` is missing or not an integer")
    return value


def _stored_object(value: Any, era: int) -> StoredObject | None:
    """Decode one object; return None if it lacks a name or revision."""
    if not isinstance(value, dict) or not isinstance(value.get("meta"), dict):
        return None
    meta = value["meta"]
    name = meta.get("name")
    revision = meta.get("revision")
    if not isinstance(name, str) or not isinstance(revision, int):
        return None
    return StoredObject(name, store_era.tag(era, revision), value.get("spec"))


def decode_page(body: bytes, era: int) -> ListPage:
    """Decode the response to `list_call`; skip invalid objects.

    Args:
        body: Body of the response.
        era: The store's era, with which all revisions are tagged.

    Raises:
        MalformedEntryError: The response is not a page.
    """
    document = _json_object(body)
    items = document.get("items")
    if not isinstance(items, list):
        raise MalformedEntryError("`items` is missing or not a list")
    decoded = (_stored_object(value, era) for value in items)
    return ListPage(
        tuple(stored for stored in decoded if stored is not None),
        bool(document.get("has_more")),
        store_era.tag(era, _revision(document)),
    )


def decode_changes(body: bytes, era: int) -> ChangeBatch:
    """Decode the response to `watch_call`; skip invalid changes.

    Args:
        body: Body of the response.
        era: The store's era, with which all revisions are tagged.

    Raises:
        MalformedEntryError: The response is not a batch of changes.
    """
    document = _json_object(body)
    events = document.get("events")
    if not isinstance(events, list):
        raise MalformedEntryError("`events` is missing or not a list")
    changes = []
    for event in events:
        if not isinstance(event, dict):
            continue
        stored = _stored_object(event.get("object"), era)
        if stored is not None:
            changes.append(Change(stored, bool(event.get("deleted"))))
    return ChangeBatch(tuple(changes), store_era.tag(era, _revision(document)))
