"""Connections to all leafs: carries sub-requests and cancellations."""

from oriolegate.clock import Clock
from oriolegate.coordinator.messages import CancelSub
from oriolegate.coordinator.messages import SendSub
from oriolegate.coordinator.messages import SubUnsent
from oriolegate.models.topology import Leaf
from oriolegate.network import upstream_wire
from oriolegate.network.leaf_connection import PendingRequest
from oriolegate.network.leaf_pool import ClientReactor
from oriolegate.network.leaf_pool import LeafPool
from oriolegate.network.leaf_pool import UpstreamObserver


class UpstreamClient:
    """All connections to leafs of this process."""

    def __init__(
        self,
        reactor: ClientReactor,
        clock: Clock,
        process: str,
        observer: UpstreamObserver,
        source_host: str = "127.0.0.1",
    ) -> None:
        """Make a client without connections.

        Args:
            reactor: Opens connections.
            clock: Stamps reports.
            process: Makes query numbers unique over all VMs.
            observer: Gets reports and gives limits.
            source_host: IP number that connections are opened from.
        """
        self.reactor = reactor
        self.clock = clock
        self.process = process.encode("ascii")
        self.observer = observer
        self.source_host = source_host
        self.pools: dict[str, LeafPool] = {}

    def set_leaf(self, leaf: Leaf) -> None:
        """Add a leaf, or move it to another address."""
        pool = self.pools.get(leaf.name)
        if pool is not None:
            if (pool.leaf.host, pool.leaf.port) == (leaf.host, leaf.port):
                pool.leaf = leaf
                return
            pool.close()
        self.pools[leaf.name] = LeafPool(
            leaf, self.reactor, self.observer, self.source_host
        )

    def remove_leaf(self, name: str) -> None:
        """Close the connections to a leaf that is no longer used."""
        pool = self.pools.pop(name, None)
        if pool is not None:
            pool.close()

    def send(self, effect: SendSub) -> None:
        """Carry out a `SendSub`."""
        pool = self.pools.get(effect.leaf)
        if pool is None:
            self.observer.sub_report(SubUnsent(effect.sub, effect.leaf))
            return
        data = upstream_wire.query_bytes(self.process, effect)
        pool.send(PendingRequest(effect.sub, data))

    def cancel(self, effect: CancelSub) -> None:
        """Carry out a `CancelSub`."""
        pool = self.pools.get(effect.leaf)
        if pool is not None:
            data = upstream_wire.cancel_bytes(self.process, effect.sub)
            pool.cancel(PendingRequest(effect.sub, data, is_cancel=True))
