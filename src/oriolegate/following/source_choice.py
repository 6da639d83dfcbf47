"""Which VM of the same data centre is asked for changes of the store.

Calls to the store are priced, those between VMs are not. In each data centre
the VM that ranks first watches the store, and the others follow it. A VM asks
only VMs that rank above itself, by a hash of the names, so that no two VMs
ever wait for each other, whatever they believe of the membership.
"""

import attrs

from oriolegate.membership import rendezvous

RANKING_KEY = "store-reader"
# VMs above this one that are tried before the store itself.
MAX_PEERS = 2
# How long a VM that did not answer is left alone: first, and at most.
FIRST_REST_MS = 4_000.0
LONGEST_REST_MS = 60_000.0
# How long a VM that answers but has lost the store is left alone. Until it is
# followed again, each watch of the store is priced.
UNCONFIRMED_REST_MS = 1_000.0


@attrs.frozen
class Peer:
    """A VM of the same data centre.

    Attributes:
        vm: Its name.
        host: Its IP number.
        port: Its internal port.
    """

    vm: str
    host: str
    port: int


@attrs.define
class Rest:
    """For how long a VM is left alone."""

    until_ms: float
    length_ms: float


class SourceChoice:
    """Ranks the VMs of a data centre and remembers which did not answer.

    Attributes:
        vm: This VM.
        above: VMs that rank above it, best first.
    """

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.above: tuple[Peer, ...] = ()
        self.rests: dict[str, Rest] = {}

    def set_peers(self, peers: dict[str, Peer]) -> None:
        """Take the members of this data centre, this VM among them or not."""
        ranking = rendezvous.ranked(RANKING_KEY, {*peers, self.vm})
        above = ranking[: ranking.index(self.vm)]
        self.above = tuple(peers[name] for name in above[:MAX_PEERS])
        self.rests = {
            name: rest for name, rest in self.rests.items() if name in peers
        }

    def choose(self, now_ms: float) -> Peer | None:
        """Return whom to ask, or None for the store itself."""
        for peer in self.above:
            rest = self.rests.get(peer.vm)
            if rest is None or now_ms >= rest.until_ms:
                return peer
        return None

    def failed(self, now_ms: float, vm: str) -> None:
        """Leave a VM that did not answer alone for a while."""
        rest = self.rests.get(vm)
        length_ms = FIRST_REST_MS
        if rest is not None:
            length_ms = min(LONGEST_REST_MS, rest.length_ms * 2.0)
        self.rests[vm] = Rest(now_ms + length_ms, length_ms)

    def unconfirmed(self, now_ms: float, vm: str) -> None:
        """Ask a VM again soon that answers but has lost the store."""
        until_ms = now_ms + UNCONFIRMED_REST_MS
        self.rests[vm] = Rest(until_ms, FIRST_REST_MS / 2.0)

    def answered(self, vm: str) -> None:
        """Take that a VM answers."""
        self.rests.pop(vm, None)
