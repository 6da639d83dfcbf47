"""Convert events to and from the JSON data of `GET /events`."""

from collections.abc import Iterable
from typing import Any

from oriolegate.exceptions import PeerMessageError
from oriolegate.timeline.events import EventKind
from oriolegate.timeline.events import TimelineEvent


def to_plain(event: TimelineEvent) -> dict[str, Any]:
    """Return an event as JSON-compatible data."""
    return {
        "sequence": event.sequence,
        "logical_time": event.logical_time,
        "wall_ms": event.wall_ms,
        "vm": event.vm,
        "kind": event.kind.name,
        "request_id": event.request_id,
        "detail": list(event.detail),
    }


def from_plain(item: Any) -> TimelineEvent | None:
    """Parse one event.

    Args:
        item: Data in the form that `to_plain` returns.

    Returns:
        The event, or None if its kind is unknown to this version.

    Raises:
        PeerMessageError: If the item is not an event.
    """
    try:
        if item["kind"] not in EventKind.__members__:
            return None
        return TimelineEvent(
            sequence=int(item["sequence"]),
            logical_time=int(item["logical_time"]),
            wall_ms=int(item["wall_ms"]),
            vm=str(item["vm"]),
            kind=EventKind[item["kind"]],
            request_id=str(item["request_id"]),
            detail=tuple(item["detail"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise PeerMessageError(
            f"An event could not be read ({error!r}); check that the URL is"
            " the admin port of an oriolegate process."
        ) from error


def parse_events(items: Iterable[Any]) -> tuple[list[TimelineEvent], int]:
    """Parse events, and count those of an unknown kind."""
    parsed = [from_plain(item) for item in items]
    known = [event for event in parsed if event is not None]
    return known, len(parsed) - len(known)
