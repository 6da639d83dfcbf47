"""Each response is given to the request that it answers, or to none.

A fake leaf answers requests and health checks over pooled connections, and
sends late copies of earlier responses where the next one is expected.
"""

import random
import unittest

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from twisted.internet import task

from oriolegate.exchange.messages import LeafAnswer
from oriolegate.exchange.messages import SendOutcome
from oriolegate.network.leaf_client import LeafClient
from oriolegate.platform import leaf_protocol
from oriolegate.platform.leaf_protocol import HealthReport
from oriolegate.platform.leaf_protocol import NoAnswer
from tests import site_builders as build
from tests.network.test_http_connection import FakeTransport
from tests.reactor_clock import ReactorClock

LEAF = build.leaf("leaf")
STATUS_LINES = {200: b"200 OK", 421: b"421 Misdirected Request", 503: b"503 No"}
# How a leaf answers: status, and whether it rejects what it was sent.
REQUEST_ANSWERS = {
    "success": (200, ()),
    "rejection": (503, (b"Not-Executed: 1",)),
    "wrong leaf": (421, (b"Instance-Id: other",)),
}
CHECK_ANSWERS = {
    "healthy": (200, (b"Instance-Id: leaf",)),
    "failing": (503, (b"Instance-Id: leaf",)),
    "rejected": (503, (b"Not-Executed: 1",)),
}
EXPECTED_OUTCOMES = {
    "rejection": SendOutcome.NOT_RUN,
    "wrong leaf": SendOutcome.WRONG_LEAF,
}
RANDOM_SEQUENCES = 500

step = strategies.tuples(
    strategies.sampled_from([*REQUEST_ANSWERS, *CHECK_ANSWERS]),
    # Which earlier responses of the connection are repeated before it.
    strategies.lists(strategies.integers(0, 3), max_size=2),
    # Whether it comes in the same bytes as the copies, and goes after a pause.
    strategies.booleans(),
)


def encode(status, headers):
    lines = [b"HTTP/1.1 " + STATUS_LINES[status], *headers]
    return b"\r\n".join([*lines, b"Content-Length: 0", b"", b""])


class FakeReactor(task.Clock):
    """Opens connections to a fake leaf at once."""

    def __init__(self):
        super().__init__()
        self.connections = []

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802
        connection = factory.buildProtocol(None)
        connection.sent = []
        self.connections.append(connection)
        connection.makeConnection(FakeTransport())


class OwnershipPlay:
    """Plays steps and notes each result that belongs to another step."""

    def __init__(self):
        self.reactor = FakeReactor()
        self.clock = ReactorClock(self.reactor)
        self.client = LeafClient(self.reactor, self.clock)
        self.mistakes = []

    def find_busy(self):
        (busy,) = (c for c in self.reactor.connections if c.call is not None)
        return busy

    def play(self, steps):
        for number, (kind, copies, is_joined) in enumerate(steps):
            results = []
            if kind in CHECK_ANSWERS:
                self.client.check_health(LEAF, "/health", results.append)
                response = encode(*CHECK_ANSWERS[kind])
            else:
                response = self.send(number, kind, results)
            connection = self.find_busy()
            pieces = [
                connection.sent[-1 - back]
                for back in copies
                if back < len(connection.sent)
            ]
            connection.sent.append(response)
            pieces.append(response)
            if is_joined:
                pieces = [b"".join(pieces)]
            for piece in pieces:
                if not connection.transport.aborted:
                    connection.dataReceived(piece)
            self.judge(number, kind, results)
            self.close_aborted()
            self.reactor.advance(0.001)

    def send(self, number, kind, results):
        attempt = f"a{number}"
        call = attrs.evolve(build.call(), attempt_id=attempt)
        head = leaf_protocol.request_head(call)
        self.client.send(LEAF, call, head, 1_000.0, results.append)
        status, headers = REQUEST_ANSWERS[kind]
        own = [b"Attempt-Id: " + attempt.encode()]
        if status == 200:
            own.append(b"Server-Seal: s" + attempt.encode())
        return encode(status, (*own, *headers))

    def close_aborted(self):
        for connection in list(self.reactor.connections):
            if connection.transport.aborted:
                self.reactor.connections.remove(connection)
                connection.connectionLost(None)

    def judge(self, number, kind, results):
        """Note a result that the step's own response doesn't allow."""
        if len(results) != 1:
            self.mistakes.append((number, kind, results))
            return
        match results[0]:
            case NoAnswer(SendOutcome.MAY_HAVE_RUN):
                is_own = True
            case NoAnswer(outcome):
                is_own = EXPECTED_OUTCOMES.get(kind) is outcome
            case LeafAnswer(signature=signature):
                own = f"sa{number}".encode()
                is_own = kind == "success" and signature == own
            case HealthReport(leaf_id, healthy):
                is_own = (leaf_id, healthy) == {
                    "healthy": ("leaf", True),
                    "failing": ("leaf", False),
                    "rejected": ("", False),
                }[kind]
        if not is_own:
            self.mistakes.append((number, kind, results))


def random_steps(rng):
    kinds = [*REQUEST_ANSWERS, *CHECK_ANSWERS]
    return [
        (
            rng.choice(kinds),
            [rng.randrange(4) for _ in range(rng.randrange(3))],
            rng.random() < 0.5,
        )
        for _ in range(rng.randrange(1, 9))
    ]


def play_random(count, seed):
    """Play random sequences; return the first one with a mistake, or None."""
    rng = random.Random(seed)
    for _ in range(count):
        steps = random_steps(rng)
        play = OwnershipPlay()
        play.play(steps)
        if play.mistakes:
            return steps, play.mistakes
    return None


class AnswerOwnershipTest(unittest.TestCase):
    def check(self, *steps):
        play = OwnershipPlay()
        play.play(steps)
        self.assertEqual(play.mistakes, [])

    def test_a_late_copy_of_a_rejected_check_rejects_no_request(self):
        # Callers got 503 for requests that ran, and others ran twice.
        self.check(("rejected", [], False), ("success", [0], False))
        self.check(("rejected", [], False), ("success", [0], True))

    def test_a_late_copy_of_a_check_tells_nothing_to_the_next_check(self):
        self.check(("healthy", [], False), ("failing", [0], False))
        self.check(("healthy", [], False), ("rejected", [0], True))

    def test_a_late_copy_of_an_answer_is_given_to_no_other_request(self):
        self.check(("success", [], False), ("success", [0], False))
        self.check(("rejection", [], False), ("success", [0], True))
        self.check(("wrong leaf", [], False), ("healthy", [0], False))

    def test_a_request_after_a_healthy_check_gets_its_answer(self):
        play = OwnershipPlay()
        play.play([("healthy", [], False), ("success", [0], False)])
        self.assertEqual(play.mistakes, [])
        self.assertEqual(play.client.opened_total, 1)

    def test_a_check_closes_no_connection_without_need(self):
        play = OwnershipPlay()
        play.play(
            [
                ("success", [], False),
                ("healthy", [], False),
                ("success", [], False),
            ]
        )
        self.assertEqual(play.client.opened_total, 1)

    @settings(max_examples=200, deadline=None)
    @given(strategies.lists(step, min_size=1, max_size=8))
    def test_each_response_belongs_to_its_request(self, steps):
        self.check(*steps)

    def test_random_sequences_bring_no_answer_of_another_request(self):
        self.assertIsNone(play_random(RANDOM_SEQUENCES, seed=1))
