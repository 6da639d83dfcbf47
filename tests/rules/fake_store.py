"""Simulate a store whose calls a test delivers, loses or delays."""

import attrs

from oriolegate.rules import acceptance_messages as messages
from oriolegate.rules.acceptance import RulesAcceptor
from oriolegate.rules.acceptance_phases import AcceptanceLimits
from oriolegate.rules.stored_rules import ACCEPTED


@attrs.define
class FakeStore:
    """Versioned objects, and all values that `accepted` has had."""

    objects: dict = attrs.field(factory=dict)
    accepted: list = attrs.field(factory=list)

    def answer(self, call):
        """Carry out one call and return the resulting event."""
        version, value = self.objects.get(call.path, (0, None))
        match call:
            case messages.ReadObject() if version:
                return messages.ObjectFound(call.call_id, version, value)
            case messages.ReadObject():
                return messages.ObjectAbsent(call.call_id)
            case messages.WriteObject(expected_version=expected):
                if expected != version:
                    return messages.WriteRejected(call.call_id)
                self.objects[call.path] = (version + 1, call.value)
                if call.path == ACCEPTED:
                    self.accepted.append(call.value)
                return messages.WriteDone(call.call_id, version + 1)


@attrs.define(eq=False)
class Operator:
    """Runs one acceptor, whose store calls wait in `calls` for a test.

    Attributes:
        reports: Results reported to the operator.
        wake_at_ms: Times at which `TimerFired` is due.
        spread: Versions that the acceptor distributed to all VMs.
    """

    edit: messages.RulesEdit
    store: FakeStore
    now_ms: float = 0.0
    calls: list = attrs.field(factory=list)
    reports: list = attrs.field(factory=list)
    wake_at_ms: list = attrs.field(factory=list)
    spread: list = attrs.field(factory=list)
    limits: AcceptanceLimits = attrs.field(factory=AcceptanceLimits)
    acceptor: RulesAcceptor = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.acceptor = RulesAcceptor(self.edit, self.limits)
        self.handle_event(messages.EditStarted())

    def handle_event(self, event):
        for effect in self.acceptor.step(self.now_ms, event):
            match effect:
                case messages.ReadObject() | messages.WriteObject():
                    self.calls.append(effect)
                case messages.DeleteObject(path=path):
                    self.store.objects.pop(path)
                case messages.Report(result=result):
                    self.reports.append(result)
                case messages.WakeAt(at_ms=at_ms):
                    self.wake_at_ms.append(at_ms)
                case messages.DistributeRules(rules=rules):
                    self.spread.append(rules)

    def writes_accepted(self):
        call = self.calls[0]
        write = isinstance(call, messages.WriteObject)
        return write and call.path == ACCEPTED

    def deliver(self):
        self.handle_event(self.store.answer(self.calls.pop(0)))

    def lose_request(self):
        self.handle_event(messages.CallFailed(self.calls.pop(0).call_id))

    def lose_answer(self):
        call = self.calls.pop(0)
        self.store.answer(call)
        self.handle_event(messages.CallFailed(call.call_id))

    def delay_request(self):
        """Fail a call and return the call, which a test may deliver later."""
        call = self.calls.pop(0)
        self.handle_event(messages.CallFailed(call.call_id))
        return call

    def advance(self, interval_ms):
        self.now_ms += interval_ms
        due = [at_ms for at_ms in self.wake_at_ms if at_ms <= self.now_ms]
        self.wake_at_ms = [
            at_ms for at_ms in self.wake_at_ms if at_ms > self.now_ms
        ]
        for _ in due:
            self.handle_event(messages.TimerFired())

    def run(self, rounds=40):
        """Deliver all calls; advance the time when there are none."""
        for _ in range(rounds):
            if self.acceptor.finished:
                return
            if self.calls:
                self.deliver()
            else:
                self.advance(1_000.0)
