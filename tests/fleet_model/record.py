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
    """

    at_s: float
    attempt: str
    leaf: str
    service: str
    data_centre: str
    vm: str


@attrs.define
class Attempt:
    """A caller's attempt.

    Attributes:
        route: Name of the route.
        sent_s: When it was sent.
        vm: The VM that it was sent to.
        status: HTTP status, or None without a response.
    """

    route: str
    sent_s: float
    vm: str
    status: int | None = None


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
        versions: Configurations, with the service of the route, in order.
        evacuations: Evacuations of data centres.
        drained: Leafs that drain.
        cold: Times in which each leaf is cold, by leaf.
        quiet: Times in which a leaf wants nothing from a VM, by both.
        restarts: When each leaf restarted, by leaf.
        vm_trouble: Disturbances of each VM or of its links.
        store_trouble: Disturbances of the store.
    """

    attempts: dict[str, Attempt] = attrs.field(factory=dict)
    runs: list[Run] = attrs.field(factory=list)
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
    vm_trouble: dict[str, list[Span]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    store_trouble: list[Span] = attrs.field(factory=list)

    def is_store_stable(self, at_s: float) -> bool:
        """Return whether the store was undisturbed for the contact time."""
        return not any(
            span.overlaps(at_s - CONTACT_S, at_s) for span in self.store_trouble
        )

    def is_in_touch(self, vm: str, at_s: float) -> bool:
        """Return whether rules with a time bound hold for a VM."""
        return self.is_store_stable(at_s) and not any(
            span.overlaps(at_s - CONTACT_S, at_s)
            for span in self.vm_trouble[vm]
        )
