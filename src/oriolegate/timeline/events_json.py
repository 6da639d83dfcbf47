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


def from_plain(plain_event: Any) -> TimelineEvent | None:
    """Parse one event.

    Args:
        plain_event: Data in the form that `to_plain` returns.

    Returns:
        The event, or None if its kind is unknown to this version.

    Raises:
        PeerMessageError: If the data is not an event.
    """
    try:
        if plain_event["kind"] not in EventKind.__members__:
            return None
        return TimelineEvent(
            sequence=int(plain_event["sequence"]),
            logical_time=int(plain_event["logical_time"]),
            wall_ms=int(plain_event["wall_ms"]),
            vm=str(plain_event["vm"]),
            kind=EventKind[plain_event["kind"]],
            request_id=str(plain_event["request_id"]),
            detail=tuple(plain_event["detail"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise PeerMessageError(
            f"An event could not be read ({error!r}); check that the URL is"
            " the admin port of an oriolegate process."
        ) from error


def parse_events(items: Iterable[Any]) -> tuple[list[TimelineEvent], int]:
    """Parse events, and count those of an unknown kind."""
    parsed = [from_plain(plain_event) for plain_event in items]
    known = [event for event in parsed if event is not None]
    return known, len(parsed) - len(known)
