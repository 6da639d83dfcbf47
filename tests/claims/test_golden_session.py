"""Compare a session of claims by two VMs with a golden file."""

import pathlib
import unittest

from oriolegate.claims import events
from oriolegate.claims.settings import ClaimsSettings
from oriolegate.result_codes import RunState
from tests.claims.claim_race import ClaimRace
from tests.claims.claim_race import key_at
from tests.golden_session import GoldenSession

GOLDEN = pathlib.Path(__file__).parent / "golden" / "two_vms.txt"


class RecordedClaimRace(ClaimRace):
    """A claim race whose steps are recorded in a golden session."""

    def __init__(self, vms, settings, session):
        super().__init__(vms, settings)
        self.session = session
        for manager in self.managers.values():
            manager.step = self.recorded(manager, manager.step)

    def recorded(self, manager, step):
        def step_and_record(now_ms, event):
            effects = step(now_ms, event)
            if effects or not isinstance(event, events.TimerFired):
                self.session.record_event(now_ms, manager.vm, event)
            for effect in effects:
                self.session.record_effect(now_ms, manager.vm, effect)
            return effects

        return step_and_record


class GoldenSessionTest(unittest.TestCase):
    def test_two_vms_claim_through_faults(self):
        session = GoldenSession(GOLDEN)
        settings = ClaimsSettings(bucket_count=1)
        race = RecordedClaimRace(("vm-a", "vm-b"), settings, session)
        for vm in race.managers:
            race.step(vm, events.OwnersChanged(("vm-a",)))
        first, second = key_at(0, 1), key_at(0, 2)
        race.request("vm-a", first, 1_000.0)
        race.request("vm-b", second, 1_000.0)
        race.deliver()  # vm-a, the owner, reads the object for both claims
        race.answer()
        race.lose_answer()  # the write of vm-a takes effect
        race.advance(60.0)
        race.answer()  # vm-a reads its write back
        race.deliver()
        race.end_run(first, RunState.RAN)
        race.end_run(second, RunState.NOT_RUN)
        race.settle()
        race.request("vm-b", first, 1_000.0)
        race.request("vm-a", second, 1_000.0)
        race.settle()
        session.compare(self)
