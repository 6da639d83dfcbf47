"""What a query held after a loss may not send."""

import unittest

from oriolegate.coordinator import messages
from oriolegate.models.policy import ServicePolicy
from oriolegate.upstreams.leaf_state import Grant
from tests.coordinator import sites
from tests.coordinator.test_sessions import Session


class HeldAfterLossTest(unittest.TestCase):
    def fill(self):
        """Return a session whose third query has one shard that waits."""
        site = sites.topology(2)
        session = Session(sites.coordinator(site, Grant(1, 2, 1)))
        for number in (1, 2, 3):
            session.arrive(request_id=f"r{number}")
        session.answer(0, query=1)
        session.lose(0, query=3, may_retry=False)
        session.lines.clear()
        return session

    def sent(self, session):
        return [line for line in session.lines if "> SendSub" in line]

    def test_a_shard_that_waited_is_not_sent_to_a_freed_leaf(self):
        session = self.fill()
        session.answer(1, query=1)
        self.assertEqual(self.sent(session), [])

    def test_a_canary_that_waits_goes_to_its_upstream_only(self):
        session = self.fill()
        session.feed(messages.CanaryChosen(3, "studio-desk-1"))
        session.answer(1, query=1)
        self.assertEqual(self.sent(session), [])
        session.answer(1, query=2, replica=1)
        (line,) = self.sent(session)
        self.assertIn("leaf='leaf-1-1'", line)

    def test_shards_in_flight_are_not_hedged(self):
        session = Session(sites.coordinator(sites.topology(3)))
        service = session.coordinator.state.service(
            sites.SERVICE, ServicePolicy()
        )
        for _ in range(100):
            service.latency.record(4.0)
        session.arrive()
        session.lose(0, may_retry=False)
        session.lines.clear()
        session.at(5.0)
        session.feed(messages.TimerFired())
        self.assertEqual(self.sent(session), [])
