"""Requests that this VM may send to a leaf that limits its requests.

A leaf in need names the requests per second that it accepts from all VMs
together. Each VM gets a fixed quota of what the limit allows in a window; the
quotas of all members add up to it, so that no messages are needed. A VM without
a quota sends a request now and then, whose answer shows whether the limit still
holds.
"""

import collections
from collections.abc import Collection
import math

import attrs

from oriolegate.membership import rendezvous

MS_PER_S = 1_000.0
# The users' rule counts a leaf's requests in windows of this length.
WINDOW_MS = 4_000.0
# Requests that are sent further apart than the window may arrive closer
# together, by a new connection and the network latency.
ARRIVAL_SPREAD_MS = 300.0
QUOTA_WINDOW_MS = WINDOW_MS + ARRIVAL_SPREAD_MS
# Within this fraction of the window the same fraction of the quota is used, so
# that the requests don't arrive in bursts.
STEP_FRACTION = 0.25
# All VMs without a quota together add at most this fraction of the limit.
PROBE_FRACTION = 0.25
# Limit assumed for the interval of probes if the leaf names a lower one.
MIN_PROBED_LIMIT_PER_S = 1.0


def window_quota(rank: int, member_count: int, limit_per_s: float) -> int:
    """Return how many requests a VM may send in one window.

    Args:
        rank: Position of the VM among the members, by a hash for the leaf.
        member_count: Number of VMs that may send to the leaf.
        limit_per_s: Limit that the leaf names.
    """
    total = int(limit_per_s * WINDOW_MS / MS_PER_S)
    quota, remainder = divmod(total, member_count)
    return quota + 1 if rank < remainder else quota


def probe_interval_ms(member_count: int, limit_per_s: float) -> float:
    """Return the interval at which a VM without a quota sends a request."""
    probes_per_s = PROBE_FRACTION * max(limit_per_s, MIN_PROBED_LIMIT_PER_S)
    return member_count / probes_per_s * MS_PER_S


@attrs.define(eq=False)
class RequestLimit:
    """This VM's part of the limit of one leaf.

    Attributes:
        per_s: Limit that the leaf named last, over all VMs.
        rank: Position of this VM among the members.
        member_count: Number of VMs that may send to the leaf.
        held_since_ms: When this VM learned of the limit or last sent a request.
        sent_at_ms: Times of the sends within the window, oldest first.
    """

    per_s: float
    rank: int
    member_count: int
    held_since_ms: float
    sent_at_ms: collections.deque[float] = attrs.field(
        factory=collections.deque
    )

    def set_members(
        self, vm: str, members: Collection[str], leaf_id: str
    ) -> None:
        """Update the quota after the members changed."""
        self.rank = rendezvous.ranked(leaf_id, members).index(vm)
        self.member_count = len(members)

    @property
    def quota(self) -> int:
        """Requests that this VM may send in one window."""
        return window_quota(self.rank, self.member_count, self.per_s)

    def allows(self, now_ms: float) -> bool:
        """Return whether this VM may send a request now."""
        self._forget_old_sends(now_ms)
        quota = self.quota
        if quota == 0:
            interval_ms = probe_interval_ms(self.member_count, self.per_s)
            return now_ms - self.held_since_ms >= interval_ms
        step_from_ms = now_ms - STEP_FRACTION * QUOTA_WINDOW_MS
        in_step = sum(at_ms > step_from_ms for at_ms in self.sent_at_ms)
        return len(self.sent_at_ms) < quota and in_step < math.ceil(
            STEP_FRACTION * quota
        )

    def record_send(self, now_ms: float) -> None:
        """Record a request that was sent."""
        self._forget_old_sends(now_ms)
        self.held_since_ms = now_ms
        self.sent_at_ms.append(now_ms)

    def _forget_old_sends(self, now_ms: float) -> None:
        while (
            self.sent_at_ms and self.sent_at_ms[0] <= now_ms - QUOTA_WINDOW_MS
        ):
            self.sent_at_ms.popleft()


def create(
    now_ms: float,
    vm: str,
    members: Collection[str],
    leaf_id: str,
    per_s: float,
) -> RequestLimit:
    """Create the state of a limit that a leaf has just named."""
    limit = RequestLimit(per_s, 0, 1, now_ms)
    limit.set_members(vm, members, leaf_id)
    return limit
