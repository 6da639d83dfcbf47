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
# How long a VM is asked after it left the list of members, and how many such
# VMs are: a stopping VM serves for a while.
FORMER_USE_MS = 3_000.0
MAX_STOPPING = 2
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
        answered_at_ms: When it last answered, whatever it was.
    """

    served_at_ms: float = float("-inf")
    pause_until_ms: float = float("-inf")
    failure_pause_ms: float = 0.0
    answered_at_ms: float = float("-inf")


class TargetChoice:
    """Chooses VMs to forward to and remembers how they answered.

    Attributes:
        members: Entries of all other VMs that accept forwarded requests.
        former_members: Entries of VMs that are stopping, and until when each
            is asked as a last resort.
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
        self.former_members: dict[str, tuple[MemberEntry, float]] = {}
        self.states: dict[str, TargetState] = {}
        self.route_pauses_ms: dict[str, float] = {}
        self.unanswered_since_ms: float | None = None

    def set_members(
        self, now_ms: float, entries: Collection[MemberEntry]
    ) -> None:
        """Set the VMs that may run; may contain this VM."""
        listed = {entry.vm for entry in entries}
        earlier = self.members
        self.members = {
            entry.vm: entry
            for entry in entries
            if entry.vm != self.vm and entry.accepts_forwards
        }
        for vm, entry in earlier.items():
            until_ms = now_ms + FORMER_USE_MS
            self.former_members.setdefault(vm, (entry, until_ms))
        self.former_members = {
            vm: former
            for vm, former in self.former_members.items()
            if vm not in listed and now_ms < former[1]
        }
        self.states = {
            vm: state
            for vm, state in self.states.items()
            if self.find_entry(vm) is not None
        }

    def find_entry(self, vm: str) -> MemberEntry | None:
        """Return the entry of a VM, or None if it is unknown."""
        entry = self.members.get(vm)
        if entry is None and vm in self.former_members:
            return self.former_members[vm][0]
        return entry

    def _distance(self, entry: MemberEntry) -> int:
        """Return 0 for this data centre, 1 for this region, else 2."""
        data_centre = entry.data_centre
        if data_centre == self.data_centre:
            return 0
        own_region = self.regions.get(self.data_centre)
        return 1 if self.regions.get(data_centre) == own_region else 2

    def is_near(self, entry: MemberEntry) -> bool:
        """Return whether a VM is in this VM's region."""
        return self._distance(entry) < 2

    def _is_allowed(
        self, now_ms: float, entry: MemberEntry, home_regions: Collection[str]
    ) -> bool:
        region = self.regions.get(entry.data_centre, "")
        if home_regions and region not in home_regions:
            return False
        state = self.states.get(entry.vm)
        return state is None or now_ms >= state.pause_until_ms

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
        for vm, entry in self.members.items():
            if not self._is_allowed(now_ms, entry, home_regions):
                continue
            state = self.states.get(vm, TargetState())
            is_proven = now_ms - state.served_at_ms < PREFERRED_MS
            group = proven if is_proven else untested
            group[self._distance(entry)].append(vm)
        order: list[str] = []
        for distance in proven:
            tested = self._shuffle(proven[distance])
            others = self._shuffle(untested[distance])[:MAX_UNTESTED]
            if self.rng.random() < TEST_FRACTION:
                tested, others = others, tested
            order += [*tested, *others]
        stopping = [
            vm
            for vm, (entry, until_ms) in self.former_members.items()
            if now_ms < until_ms
            and self._is_allowed(now_ms, entry, home_regions)
        ]
        return (*order[:MAX_TARGETS], *stopping[:MAX_STOPPING])

    def _state(self, vm: str) -> TargetState:
        return self.states.setdefault(vm, TargetState())

    def is_isolated(self, now_ms: float) -> bool:
        """Return whether no VM has answered for a while."""
        since_ms = self.unanswered_since_ms
        return since_ms is not None and now_ms - since_ms >= ISOLATED_AFTER_MS

    def has_answered_since(self, vm: str, since_ms: float) -> bool:
        """Return whether a VM has answered any request since a time."""
        state = self.states.get(vm)
        return state is not None and state.answered_at_ms >= since_ms

    def _record_answer(self, now_ms: float, vm: str) -> TargetState:
        self.unanswered_since_ms = None
        state = self._state(vm)
        state.answered_at_ms = now_ms
        state.failure_pause_ms = 0.0
        return state

    def record_served(self, now_ms: float, vm: str) -> None:
        """Record that a VM served a forwarded request."""
        self._record_answer(now_ms, vm).served_at_ms = now_ms

    def record_cut_off(self, now_ms: float, vm: str) -> None:
        """Record that a VM can't reach the leafs either."""
        state = self._record_answer(now_ms, vm)
        state.served_at_ms = float("-inf")
        state.pause_until_ms = now_ms + CUT_OFF_PAUSE_MS

    def record_declined(self, now_ms: float, vm: str) -> None:
        """Record that a VM could not serve a forwarded request now."""
        state = self._record_answer(now_ms, vm)
        state.pause_until_ms = now_ms + DECLINED_PAUSE_MS

    def record_failure(self, now_ms: float, vm: str) -> None:
        """Record that a VM did not answer."""
        if self.unanswered_since_ms is None:
            self.unanswered_since_ms = now_ms
        state = self._state(vm)
        state.served_at_ms = float("-inf")
        if state.failure_pause_ms and now_ms < state.pause_until_ms:
            # Requests that were open when the VM failed end after each other.
            return
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
