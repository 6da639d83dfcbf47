"""Which VMs a gateway forwards a request to that it can't serve itself.

Answers a cut between this VM and all leafs, which other VMs may share: from a
few VMs up to most of a data centre. Nobody tells which are cut off as well, so
each VM learns from the answers it gets: VMs that served lately come first, then
others, near ones first. The load spreads over them by the rates of their links.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import random

import attrs

from oriolegate.models.site import MemberEntry

# VMs that a request may be forwarded to, one after the other.
MAX_TARGETS = 5
# Untested VMs at the same distance that are tried before VMs further away.
MAX_UNTESTED = 2
# Fraction of requests for which untested VMs come first, so that the load
# spreads over all that can serve.
TEST_FRACTION = 0.25
# How long a VM that served a forwarded request is preferred.
PREFERRED_MS = 10_000.0
# How long a VM that reaches no leaf itself, or can't serve, is not asked again.
CUT_OFF_PAUSE_MS = 1_500.0
DECLINED_PAUSE_MS = 300.0
# How long a VM that doesn't answer is not asked again: first, and at most.
FIRST_FAILURE_PAUSE_MS = 2_000.0
MAX_FAILURE_PAUSE_MS = 60_000.0
# How long no request of a route is forwarded after no VM reached its leafs.
ROUTE_PAUSE_MS = 500.0
# How long no VM answers before this VM counts as unable to reach any.
ISOLATED_AFTER_MS = 1_000.0


@attrs.define
class TargetState:
    """What is known of a VM from requests that were forwarded to it.

    Attributes:
        served_at_ms: When it last served one.
        pause_until_ms: Until when it gets none.
        failure_pause_ms: Length of its last pause after no answer, or 0.
    """

    served_at_ms: float = float("-inf")
    pause_until_ms: float = float("-inf")
    failure_pause_ms: float = 0.0


class TargetChoice:
    """Chooses VMs to forward to and remembers how they answered.

    Attributes:
        members: Entries of all other VMs that accept forwarded requests.
        states: What is known of VMs, by name.
        route_pauses_ms: Until when a route is not forwarded, by its name.
        unanswered_since_ms: When the first request since the last answer of
            any VM got none, or None.
    """

    def __init__(
        self,
        vm: str,
        data_centre: str,
        regions: Mapping[str, str],
        rng: random.Random,
    ) -> None:
        self.vm = vm
        self.data_centre = data_centre
        self.regions = regions
        self.rng = rng
        self.members: dict[str, MemberEntry] = {}
        self.states: dict[str, TargetState] = {}
        self.route_pauses_ms: dict[str, float] = {}
        self.unanswered_since_ms: float | None = None

    def set_members(self, entries: Iterable[MemberEntry]) -> None:
        """Set the VMs that may run; may contain this VM."""
        self.members = {
            entry.vm: entry
            for entry in entries
            if entry.vm != self.vm and entry.accepts_forwards
        }
        self.states = {
            vm: state for vm, state in self.states.items() if vm in self.members
        }

    def region_of(self, vm: str) -> str:
        """Return the region of a VM."""
        return self.regions.get(self.members[vm].data_centre, "")

    def _distance(self, vm: str) -> int:
        """Return 0 for this data centre, 1 for this region, else 2."""
        data_centre = self.members[vm].data_centre
        if data_centre == self.data_centre:
            return 0
        own_region = self.regions.get(self.data_centre)
        return 1 if self.regions.get(data_centre) == own_region else 2

    def is_near(self, vm: str) -> bool:
        """Return whether a VM is in this VM's region."""
        return self._distance(vm) < 2

    def _shuffle(self, vms: Iterable[str]) -> list[str]:
        """Return VMs in random order, those with faster links first."""

        def key(vm: str) -> float:
            weight = max(1.0, self.members[vm].link_mbps)
            return self.rng.random() ** (1.0 / weight)

        return sorted(vms, key=key, reverse=True)

    def choose(
        self, now_ms: float, route: str, home_regions: Collection[str]
    ) -> tuple[str, ...]:
        """Return the VMs to try, in order; empty if none may help.

        Args:
            now_ms: Current time.
            route: Name of the request's route.
            home_regions: Regions that may see the request; empty allows all.
        """
        if now_ms < self.route_pauses_ms.get(route, now_ms):
            return ()
        proven: dict[int, list[str]] = {0: [], 1: [], 2: []}
        untested: dict[int, list[str]] = {0: [], 1: [], 2: []}
        for vm in self.members:
            state = self.states.get(vm, TargetState())
            if now_ms < state.pause_until_ms:
                continue
            if home_regions and self.region_of(vm) not in home_regions:
                continue
            is_proven = now_ms - state.served_at_ms < PREFERRED_MS
            group = proven if is_proven else untested
            group[self._distance(vm)].append(vm)
        order: list[str] = []
        for distance in proven:
            tested = self._shuffle(proven[distance])
            others = self._shuffle(untested[distance])[:MAX_UNTESTED]
            if self.rng.random() < TEST_FRACTION:
                tested, others = others, tested
            order += [*tested, *others]
        return tuple(order[:MAX_TARGETS])

    def _state(self, vm: str) -> TargetState:
        return self.states.setdefault(vm, TargetState())

    def is_isolated(self, now_ms: float) -> bool:
        """Return whether no VM has answered for a while."""
        since_ms = self.unanswered_since_ms
        return since_ms is not None and now_ms - since_ms >= ISOLATED_AFTER_MS

    def record_served(self, now_ms: float, vm: str) -> None:
        """Record that a VM served a forwarded request."""
        self.unanswered_since_ms = None
        state = self._state(vm)
        state.served_at_ms = now_ms
        state.failure_pause_ms = 0.0

    def record_cut_off(self, now_ms: float, vm: str) -> None:
        """Record that a VM can't reach the leafs either."""
        self.unanswered_since_ms = None
        state = self._state(vm)
        state.served_at_ms = float("-inf")
        state.pause_until_ms = now_ms + CUT_OFF_PAUSE_MS

    def record_declined(self, now_ms: float, vm: str) -> None:
        """Record that a VM could not serve a forwarded request now."""
        self.unanswered_since_ms = None
        self._state(vm).pause_until_ms = now_ms + DECLINED_PAUSE_MS

    def record_failure(self, now_ms: float, vm: str) -> None:
        """Record that a VM did not answer."""
        if self.unanswered_since_ms is None:
            self.unanswered_since_ms = now_ms
        state = self._state(vm)
        state.served_at_ms = float("-inf")
        state.failure_pause_ms = min(
            MAX_FAILURE_PAUSE_MS,
            max(FIRST_FAILURE_PAUSE_MS, 2.0 * state.failure_pause_ms),
        )
        state.pause_until_ms = now_ms + state.failure_pause_ms

    def record_none_served(self, now_ms: float, route: str) -> None:
        """Record that no VM that was tried reaches the leafs of a route."""
        self.route_pauses_ms = {
            name: until_ms
            for name, until_ms in self.route_pauses_ms.items()
            if until_ms > now_ms
        }
        self.route_pauses_ms[route] = now_ms + ROUTE_PAUSE_MS
