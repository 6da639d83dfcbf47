"""Tests of limits on the bytes of responses."""

import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.network.receive_limits import ReceiveBuffer


class ReceiveBufferTest(unittest.TestCase):
    def setUp(self):
        self.buffer = ReceiveBuffer(100)
        self.abandoned = []

    def receive(self, name, size_bytes):
        self.buffer.update(
            name, size_bytes, lambda: self.abandoned.append(name)
        )

    def test_the_largest_response_is_abandoned(self):
        self.receive("a", 30)
        self.receive("b", 60)
        self.receive("a", 35)
        self.assertEqual(self.abandoned, [])
        self.receive("a", 45)
        self.assertEqual(self.abandoned, ["b"])
        self.assertEqual(self.buffer.total_bytes, 45)

    def test_a_response_larger_than_the_buffer_is_abandoned_itself(self):
        self.receive("a", 101)
        self.assertEqual(self.abandoned, ["a"])
        self.assertEqual(self.buffer.total_bytes, 0)

    def test_complete_responses_free_the_buffer(self):
        self.receive("a", 90)
        self.buffer.release("a")
        self.buffer.release("a")
        self.receive("b", 90)
        self.assertEqual(self.abandoned, [])

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 5), strategies.integers(0, 150)
            ),
            max_size=40,
        )
    )
    def test_the_buffer_never_exceeds_its_limit(self, steps):
        buffer = ReceiveBuffer(100)
        for name, size_bytes in steps:
            if size_bytes == 0:
                buffer.release(name)
            else:
                buffer.update(name, size_bytes, lambda: None)
            sizes = [size for size, _ in buffer.incomplete.values()]
            self.assertEqual(buffer.total_bytes, sum(sizes))
            self.assertLessEqual(buffer.total_bytes, 100)
