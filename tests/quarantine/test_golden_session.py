"""Compares a crashing request's session on three VMs with a golden file."""

import pathlib
import unittest

from oriolegate.quarantine.settings import QuarantineSettings
from tests.golden_session import GoldenSession
from tests.quarantine.crashing_tier import CrashingTier

GOLDEN = pathlib.Path(__file__).parent / "golden" / "crash.txt"


class RecordedTier(CrashingTier):
    """A tier that records sends, losses and effects in a golden session."""

    def __init__(self, session, **sizes):
        super().__init__(QuarantineSettings(), **sizes)
        self.session = session

    def send_sub(self, request, shard, upstream):
        self.session.record_event(
            self.now_ms, request.vm, f"send to {upstream}"
        )
        super().send_sub(request, shard, upstream)

    def lose(self, upstream):
        self.session.record_event(self.now_ms, "all ", f"lost {upstream}")
        super().lose(upstream)

    def carry_out(self, vm, effects):
        for effect in effects:
            self.session.record_effect(self.now_ms, vm, effect)
        super().carry_out(vm, effects)


class GoldenSessionTest(unittest.TestCase):
    def test_crashing_request_is_refused_and_harmless_one_is_sent(self):
        session = GoldenSession(GOLDEN)
        tier = RecordedTier(session, vm_count=3, upstream_count=3)
        tier.link_ms = (1.0, 1.0)
        tier.send("vm-0", b"crash")
        for vm in ("vm-1", "vm-2"):
            tier.at(10.0, tier.send, vm, b"crash")
        tier.at(1_000.0, tier.send, "vm-1", b"crash")
        tier.at(2_000.0, tier.send, "vm-2", b"map")
        tier.run(3_500.0)
        session.compare(self)
