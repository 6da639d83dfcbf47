"""Processor time of homes and forwarding, measured without sockets.

A home of a service is a VM that holds connections to its leafs. The runners are
those of the program; links, store and query path are stubs.
"""

import random
import types
from typing import Any

import attrs
from tools.capacity_meter import print_lines
from tools.capacity_meter import processor_ms
from tools.capacity_sizes import make_member
from tools.capacity_sizes import make_topology

from oriolegate.clock import SystemClock
from oriolegate.membership.messages import Member
from oriolegate.membership.messages import MemberState
from oriolegate.runtime.forward_runner import ForwardRunner
from oriolegate.runtime.share_runner import ShareRunner
from oriolegate.shares import effects
from oriolegate.shares.service_share import ShareOwner
from oriolegate.shares.shares import Shares

MEMBERS = 2_200
SERVICE_COUNTS = (33, 133, 533)
FORWARD_PASSES_PER_S = 4
SHARE_TICKS_PER_S = 10


class StubPeers:
    """Stub of the peer runner with a list of members and no links."""

    def __init__(self, members: list[Member]) -> None:
        self.table = {member.vm: member for member in members}
        self.membership = types.SimpleNamespace(own=members[0])
        self.mesh = types.SimpleNamespace(
            open_link=self._open, linked_vms=list, send=self._send
        )
        self.handlers: dict[type, Any] = {}
        self.on_members: list[Any] = []
        self.on_listed: list[Any] = []
        self.on_paused: list[Any] = []
        self.on_lost: list[Any] = []
        self.on_ended: Any = None
        self.opened: set[str] = set()

    def _open(self, vm: str) -> None:
        self.opened.add(vm)

    def _send(self, *_: object) -> bool:
        return True

    def members(self) -> list[Member]:
        """Return the members that may receive requests."""
        return [
            member
            for member in self.table.values()
            if member.state is not MemberState.DEAD
        ]

    def change_state(self, position: int, state: MemberState) -> None:
        """Change the state of a member and notify the listeners."""
        vm = list(self.table)[position]
        self.table[vm] = attrs.evolve(self.table[vm], state=state)
        for listener in self.on_members:
            listener()


class _UnansweredCall:
    """A platform call that is never answered."""

    def addCallbacks(self, *_: object) -> None:  # noqa: N802 (twisted's name)
        """Ignore the callbacks."""


@attrs.frozen
class Costs:
    """Processor time at one number of services.

    Attributes:
        suspicion_ms: Suspicion of a member, which moves no home.
        death_ms: Death of a member.
        join_ms: Join of a member.
        topology_ms: Change of one service's topology.
        forward_ms_per_s: Forward runner, per second.
        shares_ms_per_s: Share runner, per second.
        links: Links to homes that are open without any query.
    """

    suspicion_ms: float
    death_ms: float
    join_ms: float
    topology_ms: float
    forward_ms_per_s: float
    shares_ms_per_s: float
    links: int


def _build_runners(
    peers: StubPeers, services: int
) -> tuple[ShareRunner, ForwardRunner, dict[str, Any]]:
    topologies = {
        f"service-{number}": make_topology(number) for number in range(services)
    }
    tier: Any = types.SimpleNamespace(
        table=types.SimpleNamespace(topologies=topologies),
        can_run=lambda _: False,
        trim_to_grant=lambda _: True,
        apply_grant=lambda *_: None,
    )
    platform: Any = types.SimpleNamespace(get=lambda *_: _UnansweredCall())
    own = peers.membership.own
    clock = SystemClock()
    owner = ShareOwner(own.vm, own.incarnation, f"{own.host}:{own.peer_port}")
    peer_runner: Any = peers

    def call_later(*_: object) -> Any:
        return types.SimpleNamespace(cancel=lambda: None)

    shares = ShareRunner(
        Shares(owner, random.Random(1)),
        peer_runner,
        platform,
        tier,
        clock,
        call_later,
    )
    events: Any = None
    forwards = ForwardRunner(
        peer_runner, shares, tier, clock, call_later, events
    )
    return shares, forwards, topologies


def measure_services(services: int) -> Costs:
    """Return the costs at a number of services and 2,200 members."""
    members = [make_member(number) for number in range(MEMBERS)]
    peers = StubPeers(members)
    shares, forwards, topologies = _build_runners(peers, services)
    shares.may_request_shares = True
    shares.choose_homes()
    suspicion_ms = processor_ms(peers.change_state, 700, MemberState.SUSPECT)
    death_ms = processor_ms(peers.change_state, 700, MemberState.DEAD)
    join_ms = processor_ms(peers.change_state, 700, MemberState.LIVE)
    topology = topologies["service-0"]
    topologies["service-0"] = attrs.evolve(topology, generation=2)
    topology_ms = processor_ms(shares.choose_homes)
    forward_ms = processor_ms(forwards.start)
    shares_ms = processor_ms(shares.step, effects.Tick())
    return Costs(
        suspicion_ms,
        death_ms,
        join_ms,
        topology_ms,
        forward_ms * FORWARD_PASSES_PER_S,
        shares_ms * SHARE_TICKS_PER_S,
        len(peers.opened),
    )


def measure() -> None:
    """Print the costs and their slopes against the number of services."""
    names = [field.name for field in attrs.fields(Costs)]
    print("services  " + "  ".join(names))
    rows = []
    for services in SERVICE_COUNTS:
        costs = attrs.astuple(measure_services(services))
        rows.append(costs)
        figures = "  ".join(f"{value:.2f}" for value in costs)
        print(f"{services:8d}  {figures}", flush=True)
    print_lines(SERVICE_COUNTS, rows, names)
