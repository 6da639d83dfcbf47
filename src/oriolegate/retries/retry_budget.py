"""Limits extra sends to a service so that all VMs together stay in bounds.

Over a sliding window, all VMs together may make `ratio` x requests + `slack`
extra sends. Each VM limits itself to `ratio` x its own requests plus its share
of the slack, which needs no communication between VMs.
"""

import collections
from collections.abc import Iterable

import attrs

# Windows are counted in steps. One more step is counted, so that no sliding
# window contains more extra sends than are counted here.
STEPS = 20
# Fraction of the ratio that is used; the other part covers requests whose extra
# sends belong to a later window than the request.
RATIO_FRACTION = 0.85
# The slack is divided among this many times the known members, since some may
# have joined unnoticed: at most three spares in addition to eight VMs.
MEMBER_FACTOR = 1.2
# Fraction of this VM's share of the slack that a process uses in its first
# window if an earlier process of the VM may have used the share: both
# together stay within the slack divided by the members.
RESTARTED_FRACTION = MEMBER_FACTOR - 1.0
# Fraction of the budget that hedges leave for retries after a failure.
RETRY_RESERVE = 0.25


@attrs.define
class ServiceWindow:
    """Requests and extra sends of one service, counted by time step."""

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
        members: Current number of VMs; an assumption until `set_members`.
        has_member_count: Whether `set_members` was called.
        earlier_members: Pairs of a time and the larger number of VMs that
            counts until then.
        restarted_until_ms: Until when extra sends of an earlier process of this
            VM may be in the window.
    """

    def __init__(self, ratio: float, window_ms: float, slack: float) -> None:
        self.members = 1
        self.has_member_count = False
        self.earlier_members: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.window_ms = 0.0
        self.restarted_until_ms = float("-inf")
        self.windows: dict[str, ServiceWindow] = {}
        self.set_bounds(ratio, window_ms, slack)

    def set_bounds(self, ratio: float, window_ms: float, slack: float) -> None:
        """Set the bounds; the counts stay unless the window length changes.

        Args:
            ratio: Extra sends per request, over all VMs.
            window_ms: Length of the sliding window.
            slack: Extra sends in a window in addition to the ratio, over all
                VMs.
        """
        self.ratio = ratio
        self.slack = slack
        if window_ms != self.window_ms:
            self.window_ms = window_ms
            self.step_ms = window_ms / STEPS
            self.windows = {}

    def set_members(self, now_ms: float, count: int) -> None:
        """Set the number of VMs.

        A VM that left may have used its share within the window, so a lower
        number takes effect only after the window.
        """
        if self.has_member_count and count < self.members:
            until_ms = now_ms + self.window_ms
            self.earlier_members.append((until_ms, self.members))
        self.members = count
        self.has_member_count = True

    def _most_members(self, now_ms: float) -> int:
        earlier = self.earlier_members
        while earlier and earlier[0][0] <= now_ms:
            earlier.popleft()
        return max([self.members, 1, *(count for _, count in earlier)])

    def record_restart(self, now_ms: float) -> None:
        """Record that another process of this VM may have run until now."""
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
        """Return the number of extra sends that are left now."""
        window = self._window(service, now_ms)
        share = self.slack / (MEMBER_FACTOR * self._most_members(now_ms))
        if now_ms < self.restarted_until_ms:
            share *= RESTARTED_FRACTION
        total = self.ratio * RATIO_FRACTION * window.request_count + share
        return total - window.extra_count

    def take(self, service: str, now_ms: float, *, hedge: bool) -> bool:
        """Charge one extra send and return True, if one is left.

        Args:
            service: Service that receives the send.
            now_ms: Current time.
            hedge: True if no earlier send has failed.
        """
        left = self.left(service, now_ms)
        window = self.windows[service]
        reserve = RETRY_RESERVE * (left + window.extra_count) if hedge else 0.0
        if left < 1.0 + reserve:
            return False
        self._add(window.extras, now_ms)
        window.extra_count += 1.0
        return True

    def take_each(self, services: Iterable[str], now_ms: float) -> bool:
        """Charge one extra send to each service and return True, if all have.

        Args:
            services: Services that each receive a send.
            now_ms: Current time.
        """
        needed = tuple(services)
        if any(self.left(service, now_ms) < 1.0 for service in needed):
            return False
        return all(
            self.take(service, now_ms, hedge=False) for service in needed
        )

    def refund(self, service: str) -> None:
        """Refund an extra send that never reached the service."""
        window = self.windows.get(service)
        if window is not None and window.extras:
            window.extras[-1][1] -= 1.0
            window.extra_count -= 1.0
