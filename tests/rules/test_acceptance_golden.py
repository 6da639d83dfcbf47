"""Compare a session of two racing operators with a golden file.

`python -m tests.rules.test_acceptance_golden` rewrites the file.
"""

import pathlib
import unittest

import attrs

from oriolegate.rules import acceptance_messages as messages
from tests.rules.fake_store import FakeStore
from tests.rules.fake_store import Operator

GOLDEN = pathlib.Path(__file__).parent / "golden" / "lost_answer.txt"
FIRST = "route a to x  # asked-by: Marta\n"
SECOND = FIRST + "route b to x  # asked-by: Rodrigo\n"
THIRD = "route a to y  # asked-by: Marta\n"


@attrs.define(eq=False)
class RecordedOperator(Operator):
    """An operator whose events and effects are written to a log."""

    name: str = ""
    log: list = attrs.field(factory=list)

    def handle_event(self, event):
        self.log.append(f"{self.now_ms:g} {self.name} <- {event}")
        step = self.acceptor.step

        def recorded(now_ms, given):
            effects = step(now_ms, given)
            self.log += [f"    -> {effect}" for effect in effects]
            return effects

        self.acceptor.step = recorded
        super().handle_event(event)
        self.acceptor.step = step


def session():
    """Return the log of a write whose answer is lost before another edit."""
    store, log = FakeStore(), []

    def operator(name, base, text):
        change = messages.RulesEdit(f"edit-{name}", base, text)
        return RecordedOperator(change, store, name=name, log=log)

    operator("first", 0, FIRST).run()
    marta = operator("marta", 1, THIRD)
    marta.deliver()
    marta.deliver()
    marta.lose_answer()
    operator("rodrigo", 1, SECOND).run()
    marta.run()
    return "".join(f"{line}\n" for line in log)


class GoldenSessionTest(unittest.TestCase):
    maxDiff = None

    def test_a_lost_answer_is_resolved_from_history(self):
        self.assertEqual(session(), GOLDEN.read_text())


if __name__ == "__main__":
    GOLDEN.write_text(session())
