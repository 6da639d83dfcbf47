"""Tests that a query held after a loss sends only its canary."""

import unittest

from oriolegate.coordinator import messages
from oriolegate.models.policy import ServicePolicy
from oriolegate.upstreams.leaf_state import Grant
from tests.coordinator import fixtures
from tests.coordinator.test_golden_sessions import Session


class HeldQueryTest(unittest.TestCase):
    def session_with_held_query(self):
        """Return a session whose third query is held with a queued shard."""
        topology = fixtures.topology(2)
        session = Session(fixtures.coordinator(topology, Grant(1, 2, 1)))
        for number in (1, 2, 3):
            session.arrive(request_id=f"r{number}")
        session.answer(0, query=1)
        session.lose(0, query=3, may_retry=False)
        session.lines.clear()
        return session

    def sent_lines(self, session):
        return [line for line in session.lines if "> SendSub" in line]

    def test_queued_shard_is_not_sent_to_freed_leaf(self):
        session = self.session_with_held_query()
        session.answer(1, query=1)
        self.assertEqual(self.sent_lines(session), [])

    def test_queued_canary_is_sent_to_its_upstream_only(self):
        session = self.session_with_held_query()
        session.feed(messages.CanaryChosen(3, "studio-desk-1"))
        session.answer(1, query=1)
        self.assertEqual(self.sent_lines(session), [])
        session.answer(1, query=2, replica=1)
        (line,) = self.sent_lines(session)
        self.assertIn("leaf='leaf-1-1'", line)

    def test_shards_in_flight_are_not_hedged(self):
        session = Session(fixtures.coordinator(fixtures.topology(3)))
        service = session.coordinator.state.service(
            fixtures.SERVICE, ServicePolicy()
        )
        for _ in range(100):
            service.latency.record(4.0)
        session.arrive()
        session.lose(0, may_retry=False)
        session.lines.clear()
        session.at(5.0)
        session.feed(messages.TimerFired())
        self.assertEqual(self.sent_lines(session), [])
