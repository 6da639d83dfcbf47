"""Judges the retry budget from what callers sent and leafs received.

Counts all arrivals, also those that a leaf rejects. The bounds are those of the
users' rule, with its excuses as written.
"""

import bisect
import collections
from collections.abc import Sequence

import attrs

# Requests on too many leafs, and requests in a quiet time, that are allowed.
MAX_OVERRUN_REQUESTS = 3
MAX_QUIET_REQUESTS = 2
QUIET_LEARNED_MS = 500.0
# By how much a leaf may be told more time than is left, and how often.
EXTRA_TIME_MS = 500.0
LATE_REPEAT_MS = 500.0
MAX_EXTRA_TIMES = 20
MAX_EXTRA_TIME_FRACTION = 0.2


@attrs.frozen
class BudgetBounds:
    """Bounds of the retry budget.

    Attributes:
        ratio: Repeats for each request.
        window_ms: Length of the sliding window.
        slack: Repeats in a window in addition.
    """

    ratio: float = 0.2
    window_ms: float = 10_000.0
    slack: float = 50.0


@attrs.frozen
class SentRequest:
    """A request as a caller sent it.

    Attributes:
        at_ms: When it was sent.
        services: Services that have to answer.
        attempts: Leafs of one service that may run it.
        left_ms: Timeout that the caller stated.
    """

    at_ms: float
    services: tuple[str, ...]
    attempts: int
    left_ms: float


@attrs.frozen
class Arrival:
    """A request that a leaf received.

    Attributes:
        at_ms: When it arrived.
        attempt: Id of the caller's attempt.
        service: Service of the leaf.
        leaf: The leaf.
        vm: The VM that sent it.
        left_ms: Timeout that the leaf was told, or None.
        ran: Whether the leaf began to run it.
        held_ms: How long it may have waited at the leaf before that read it.
    """

    at_ms: float
    attempt: str
    service: str
    leaf: str
    vm: str
    left_ms: float | None
    ran: bool
    held_ms: float = 0.0

    @property
    def reached_ms(self) -> float:
        """When it reached the leaf at the earliest."""
        return self.at_ms - self.held_ms


@attrs.frozen
class QuietTime:
    """A time in which a leaf wants no request from a VM."""

    leaf: str
    vm: str
    from_ms: float
    until_ms: float


@attrs.define
class BudgetJudge:
    """Records what was seen and names the clauses that were broken.

    Attributes:
        bounds: Bounds of the retry budget.
        contact_ms: How long a VM must be undisturbed to be in touch.
        requests: Requests by attempt.
        arrivals: All arrivals, in order.
        quiet_times: Quiet times of leafs.
        leaf_ends_ms: When each leaf ended.
        vm_disturbances_ms: When each VM was stopped, started, frozen or cut.
        vm_cuts_ms: When the links of each VM to leafs were cut.
    """

    bounds: BudgetBounds
    contact_ms: float = 6_000.0
    requests: dict[str, SentRequest] = attrs.field(factory=dict)
    arrivals: list[Arrival] = attrs.field(factory=list)
    quiet_times: list[QuietTime] = attrs.field(factory=list)
    leaf_ends_ms: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    vm_disturbances_ms: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    vm_cuts_ms: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    def is_in_touch(self, vm: str, at_ms: float) -> bool:
        """Return whether a VM was undisturbed for long enough."""
        return not any(
            at_ms - self.contact_ms <= disturbed_ms <= at_ms
            for disturbed_ms in self.vm_disturbances_ms[vm]
        )

    def judge(self) -> list[str]:
        """Return the broken clauses, each with its first case."""
        return [
            *self.judge_attempts(),
            *self.judge_ratio(),
            *self.judge_time_left(),
            *self.judge_quiet_times(),
        ]

    def _has_lost_leaf(self, run: Arrival) -> bool:
        """Return whether the leaf ended or was cut off after it began a run."""
        until_ms = run.at_ms + (run.left_ms or 0.0)
        ends_ms = [*self.leaf_ends_ms[run.leaf], *self.vm_cuts_ms[run.vm]]
        return any(run.at_ms <= end_ms <= until_ms for end_ms in ends_ms)

    def judge_attempts(self) -> list[str]:
        """Judge on how many leafs of one service a request ran."""
        leafs: dict[tuple[str, str], set[str]] = collections.defaultdict(set)
        for arrival in self.arrivals:
            if arrival.ran and not self._has_lost_leaf(arrival):
                leafs[arrival.attempt, arrival.service].add(arrival.leaf)
        overrun = sorted(
            {
                attempt
                for (attempt, _), used in leafs.items()
                if len(used) > self.requests[attempt].attempts
            }
        )
        if len(overrun) <= MAX_OVERRUN_REQUESTS:
            return []
        return [f"attempts: {len(overrun)} requests, such as {overrun[0]}"]

    def judge_ratio(self) -> list[str]:
        """Judge the repeats in each window, for each service."""
        requests_ms: dict[str, list[float]] = collections.defaultdict(list)
        for request in self.requests.values():
            for service in request.services:
                requests_ms[service].append(request.at_ms)
        extras_ms: dict[str, list[float]] = collections.defaultdict(list)
        seen: set[tuple[str, str]] = set()
        for arrival in self.arrivals:
            key = (arrival.attempt, arrival.service)
            if key in seen:
                extras_ms[arrival.service].append(arrival.at_ms)
            seen.add(key)
        found = []
        for service, times_ms in extras_ms.items():
            most = self._worst_excess(sorted(requests_ms[service]), times_ms)
            if most > 0.0:
                found.append(f"ratio: {service}, {most:.0f} too many")
        return found

    def _worst_excess(
        self, requests_ms: Sequence[float], extras_ms: Sequence[float]
    ) -> float:
        """Return by how much the worst window exceeds its bound."""
        window_ms = self.bounds.window_ms

        def count(times_ms: Sequence[float], until_ms: float) -> int:
            first = bisect.bisect_right(times_ms, until_ms - window_ms)
            return bisect.bisect_right(times_ms, until_ms) - first

        worst = float("-inf")
        for until_ms in extras_ms:
            request_count = max(
                count(requests_ms, until_ms - before_ms)
                for before_ms in (0.0, window_ms / 2.0, window_ms)
            )
            allowed = self.bounds.ratio * request_count + self.bounds.slack
            worst = max(worst, count(extras_ms, until_ms) - allowed)
        return worst

    def judge_time_left(self) -> list[str]:
        """Judge the timeouts that leafs were told."""
        first_ends_ms: dict[tuple[str, str], tuple[float, float]] = {}
        late_count = 0
        wrong: list[Arrival] = []
        for arrival in self.arrivals:
            key = (arrival.attempt, arrival.service)
            request = self.requests[arrival.attempt]
            left_ms = arrival.left_ms
            end_ms = arrival.reached_ms + (left_ms or 0.0)
            first_ms, first_end_ms = first_ends_ms.setdefault(
                key, (arrival.at_ms, end_ms)
            )
            is_late_repeat = arrival.reached_ms > first_ms + LATE_REPEAT_MS
            own_end_ms = request.at_ms + request.left_ms
            is_wrong = (
                left_ms is None
                or left_ms > request.left_ms + EXTRA_TIME_MS
                or (
                    is_late_repeat
                    and end_ms > max(first_end_ms, own_end_ms) + EXTRA_TIME_MS
                )
            )
            if not self.is_in_touch(arrival.vm, arrival.at_ms):
                continue
            late_count += is_late_repeat
            if is_wrong:
                wrong.append(arrival)
        counted = late_count + sum(
            arrival.reached_ms
            <= first_ends_ms[arrival.attempt, arrival.service][0]
            + LATE_REPEAT_MS
            for arrival in wrong
        )
        if len(wrong) <= MAX_EXTRA_TIMES:
            return []
        if len(wrong) <= MAX_EXTRA_TIME_FRACTION * counted:
            return []
        return [f"time left: {len(wrong)} of {counted}, first {wrong[0]}"]

    def judge_quiet_times(self) -> list[str]:
        """Judge requests in times for which a leaf wants none."""
        times_ms: dict[tuple[str, str], list[float]] = collections.defaultdict(
            list
        )
        for arrival in self.arrivals:
            times_ms[arrival.leaf, arrival.vm].append(arrival.reached_ms)
        found = []
        for quiet in self.quiet_times:
            disturbances_ms = [
                *self.vm_disturbances_ms[quiet.vm],
                *self.vm_cuts_ms[quiet.vm],
                *self.leaf_ends_ms[quiet.leaf],
            ]
            if any(
                quiet.from_ms <= at_ms <= quiet.until_ms
                for at_ms in disturbances_ms
            ):
                continue
            from_ms = quiet.from_ms + QUIET_LEARNED_MS
            times = sorted(times_ms[quiet.leaf, quiet.vm])
            count = bisect.bisect_left(times, quiet.until_ms)
            count -= bisect.bisect_right(times, from_ms)
            if count > MAX_QUIET_REQUESTS:
                found.append(
                    f"quiet: {quiet.leaf} got {count} from {quiet.vm}"
                    f" from {quiet.from_ms:.0f} to {quiet.until_ms:.0f} ms"
                )
        return found
