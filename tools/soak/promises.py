"""What callers and leafs saw, and which promises it breaks."""

import collections

import attrs

from oriolegate.exchange import merging

# What the deployment allows a cold leaf in any second, over all gateways.
COLD_BOUND = 5
DRAIN_MS = 4_000.0
# Views need not hold this long after a fault of a gateway or the store.
CONTACT_MS = 5_000.0
# An answer may be this late: timers, and processes that share a machine.
LATE_MS = 500.0
# Records of a gathered answer.
RECORDS = 10


def service_of(leaf: str) -> str:
    """Return the service of a leaf, by its name `SERVICE-DATA_CENTRE-N`."""
    return leaf.rsplit("-", 2)[0]


@attrs.frozen
class Run:
    """A request that a leaf ran."""

    at_ms: float
    leaf: str
    service: str


@attrs.define
class Record:
    """All that was seen.

    Attributes:
        runs: Runs by attempt.
        answers: Body that a leaf answered, by leaf and attempt.
        not_run: Attempts whose callers were told that they did not run.
        once: Attempts that may run once at most.
        faults: Times of faults that touch the view of a gateway.
        cold: Arrival times at cold leafs, by leaf.
        broken: What was broken: promise and detail.
        counts: How often what was seen.
    """

    runs: dict[str, list[Run]] = attrs.field(factory=dict)
    answers: dict[tuple[str, str], bytes] = attrs.field(factory=dict)
    not_run: set[str] = attrs.field(factory=set)
    once: set[str] = attrs.field(factory=set)
    faults: list[float] = attrs.field(factory=list)
    cold: dict[str, list[float]] = attrs.field(factory=dict)
    broken: list[tuple[str, str]] = attrs.field(factory=list)
    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def breach(self, promise: str, detail: str) -> None:
        """Note that a promise was broken."""
        self.broken.append((promise, detail))

    def ran(self, now_ms: float, attempt: str, leaf: str, service: str) -> None:
        """Take that a leaf runs a request."""
        runs = self.runs.setdefault(attempt, [])
        runs.append(Run(now_ms, leaf, service))
        if attempt in self.once and len(runs) > 1:
            self.breach("at most once", f"{attempt} ran {len(runs)} times")
        if attempt in self.not_run:
            self.breach("not run is true", f"{attempt} ran after its refusal")

    def cold_arrival(self, now_ms: float, leaf: str) -> None:
        """Take that a request arrives at a cold leaf."""
        times = self.cold.setdefault(leaf, [])
        times.append(now_ms)
        within = sum(now_ms - at < 1_000.0 for at in times)
        if within > COLD_BOUND:
            self.breach("cold leafs are spared", f"{leaf} got {within}")

    def in_touch(self, now_ms: float) -> bool:
        """Return whether views must hold: no fault for long enough."""
        return not self.faults or now_ms - self.faults[-1] > CONTACT_MS

    def arrival_after_drain(
        self, now_ms: float, leaf: str, draining_since_ms: float
    ) -> None:
        """Take that a request arrives at a leaf that is leaving."""
        if now_ms - draining_since_ms > DRAIN_MS and self.in_touch(now_ms):
            late_ms = now_ms - draining_since_ms
            self.breach("leaving leafs are left", f"{leaf} {late_ms:.0f} ms")

    def refused(self, attempt: str) -> None:
        """Take that a caller was told that its request did not run."""
        self.not_run.add(attempt)
        if attempt in self.once and self.runs.get(attempt):
            self.breach("not run is true", f"{attempt} had run")

    def single(self, attempt: str, leaf: str, body: bytes) -> None:
        """Check a success that one leaf answered."""
        if self.answers.get((leaf, attempt)) != body:
            self.breach("answers are whole", f"{attempt} from {leaf}")

    def gathered(
        self,
        attempt: str,
        leafs: list[str],
        missing: int,
        body: bytes,
        shard_sets: list[frozenset[str]],
    ) -> None:
        """Check a success that is made of parts."""
        services = [service_of(leaf) for leaf in leafs]
        parts = [self.answers.get((leaf, attempt)) for leaf in leafs]
        if len(set(services)) < len(services):
            self.breach("no part twice", f"{attempt}: {services}")
        fits = any(
            set(services) <= shards and len(services) + missing == len(shards)
            for shards in shard_sets
        )
        if not fits:
            self.breach("one snapshot", f"{attempt}: {services} + {missing}")
        if None in parts:
            self.breach("answers are whole", f"{attempt}: part of nobody")
            return
        known = [part for part in parts if part is not None]
        if merging.greatest_records(known, RECORDS) != body:
            self.breach("answers are whole", f"{attempt}: wrong records")
