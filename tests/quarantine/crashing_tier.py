"""Simulates VMs with quarantines and upstreams that one body crashes."""

import heapq
import itertools
import random

from oriolegate.quarantine import admission
from oriolegate.quarantine.fingerprint import fingerprint
from oriolegate.quarantine.quarantine import Quarantine

CRASH_MARKER = b"crash"
SERVICE_MS = 5.0  # time to run any body that does not crash
CRASH_AFTER_MS = 2.0
RESTART_MS = 3_000.0
RETRY_DELAY_MS = 1.0
HEDGE_AFTER_MS = 15.0  # after the canary was sent


class Request:
    """One request of a caller, from its first admission to its end."""

    def __init__(self, vm, body, deadline_at_ms):
        self.vm = vm
        self.body = body
        self.fingerprint = fingerprint("desk", body, None)
        self.deadline_at_ms = deadline_at_ms
        self.phase = "new"
        self.missing = set()
        self.end = None


class CrashingTier:
    """A discrete-event simulation of VMs, peer links and upstreams.

    Attributes:
        crashes: Names of the crashed upstreams, in order of time.
        message_loss_ratio: Fraction of peer messages that are lost.
        crash_after_ms: Time for which an upstream runs the crashing body.
        service_ms: Time that each upstream takes for any other body.
        link_ms: Least and greatest latency of a peer message.
    """

    def __init__(self, settings, vm_count, upstream_count, seed=0):
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self.heap = []
        self.order = itertools.count()
        self.vms = [f"vm-{n}" for n in range(vm_count)]
        self.upstreams = tuple(f"up-{n}" for n in range(upstream_count))
        self.quarantines = {vm: Quarantine(vm, settings) for vm in self.vms}
        for quarantine in self.quarantines.values():
            quarantine.on_members_changed(tuple(self.vms))
        self.down_until_ms = dict.fromkeys(self.upstreams, 0.0)
        self.subs = {upstream: {} for upstream in self.upstreams}
        self.waiting = {vm: set() for vm in self.vms}
        self.crash_after_ms = CRASH_AFTER_MS
        self.service_ms = dict.fromkeys(self.upstreams, SERVICE_MS)
        self.crashes = []
        self.message_loss_ratio = 0.0
        self.link_ms = (0.5, 20.0)

    def at(self, delay_ms, function, *arguments):
        entry = (self.now_ms + delay_ms, next(self.order), function, arguments)
        heapq.heappush(self.heap, entry)

    def run(self, until_ms):
        while self.heap and self.heap[0][0] <= until_ms:
            self.now_ms, _, function, arguments = heapq.heappop(self.heap)
            function(*arguments)
        self.now_ms = until_ms

    def send(self, vm, body, timeout_ms=1_000.0):
        request = Request(vm, body, self.now_ms + timeout_ms)
        self.admit(request)
        return request

    def admit(self, request):
        if request.end is not None or request.phase in ("canary", "fan-out"):
            return
        self.waiting[request.vm].discard(request)
        if self.now_ms >= request.deadline_at_ms:
            request.end = "late"
            return
        quarantine = self.quarantines[request.vm]
        admitted, effects = quarantine.admit(
            self.now_ms, request.fingerprint, self.upstreams
        )
        match admitted:
            case admission.Admitted():
                request.phase = "fan-out"
                request.missing = set(self.upstreams)
                for shard in self.upstreams:
                    self.send_sub(request, shard, shard)
            case admission.CanaryFirst(upstream, hedge_upstream):
                request.phase = "canary"
                self.send_sub(request, None, upstream)
                if hedge_upstream is not None:
                    self.at(HEDGE_AFTER_MS, self.hedge, request, hedge_upstream)
            case admission.Wait(recheck_ms):
                self.waiting[request.vm].add(request)
                self.at(recheck_ms, self.admit, request)
            case admission.Refused():
                request.end = "refused"
        self.carry_out(request.vm, effects)

    def send_sub(self, request, shard, upstream):
        if request.end is not None:
            return
        if self.now_ms >= request.deadline_at_ms:
            request.end = "late"
            return
        if self.now_ms < self.down_until_ms[upstream]:
            self.on_not_connected(request, shard, upstream)
            return
        quarantine = self.quarantines[request.vm]
        quarantine.on_sub_request_sent(
            self.now_ms, request.fingerprint, upstream, upstream
        )
        sub = next(self.order)
        self.subs[upstream][sub] = (request, shard)
        if CRASH_MARKER in request.body:
            self.at(self.crash_after_ms, self.crash, upstream, sub)
        else:
            self.at(self.service_ms[upstream], self.answer, upstream, sub)

    def hedge(self, request, upstream):
        if request.phase == "canary":
            self.send_sub(request, None, upstream)

    def on_not_connected(self, request, shard, upstream):
        quarantine = self.quarantines[request.vm]
        if shard is not None:
            next_upstream = self.random.choice(self.upstreams)
            self.at(
                RETRY_DELAY_MS, self.send_sub, request, shard, next_upstream
            )
            return
        request.phase = "new"
        effects = quarantine.on_sub_request_ended(
            self.now_ms, request.fingerprint, upstream, upstream, ran=False
        )
        effects += quarantine.on_connection_lost(
            self.now_ms, upstream, upstream
        )
        self.carry_out(request.vm, effects)
        self.at(RETRY_DELAY_MS, self.admit, request)

    def answer(self, upstream, sub):
        in_flight = self.subs[upstream].pop(sub, None)
        if in_flight is None:
            return
        request, shard = in_flight
        effects = self.quarantines[request.vm].on_sub_request_ended(
            self.now_ms, request.fingerprint, upstream, upstream
        )
        if shard is None:
            if request.phase == "canary":
                request.phase = "new"
                self.admit(request)
        else:
            request.missing.discard(shard)
            if not request.missing and request.end is None:
                request.end = "answered"
        self.carry_out(request.vm, effects)

    def crash(self, upstream, sub):
        if sub not in self.subs[upstream]:
            return
        self.crashes.append(upstream)
        self.lose(upstream)

    def lose(self, upstream):
        """Close all connections of an upstream for `RESTART_MS`."""
        self.down_until_ms[upstream] = self.now_ms + RESTART_MS
        lost, self.subs[upstream] = self.subs[upstream], {}
        for vm, quarantine in self.quarantines.items():
            effects = quarantine.on_connection_lost(
                self.now_ms, upstream, upstream
            )
            self.carry_out(vm, effects)
        for request, shard in lost.values():
            self.on_sub_lost(request, shard)

    def on_sub_lost(self, request, shard):
        quarantine = self.quarantines[request.vm]
        if shard is None:
            if request.phase == "canary":
                request.phase = "new"
                self.at(RETRY_DELAY_MS, self.admit, request)
        elif quarantine.may_retry(self.now_ms, request.fingerprint):
            next_upstream = self.random.choice(self.upstreams)
            self.at(
                RETRY_DELAY_MS, self.send_sub, request, shard, next_upstream
            )
        else:
            request.end = request.end or "partial"

    def carry_out(self, vm, effects):
        for effect in effects:
            match effect:
                case admission.Send(receiver, message):
                    self.send_peer_message(vm, receiver, message)
                case admission.Broadcast(message):
                    for receiver in self.vms:
                        if receiver != vm:
                            self.send_peer_message(vm, receiver, message)
                case admission.Recheck(value):
                    for request in list(self.waiting[vm]):
                        if request.fingerprint == value:
                            self.admit(request)

    def send_peer_message(self, sender, receiver, message):
        if self.random.random() >= self.message_loss_ratio:
            delay_ms = self.random.uniform(*self.link_ms)
            self.at(delay_ms, self.deliver, sender, receiver, message)

    def deliver(self, sender, receiver, message):
        effects = self.quarantines[receiver].on_peer_message(
            self.now_ms, sender, message
        )
        self.carry_out(receiver, effects)
