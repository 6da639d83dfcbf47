"""Crash reports about requests whose leafs crashed while running them.

A leaf that crashes drops all requests that it runs, so each of them may be the
cause. A request during which leafs crashed in more than one attempt, with no
success in between, is refused: sending it again would crash leaf after leaf.
All VMs share the reports, since the caller may retry the request at any VM. A
success at any VM withdraws the reports about the request; an error does not,
since a leaf may fail a request without running it. `trial_schedule` decides
when a refused request is tried again. A report ends some time after this VM has
first read it, whatever became of the VM that wrote it.
"""

from collections.abc import Collection
import enum

import attrs

from oriolegate.crashes.trial_schedule import TrialSchedule
from oriolegate.exchange.messages import CallerCall
from oriolegate.models.site import CrashEntry
from oriolegate.models.site import CrashReport
from oriolegate.models.site import CrashTrial
from oriolegate.quarantine import fingerprint

# Crashes after which a request is refused; users tolerate up to three.
CRASHES_TO_REFUSE = 3
# The crashes must belong to at least this many attempts: during one attempt,
# many leafs may crash at once for another reason.
ATTEMPTS_TO_REFUSE = 2
# Limits on the requests stored as harmless (they succeeded), as suspect (with
# crash reports), and as lost (with a lost connection) until it is known whether
# the leaf crashed: seconds of one VM's traffic.
MAX_HARMLESS = 2_000
MAX_SUSPECTS = 200
MAX_LOST = 500
# Lifetime of a report, and so of a refusal: time for an operator to react.
ENTRY_TTL_MS = 600_000.0
# How long before a crash is found a request may have been abandoned to be its
# cause. Some leafs go on with a request whose connection was closed, and no
# reset arrives from a leaf behind a link that is cut in one direction.
ABANDONED_BLAME_MS = 5_000.0
MAX_ABANDONED_PER_LEAF = 20


def call_fingerprint(call: CallerCall) -> int:
    """Return a hash that is the same for each retry of a request."""
    line = f"{call.method.decode('latin-1')} {call.host} "
    line += call.target.decode("latin-1")
    return fingerprint.fingerprint(line, call.body, None)


@attrs.frozen
class LostRequest:
    """A request without an answer that a leaf may have been running."""

    fingerprint: int
    attempt_id: str


class Unreported(enum.Enum):
    """Why a crash is not reported although a request may have caused it."""

    HARMLESS = "the request has just succeeded"
    ENOUGH_REPORTS = "the request has enough reports"


@attrs.frozen
class Suspicion:
    """What the known reports say about a request.

    Attributes:
        fingerprint: Fingerprint of the request.
        reports: Number of reports about it.
        attempts: Number of attempts during which leafs crashed.
        is_harmless: Whether it succeeded here and no leaf crashed since.
        must_refuse: Whether it must not be sent to any leaf, but for a trial.
        trial_number: Number of the trial that may be claimed now, or None.
        retry_after_ms: When a trial may have cleared it, or None if none will.
    """

    fingerprint: int
    reports: int
    attempts: int
    is_harmless: bool
    must_refuse: bool
    trial_number: int | None
    retry_after_ms: float | None


class CrashLedger:
    """All crash reports known to this VM.

    Attributes:
        reports: Reports by fingerprint of the request and name of the report.
        fingerprints: Fingerprint by name of the report.
        trials: When refused requests are tried again.
        read_at_ms: When this VM first read each report and trial, by name,
            oldest first.
        harmless: Fingerprints of requests that succeeded here and during which
            this VM has seen no crash since, oldest first. Other VMs' reports
            don't stop them: one more success withdraws the reports.
        lost_requests: Requests whose connection was lost, by leaf id, until it
            is known whether the leaf crashed.
        abandoned_requests: Requests given up while a leaf may have run them, by
            leaf id, with the time.
    """

    def __init__(self) -> None:
        self.reports: dict[int, dict[str, CrashReport]] = {}
        self.fingerprints: dict[str, int] = {}
        self.trials = TrialSchedule()
        self.read_at_ms: dict[str, float] = {}
        self.harmless: dict[int, None] = {}
        self.lost_requests: dict[str, set[LostRequest]] = {}
        self.abandoned_requests: dict[str, dict[LostRequest, float]] = {}

    def record_lost_request(self, leaf_id: str, lost: LostRequest) -> None:
        """Record a request during which the connection to a leaf was lost."""
        if len(self.lost_requests) >= MAX_LOST:
            del self.lost_requests[next(iter(self.lost_requests))]
        self.lost_requests.setdefault(leaf_id, set()).add(lost)

    def record_abandoned_request(
        self, now_ms: float, leaf_id: str, lost: LostRequest
    ) -> None:
        """Record a request given up while a leaf may have run it."""
        of_leaf = self.abandoned_requests.setdefault(leaf_id, {})
        if len(self.abandoned_requests) > MAX_LOST:
            del self.abandoned_requests[next(iter(self.abandoned_requests))]
        if len(of_leaf) >= MAX_ABANDONED_PER_LEAF:
            del of_leaf[next(iter(of_leaf))]
        of_leaf[lost] = now_ms

    def record_leaf_alive(self, leaf_id: str) -> frozenset[LostRequest]:
        """Record that a leaf is up: only its connection was lost.

        Returns:
            The requests that are not blamed.
        """
        return frozenset(self.lost_requests.pop(leaf_id, ()))

    def record_leaf_crash(
        self, now_ms: float, leaf_id: str
    ) -> frozenset[LostRequest]:
        """Record that a leaf crashed and return the requests that may be why.

        `judge_report` says which of them need no report.
        """
        abandoned = self.abandoned_requests.pop(leaf_id, {})
        recently_abandoned = {
            lost
            for lost, at_ms in abandoned.items()
            if now_ms - at_ms <= ABANDONED_BLAME_MS
        }
        return frozenset(
            self.lost_requests.pop(leaf_id, set()) | recently_abandoned
        )

    def judge_report(self, lost: LostRequest) -> Unreported | None:
        """Return why a crash needs no report, or None if it needs one.

        The next crash during a harmless request is reported.
        """
        if lost.fingerprint in self.harmless:
            del self.harmless[lost.fingerprint]
            return Unreported.HARMLESS
        reports = self.reports.get(lost.fingerprint, {}).values()
        of_attempt = [r for r in reports if r.attempt_id == lost.attempt_id]
        if len(of_attempt) >= CRASHES_TO_REFUSE or _prove_cause(reports):
            return Unreported.ENOUGH_REPORTS
        return None

    def record_success(self, call: CallerCall) -> tuple[str, ...]:
        """Record that a leaf ran a request successfully.

        Returns:
            Names of the reports about it and of its trials, which are
            withdrawn.
        """
        request_fingerprint = call_fingerprint(call)
        self.harmless.pop(request_fingerprint, None)
        self.harmless[request_fingerprint] = None
        if len(self.harmless) > MAX_HARMLESS:
            del self.harmless[next(iter(self.harmless))]
        names = tuple(self.reports.get(request_fingerprint, ()))
        names += self.trials.names(request_fingerprint)
        for name in names:
            self.remove_entry(name)
        return names

    def add_entry(self, now_ms: float, name: str, entry: CrashEntry) -> None:
        """Add a report or trial of this or another VM.

        Args:
            now_ms: Current time.
            name: Unique for the request and the incarnation of the leaf, or the
                number of the trial.
            entry: The report or trial.
        """
        self.read_at_ms.setdefault(name, now_ms)
        match entry:
            case CrashTrial():
                self.trials.on_trial(now_ms, name, entry)
            case CrashReport():
                if name not in self.fingerprints:
                    self.trials.on_report(now_ms, entry.fingerprint)
                self._add_report(name, entry)
        if len(self.trials.schedules) > MAX_SUSPECTS:
            self._drop_schedule()

    def _drop_schedule(self) -> None:
        """Forget the trials of the request that needs them least."""
        unneeded = (f for f in self.trials.schedules if f not in self.reports)
        oldest = next(iter(self.trials.schedules))
        dropped = next(unneeded, oldest)
        for name in self.trials.names(dropped):
            self.read_at_ms.pop(name, None)
        self.trials.forget(dropped)

    def _add_report(self, name: str, report: CrashReport) -> None:
        if report.fingerprint not in self.reports:
            if len(self.reports) >= MAX_SUSPECTS:
                self._drop_reports(self._least_suspect())
            self.reports[report.fingerprint] = {}
        self.reports[report.fingerprint][name] = report
        self.fingerprints[name] = report.fingerprint

    def find_entry(self, name: str) -> CrashEntry | None:
        """Return a report or trial by its name, or None if there is none."""
        request_fingerprint = self.fingerprints.get(name)
        if request_fingerprint is None:
            return self.trials.find_trial(name)
        return self.reports[request_fingerprint][name]

    def remove_entry(self, name: str) -> None:
        """Remove a report or trial that was withdrawn or has expired."""
        self.read_at_ms.pop(name, None)
        request_fingerprint = self.fingerprints.pop(name, None)
        if request_fingerprint is not None:
            del self.reports[request_fingerprint][name]
            if not self.reports[request_fingerprint]:
                del self.reports[request_fingerprint]
        else:
            request_fingerprint = self.trials.remove_trial(name)
        if (
            request_fingerprint is not None
            and request_fingerprint not in self.reports
            and not self.trials.names(request_fingerprint)
        ):
            self.trials.forget(request_fingerprint)

    def next_expiry_ms(self) -> float | None:
        """Return when the oldest report or trial expires, or None."""
        for at_ms in self.read_at_ms.values():
            return at_ms + ENTRY_TTL_MS
        return None

    def remove_expired(self, now_ms: float) -> dict[str, CrashEntry]:
        """Remove the reports and trials that have expired; return them."""
        expired = {}
        for name, at_ms in list(self.read_at_ms.items()):
            if now_ms - at_ms < ENTRY_TTL_MS:
                break
            entry = self.find_entry(name)
            if entry is not None:
                expired[name] = entry
            self.remove_entry(name)
        return expired

    def _least_suspect(self) -> int:
        """Return the oldest request among those with the fewest reports."""
        return min(self.reports, key=lambda known: len(self.reports[known]))

    def count_reports(self, request_fingerprint: int) -> int:
        """Return the number of reports about a request."""
        return len(self.reports.get(request_fingerprint, ()))

    def _drop_reports(self, request_fingerprint: int) -> None:
        for name in self.reports.pop(request_fingerprint):
            del self.fingerprints[name]
            self.read_at_ms.pop(name, None)

    def suspicion(self, now_ms: float, call: CallerCall) -> Suspicion | None:
        """Return what the reports say about a request, or None without any."""
        if not self.reports:
            return None
        request_fingerprint = call_fingerprint(call)
        reports = self.reports.get(request_fingerprint)
        if reports is None:
            return None
        is_harmless = request_fingerprint in self.harmless
        return Suspicion(
            request_fingerprint,
            len(reports),
            len({report.attempt_id for report in reports.values()}),
            is_harmless,
            not is_harmless and _prove_cause(reports.values()),
            self.trials.due_number(now_ms, request_fingerprint),
            self.trials.retry_after_ms(now_ms, request_fingerprint),
        )


def _prove_cause(reports: Collection[CrashReport]) -> bool:
    """Return whether the reports show that the request is the cause."""
    attempts = {report.attempt_id for report in reports}
    return (
        len(reports) >= CRASHES_TO_REFUSE
        and len(attempts) >= ATTEMPTS_TO_REFUSE
    )
