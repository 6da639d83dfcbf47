"""Judges a play by the rules of the users, from what was seen outside.

Each function returns the violations of one rule, with its bounds and excuses
as written. Rules that compare what happens over a whole day are left out.
"""

import collections
from collections.abc import Iterable

from tools.soak import config_judge
from tools.soak.budget_judge import Arrival
from tools.soak.budget_judge import BudgetBounds
from tools.soak.budget_judge import BudgetJudge
from tools.soak.budget_judge import SentRequest
from tools.soak.config_judge import ConfigBounds
from tools.soak.config_judge import ConfigJudge
from tools.soak.config_judge import ServiceRun
from tools.soak.config_judge import WrittenVersion

from oriolegate.models.site import Bounds
from tests.fleet_model.record import CONTACT_S
from tests.fleet_model.record import Record
from tests.fleet_model.record import Run

# Bounds of the users' rules; `Bounds` in the settings has the same.
CONFIG_APPLY_S = 4.0
DOWNGRADE_S = 0.25
EVACUATE_S = 5.0
DRAIN_S = 4.0
COLD_SLACK = 5
QUIET_LEARNED_S = 0.5
MAX_QUIET_REQUESTS = 2
MS_PER_S = 1_000.0
ROUTES = ("one", "once")
UNRUN_STATUSES = (408, 421, 429, 503)


def judge_configuration(record: Record) -> list[str]:
    """CONFIG: a request is run as only an older version allows."""
    if not record.versions:
        return []
    config = ConfigJudge(
        ConfigBounds(CONFIG_APPLY_S * MS_PER_S, DOWNGRADE_S * MS_PER_S),
        lambda vm, at_ms: record.is_in_touch(vm, at_ms / MS_PER_S),
    )
    for version in record.versions:
        service = frozenset({version.subject})
        services = dict.fromkeys(ROUTES, service)
        config.versions.append(
            WrittenVersion(version.at_s * MS_PER_S, services)
        )
    for name, attempt in record.attempts.items():
        config.requests[name] = config_judge.SentRequest(
            attempt.sent_s * MS_PER_S, attempt.vm, attempt.route
        )
        if attempt.status == config_judge.STATUS_NOT_FOUND:
            config.not_found.append(name)
    config.runs += [
        ServiceRun(run.at_s * MS_PER_S, run.attempt, run.service, run.vm)
        for run in record.runs
    ]
    return [f"CONFIG {clause}" for clause in config.judge()]


def judge_evacuations(record: Record) -> list[str]:
    """EVAC: a leaf of an evacuated data centre gets a request too late."""
    return [
        f"EVAC {run.leaf} from {run.vm} at {run.at_s:.2f} s,"
        f" {run.at_s - evacuation.at_s:.2f} s after the acknowledgement"
        for run in record.runs
        for evacuation in record.evacuations
        if run.data_centre == evacuation.subject
        and evacuation.at_s + EVACUATE_S < run.at_s < evacuation.until_s
        and record.is_in_touch(run.vm, run.at_s)
        and not record.is_held_up(run.vm, run.at_s)
    ]


def judge_draining(record: Record) -> list[str]:
    """DRAIN: a leaf that leaves gets a request too late."""
    violations = []
    for change in record.drained:
        if not record.is_store_stable(change.at_s):
            continue
        for run in record.runs:
            sent = record.attempts[run.attempt]
            if (
                run.leaf == change.subject
                and sent.sent_s > change.at_s + DRAIN_S
                and record.is_in_touch(run.vm, sent.sent_s)
                and record.is_in_touch(run.vm, run.at_s)
                and not record.is_held_up(run.vm, run.at_s)
            ):
                late_s = sent.sent_s - change.at_s
                violations.append(
                    f"DRAIN {run.leaf} from {run.vm} at {run.at_s:.2f} s,"
                    f" {late_s:.2f} s after the acknowledgement"
                )
    return violations


def judge_cold_leafs(record: Record) -> list[str]:
    """FAILBACK: a cold leaf gets more than the slack in a second."""
    violations = []
    for leaf, spans in record.cold.items():
        for span in spans:
            times_s = [
                run.at_s
                for run in record.runs
                if run.leaf == leaf
                and span.start_s < record.attempts[run.attempt].sent_s
                and run.at_s < span.end_s
            ]
            most = most_in_a_second(times_s)
            if most > COLD_SLACK:
                violations.append(
                    f"FAILBACK {leaf}: {most} in a second, cold since"
                    f" {span.start_s:.2f} s"
                )
    return violations


def most_in_a_second(times_s: list[float]) -> int:
    """Return the highest number of times within any second; they ascend."""
    most = 0
    first = 0
    for last, at_s in enumerate(times_s):
        while times_s[first] <= at_s - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


def judge_quiet_times(record: Record) -> list[str]:
    """BUDGET: a leaf gets requests in the time for which it wants none."""
    violations = []
    by_pair: dict[tuple[str, str], list[Run]] = collections.defaultdict(list)
    for arrival in record.arrivals:
        by_pair[arrival.leaf, arrival.vm].append(arrival)
    for (leaf, vm), spans in record.quiet.items():
        for span in spans:
            if any(
                trouble.overlaps(span.start_s, span.end_s)
                for trouble in (*record.vm_trouble[vm], *record.vm_cuts[vm])
            ):
                continue
            if any(
                span.start_s < at_s < span.end_s
                for at_s in record.restarts[leaf]
            ):
                continue
            count = sum(
                span.start_s + QUIET_LEARNED_S < run.at_s < span.end_s
                for run in by_pair[leaf, vm]
            )
            if count > MAX_QUIET_REQUESTS:
                violations.append(
                    f"BUDGET {leaf}: {count} requests from {vm} in the quiet"
                    f" time from {span.start_s:.2f} s"
                )
    return violations


def judge_budget(record: Record) -> list[str]:
    """BUDGET: attempts, repeats in each window, and timeouts."""
    bounds = Bounds()
    budget = BudgetJudge(
        BudgetBounds(
            bounds.retry_ratio, bounds.retry_window_ms, bounds.retry_slack
        ),
        CONTACT_S * MS_PER_S,
    )
    services = {name: {a.service} for name, a in record.attempts.items()}
    rejected = set(map(id, record.rejected))
    for arrival in record.arrivals:
        services[arrival.attempt].add(arrival.service)
        budget.arrivals.append(
            Arrival(
                arrival.at_s * MS_PER_S,
                arrival.attempt,
                arrival.service,
                arrival.leaf,
                arrival.vm,
                arrival.left_ms,
                id(arrival) not in rejected,
            )
        )
    for name, attempt in record.attempts.items():
        budget.requests[name] = SentRequest(
            attempt.sent_s * MS_PER_S,
            tuple(services[name]),
            attempt.attempts,
            attempt.timeout_ms,
        )
    for leaf, times_s in record.leaf_ends.items():
        budget.leaf_ends_ms[leaf] = [at_s * MS_PER_S for at_s in times_s]
    for vm, spans in record.vm_cuts.items():
        budget.vm_cuts_ms[vm] = [span.start_s * MS_PER_S for span in spans]
    for vm, spans in (*record.vm_trouble.items(), *record.vm_cuts.items()):
        for span in spans:
            budget.vm_disturbances_ms[vm] += [
                span.start_s * MS_PER_S,
                span.end_s * MS_PER_S,
            ]
    return [f"BUDGET {clause}" for clause in budget.judge()]


def judge_attempts(record: Record) -> list[str]:
    """TWICE and REFUSED: a request runs twice, or is called unrun and ran."""
    counts = collections.Counter(run.attempt for run in record.runs)
    violations = []
    for name, attempt in record.attempts.items():
        if attempt.route != "once":
            continue
        if counts[name] > 1:
            violations.append(f"TWICE {name} ran {counts[name]} times")
        if attempt.status in UNRUN_STATUSES and counts[name]:
            violations.append(f"REFUSED {name} got {attempt.status} and ran")
    return violations


def judge_calm(record: Record, from_s: float) -> list[str]:
    """All requests are served once all disturbances are over."""
    return [
        f"CALM {name} got {attempt.status} at {attempt.sent_s:.2f} s"
        for name, attempt in record.attempts.items()
        if attempt.sent_s >= from_s and attempt.status != 200
    ]


JUDGES = (
    judge_configuration,
    judge_evacuations,
    judge_draining,
    judge_cold_leafs,
    judge_quiet_times,
    judge_budget,
    judge_attempts,
)


def judge(record: Record, calm_from_s: float) -> list[str]:
    """Return all violations of a play, the first of each rule and subject."""
    found: Iterable[str] = [
        violation for rule in JUDGES for violation in rule(record)
    ]
    return [*found, *judge_calm(record, calm_from_s)]
