"""Forward whole queries to homes, and run queries that peers forward here.

The homes of a service are the VMs that hold shares of its leafs and
connections to these leafs. Other VMs forward the service's queries to a home.
"""

import collections
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer

from oriolegate.clock import Clock
from oriolegate.forwarding.forwarder import Finished
from oriolegate.forwarding.forwarder import Forward
from oriolegate.forwarding.forwarder import Forwarder
from oriolegate.forwarding.forwarder import ForwardingEffect
from oriolegate.forwarding.messages import ForwardCancelled
from oriolegate.forwarding.messages import ForwardedQuery
from oriolegate.forwarding.messages import ForwardedResult
from oriolegate.models.answer import Outcome
from oriolegate.models.answer import Refusal
from oriolegate.models.request import CallerRequest
from oriolegate.network import caller_wire
from oriolegate.result_codes import RunState
from oriolegate.runtime.peer_runner import PeerRunner
from oriolegate.runtime.query_tier import QueryTier
from oriolegate.runtime.share_runner import ShareRunner
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind

TICK_S = 0.05
LINK_TICKS = 5  # ticks between two checks of the links to homes
LINKED_HOMES = 2  # homes of each service to which links are kept open
# With few services, links to their homes are opened before the first query.
# With many services, links to the homes of all services would be nearly a full
# mesh, and linking the same few services on every VM would overload the homes
# of these services.
MAX_LINKED_SERVICES = 4


class ForwardRunner:
    """Sends and receives forwarded queries over the links to peers.

    Attributes:
        forwarder: The state machine for queries that are sent to homes.
        served_requests: Request ids of queries that peers forwarded here, by
            the peer's VM and the peer's number for the query.
        linked_services: Services whose homes are kept linked, in the order
            of their last use.
        pending_outcomes: Results of `forward`, by request id.
    """

    def __init__(
        self,
        peers: PeerRunner,
        shares: ShareRunner,
        tier: QueryTier,
        clock: Clock,
        call_later: Callable[..., Any],
        events: EventBuffer,
    ) -> None:
        self.forwarder = Forwarder()
        self.peers = peers
        self.shares = shares
        self.tier = tier
        self.clock = clock
        self.call_later = call_later
        self.events = events
        self.served_requests: dict[tuple[str, int], str] = {}
        self.linked_services: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.pending_outcomes: dict[str, defer.Deferred[Outcome]] = {}
        self.timer: Any = None
        self.ticks = 0
        peers.handlers[ForwardedQuery] = self._on_query
        peers.handlers[ForwardedResult] = self._on_answer
        peers.handlers[ForwardCancelled] = self._on_cancel
        peers.on_lost.append(self._on_peer_lost)

    def start(self) -> None:
        """Check deadlines and links; each tick calls this method again."""
        self._carry_out(self.forwarder.on_tick(self.clock.now_ms()))
        self.ticks += 1
        if self.ticks % LINK_TICKS == 1:
            self._open_links()
        self.timer = self.call_later(TICK_S, self.start)

    def _open_links(self) -> None:
        """Keep links to homes open, so that few queries wait for a link."""
        topologies = self.tier.table.topologies
        if len(topologies) <= MAX_LINKED_SERVICES:
            self.linked_services.update(dict.fromkeys(topologies))
        for service in self.linked_services:
            if not self.tier.can_run(service):
                for vm in self.shares.forwarding_order(service)[:LINKED_HOMES]:
                    self.peers.mesh.open_link(vm)

    def _keep_linked(self, service: str) -> None:
        self.linked_services[service] = None
        self.linked_services.move_to_end(service)
        if len(self.linked_services) > MAX_LINKED_SERVICES:
            self.linked_services.popitem(last=False)

    def stop(self) -> None:
        """Cancel the tick."""
        if self.timer is not None:
            self.timer.cancel()

    def must_forward(self, service: str) -> bool:
        """Return whether another home should run the service's requests."""
        if self.tier.can_run(service):
            return False
        return bool(self.shares.forwarding_order(service))

    def forward(
        self, request: CallerRequest, service: str, timeout_ms: float
    ) -> "defer.Deferred[Outcome]":
        """Run a request on a home of the service; the result never fails."""
        self._keep_linked(service)
        outcome: defer.Deferred[Outcome] = defer.Deferred()
        self.pending_outcomes[request.request_id] = outcome
        connected_vms = set(self.peers.mesh.linked_vms())
        homes = sorted(
            self.shares.forwarding_order(service),
            key=lambda vm: vm not in connected_vms,
        )
        now_ms = self.clock.now_ms()
        self._carry_out(
            self.forwarder.start(now_ms, request, homes, timeout_ms)
        )
        return outcome

    def caller_gone(self, request_id: str) -> None:
        """Cancel a forwarded request."""
        if request_id in self.pending_outcomes:
            self._carry_out(self.forwarder.caller_gone(request_id))

    def _carry_out(self, effects: list[ForwardingEffect]) -> None:
        for effect in effects:
            match effect:
                case Forward():
                    self._send(effect)
                case Finished(request_id, outcome):
                    pending = self.pending_outcomes.pop(request_id, None)
                    if pending is not None:
                        pending.callback(outcome)

    def _send(self, effect: Forward) -> None:
        now_ms = self.clock.now_ms()
        message = effect.message
        if isinstance(message, ForwardedQuery):
            request_id = message.request.request_id
            self.events.record(
                now_ms, EventKind.FORWARDED, request_id, effect.vm
            )
        sent = self.peers.mesh.send(effect.vm, message)
        if not sent and isinstance(message, ForwardedQuery):
            self._carry_out(self.forwarder.on_unsent(now_ms, message.number))

    def _on_answer(self, vm: str, message: ForwardedResult) -> None:
        now_ms = self.clock.now_ms()
        self._carry_out(self.forwarder.on_result(now_ms, vm, message))

    def _on_peer_lost(self, vm: str) -> None:
        self._carry_out(self.forwarder.on_peer_lost(self.clock.now_ms(), vm))
        # These answers were for a peer that is now unreachable.
        for key in [key for key in self.served_requests if key[0] == vm]:
            self.tier.flow.caller_gone(self.served_requests.pop(key))

    def _on_query(self, vm: str, message: ForwardedQuery) -> None:
        key = (vm, message.number)
        flow = self.tier.flow
        request = attrs.evolve(
            message.request,
            request_id=flow.unique_request_id(message.request.request_id),
        )
        self.served_requests[key] = request.request_id

        def on_finished(outcome: Outcome) -> None:
            if self.served_requests.pop(key, None) is not None:
                self.peers.mesh.send(
                    vm, _forwarded_result(message.number, outcome)
                )

        flow.handle_forwarded(request).addCallback(on_finished)

    def _on_cancel(self, vm: str, message: ForwardCancelled) -> None:
        request_id = self.served_requests.pop((vm, message.number), None)
        if request_id is not None:
            self.tier.flow.caller_gone(request_id)


def _forwarded_result(number: int, outcome: Outcome) -> ForwardedResult:
    response = caller_wire.response(outcome)
    not_run = (
        isinstance(outcome, Refusal) and outcome.run_state is RunState.NOT_RUN
    )
    return ForwardedResult(
        number,
        response.status,
        int(response.code),
        not_run,
        response.body,
        response.retry_after_ms,
    )
