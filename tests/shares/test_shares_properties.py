"""Stateful property tests of shares under faults of peers and the store.

The test executes, loses and delays store calls and their answers; delivers,
duplicates and reorders messages; pauses, kills and restarts processes; and
moves a VM's name to another address while its previous process still runs.
"""

import random
import unittest

import attrs
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from oriolegate.membership.effects import Send
from oriolegate.shares import effects
from oriolegate.shares.service_share import REQUEST_DRAIN_MS
from oriolegate.shares.service_share import ShareOwner
from oriolegate.shares.share_object import Amounts
from oriolegate.shares.share_object import NOTHING
from oriolegate.shares.share_object import total
from oriolegate.shares.shares import Shares

SERVICE = "cobro-core"
LIMITS = Amounts(slots=5, connections=13, cold=1)
VMS = ("vm-1", "vm-2", "vm-3")
HEAL_ROUNDS = 25
HEAL_STEP_MS = 6_000.0

positions = strategies.integers(min_value=0, max_value=10_000)
vms = strategies.sampled_from(VMS)


@attrs.define(eq=False)
class Process:
    """One process and an upper bound of its actual use."""

    core: Shares
    paused: bool = False
    wanted: bool = False
    announced: Amounts = NOTHING
    using: Amounts = NOTHING
    inbox: list = attrs.field(factory=list)

    @property
    def owner(self):
        return self.core.owner


class SharesMachine(stateful.RuleBasedStateMachine):
    """Processes, the store, and calls, answers and messages in transit."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.stored = None
        self.calls = []
        self.answers = []
        self.messages = []
        self.running = []
        self.left = []
        self.newest = dict.fromkeys(VMS, 0)
        for vm in VMS:
            self.start(vm, f"{vm}:1")

    def start(self, vm, address):
        self.newest[vm] += 1
        owner = ShareOwner(vm, self.newest[vm], address)
        core = Shares(owner, random.Random(f"{vm}/{self.newest[vm]}"))
        process = Process(core)
        self.running.append(process)
        self.want(process, wanted=True)

    def want(self, process, wanted):
        process.wanted = wanted
        self.step(process, effects.ServiceWanted(SERVICE, wanted, LIMITS, 1))

    def step(self, process, event):
        if process not in self.running:
            return
        if process.paused:
            process.inbox.append(event)
            return
        for effect in process.core.step(self.now_ms, event):
            match effect:
                case Send(vm=vm, message=message):
                    sender = process.owner.vm
                    self.messages.append((sender, vm, message))
                case effects.ReadShares() | effects.WriteShares():
                    self.calls.append((process, effect))
                case effects.GrantChanged():
                    process.announced = effect.amounts
                    process.using = process.using.maximum(effect.amounts)

    def process_at(self, position):
        return self.running[position % len(self.running)]

    def land(self, index):
        """Execute a call and put its answer in transit."""
        process, call = self.calls.pop(index)
        version = self.stored.version if self.stored else 0
        match call:
            case effects.ReadShares():
                answer = effects.SharesRead(SERVICE, call.ticket, self.stored)
            case effects.WriteShares() if call.expected_version == version:
                self.stored = attrs.evolve(
                    call.share_object, version=version + 1
                )
                answer = effects.SharesWritten(
                    SERVICE, call.ticket, version + 1
                )
            case _:
                answer = effects.WriteRefused(SERVICE, call.ticket)
        self.answers.append((process, answer))

    @stateful.precondition(lambda self: self.calls)
    @stateful.rule(position=positions)
    def land_call(self, position):
        self.land(position % len(self.calls))

    @stateful.precondition(lambda self: self.calls)
    @stateful.rule(position=positions, still_lands=strategies.booleans())
    def time_out_call(self, position, still_lands):
        index = position % len(self.calls)
        process, call = self.calls[index]
        self.step(process, self.no_answer(call))
        if not still_lands and (process, call) in self.calls:
            self.calls.remove((process, call))

    def no_answer(self, call):
        if isinstance(call, effects.ReadShares):
            return effects.ReadFailed(SERVICE, call.ticket)
        return effects.WriteUnknown(SERVICE, call.ticket)

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(position=positions)
    def deliver_answer(self, position):
        process, answer = self.answers.pop(position % len(self.answers))
        self.step(process, answer)

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(position=positions, comes_late=strategies.booleans())
    def time_out_answer(self, position, comes_late):
        index = position % len(self.answers)
        process, answer = self.answers[index]
        if not comes_late:
            del self.answers[index]
        self.step(process, effects.WriteUnknown(SERVICE, answer.ticket))

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(position=positions, doubled=strategies.booleans())
    def deliver_message(self, position, doubled):
        self.deliver_at(position % len(self.messages), doubled)

    def deliver_at(self, index, doubled):
        sender, receiver, message = self.messages[index]
        if not doubled:
            del self.messages[index]
        for process in list(self.running):
            if process.owner.vm == receiver:
                self.step(process, effects.Received(sender, message))

    @stateful.rule(position=positions)
    def finish_work(self, position):
        self.finish(self.process_at(position))

    def finish(self, process):
        if not process.paused:
            process.using = process.announced
            applied = effects.GrantApplied(SERVICE, process.announced)
            self.step(process, applied)

    @stateful.rule(interval_ms=strategies.integers(0, 10_000))
    def tick_all(self, interval_ms):
        self.now_ms += interval_ms
        for process in list(self.running):
            self.step(process, effects.Tick())

    @stateful.rule(
        work_ends=strategies.booleans(), rounds=strategies.integers(1, 6)
    )
    def settle(self, work_ends, rounds):
        for _ in range(rounds):
            self.run_on(work_ends)
            self.check_conserved()

    def run_on(self, work_ends):
        """Deliver all messages, calls and answers in transit."""
        self.now_ms += HEAL_STEP_MS
        for process in list(self.running):
            if work_ends:
                self.finish(process)
            self.step(process, effects.Tick())
        while self.messages:
            self.deliver_at(0, doubled=False)
        while self.calls:
            self.land(0)
        while self.answers:
            self.step(*self.answers.pop(0))

    @stateful.rule(position=positions)
    def pause(self, position):
        self.process_at(position).paused = True

    @stateful.rule(position=positions, noticed_first=strategies.booleans())
    def resume(self, position, noticed_first):
        process = self.process_at(position)
        if process.paused:
            self.wake(process, noticed_first)

    def wake(self, process, noticed_first):
        process.paused = False
        events, process.inbox = process.inbox, []
        at = 0 if noticed_first else len(events)
        events.insert(at, effects.ProcessPaused())
        for event in events:
            self.step(process, event)

    @stateful.rule(position=positions, wanted=strategies.booleans())
    def change_homes(self, position, wanted):
        self.want(self.process_at(position), wanted)

    @stateful.precondition(lambda self: len(self.running) > 1)
    @stateful.rule(position=positions)
    def kill(self, position):
        process = self.process_at(position)
        self.running.remove(process)
        self.left.append((self.now_ms + REQUEST_DRAIN_MS, process.using))

    @stateful.rule(vm=vms)
    def restart(self, vm):
        """Start a process at the VM's first address, if it is free."""
        address = f"{vm}:1"
        if all(process.owner.address != address for process in self.running):
            self.start(vm, address)

    @stateful.precondition(lambda self: len(self.running) < 5)
    @stateful.rule(vm=vms)
    def replace(self, vm):
        """Start a process at a new address; the previous one may still run."""
        self.start(vm, f"{vm}:{self.newest[vm] + 1}")

    def proven_end(self, vm):
        alive = [
            process.owner.incarnation
            for process in self.running
            if process.owner.vm == vm
        ]
        ended = min(alive, default=self.newest[vm] + 1) - 1
        return effects.ProcessEnded(vm, ended)

    @stateful.rule(vm=vms, position=positions)
    def tell_ended(self, vm, position):
        self.step(self.process_at(position), self.proven_end(vm))

    def check_conserved(self):
        """Check that actual use, including that of dead processes, fits."""
        parts = [process.using for process in self.running]
        parts += [using for until, using in self.left if until > self.now_ms]
        used = total(parts)
        assert used.fits_in(LIMITS), used

    @stateful.invariant()
    def shares_are_conserved(self):
        self.check_conserved()

    def teardown(self):
        """Check that all capacity is shared fairly once faults end."""
        for process in self.running:
            if process.paused:
                self.wake(process, noticed_first=True)
        for _ in range(HEAL_ROUNDS):
            for process in self.running:
                for vm in VMS:
                    self.step(process, self.proven_end(vm))
            self.run_on(work_ends=True)
            self.check_conserved()
        self.check_fair()

    def check_fair(self):
        for process in self.running:
            # A process superseded under its name gets no share, and its
            # successor waits until it has ended.
            if process.owner.incarnation != self.newest[process.owner.vm]:
                return
        holders = [process for process in self.running if process.wanted]
        if not holders:
            return
        held = total(process.announced for process in holders)
        assert held == LIMITS, (held, self.stored)
        slots = [process.announced.slots for process in holders]
        assert max(slots) - min(slots) <= 1, slots


class SharesPropertiesTest(unittest.TestCase):
    def test_shares_are_conserved_and_none_is_lost_once_healed(self):
        stateful.run_state_machine_as_test(
            SharesMachine,
            settings=settings(
                max_examples=200,
                stateful_step_count=50,
                deadline=None,
                derandomize=True,
                database=None,
            ),
        )
