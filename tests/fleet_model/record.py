"""What callers, leafs and the store of a play saw: all that is judged."""

import collections

import attrs

CONTACT_S = 5.0


@attrs.frozen
class Run:
    """A request that a leaf began to run.

    Attributes:
        at_s: When it arrived.
        attempt: Id of the caller's attempt.
        leaf: The leaf.
        service: Its service.
        data_centre: Its data centre.
        vm: The VM that sent it.
        left_ms: Timeout that the leaf was told, or None.
    """

    at_s: float
    attempt: str
    leaf: str
    service: str
    data_centre: str
    vm: str
    left_ms: float | None = None


@attrs.define
class Attempt:
    """A caller's attempt.

    Attributes:
        route: Name of the route.
        sent_s: When it was sent.
        vm: The VM that it was sent to.
        status: HTTP status, or None without a response.
        service: Service of the newest configuration when it was sent.
        attempts: Leafs that may run it.
        timeout_ms: Timeout that the caller stated.
    """

    route: str
    sent_s: float
    vm: str
    status: int | None = None
    service: str = ""
    attempts: int = 3
    timeout_ms: float = 1_500.0


@attrs.frozen
class Acknowledged:
    """A change that the store has accepted.

    Attributes:
        at_s: When.
        until_s: When it was taken back, or infinity.
        subject: The service of a version, the data centre or the leaf.
    """

    at_s: float
    until_s: float
    subject: str


@attrs.define
class Span:
    """A time in which something holds."""

    start_s: float
    end_s: float = float("inf")

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Return whether the span and another have a moment in common."""
        return self.start_s <= end_s and start_s <= self.end_s


@attrs.define
class Record:
    """All that was seen in one play.

    Attributes:
        attempts: Attempts by id.
        runs: All runs, in order.
        rejected: Requests that leafs turned away, in order.
        versions: Configurations, with the service of the route, in order.
        evacuations: Evacuations of data centres.
        drained: Leafs that drain.
        cold: Times in which each leaf is cold, by leaf.
        quiet: Times in which a leaf wants nothing from a VM, by both.
        restarts: When each leaf restarted, by leaf.
        leaf_ends: When each leaf went down or left, by leaf.
        vm_trouble: Disturbances of each VM or of its links.
        vm_cuts: Times in which a VM reaches no leaf, by VM; it stays in touch.
        store_trouble: Disturbances of the store.
    """

    attempts: dict[str, Attempt] = attrs.field(factory=dict)
    runs: list[Run] = attrs.field(factory=list)
    rejected: list[Run] = attrs.field(factory=list)
    versions: list[Acknowledged] = attrs.field(factory=list)
    evacuations: list[Acknowledged] = attrs.field(factory=list)
    drained: list[Acknowledged] = attrs.field(factory=list)
    cold: dict[str, list[Span]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    quiet: dict[tuple[str, str], list[Span]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    restarts: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    leaf_ends: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    vm_trouble: dict[str, list[Span]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    vm_cuts: dict[str, list[Span]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    store_trouble: list[Span] = attrs.field(factory=list)

    def is_store_stable(self, at_s: float) -> bool:
        """Return whether the store was undisturbed for the contact time."""
        return not any(
            span.overlaps(at_s - CONTACT_S, at_s) for span in self.store_trouble
        )

    @property
    def arrivals(self) -> list[Run]:
        """All requests that reached leafs, in order."""
        return sorted(
            [*self.runs, *self.rejected], key=lambda arrival: arrival.at_s
        )

    def is_held_up(self, vm: str, at_s: float) -> bool:
        """Return whether links of a VM to leafs were cut lately."""
        return any(
            span.overlaps(at_s - CONTACT_S, at_s) for span in self.vm_cuts[vm]
        )

    def is_in_touch(self, vm: str, at_s: float) -> bool:
        """Return whether rules with a time bound hold for a VM."""
        return self.is_store_stable(at_s) and not any(
            span.overlaps(at_s - CONTACT_S, at_s)
            for span in self.vm_trouble[vm]
        )
