"""Names of the detail fields of each kind of event, in order."""

from oriolegate.timeline.events import EventKind
from oriolegate.timeline.events import TimelineEvent

SUB_REQUEST = ("shard", "attempt", "leaf")

DETAIL_FIELDS: dict[EventKind, tuple[str, ...]] = {
    EventKind.REQUEST_ARRIVED: ("caller", "route"),
    EventKind.SNAPSHOT_PINNED: ("service", "index_version", "shards"),
    EventKind.SUB_REQUEST_SENT: SUB_REQUEST,
    EventKind.SUB_ANSWER: SUB_REQUEST,
    EventKind.SUB_FAILED: ("shard", "leaf", "reason"),
    EventKind.SUB_NOT_RUN: (*SUB_REQUEST, "reason"),
    EventKind.HEDGE_SENT: SUB_REQUEST,
    EventKind.RETRY_SENT: SUB_REQUEST,
    EventKind.CANCEL_SENT: SUB_REQUEST,
    EventKind.SUB_WAITING: ("shard",),
    EventKind.LATE_DROPPED: ("query", "shard", "attempt"),
    EventKind.REPINNED: ("from_version", "to_version"),
    EventKind.ANSWERED: (
        "index_version",
        "shards_answered",
        "shards_total",
    ),
    EventKind.REFUSED: ("code", "run_state"),
    EventKind.FORWARDED: ("to",),
    EventKind.CALLER_GONE: (),
    EventKind.LEAF_STATE: ("leaf", "phase", "incarnation", "limit"),
    EventKind.CONNECTION_OPENED: ("leaf",),
    EventKind.CONNECTION_LOST: ("leaf",),
    EventKind.RULES_ACCEPTED: ("version",),
    EventKind.TOPOLOGY_CHANGED: (
        "service",
        "generation",
        "index_version",
    ),
    EventKind.MEMBER_CHANGED: ("member", "incarnation", "state"),
    EventKind.SHARES_CHANGED: (
        "service",
        "slots",
        "connections",
        "cold_slots",
    ),
    EventKind.CLAIM: ("key_class", "outcome"),
    EventKind.QUARANTINE: ("fingerprint", "state"),
    EventKind.STOPPING: ("phase",),
    EventKind.STARTED: ("incarnation",),
}


def named_detail(event: TimelineEvent) -> dict[str, object]:
    """Return an event's details by field name.

    Details beyond the named fields are called `extra_1` and so on. Fields that
    the event lacks are omitted.
    """
    names = DETAIL_FIELDS.get(event.kind, ())
    extra = [
        f"extra_{number}"
        for number in range(1, len(event.detail) - len(names) + 1)
    ]
    return dict(zip((*names, *extra), event.detail, strict=False))
