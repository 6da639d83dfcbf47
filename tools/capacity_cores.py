"""Cost of single components, measured without starting processes.

Figures are the processor time of this thread, the memory that `tracemalloc`
traces and the size of encoded messages. Sockets aren't included.
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
LINKED_PEER_COUNT = 11
QUIET_S = 20
CHANGE_COUNT = 20
SERVICES = 20
TICK_MS = 250.0
LIMITS = Amounts(4, 35, 1)


def _build_membership(members: list[Member]) -> Membership:
    membership = Membership(members[0], random.Random(1))
    delta = MemberDelta(tuple(members[1:]))
    membership.step(1.0, membership_effects.Received(members[1].vm, delta))
    membership.step(2.0, membership_effects.Tick())
    return membership


def _build_membership_of_count(count: int) -> Membership:
    """Build a membership and its members, so that the memory of both counts."""
    return _build_membership([make_member(number) for number in range(count)])


def _run_quiet_seconds(
    membership: Membership, peers: list[str], start_ms: float
) -> float:
    """Run `QUIET_S` with heartbeats and no change; return the end time."""
    now_ms = start_ms
    for _ in range(int(QUIET_S * MS_PER_S / TICK_MS)):
        now_ms += TICK_MS
        membership.step(now_ms, membership_effects.Tick())
        if now_ms % MS_PER_S:
            continue
        heartbeat = Heartbeat(membership.table.table_hash(), ())
        for vm in peers:
            membership.step(now_ms, membership_effects.Received(vm, heartbeat))
    return now_ms


def _change_members(
    membership: Membership, members: list[Member], now_ms: float
) -> None:
    """Change members one after the other, each before a tick."""
    for number in range(CHANGE_COUNT):
        now_ms += TICK_MS
        member = membership.table.members[members[10 + number].vm]
        changed = Member(
            member.vm,
            member.host,
            member.peer_port,
            member.data_centre,
            member.incarnation,
            member.refutation + 1,
            MemberState.LIVE,
        )
        delta = MemberDelta((changed,))
        membership.step(
            now_ms, membership_effects.Received(members[1].vm, delta)
        )
        membership.step(now_ms, membership_effects.Tick())


def measure_membership() -> None:
    """Print the cost of the member table."""
    print("members     KiB  join-ms  quiet-ms/s  change-ms")
    rows = []
    for count in MEMBER_COUNTS:
        members = [make_member(number) for number in range(count)]
        membership, size_kib = allocated_kib(_build_membership_of_count, count)
        join_ms = processor_ms(_build_membership, members)
        peers = [member.vm for member in members[1 : LINKED_PEER_COUNT + 1]]
        for vm in peers:
            membership.step(1_000.0, membership_effects.LinkUp(vm))
        quiet_ms = (
            processor_ms(_run_quiet_seconds, membership, peers, 1_000.0)
            / QUIET_S
        )
        now_ms = 1_000.0 + QUIET_S * MS_PER_S
        change_ms = (
            processor_ms(_change_members, membership, members, now_ms)
            / CHANGE_COUNT
        )
        rows.append((size_kib, join_ms, quiet_ms, change_ms))
        print(
            f"{count:7d} {size_kib:7.0f} {join_ms:8.1f} {quiet_ms:11.2f}"
            f" {change_ms:10.2f}"
        )
    print_lines(MEMBER_COUNTS, rows, ("KiB", "join", "quiet", "change"))
    print(f"bytes: member {encoded_bytes(MemberDelta((make_member(1),)))}")


def _encode_list(members: list[Member]) -> bytes:
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


def _apply_list(membership: Membership, body: bytes) -> None:
    rows = tuple(
        membership_effects.ListedVm(
            row["vm"], row["host"], row["peer_port"], row["data_centre"]
        )
        for row in json.loads(body)["vms"]
    )
    membership.step(3.0, membership_effects.VmsListed(rows))


def measure_listing() -> None:
    """Print the cost of one poll of the platform's list of VMs."""
    print("members  list-KiB  take-ms")
    rows = []
    for count in MEMBER_COUNTS:
        members = [make_member(number) for number in range(count)]
        membership = _build_membership(members)
        body = _encode_list(members)
        apply_ms = processor_ms(_apply_list, membership, body)
        rows.append((len(body) / KIB, apply_ms))
        print(f"{count:7d} {len(body) / KIB:9.1f} {apply_ms:8.2f}")
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


def _confirmations(members: list[Member], version: int) -> Confirmations:
    return Confirmations(
        tuple(
            Confirmation(member.vm, member.incarnation, version)
            for member in members
        )
    )


def _build_gossip(members: list[Member]) -> DocumentGossip:
    own = members[0]
    gossip = DocumentGossip(own.vm, own.incarnation, own.data_centre)
    gossip.step(0.0, _census(members))
    for member in members[1 : LINKED_PEER_COUNT + 1]:
        gossip.step(0.0, document_effects.PeerLinked(member.vm))
    gossip.step(
        0.0,
        document_effects.Received(
            members[1].vm, _confirmations(members[1:], 1)
        ),
    )
    return gossip


def _build_gossip_of_count(count: int) -> DocumentGossip:
    """Build a document gossip and its members, so that both use new memory."""
    return _build_gossip([make_member(number) for number in range(count)])


def _confirm_version(
    gossip: DocumentGossip, members: list[Member], version: int
) -> tuple[int, int]:
    """Confirm one version in batches of 64; return sent messages and bytes."""
    codec = peer_codec()
    messages = size = 0
    now_ms = version * 10_000.0
    for start in range(1, len(members), 64):
        now_ms += TICK_MS
        batch = _confirmations(members[start : start + 64], version)
        sender = members[1 + start // 64 % LINKED_PEER_COUNT].vm
        gossip.step(now_ms, document_effects.Received(sender, batch))
        for effect in gossip.step(now_ms, document_effects.Tick()):
            message = getattr(effect, "message", None)
            if isinstance(message, Confirmations):
                messages += 1
                size += len(codec.encode(message, 1_000_000))
    return messages, size


def _run_quiet_gossip(gossip: DocumentGossip, members: list[Member]) -> None:
    """Run `QUIET_S` with ticks and heartbeats' digests, and no change."""
    now_ms = 100_000.0
    for _ in range(int(QUIET_S * MS_PER_S / TICK_MS)):
        now_ms += TICK_MS
        gossip.step(now_ms, document_effects.Tick())
        if now_ms % MS_PER_S:
            continue
        for member in members[1 : LINKED_PEER_COUNT + 1]:
            peer_digest = document_effects.PeerDigest(
                member.vm, gossip.sent_digests
            )
            gossip.step(now_ms, peer_digest)


def measure_confirmations() -> None:
    """Print the cost of the confirmations of one rules version."""
    print("members     KiB  census-ms  version-ms  quiet-ms/s  sent-KiB")
    rows = []
    for count in MEMBER_COUNTS:
        members = [make_member(number) for number in range(count)]
        gossip, size_kib = allocated_kib(_build_gossip_of_count, count)
        census_ms = processor_ms(gossip.step, 0.0, _census(members))
        started_s = time.thread_time()
        messages, size = _confirm_version(gossip, members, 2)
        version_ms = (time.thread_time() - started_s) * MS_PER_S
        sent_kib = size / KIB
        quiet_ms = processor_ms(_run_quiet_gossip, gossip, members) / QUIET_S
        rows.append((size_kib, census_ms, version_ms, quiet_ms, sent_kib))
        print(
            f"{count:7d} {size_kib:7.0f} {census_ms:10.2f} {version_ms:11.2f}"
            f" {quiet_ms:11.2f} {sent_kib:9.1f}"
        )
        print(f"        {messages} messages")
    names = ("KiB", "census", "version", "quiet", "sent KiB")
    print_lines(MEMBER_COUNTS, rows, names)


def _choose_homes_of_services(members: list[Member]) -> list[list[str]]:
    return [
        choose_homes(f"service-{number}", LIMITS, members)
        for number in range(SERVICES)
    ]


def _order_homes_of_services(
    homes: list[list[str]], members: list[Member]
) -> None:
    for names in homes:
        forwarding_order(names, members, "dc-0")


def measure_homes() -> None:
    """Print the cost of homes per service, against the number of members.

    A home of a service is a VM that holds connections to its leafs.
    """
    print("members  choose-ms/service  order-ms/service")
    rows = []
    for count in MEMBER_COUNTS:
        members = [make_member(number) for number in range(count)]
        choose_ms = processor_ms(_choose_homes_of_services, members) / SERVICES
        order_ms = (
            processor_ms(
                _order_homes_of_services,
                _choose_homes_of_services(members),
                members,
            )
            / SERVICES
        )
        rows.append((choose_ms, order_ms))
        print(f"{count:7d} {choose_ms:18.3f} {order_ms:17.4f}")
    print_lines(MEMBER_COUNTS, rows, ("choose", "order"))


def measure() -> None:
    """Print the figures of all components."""
    measure_membership()
    measure_listing()
    measure_confirmations()
    measure_homes()
    capacity_leafs.measure()
