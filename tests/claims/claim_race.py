"""Several claim managers that share one store with injected faults."""

import attrs

from oriolegate.claims import events
from oriolegate.claims.claim_manager import ClaimManager
from oriolegate.claims.effects import ClaimGranted
from oriolegate.claims.effects import ClaimRefused
from oriolegate.claims.effects import ReadClass
from oriolegate.claims.effects import SendToPeer
from oriolegate.claims.effects import WriteClass
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState

WALL_OFFSET_MS = 1_700_000_000_000


@attrs.define
class Store:
    """Objects with versions; calls take effect when a test applies them."""

    objects: dict = attrs.field(factory=dict)

    def read(self, call):
        version, value = self.objects.get(call.name, (0, None))
        return events.ReadDone(call.operation, version, value)

    def write(self, call):
        version, _ = self.objects.get(call.name, (0, None))
        if version != call.expected_version:
            return events.WriteConflict(call.operation)
        self.objects[call.name] = (version + 1, call.value)
        return events.WriteDone(call.operation, version + 1)

    def apply(self, call):
        if isinstance(call, ReadClass):
            return self.read(call)
        return self.write(call)

    def holder(self, key):
        for _, value in self.objects.values():
            if key in value["claims"]:
                record = value["claims"][key]
                return record if isinstance(record, str) else record[0]
        return None


class ClaimRace:
    """Runs claim managers and checks the invariants after each effect.

    Attributes:
        calls: Platform calls in flight: VM and effect.
        messages: Peer messages not yet delivered: sender, receiver, message.
        runs: Granted request ids by key, except those reported as not run.
        ended: The effect that ended each request, by request id.
        requests: Keys by request id.
    """

    def __init__(self, vms, settings):
        self.now_ms = 0.0
        self.store = Store()
        self.managers = {vm: ClaimManager(vm, "1", settings) for vm in vms}
        self.calls = []
        self.messages = []
        self.runs = {}
        self.ended = {}
        self.requests = {}

    def step(self, vm, event):
        for effect in self.managers[vm].step(self.now_ms, event):
            match effect:
                case ClaimGranted(request_id):
                    self._granted(vm, request_id)
                case ClaimRefused(request_id):
                    assert request_id not in self.ended, "ended twice"
                    self.ended[request_id] = effect
                case ReadClass() | WriteClass():
                    self.calls.append((vm, effect))
                case SendToPeer(receiver, message):
                    self.messages.append((vm, receiver, message))

    def _granted(self, vm, request_id):
        assert request_id not in self.ended, "granted after its end"
        self.ended[request_id] = ClaimGranted(request_id)
        key = self.requests[request_id]
        runs = self.runs.setdefault(key, [])
        runs.append(request_id)
        assert len(runs) == 1, f"{key} was granted to {runs}"
        holder = self.store.holder(key)
        assert holder is not None, f"{key} is not in the store"
        assert holder.startswith(f"{vm}/"), f"{key} belongs to {holder}"

    def request(self, vm, key, timeout_ms):
        request_id = f"r{len(self.requests)}"
        self.requests[request_id] = key
        self.step(
            vm,
            events.ClaimRequested(
                key,
                request_id,
                self.now_ms + timeout_ms,
                int(self.now_ms) + WALL_OFFSET_MS,
            ),
        )
        return request_id

    def answer(self, index=0):
        vm, call = self.calls.pop(index)
        self.step(vm, self.store.apply(call))

    def lose_answer(self, index=0):
        """Apply a call, but report to the VM that it failed."""
        vm, call = self.calls.pop(index)
        self.store.apply(call)
        self.step(vm, self.failure(call))

    def fail(self, index=0):
        """Drop a call, and report to the VM that it failed."""
        vm, call = self.calls.pop(index)
        self.step(vm, self.failure(call))

    def fail_early(self, index=0):
        """Report to the VM that a call failed, but leave it in flight."""
        vm, call = self.calls[index]
        self.step(vm, self.failure(call))

    @staticmethod
    def failure(call):
        if isinstance(call, ReadClass):
            return events.ReadFailed(call.operation)
        return events.WriteFailed(call.operation)

    def deliver(self, index=0):
        sender, receiver, message = self.messages.pop(index)
        if receiver not in self.managers:
            return  # the receiver was removed
        self.step(receiver, events.PeerMessageReceived(sender, message))

    def end_run(self, key, run_state):
        """Report the outcome of the granted request of a key."""
        request_id = self.runs[key][0]
        vm = self.store.holder(key)
        for manager in self.managers.values():
            known = manager.granted.by_key.get(key)
            if known and known.pending.request_id == request_id:
                vm = manager.vm
        if run_state is RunState.NOT_RUN:
            self.runs[key].clear()
        self.step(
            vm,
            events.OutcomeKnown(key, request_id, run_state, ResultCode.OK),
        )

    def advance(self, interval_ms, paused=()):
        self.now_ms += interval_ms
        for vm in self.managers:
            if vm not in paused:
                self.step(vm, events.TimerFired())

    def settle(self, rounds=400):
        """Let all calls and messages succeed until none is in flight."""
        for _ in range(rounds):
            while self.calls or self.messages:
                while self.messages:
                    self.deliver()
                while self.calls:
                    self.answer()
            self.advance(20.0)
            busy = any(
                manager.writers.busy_writers()
                for manager in self.managers.values()
            )
            ended = len(self.ended) == len(self.requests)
            if ended and not (busy or self.calls or self.messages):
                return


def key_at(time_ms, number):
    """Return a key created at a time of the test clock."""
    return f"{int(time_ms) + WALL_OFFSET_MS}-{number:016d}"
