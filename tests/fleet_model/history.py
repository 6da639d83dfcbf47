"""Histories of disturbances and changes, and how to draw them.

A history is plain data, so that a failed one can be printed, kept and played
again: `python -m tests.fleet_model FILE`.
"""

import pathlib

import attrs
from hypothesis import strategies

MAX_VMS = 6
MAX_EVENTS = 10
PLAY_S = 30.0
DATA_CENTRES = ("dc-a", "dc-b")
# Contents of entries that no reader expects.
ODD_CONTENTS = (
    b'"\\udcff"',
    b'{"slots":1e999}',
    b"[" * 300 + b"]" * 300,
    b"[" * 1_100 + b"]" * 1_100,
    b'{"service":4,"state":"ready"}',
)


@attrs.frozen
class CutFromStore:
    """A VM loses the store: both ways, or bytes to or from the store only."""

    vm: int
    for_s: float
    way: str


@attrs.frozen
class CutFromVm:
    """Bytes from one VM to another are held."""

    sender: int
    receiver: int
    for_s: float


@attrs.frozen
class CutFromLeafs:
    """Some VMs lose all leafs: bytes are lost, or connections are reset.

    With `refuse`, open connections live on while new ones are refused.
    """

    vms: tuple[int, ...]
    for_s: float
    way: str


@attrs.frozen
class SlowLeafs:
    """Every so-manieth leaf takes long for its requests."""

    every: int
    work_s: float
    for_s: float


@attrs.frozen
class RejectingLeafs:
    """Every so-manieth leaf turns all requests away."""

    every: int
    for_s: float


@attrs.frozen
class ResetStoreConnections:
    """All connections of some VMs to the store are reset."""

    vms: tuple[int, ...]


@attrs.frozen
class SilenceConnections:
    """Open connections go silent for good, while new ones work.

    Attributes:
        vms: The VMs whose connections are affected.
        target: The store, the other VMs or the leafs.
        every: Every so-manieth connection is affected.
    """

    vms: tuple[int, ...]
    target: str
    every: int


@attrs.frozen
class DropHistory:
    """The store forgets its history and resets all its connections."""


@attrs.frozen
class StoreAway:
    """The store answers nobody, or refuses all calls."""

    for_s: float
    is_silent: bool


@attrs.frozen
class StoreRefuses:
    """The store refuses the calls of one VM and serves the others."""

    vm: int
    for_s: float
    status: int


@attrs.frozen
class RestoreStore:
    """The store comes back from a copy that is some seconds old."""

    age_s: float


@attrs.frozen
class Configure:
    """The operator moves the route to another service."""


@attrs.frozen
class Evacuate:
    """The operator evacuates a data centre and takes that back."""

    data_centre: int
    for_s: float
    is_cold_after: bool


@attrs.frozen
class DrainLeaf:
    """A leaf starts in the place of one that drains and leaves."""

    leaf: int


@attrs.frozen
class RestartLeaf:
    """A leaf crashes and is back under its id, cold."""

    leaf: int
    down_s: float


@attrs.frozen
class AskForQuiet:
    """A leaf turns requests away and wants none for a time."""

    leaf: int
    quiet_s: float


@attrs.frozen
class WriteOddEntry:
    """Another writer leaves an entry among those of the leafs."""

    content: int


@attrs.frozen
class KillVm:
    """A VM loses its power; another one starts."""

    vm: int


@attrs.frozen
class StopVm:
    """A VM is stopped as planned; another one starts."""

    vm: int


Event = (
    CutFromStore
    | CutFromVm
    | CutFromLeafs
    | SlowLeafs
    | RejectingLeafs
    | ResetStoreConnections
    | SilenceConnections
    | DropHistory
    | StoreAway
    | StoreRefuses
    | RestoreStore
    | Configure
    | Evacuate
    | DrainLeaf
    | RestartLeaf
    | AskForQuiet
    | WriteOddEntry
    | KillVm
    | StopVm
)


@attrs.frozen
class TimedEvent:
    """An event and when it happens."""

    at_s: float
    event: Event


@attrs.frozen
class History:
    """A play of the fleet.

    Attributes:
        vm_count: Number of VMs; every other one is in the second data centre.
        seed: Seed of the callers and of the VMs.
        events: All events, in any order.
    """

    vm_count: int
    seed: int
    events: tuple[TimedEvent, ...]


def read(path: pathlib.Path) -> History:
    """Read a history that was kept; its file holds Python's text of it."""
    history = eval(path.read_text(), globals())  # noqa: S307
    assert isinstance(history, History)
    return history


def _tenths(least: float, most: float) -> strategies.SearchStrategy[float]:
    return strategies.integers(round(least * 10), round(most * 10)).map(
        lambda tenths: tenths / 10.0
    )


_NUMBER = strategies.integers(0, MAX_VMS - 1)
_EVENTS: tuple[strategies.SearchStrategy[Event], ...] = (
    strategies.builds(
        CutFromStore,
        _NUMBER,
        _tenths(0.5, 8.0),
        strategies.sampled_from(("both", "to", "from")),
    ),
    strategies.builds(CutFromVm, _NUMBER, _NUMBER, _tenths(0.5, 8.0)),
    *(
        strategies.builds(
            CutFromLeafs,
            strategies.lists(_NUMBER, min_size=1, unique=True).map(tuple),
            _tenths(2.0, 10.0),
            strategies.sampled_from(("lose", "reset", "refuse")),
        )
        for _ in range(2)
    ),
    strategies.builds(
        SlowLeafs,
        strategies.integers(1, 3),
        _tenths(0.1, 2.0),
        _tenths(1.0, 8.0),
    ),
    strategies.builds(
        RejectingLeafs, strategies.integers(1, 3), _tenths(0.5, 5.0)
    ),
    strategies.builds(
        ResetStoreConnections,
        strategies.lists(_NUMBER, min_size=1, unique=True).map(tuple),
    ),
    *(
        strategies.builds(
            SilenceConnections,
            strategies.lists(_NUMBER, min_size=1, unique=True).map(tuple),
            strategies.sampled_from(("store", "vms", "leafs")),
            strategies.integers(1, 3),
        )
        for _ in range(2)
    ),
    strategies.builds(DropHistory),
    strategies.builds(StoreAway, _tenths(0.5, 6.0), strategies.booleans()),
    strategies.builds(
        StoreRefuses,
        _NUMBER,
        _tenths(0.5, 8.0),
        strategies.sampled_from((503, 429)),
    ),
    strategies.builds(RestoreStore, _tenths(0.5, 4.0)),
    strategies.builds(Configure),
    strategies.builds(Configure),
    strategies.builds(Configure),
    strategies.builds(
        Evacuate,
        strategies.integers(0, len(DATA_CENTRES) - 1),
        _tenths(1.0, 8.0),
        strategies.booleans(),
    ),
    strategies.builds(DrainLeaf, _NUMBER),
    strategies.builds(DrainLeaf, _NUMBER),
    strategies.builds(RestartLeaf, _NUMBER, _tenths(1.0, 3.0)),
    strategies.builds(AskForQuiet, _NUMBER, _tenths(2.0, 12.0)),
    strategies.builds(
        WriteOddEntry, strategies.integers(0, len(ODD_CONTENTS) - 1)
    ),
    strategies.builds(KillVm, _NUMBER),
    strategies.builds(StopVm, _NUMBER),
)


def histories() -> strategies.SearchStrategy[History]:
    """Draw histories: events of all kinds, in series and overlapping.

    Half of the events come close to the one before them.
    """
    timed = strategies.lists(
        strategies.tuples(
            _tenths(0.0, PLAY_S / 3.0),
            strategies.booleans(),
            strategies.one_of(*_EVENTS),
        ),
        min_size=2,
        max_size=MAX_EVENTS,
    )

    def place(
        vm_count: int,
        seed: int,
        drawn: list[tuple[float, bool, Event]],
    ) -> History:
        events = []
        at_s = 0.0
        for pause_s, is_close, event in drawn:
            at_s = (at_s + pause_s / (20.0 if is_close else 1.0)) % PLAY_S
            events.append(TimedEvent(round(at_s, 2), event))
        return History(vm_count, seed, tuple(events))

    return strategies.builds(
        place,
        strategies.integers(2, MAX_VMS),
        strategies.integers(0, 2**16),
        timed,
    )
