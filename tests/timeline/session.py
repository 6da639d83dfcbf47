"""The recorded events of one request on two VMs, for golden files."""

from oriolegate.timeline import merge
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind

REQUEST = "req-7"


def _record_home(home: EventBuffer) -> None:
    steps = [
        (101.0, EventKind.REQUEST_ARRIVED, "desk-3", "maps"),
        (101.5, EventKind.SNAPSHOT_PINNED, "studio-desk", 7, 4),
        (102.0, EventKind.SUB_REQUEST_SENT, 0, 0, "leaf-a"),
        (102.0, EventKind.SUB_REQUEST_SENT, 1, 0, "leaf-b"),
        (102.0, EventKind.SUB_REQUEST_SENT, 2, 0, "leaf-c"),
        (102.0, EventKind.SUB_REQUEST_SENT, 3, 0, "leaf-d"),
        (110.0, EventKind.SUB_ANSWER, 0, 0, "leaf-a"),
        (112.0, EventKind.SUB_NOT_RUN, 2, 0, "leaf-c", "shed"),
        (113.0, EventKind.RETRY_SENT, 2, 1, "leaf-a"),
        (121.0, EventKind.SUB_ANSWER, 2, 1, "leaf-a"),
        (125.0, EventKind.HEDGE_SENT, 1, 1, "leaf-c"),
        (131.0, EventKind.SUB_ANSWER, 1, 1, "leaf-c"),
        (131.0, EventKind.CANCEL_SENT, 1, 0, "leaf-b"),
        (140.0, EventKind.SUB_FAILED, 3, "leaf-d", 2002),
        (141.0, EventKind.LATE_DROPPED, 5, 1, 0),
        (142.0, EventKind.ANSWERED, 7, 3, 4),
    ]
    for now_ms, kind, *detail in steps:
        home.record(now_ms, kind, REQUEST, *detail)


def recorded_request() -> merge.MergedTimeline:
    """Return the request's timeline; the second VM's clock is 4 s behind."""
    front = EventBuffer("entry-1", 1_700_000_000_000)
    home = EventBuffer("entry-2", 1_700_000_000_000 - 4_000)
    front.record(100.0, EventKind.REQUEST_ARRIVED, REQUEST, "desk-3", "maps")
    front.record(100.0, EventKind.FORWARDED, REQUEST, "entry-2")
    home.observe(front.logical_time)
    _record_home(home)
    front.observe(home.logical_time)
    front.record(143.0, EventKind.ANSWERED, REQUEST, 7, 3, 4)
    return merge.merge([*home.events(), *front.events()])
