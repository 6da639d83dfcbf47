"""Cost of single cores at sizes that need no processes.

Figures are processor time of this thread, memory that `tracemalloc` traces,
and bytes of messages by the codec. The sockets are left out.
"""

import json
import random
import time

from tools.capacity_meter import allocated_kib
from tools.capacity_meter import encoded_bytes
from tools.capacity_meter import KIB
from tools.capacity_meter import MS_PER_S
from tools.capacity_meter import print_lines
from tools.capacity_meter import processor_ms
from tools.capacity_sizes import make_member

from oriolegate.configuration import effects as document_effects
from oriolegate.configuration.document_gossip import DocumentGossip
from oriolegate.configuration.messages import Confirmation
from oriolegate.configuration.messages import Confirmations
from oriolegate.membership import effects as membership_effects
from oriolegate.membership.membership import Membership
from oriolegate.membership.messages import Heartbeat
from oriolegate.membership.messages import Member
from oriolegate.membership.messages import MemberDelta
from oriolegate.membership.messages import MemberState
from oriolegate.runtime.composition import peer_codec
from oriolegate.shares.homes import choose_homes
from oriolegate.shares.homes import forwarding_order
from oriolegate.shares.share_object import Amounts
from tools import capacity_leafs

MEMBER_COUNTS = (275, 550, 1_100, 2_200)
PEERS = 11
QUIET_S = 20
CHANGES = 20
SERVICES = 20
TICK_MS = 250.0
LIMITS = Amounts(4, 35, 1)


def _joined(members: list[Member]) -> Membership:
    core = Membership(members[0], random.Random(1))
    delta = MemberDelta(tuple(members[1:]))
    core.step(1.0, membership_effects.Received(members[1].vm, delta))
    core.step(2.0, membership_effects.Tick())
    return core


def _joined_fresh(count: int) -> Membership:
    """Join with members of its own, so that they count as memory."""
    return _joined([make_member(number) for number in range(count)])


def _quiet(core: Membership, peers: list[str], start_ms: float) -> float:
    """Return the last time after quiet seconds with heartbeats."""
    now_ms = start_ms
    for _ in range(int(QUIET_S * MS_PER_S / TICK_MS)):
        now_ms += TICK_MS
        core.step(now_ms, membership_effects.Tick())
        if now_ms % MS_PER_S:
            continue
        beat = Heartbeat(core.table.table_hash(), ())
        for vm in peers:
            core.step(now_ms, membership_effects.Received(vm, beat))
    return now_ms


def _change(core: Membership, members: list[Member], now_ms: float) -> None:
    """Let members change one after the other, each before a tick."""
    for number in range(CHANGES):
        now_ms += TICK_MS
        known = core.table.members[members[10 + number].vm]
        news = Member(
            known.vm,
            known.host,
            known.peer_port,
            known.data_centre,
            known.incarnation,
            known.refutation + 1,
            MemberState.LIVE,
        )
        delta = MemberDelta((news,))
        core.step(now_ms, membership_effects.Received(members[1].vm, delta))
        core.step(now_ms, membership_effects.Tick())


def measure_membership() -> None:
    """Print what the member table costs."""
    print("members     KiB  join-ms  quiet-ms/s  change-ms")
    rows = []
    for count in MEMBER_COUNTS:
        members = [make_member(number) for number in range(count)]
        core, size_kib = allocated_kib(_joined_fresh, count)
        join_ms = processor_ms(_joined, members)
        peers = [member.vm for member in members[1 : PEERS + 1]]
        for vm in peers:
            core.step(1_000.0, membership_effects.LinkUp(vm))
        quiet_ms = processor_ms(_quiet, core, peers, 1_000.0) / QUIET_S
        now_ms = 1_000.0 + QUIET_S * MS_PER_S
        change_ms = processor_ms(_change, core, members, now_ms) / CHANGES
        rows.append((size_kib, join_ms, quiet_ms, change_ms))
        print(
            f"{count:7d} {size_kib:7.0f} {join_ms:8.1f} {quiet_ms:11.2f}"
            f" {change_ms:10.2f}"
        )
    print_lines(MEMBER_COUNTS, rows, ("KiB", "join", "quiet", "change"))
    print(f"bytes: member {encoded_bytes(MemberDelta((make_member(1),)))}")


def _list_body(members: list[Member]) -> bytes:
    rows = [
        {
            "vm": member.vm,
            "host": member.host,
            "peer_port": member.peer_port,
            "data_centre": member.data_centre,
            "state": "live",
        }
        for member in members
    ]
    return json.dumps({"vms": rows}).encode()


def _take_list(core: Membership, body: bytes) -> None:
    rows = tuple(
        membership_effects.ListedVm(
            row["vm"], row["host"], row["peer_port"], row["data_centre"]
        )
        for row in json.loads(body)["vms"]
    )
    core.step(3.0, membership_effects.VmsListed(rows))


def measure_listing() -> None:
    """Print what one poll of the platform's list of VMs costs."""
    print("members  list-KiB  take-ms")
    rows = []
    for count in MEMBER_COUNTS:
        members = [make_member(number) for number in range(count)]
        core = _joined(members)
        body = _list_body(members)
        take_ms = processor_ms(_take_list, core, body)
        rows.append((len(body) / KIB, take_ms))
        print(f"{count:7d} {len(body) / KIB:9.1f} {take_ms:8.2f}")
    print_lines(MEMBER_COUNTS, rows, ("list KiB", "take"))


def _census(members: list[Member]) -> document_effects.MembersUpdated:
    return document_effects.MembersUpdated(
        tuple(
            document_effects.PossibleMember(
                member.vm, member.data_centre, member.incarnation, True
            )
            for member in members
        )
    )


def _confirmed(members: list[Member], version: int) -> Confirmations:
    return Confirmations(
        tuple(
            Confirmation(member.vm, member.incarnation, version)
            for member in members
        )
    )


def _spreader(members: list[Member]) -> DocumentGossip:
    own = members[0]
    core = DocumentGossip(own.vm, own.incarnation, own.data_centre)
    core.step(0.0, _census(members))
    for member in members[1 : PEERS + 1]:
        core.step(0.0, document_effects.PeerLinked(member.vm))
    core.step(
        0.0,
        document_effects.Received(members[1].vm, _confirmed(members[1:], 1)),
    )
    return core


def _fresh_spreader(count: int) -> DocumentGossip:
    """Build a spreader with names of its own, so that they count."""
    return _spreader([make_member(number) for number in range(count)])


def _spread(
    core: DocumentGossip, members: list[Member], version: int
) -> tuple[int, int]:
    """Confirm one version in batches of 64; return messages and bytes."""
    codec = peer_codec()
    messages = size = 0
    now_ms = version * 10_000.0
    for start in range(1, len(members), 64):
        now_ms += TICK_MS
        batch = _confirmed(members[start : start + 64], version)
        source = members[1 + start // 64 % PEERS].vm
        core.step(now_ms, document_effects.Received(source, batch))
        for effect in core.step(now_ms, document_effects.Tick()):
            message = getattr(effect, "message", None)
            if isinstance(message, Confirmations):
                messages += 1
                size += len(codec.encode(message, 1_000_000))
    return messages, size


def _quiet_spreader(core: DocumentGossip, members: list[Member]) -> None:
    """Let quiet seconds pass with ticks and heartbeats' digests."""
    now_ms = 100_000.0
    for _ in range(int(QUIET_S * MS_PER_S / TICK_MS)):
        now_ms += TICK_MS
        core.step(now_ms, document_effects.Tick())
        if now_ms % MS_PER_S:
            continue
        for member in members[1 : PEERS + 1]:
            beat = document_effects.PeerDigest(member.vm, core.sent_digests)
            core.step(now_ms, beat)


def measure_confirmations() -> None:
    """Print what confirmations of one rules version cost."""
    print("members     KiB  census-ms  version-ms  quiet-ms/s  sent-KiB")
    rows = []
    for count in MEMBER_COUNTS:
        members = [make_member(number) for number in range(count)]
        core, size_kib = allocated_kib(_fresh_spreader, count)
        census_ms = processor_ms(core.step, 0.0, _census(members))
        started_s = time.thread_time()
        messages, size = _spread(core, members, 2)
        version_ms = (time.thread_time() - started_s) * MS_PER_S
        sent_kib = size / KIB
        quiet_ms = processor_ms(_quiet_spreader, core, members) / QUIET_S
        rows.append((size_kib, census_ms, version_ms, quiet_ms, sent_kib))
        print(
            f"{count:7d} {size_kib:7.0f} {census_ms:10.2f} {version_ms:11.2f}"
            f" {quiet_ms:11.2f} {sent_kib:9.1f}"
        )
        print(f"        {messages} messages")
    names = ("KiB", "census", "version", "quiet", "sent KiB")
    print_lines(MEMBER_COUNTS, rows, names)


def _choose(members: list[Member]) -> list[list[str]]:
    return [
        choose_homes(f"service-{number}", LIMITS, members)
        for number in range(SERVICES)
    ]


def _order(homes: list[list[str]], members: list[Member]) -> None:
    for names in homes:
        forwarding_order(names, members, "dc-0")


def measure_homes() -> None:
    """Print what homes cost for each service, against the members."""
    print("members  choose-ms/service  order-ms/service")
    rows = []
    for count in MEMBER_COUNTS:
        members = [make_member(number) for number in range(count)]
        choose_ms = processor_ms(_choose, members) / SERVICES
        order_ms = processor_ms(_order, _choose(members), members) / SERVICES
        rows.append((choose_ms, order_ms))
        print(f"{count:7d} {choose_ms:18.3f} {order_ms:17.4f}")
    print_lines(MEMBER_COUNTS, rows, ("choose", "order"))


def measure() -> None:
    """Print the figures of all cores."""
    measure_membership()
    measure_listing()
    measure_confirmations()
    measure_homes()
    capacity_leafs.measure()
