"""Checks of the gateways' promises, from what callers and leafs see."""

import collections

import attrs
from tools.soak.config_judge import ConfigBounds
from tools.soak.config_judge import ConfigJudge
from tools.soak.config_judge import ServiceRun

from oriolegate.exchange import merging

# Limit of requests to a cold leaf in any second, over all gateways.
MAX_COLD_REQUESTS_PER_S = 5
# A draining leaf may get new requests for this long after its drain began.
DRAIN_MS = 4_000.0
# A gateway's view of the leafs may be wrong for this long after a fault that
# affects the view.
VIEW_SETTLE_MS = 5_000.0
# A leaf that limits its requests gets in this time at most this many times
# what the limit allows, and some more, over all gateways.
LIMIT_WINDOW_MS = 4_000.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# Gateways must keep to a limit this long after the leaf first named it.
LIMIT_KNOWN_MS = 5_000.0
# Tolerance for timers and for processes that share a machine.
ANSWER_TOLERANCE_MS = 500.0
# Records in the merged answer of a scatter-gather request.
RESULT_RECORDS = 10


def service_of(leaf: str) -> str:
    """Return the service of a leaf named `SERVICE-DATA_CENTRE-N`."""
    return leaf.rsplit("-", 2)[0]


@attrs.frozen
class Run:
    """One run of a request by a leaf."""

    at_ms: float
    leaf: str
    service: str


@attrs.define
class PromiseChecker:
    """Records what callers and leafs see, and checks the promises.

    Attributes:
        runs: Runs by attempt.
        answers: Body of each leaf's answer, by leaf and attempt.
        not_run: Attempts that were reported to callers as not run.
        at_most_once: Attempts that aren't idempotent.
        view_faults_ms: Times of faults that affect the view of a gateway.
        cold_arrivals_ms: Arrival times at cold leafs, by leaf.
        limited_arrivals_ms: Arrival times at leafs that limit their requests,
            by leaf.
        view_fault_spans_ms: Start and end of each fault that affects views.
        configurations: Judge of the configurations in force.
        violations: Broken promises, each with a detail.
        counts: Number of events by kind.
    """

    runs: dict[str, list[Run]] = attrs.field(factory=dict)
    answers: dict[tuple[str, str], bytes] = attrs.field(factory=dict)
    not_run: set[str] = attrs.field(factory=set)
    at_most_once: set[str] = attrs.field(factory=set)
    view_faults_ms: list[float] = attrs.field(factory=list)
    cold_arrivals_ms: dict[str, list[float]] = attrs.field(factory=dict)
    limited_arrivals_ms: dict[str, list[float]] = attrs.field(factory=dict)
    view_fault_spans_ms: list[tuple[float, float]] = attrs.field(factory=list)
    configurations: ConfigJudge = attrs.field(init=False)
    violations: list[tuple[str, str]] = attrs.field(factory=list)
    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def __attrs_post_init__(self) -> None:
        self.configurations = ConfigJudge(
            ConfigBounds(), lambda vm, at_ms: self.is_undisturbed(at_ms)
        )

    def is_undisturbed(self, at_ms: float) -> bool:
        """Return whether views must be right, long after all faults."""
        return not any(
            start_ms <= at_ms <= end_ms + VIEW_SETTLE_MS
            for start_ms, end_ms in self.view_fault_spans_ms
        )

    def judge_configurations(self) -> None:
        """Record the runs that an older configuration alone allows."""
        for violation in self.configurations.judge():
            self.record_violation("configurations are in force", violation)

    def record_violation(self, promise: str, detail: str) -> None:
        """Record that a promise was broken."""
        self.violations.append((promise, detail))

    def on_run(
        self, now_ms: float, attempt: str, leaf: str, service: str
    ) -> None:
        """Record a run by a leaf and check that the run is allowed."""
        runs = self.runs.setdefault(attempt, [])
        runs.append(Run(now_ms, leaf, service))
        sent = self.configurations.requests.get(attempt)
        if sent is not None:
            self.configurations.runs.append(
                ServiceRun(now_ms, attempt, service, sent.vm)
            )
        if attempt in self.at_most_once and len(runs) > 1:
            self.record_violation(
                "at most once", f"{attempt} ran {len(runs)} times"
            )
        if attempt in self.not_run:
            self.record_violation(
                "not run is true", f"{attempt} ran after its refusal"
            )

    def on_cold_arrival(self, now_ms: float, leaf: str) -> None:
        """Check the rate of requests to a cold leaf."""
        times = self.cold_arrivals_ms.setdefault(leaf, [])
        times.append(now_ms)
        recent_count = sum(now_ms - at < 1_000.0 for at in times)
        if recent_count > MAX_COLD_REQUESTS_PER_S:
            self.record_violation(
                "cold leafs are spared", f"{leaf} got {recent_count}"
            )

    def on_limited_arrival(
        self, now_ms: float, leaf: str, limit_per_s: float, since_ms: float
    ) -> None:
        """Check the rate of requests to a leaf that limits them.

        Args:
            now_ms: Time of the arrival.
            leaf: The leaf.
            limit_per_s: Requests per second that its answers name.
            since_ms: When it first named the limit, or when requests that a
                disturbed link held up may last have arrived together.
        """
        times = self.limited_arrivals_ms.setdefault(leaf, [])
        times.append(now_ms)
        from_ms = max(now_ms - LIMIT_WINDOW_MS, since_ms + LIMIT_KNOWN_MS)
        count = sum(at_ms > from_ms for at_ms in times)
        allowed_per_s = LIMIT_FACTOR * limit_per_s
        bound = allowed_per_s * LIMIT_WINDOW_MS / 1_000.0 + LIMIT_SLACK
        if count > bound and self.has_settled(now_ms):
            self.record_violation(
                "limits are kept", f"{leaf} got {count} of {bound:.0f}"
            )

    def has_settled(self, now_ms: float) -> bool:
        """Return whether views must be right by now, long after all faults."""
        return (
            not self.view_faults_ms
            or now_ms - self.view_faults_ms[-1] > VIEW_SETTLE_MS
        )

    def on_arrival_at_draining_leaf(
        self, now_ms: float, leaf: str, draining_since_ms: float
    ) -> None:
        """Check that a request to a draining leaf came early enough."""
        if now_ms - draining_since_ms > DRAIN_MS and self.has_settled(now_ms):
            late_ms = now_ms - draining_since_ms
            self.record_violation(
                "leaving leafs are left", f"{leaf} {late_ms:.0f} ms"
            )

    def on_refused(self, attempt: str) -> None:
        """Record a request reported as not run; check that no leaf ran it."""
        self.not_run.add(attempt)
        if attempt in self.at_most_once and self.runs.get(attempt):
            self.record_violation("not run is true", f"{attempt} had run")

    def check_single_answer(self, attempt: str, leaf: str, body: bytes) -> None:
        """Check a successful answer of one leaf."""
        if self.answers.get((leaf, attempt)) != body:
            self.record_violation("answers are whole", f"{attempt} from {leaf}")

    def check_gathered_answer(
        self,
        attempt: str,
        leafs: list[str],
        missing: int,
        body: bytes,
        shard_sets: list[frozenset[str]],
    ) -> None:
        """Check a successful answer that is merged from parts."""
        services = [service_of(leaf) for leaf in leafs]
        parts = [self.answers.get((leaf, attempt)) for leaf in leafs]
        if len(set(services)) < len(services):
            self.record_violation("no part twice", f"{attempt}: {services}")
        is_one_snapshot = any(
            set(services) <= shards and len(services) + missing == len(shards)
            for shards in shard_sets
        )
        if not is_one_snapshot:
            self.record_violation(
                "one snapshot", f"{attempt}: {services} + {missing}"
            )
        if None in parts:
            self.record_violation(
                "answers are whole", f"{attempt}: part of nobody"
            )
            return
        known_parts = [part for part in parts if part is not None]
        if merging.greatest_records(known_parts, RESULT_RECORDS) != body:
            self.record_violation(
                "answers are whole", f"{attempt}: wrong records"
            )
