"""Choice of the source of store changes: a peer VM or the store itself.

Calls to the store are billed, those between VMs are not. In each data centre
the VM that ranks first watches the store, and the others follow it in a tree: a
VM sends its view to a bounded number of others, however many there are.

VMs rank by the rate of their links, then by a hash of the names. A VM follows
only VMs that rank above itself, so that VMs never wait for each other in a
cycle, even if their member lists differ. The rate is that of the listed entry,
also for the VM itself, so that all VMs go by the same rates.

A VM that has lost the store and has no VM above itself takes the view of one
below, and if none has a view that the store confirms, of one in another data
centre. It vouches for no view meanwhile, so that no cycle can arise.
"""

import attrs

from oriolegate.membership import rendezvous

RANKING_KEY = "store-reader"
# Number of VMs that have the same parent in the tree; as many again may follow
# it while their own parent fails.
FAN_OUT = 6
MAX_FOLLOWERS = 2 * FAN_OUT
DISTANT_KEY = "distant-view"
# Number of VMs below itself, and of VMs in other data centres, that a VM
# without the store and without a VM above itself asks.
MAX_FALLBACKS = 3
# First and maximum backoff for a VM that did not answer.
FIRST_BACKOFF_MS = 4_000.0
MAX_BACKOFF_MS = 60_000.0
# Backoff for a VM that answers but whose view the store doesn't confirm. Short,
# since this VM may watch the store meanwhile, and watches are billed.
UNCONFIRMED_BACKOFF_MS = 400.0
# The same for a VM of another data centre: while the store is away for all, no
# VM has anything to pass on.
DISTANT_BACKOFF_MS = 1_500.0


@attrs.frozen
class Peer:
    """Another VM.

    Attributes:
        vm: Name of the VM.
        host: IP address.
        port: Internal port.
        link_mbps: Rate of its link, or 0 if its entry doesn't state it.
    """

    vm: str
    host: str
    port: int
    link_mbps: float = 0.0


def _ancestors(rank: int) -> list[int]:
    """Return the ranks to follow, in order of preference.

    The parent comes first, then a VM beside it, then those further up.
    """
    if rank == 0:
        return []
    parent = (rank - 1) // FAN_OUT
    beside = parent + 1 if parent + 1 < rank else parent - 1
    ranks = [parent, beside]
    while parent > 0:
        parent = (parent - 1) // FAN_OUT
        ranks.append(parent)
    return [r for r in dict.fromkeys(ranks) if 0 <= r < rank]


@attrs.define
class Backoff:
    """Time until which a VM is not queried, and the length of the backoff."""

    until_ms: float
    length_ms: float


class SourceChoice:
    """Ranks the VMs of a data centre and tracks which did not answer.

    Attributes:
        vm: Name of this VM.
        higher_ranked: Peers that are tried, best first; all rank above this VM.
        lower_ranked: Peers that are tried while the store doesn't answer.
        distant: VMs of other data centres that are tried after these.
        backoffs: Current backoff by name of the VM.
    """

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.higher_ranked: tuple[Peer, ...] = ()
        self.lower_ranked: tuple[Peer, ...] = ()
        self.distant: tuple[Peer, ...] = ()
        self.backoffs: dict[str, Backoff] = {}

    def set_peers(self, peers: dict[str, Peer]) -> None:
        """Set the VMs of this data centre.

        Args:
            peers: Listed VMs by name; may contain this VM.
        """
        by_hash = rendezvous.ranked(RANKING_KEY, {*peers, self.vm})
        ranking = sorted(
            by_hash,
            key=lambda name: -peers[name].link_mbps if name in peers else 0.0,
        )
        own_rank = ranking.index(self.vm)
        self.higher_ranked = tuple(
            peers[ranking[rank]] for rank in _ancestors(own_rank)
        )
        below = ranking[own_rank + 1 : own_rank + 1 + MAX_FALLBACKS]
        self.lower_ranked = tuple(peers[name] for name in below)
        self._forget_backoffs({*peers, *(peer.vm for peer in self.distant)})

    def set_distant_peers(self, near: list[Peer], far: list[Peer]) -> None:
        """Set the VMs of the other data centres.

        Args:
            near: Those in this VM's region, which are preferred.
            far: Those in other regions.
        """
        chosen: list[Peer] = []
        for peers in (near, far):
            by_name = {peer.vm: peer for peer in peers}
            # Each VM asks others, so that none is asked by many.
            names = rendezvous.ranked(f"{DISTANT_KEY}/{self.vm}", by_name)
            chosen += [by_name[name] for name in names]
        self.distant = tuple(chosen[:MAX_FALLBACKS])

    def _forget_backoffs(self, known: set[str]) -> None:
        self.backoffs = {
            name: backoff
            for name, backoff in self.backoffs.items()
            if name in known
        }

    def choose(self, now_ms: float) -> Peer | None:
        """Return the peer to follow, or None for the store itself."""
        return self._first_available(now_ms, self.higher_ranked)

    def choose_fallback(self, now_ms: float) -> Peer | None:
        """Return a peer to ask while the store doesn't answer, or None."""
        return self._first_available(
            now_ms, (*self.lower_ranked, *self.distant)
        )

    def is_fallback(self, peer: Peer) -> bool:
        """Return whether a peer is asked only without the store."""
        return peer in self.lower_ranked or peer in self.distant

    def _first_available(
        self, now_ms: float, peers: tuple[Peer, ...]
    ) -> Peer | None:
        for peer in peers:
            backoff = self.backoffs.get(peer.vm)
            if backoff is None or now_ms >= backoff.until_ms:
                return peer
        return None

    def record_failure(self, now_ms: float, vm: str) -> None:
        """Back off from a VM that did not answer."""
        backoff = self.backoffs.get(vm)
        length_ms = FIRST_BACKOFF_MS
        if backoff is not None:
            length_ms = min(MAX_BACKOFF_MS, backoff.length_ms * 2.0)
        self.backoffs[vm] = Backoff(now_ms + length_ms, length_ms)

    def record_unconfirmed(self, now_ms: float, vm: str) -> None:
        """Back off briefly from a VM whose view the store doesn't confirm."""
        is_distant = any(peer.vm == vm for peer in self.distant)
        until_ms = now_ms + (
            DISTANT_BACKOFF_MS if is_distant else UNCONFIRMED_BACKOFF_MS
        )
        self.backoffs[vm] = Backoff(until_ms, FIRST_BACKOFF_MS / 2.0)

    def record_answer(self, vm: str) -> None:
        """Reset the backoff of a VM that answers."""
        self.backoffs.pop(vm, None)
