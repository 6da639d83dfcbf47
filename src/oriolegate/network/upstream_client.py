"""Client of all leafs: sends sub-requests and cancellations."""

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
    """Connection pools of all leafs.

    Attributes:
        pools: Connection pools by leaf name.
    """

    def __init__(
        self,
        reactor: ClientReactor,
        clock: Clock,
        process: str,
        observer: UpstreamObserver,
        source_host: str = "127.0.0.1",
    ) -> None:
        """Create a client without connections.

        Args:
            reactor: Opens connections.
            clock: Clock of this process.
            process: Prefix that makes query numbers unique across VMs.
            observer: Receives events and provides limits.
            source_host: IP address from which connections are opened.
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
        """Send a sub-request, or report it as unsent."""
        pool = self.pools.get(effect.leaf)
        if pool is None:
            self.observer.sub_request_finished(
                SubUnsent(effect.sub, effect.leaf)
            )
            return
        data = upstream_wire.encode_sub_request(self.process, effect)
        query = upstream_wire.query_id(self.process, effect.sub)
        pool.send(PendingRequest(effect.sub, query, data))

    def cancel(self, effect: CancelSub) -> None:
        """Cancel a sub-request if its leaf is still known."""
        pool = self.pools.get(effect.leaf)
        if pool is not None:
            data = upstream_wire.encode_cancellation(self.process, effect.sub)
            query = upstream_wire.query_id(self.process, effect.sub)
            pool.cancel(PendingRequest(effect.sub, query, data, is_cancel=True))
