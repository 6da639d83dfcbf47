"""When a refused request may be tried again, at one leaf; no I/O.

Crash reports are no proof: leafs may have crashed for a reason of their own
while they ran a popular request, and no success can clear a request that all
VMs refuse. So it is tried a few times over all VMs, once no leaf has crashed
under it for a while. A success withdraws the reports and the trials.
"""

from collections.abc import Callable

import attrs

from oriolegate.models.site import CrashTrial

# Trials of a request while its reports last. After the third crash, users
# tolerate three sends; one is left for a VM that has not read all reports.
MAX_TRIALS = 2
# Delay of the first trial after a report: leafs that crash together are found
# to be down one after the other.
FIRST_TRIAL_MS = 2_000.0
# Delay of the next trial after one that did not succeed: a leaf that crashed is
# back after some seconds.
NEXT_TRIAL_MS = 8_000.0
# Spread of the VMs' claims of one trial: a claim reaches all VMs within some
# 0.2 s, in which 40 others make theirs in vain.
SPREAD_PER_MEMBER_MS = 5.0
# How long the result of a trial is awaited.
RESULT_WAIT_MS = 2_000.0
# Retry-After while a trial runs or is due.
RESULT_RETRY_MS = 300.0


@attrs.define
class _Schedule:
    """Trials of one request.

    Attributes:
        due_ms: Before this time no trial is claimed.
        result_until_ms: Until when the result of a trial may come.
        trials: Claimed trials, by name.
    """

    due_ms: float
    result_until_ms: float = float("-inf")
    trials: dict[str, CrashTrial] = attrs.field(factory=dict)

    @property
    def next_number(self) -> int | None:
        """Number of the next trial, or None if there is none."""
        last = max((t.number for t in self.trials.values()), default=0)
        return last + 1 if last < MAX_TRIALS else None


class TrialSchedule:
    """The trials of all requests with crash reports that this VM knows.

    Attributes:
        schedules: Trials by fingerprint of the request, oldest first.
        fingerprints: Fingerprint by name of the trial.
        draw_spread_ms: Draws a delay of this VM's claims, so that few VMs claim
            the same trial before they have read that one has.
    """

    def __init__(self) -> None:
        self.schedules: dict[int, _Schedule] = {}
        self.fingerprints: dict[str, int] = {}
        self.draw_spread_ms: Callable[[], float] = lambda: 0.0

    def _postpone(
        self, now_ms: float, fingerprint: int, delay_ms: float
    ) -> _Schedule:
        due_ms = now_ms + delay_ms + self.draw_spread_ms()
        schedule = self.schedules.get(fingerprint)
        if schedule is None:
            schedule = self.schedules[fingerprint] = _Schedule(due_ms)
        schedule.due_ms = max(schedule.due_ms, due_ms)
        return schedule

    def on_report(self, now_ms: float, fingerprint: int) -> None:
        """Postpone the next trial of a request after a crash report."""
        self._postpone(now_ms, fingerprint, FIRST_TRIAL_MS)

    def on_trial(self, now_ms: float, name: str, trial: CrashTrial) -> None:
        """Record that a VM has claimed a trial."""
        if name in self.fingerprints:
            return
        schedule = self._postpone(now_ms, trial.fingerprint, NEXT_TRIAL_MS)
        schedule.trials[name] = trial
        schedule.result_until_ms = now_ms + RESULT_WAIT_MS
        self.fingerprints[name] = trial.fingerprint

    def names(self, fingerprint: int) -> tuple[str, ...]:
        """Return the names of the trials of a request."""
        schedule = self.schedules.get(fingerprint)
        return tuple(schedule.trials) if schedule else ()

    def forget(self, fingerprint: int) -> None:
        """Forget a request and its trials."""
        for name in self.names(fingerprint):
            del self.fingerprints[name]
        self.schedules.pop(fingerprint, None)

    def find_trial(self, name: str) -> CrashTrial | None:
        """Return a trial by its name, or None if there is none."""
        fingerprint = self.fingerprints.get(name)
        if fingerprint is None:
            return None
        return self.schedules[fingerprint].trials[name]

    def remove_trial(self, name: str) -> int | None:
        """Remove a trial and return its fingerprint, or None if unknown."""
        fingerprint = self.fingerprints.pop(name, None)
        if fingerprint is not None:
            del self.schedules[fingerprint].trials[name]
        return fingerprint

    def due_number(self, now_ms: float, fingerprint: int) -> int | None:
        """Return the number of the trial that may be claimed now, or None."""
        schedule = self.schedules.get(fingerprint)
        if schedule is None or now_ms < schedule.due_ms:
            return None
        return schedule.next_number

    def retry_after_ms(self, now_ms: float, fingerprint: int) -> float | None:
        """Return when a trial may have cleared a request; None if none will."""
        schedule = self.schedules.get(fingerprint)
        if schedule is None:
            return None
        if now_ms < schedule.result_until_ms:
            return RESULT_RETRY_MS
        if schedule.next_number is None:
            return None
        return max(0.0, schedule.due_ms - now_ms) + RESULT_RETRY_MS
