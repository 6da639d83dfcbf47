"""Judges CONFIG over all runs, from what callers sent and leafs received.

The bounds are those of the users' rule, with its excuses as written.
"""

import bisect
import collections
from collections.abc import Callable
from collections.abc import Mapping

import attrs

STATUS_NOT_FOUND = 404


@attrs.frozen
class ConfigBounds:
    """Bounds of the rule.

    Attributes:
        apply_ms: Time in which a version must be in force.
        downgrade_ms: Time after a leaf has seen a version from which the same
            process must not go back.
    """

    apply_ms: float = 4_000.0
    downgrade_ms: float = 250.0


@attrs.frozen
class WrittenVersion:
    """A version as the operator wrote it.

    Attributes:
        at_ms: When the store acknowledged it.
        services: Services that may run a request, by route.
    """

    at_ms: float
    services: Mapping[str, frozenset[str]]


@attrs.frozen
class SentRequest:
    """A request as a caller sent it."""

    at_ms: float
    vm: str
    route: str


@attrs.frozen
class ServiceRun:
    """A run of a request by a service.

    Attributes:
        at_ms: When it began.
        attempt: Id of the caller's attempt.
        service: The service.
        vm: The VM that sent the request to the leaf.
    """

    at_ms: float
    attempt: str
    service: str
    vm: str


@attrs.define
class ConfigJudge:
    """What was seen, and how it is judged.

    Attributes:
        bounds: Bounds of the rule.
        is_in_touch: Returns whether the bound on applying a version holds for
            a VM at a time.
        versions: All versions, in order.
        requests: Requests by attempt.
        runs: Runs of all requests.
        not_found: Attempts that were answered 404.
        starts_ms: When the processes of each VM started, in order.
    """

    bounds: ConfigBounds
    is_in_touch: Callable[[str, float], bool]
    versions: list[WrittenVersion] = attrs.field(factory=list)
    requests: dict[str, SentRequest] = attrs.field(factory=dict)
    runs: list[ServiceRun] = attrs.field(factory=list)
    not_found: list[str] = attrs.field(factory=list)
    starts_ms: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    def judge(self) -> list[str]:
        """Return all violations."""
        return [
            *self._judge_runs(),
            *self._judge_not_found(),
            *self._judge_regressions(),
        ]

    def _due_index(self, at_ms: float) -> int:
        """Return the newest version that must be in force, or the first."""
        due_ms = at_ms - self.bounds.apply_ms
        times = [version.at_ms for version in self.versions]
        return max(0, bisect.bisect_left(times, due_ms) - 1)

    def _allowing(self, run: ServiceRun, route: str) -> list[int]:
        """Return the versions written by then that allow a run."""
        return [
            index
            for index, version in enumerate(self.versions)
            if version.at_ms <= run.at_ms
            and run.service in version.services.get(route, ())
        ]

    def _judge_runs(self) -> list[str]:
        violations = []
        for run in self.runs:
            sent = self.requests[run.attempt]
            allowing = self._allowing(run, sent.route)
            what = f"{run.attempt} of {run.vm} at {sent.at_ms:.0f} ms"
            if not allowing:
                violations.append(
                    f"{what}: run by {run.service}, which no version allows"
                )
                continue
            replaced = max(allowing) + 1
            if max(allowing) < self._due_index(sent.at_ms) and self.is_in_touch(
                sent.vm, sent.at_ms
            ):
                late_ms = sent.at_ms - self.versions[replaced].at_ms
                violations.append(
                    f"{what}: run by {run.service}, {late_ms:.0f} ms after"
                    " another version was acknowledged"
                )
        return violations

    def _judge_not_found(self) -> list[str]:
        """Judge a 404 for a route that each version in question has."""
        violations = []
        for attempt in self.not_found:
            sent = self.requests[attempt]
            first = self._due_index(sent.at_ms)
            if all(
                sent.route in version.services
                for version in self.versions[first:]
            ) and self.is_in_touch(sent.vm, sent.at_ms):
                violations.append(
                    f"{attempt} of {sent.vm} at {sent.at_ms:.0f} ms: no route"
                    f" {sent.route}, though the versions have it"
                )
        return violations

    def _judge_regressions(self) -> list[str]:
        """Judge whether a process goes back to an older version."""
        violations = []
        seen: dict[tuple[str, int], list[tuple[float, int]]] = (
            collections.defaultdict(lambda: [(float("-inf"), -1)])
        )
        for run in sorted(self.runs, key=lambda run: run.at_ms):
            sent = self.requests[run.attempt]
            allowing = self._allowing(run, sent.route)
            if not allowing:
                continue
            starts_ms = self.starts_ms[run.vm]
            incarnation = bisect.bisect_right(starts_ms, sent.at_ms)
            known = seen[run.vm, incarnation]
            before_ms = sent.at_ms - self.bounds.downgrade_ms
            index = bisect.bisect_left(known, (before_ms, -1)) - 1
            newest = known[max(index, 0)][1]
            if max(allowing) < newest:
                violations.append(
                    f"{run.attempt} of {run.vm} at {sent.at_ms:.0f} ms: went"
                    f" back from version {newest + 1} of the play"
                )
            known.append((run.at_ms, max(known[-1][1], min(allowing))))
        return violations
