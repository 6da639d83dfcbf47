"""Bounds extra sends to a service so that the sum over all VMs holds.

The users' bound over a window is `ratio` x requests + `slack`, over all VMs.
A VM that keeps `ratio` x its own requests plus its part of the slack keeps
the sum below it, without hearing from any other VM.
"""

import collections

import attrs

# Windows are counted in steps; a step more is kept so that a sliding window
# never sees more than what is counted here.
STEPS = 20
# Part of the ratio that is used; the rest covers requests whose extra sends
# fall into a later window than they do.
RATIO_PART = 0.85
# The slack is dealt out as if this many times the known members ran, since
# some may have joined unseen: three spares beside eight VMs at most.
MEMBER_FACTOR = 1.2
# Part of its slack that a process uses in its first window if an earlier
# process of the same VM may have spent that VM's part: both stay within it.
RESTARTED_PART = MEMBER_FACTOR - 1.0
# Part of the budget that hedges leave to sends after a failure.
KEPT_FOR_FAILURES = 0.25


@attrs.define
class ServiceWindow:
    """Requests and extra sends of one service, by step of time."""

    requests: collections.deque[list[float]] = attrs.field(
        factory=collections.deque
    )
    extras: collections.deque[list[float]] = attrs.field(
        factory=collections.deque
    )
    request_count: float = 0.0
    extra_count: float = 0.0


class RetryBudget:
    """Extra sends that this VM may still make, by service.

    Attributes:
        members: Member count known now; assumed until it is told.
        restarted_until_ms: Until when an earlier process of this VM may have
            extra sends in the window.
    """

    def __init__(self, ratio: float, window_ms: float, slack: float) -> None:
        self.members = 1
        self.is_told = False
        self.earlier_members: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.window_ms = 0.0
        self.restarted_until_ms = float("-inf")
        self.windows: dict[str, ServiceWindow] = {}
        self.set_bounds(ratio, window_ms, slack)

    def set_bounds(self, ratio: float, window_ms: float, slack: float) -> None:
        """Take the figures of the rule.

        What was counted stays, unless the window has another length.

        Args:
            ratio: Extra sends for each request, over all VMs.
            window_ms: Span over which both are counted.
            slack: Extra sends in a window beyond the ratio, over all VMs.
        """
        self.ratio = ratio
        self.slack = slack
        if window_ms != self.window_ms:
            self.window_ms = window_ms
            self.step_ms = window_ms / STEPS
            self.windows = {}

    def set_members(self, now_ms: float, count: int) -> None:
        """Take how many VMs there are.

        One that has left may have used its part within the window, so fewer
        members count only once that is over.
        """
        if self.is_told and count < self.members:
            until_ms = now_ms + self.window_ms
            self.earlier_members.append((until_ms, self.members))
        self.members = count
        self.is_told = True

    def _most_members(self, now_ms: float) -> int:
        earlier = self.earlier_members
        while earlier and earlier[0][0] <= now_ms:
            earlier.popleft()
        return max([self.members, 1, *(count for _, count in earlier)])

    def note_restart(self, now_ms: float) -> None:
        """Take that another process of this VM may have run until now."""
        self.restarted_until_ms = now_ms + self.window_ms

    def _window(self, service: str, now_ms: float) -> ServiceWindow:
        window = self.windows.get(service)
        if window is None:
            window = self.windows[service] = ServiceWindow()
        oldest = now_ms // self.step_ms - STEPS
        while window.requests and window.requests[0][0] < oldest:
            window.request_count -= window.requests.popleft()[1]
        while window.extras and window.extras[0][0] < oldest:
            window.extra_count -= window.extras.popleft()[1]
        return window

    def _add(
        self, steps: collections.deque[list[float]], now_ms: float
    ) -> None:
        step = now_ms // self.step_ms
        if steps and steps[-1][0] == step:
            steps[-1][1] += 1.0
        else:
            steps.append([step, 1.0])

    def count_request(self, service: str, now_ms: float) -> None:
        """Count a request that needs this service."""
        window = self._window(service, now_ms)
        self._add(window.requests, now_ms)
        window.request_count += 1.0

    def left(self, service: str, now_ms: float) -> float:
        """Return how many extra sends are left now."""
        window = self._window(service, now_ms)
        part = self.slack / (MEMBER_FACTOR * self._most_members(now_ms))
        if now_ms < self.restarted_until_ms:
            part *= RESTARTED_PART
        total = self.ratio * RATIO_PART * window.request_count + part
        return total - window.extra_count

    def take(self, service: str, now_ms: float, *, hedge: bool) -> bool:
        """Use one extra send if there is one.

        Args:
            service: Where it goes.
            now_ms: The time.
            hedge: True if nothing has failed yet.
        """
        left = self.left(service, now_ms)
        window = self.windows[service]
        kept = KEPT_FOR_FAILURES * (left + window.extra_count) if hedge else 0.0
        if left < 1.0 + kept:
            return False
        self._add(window.extras, now_ms)
        window.extra_count += 1.0
        return True

    def give_back(self, service: str) -> None:
        """Return an extra send that never reached the service."""
        window = self.windows.get(service)
        if window is not None and window.extras:
            window.extras[-1][1] -= 1.0
            window.extra_count -= 1.0
