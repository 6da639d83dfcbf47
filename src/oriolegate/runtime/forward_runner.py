"""Forwards whole queries to homes, and runs those that come from others."""

import collections
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer

from oriolegate.clock import Clock
from oriolegate.forwarding.core import Finished
from oriolegate.forwarding.core import Forward
from oriolegate.forwarding.core import Forwarder
from oriolegate.forwarding.core import ForwardingEffect
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

EXPIRE_S = 0.05
LINK_TICKS = 5
LINKED_HOMES = 2
# A site with few services is linked before its first query. With many, links
# to the homes of all of them would come close to a full mesh, and links to
# the same few services would crowd their homes.
MAX_LINKED_SERVICES = 4


class ForwardRunner:
    """Carries forwarded queries over the links to peers.

    Attributes:
        core: The decisions about queries that go to homes.
        running: Request ids of queries that others forwarded here, by the
            VM and its number.
        linked: Services whose homes are kept linked, the last used last.
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
        self.core = Forwarder()
        self.peers = peers
        self.shares = shares
        self.tier = tier
        self.clock = clock
        self.call_later = call_later
        self.events = events
        self.running: dict[tuple[str, int], str] = {}
        self.linked: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.waiting: dict[str, defer.Deferred[Outcome]] = {}
        self.timer: Any = None
        self.ticks = 0
        peers.handlers[ForwardedQuery] = self._run
        peers.handlers[ForwardedResult] = self._result
        peers.handlers[ForwardCancelled] = self._cancel
        peers.on_lost.append(self._peer_lost)

    def start(self) -> None:
        """Begin to watch over deadlines and links."""
        self._carry_out(self.core.on_tick(self.clock.now_ms()))
        self.ticks += 1
        if self.ticks % LINK_TICKS == 1:
            self._open_links()
        self.timer = self.call_later(EXPIRE_S, self.start)

    def _open_links(self) -> None:
        """Keep links to homes, so that few queries wait for a dial."""
        topologies = self.tier.table.topologies
        if len(topologies) <= MAX_LINKED_SERVICES:
            self.linked.update(dict.fromkeys(topologies))
        for service in self.linked:
            if not self.tier.can_run(service):
                for vm in self.shares.forwarding_order(service)[:LINKED_HOMES]:
                    self.peers.mesh.open_link(vm)

    def _keep_linked(self, service: str) -> None:
        self.linked[service] = None
        self.linked.move_to_end(service)
        if len(self.linked) > MAX_LINKED_SERVICES:
            self.linked.popitem(last=False)

    def stop(self) -> None:
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()

    def must_forward(self, service: str) -> bool:
        """Return whether a home should run the service's requests."""
        if self.tier.can_run(service):
            return False
        return bool(self.shares.forwarding_order(service))

    def forward(
        self, request: CallerRequest, service: str, limit_ms: float
    ) -> "defer.Deferred[Outcome]":
        """Run a request on a home of its service."""
        self._keep_linked(service)
        outcome: defer.Deferred[Outcome] = defer.Deferred()
        self.waiting[request.request_id] = outcome
        linked = set(self.peers.mesh.linked_vms())
        homes = sorted(
            self.shares.forwarding_order(service),
            key=lambda vm: vm not in linked,
        )
        now_ms = self.clock.now_ms()
        self._carry_out(self.core.start(now_ms, request, homes, limit_ms))
        return outcome

    def caller_gone(self, request_id: str) -> None:
        """Cancel a forwarded request."""
        if request_id in self.waiting:
            self._carry_out(self.core.caller_gone(request_id))

    def _carry_out(self, effects: list[ForwardingEffect]) -> None:
        for effect in effects:
            match effect:
                case Forward():
                    self._send(effect)
                case Finished(request_id, outcome):
                    waiting = self.waiting.pop(request_id, None)
                    if waiting is not None:
                        waiting.callback(outcome)

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
            self._carry_out(self.core.on_unsent(now_ms, message.number))

    def _result(self, vm: str, message: ForwardedResult) -> None:
        now_ms = self.clock.now_ms()
        self._carry_out(self.core.on_result(now_ms, vm, message))

    def _peer_lost(self, vm: str) -> None:
        self._carry_out(self.core.on_peer_lost(self.clock.now_ms(), vm))
        # Nobody waits for these any more.
        for key in [key for key in self.running if key[0] == vm]:
            self.tier.flow.caller_gone(self.running.pop(key))

    def _run(self, vm: str, message: ForwardedQuery) -> None:
        key = (vm, message.number)
        flow = self.tier.flow
        request = attrs.evolve(
            message.request,
            request_id=flow.unique_request_id(message.request.request_id),
        )
        self.running[key] = request.request_id

        def finished(outcome: Outcome) -> None:
            if self.running.pop(key, None) is not None:
                self.peers.mesh.send(vm, _result(message.number, outcome))

        flow.handle_forwarded(request).addCallback(finished)

    def _cancel(self, vm: str, message: ForwardCancelled) -> None:
        request_id = self.running.pop((vm, message.number), None)
        if request_id is not None:
            self.tier.flow.caller_gone(request_id)


def _result(number: int, outcome: Outcome) -> ForwardedResult:
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
