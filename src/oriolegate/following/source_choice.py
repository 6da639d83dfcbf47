"""Choice of the source of store changes: a peer VM or the store itself.

Calls to the store are billed, those between VMs are not. In each data centre
the VM that ranks first watches the store, and the others follow it. A VM
follows only VMs that rank above itself, by a hash of the names, so that VMs
never wait for each other in a cycle, even if their member lists differ.
"""

import attrs

from oriolegate.membership import rendezvous

RANKING_KEY = "store-reader"
# Number of higher-ranked VMs that are tried before the store itself.
MAX_PEERS = 2
# First and maximum backoff for a VM that did not answer.
FIRST_BACKOFF_MS = 4_000.0
MAX_BACKOFF_MS = 60_000.0
# Backoff for a VM that answers but whose view the store doesn't confirm. Short,
# since this VM may watch the store meanwhile, and watches are billed.
UNCONFIRMED_BACKOFF_MS = 1_000.0


@attrs.frozen
class Peer:
    """A VM of the same data centre.

    Attributes:
        vm: Name of the VM.
        host: IP address.
        port: Internal port.
    """

    vm: str
    host: str
    port: int


@attrs.define
class Backoff:
    """Time until which a VM is not queried, and the length of the backoff."""

    until_ms: float
    length_ms: float


class SourceChoice:
    """Ranks the VMs of a data centre and tracks which did not answer.

    Attributes:
        vm: Name of this VM.
        higher_ranked: Peers that rank above this VM and are tried, best first.
        backoffs: Current backoff by name of the VM.
    """

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.higher_ranked: tuple[Peer, ...] = ()
        self.backoffs: dict[str, Backoff] = {}

    def set_peers(self, peers: dict[str, Peer]) -> None:
        """Set the VMs of this data centre; `peers` may contain this VM."""
        ranking = rendezvous.ranked(RANKING_KEY, {*peers, self.vm})
        names = ranking[: ranking.index(self.vm)]
        self.higher_ranked = tuple(peers[name] for name in names[:MAX_PEERS])
        self.backoffs = {
            name: backoff
            for name, backoff in self.backoffs.items()
            if name in peers
        }

    def choose(self, now_ms: float) -> Peer | None:
        """Return the peer to follow, or None for the store itself."""
        for peer in self.higher_ranked:
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
        until_ms = now_ms + UNCONFIRMED_BACKOFF_MS
        self.backoffs[vm] = Backoff(until_ms, FIRST_BACKOFF_MS / 2.0)

    def record_answer(self, vm: str) -> None:
        """Reset the backoff of a VM that answers."""
        self.backoffs.pop(vm, None)
