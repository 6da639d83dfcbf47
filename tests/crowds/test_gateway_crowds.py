"""Crowds of clients that no one controls, at the callers' port of a gateway.

Each crowd keeps within the limits of one request; together they exceed what
the process may use.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import pathlib
import tempfile
from typing import Any

from twisted.internet import defer

from tests.crowds import crowd_clients
from tests.crowds import crowd_stage
from tests.reactor_case import wait_for

# Memory of the machine where a crowd holds less.
SMALL_MEMORY_MB = 60


def with_processes(
    test: Callable[[Any], Awaitable[None]],
) -> Callable[[Any], None]:
    """Decorate a coroutine method that plays processes."""

    @functools.wraps(test)
    def run(case: Any) -> None:
        wait_for(defer.ensureDeferred(test(case)), crowd_stage.TEST_TIMEOUT_S)

    return run


class BodyCrowdTest(crowd_stage.GatewayCase):
    @with_processes
    async def test_long_bodies_that_stop_short_of_their_end(self):
        await self.play("whole", 400)

    @with_processes
    async def test_long_bodies_that_come_piece_by_piece(self):
        await self.play("pieces", 400)

    @with_processes
    async def test_large_chunks_without_an_end(self):
        await self.play("large_chunks", 400)

    @with_processes
    async def test_chunks_of_one_byte_without_an_end(self):
        await self.play("one_byte_chunks", 400)

    @with_processes
    async def test_long_bodies_whose_last_bytes_trickle_in(self):
        await self.play("trickle", 400)

    @with_processes
    async def test_clients_of_many_kinds(self):
        await self.play("mixed", 550)

    @with_processes
    async def test_complete_requests_with_long_bodies(self):
        await self.play("complete", 400)

    @with_processes
    async def test_long_bodies_that_all_shards_get(self):
        await self.play("complete_to_shards", 60, hangs=True)


class HeadAndTrailerCrowdTest(crowd_stage.GatewayCase):
    @with_processes
    async def test_many_headers_without_an_end(self):
        await self.play("many_headers", 570, memory_mb=SMALL_MEMORY_MB)

    # Each costs far more than its bytes where objects are made of them.
    @with_processes
    async def test_many_cookies(self):
        await self.play("cookies", 500)

    @with_processes
    async def test_many_short_header_lines(self):
        await self.play("short_lines", 500)

    @with_processes
    async def test_long_header_names_that_never_repeat(self):
        await self.play("long_names", 500)

    @with_processes
    async def test_long_paths_of_slashes(self):
        await self.play("slashes", 500)

    @with_processes
    async def test_crowds_in_turn_with_trailers_that_are_too_long(self):
        await self.play(
            "long_trailer", 250, rounds=8, memory_mb=SMALL_MEMORY_MB
        )

    @with_processes
    async def test_many_short_trailers_without_an_end(self):
        await self.play("short_trailers", 300)

    @with_processes
    async def test_more_connections_than_descriptors(self):
        await self.play("few_bytes", 900)

    @with_processes
    async def test_more_connections_without_a_byte_than_descriptors(self):
        await self.play("nothing", 900)


class UnreadAnswerCrowdTest(crowd_stage.GatewayCase):
    @with_processes
    async def test_pipelined_requests_whose_answers_are_not_read(self):
        await self.play("pipelined", 500)

    @with_processes
    async def test_long_answers_that_are_not_read(self):
        await self.play("large_answers", 500, memory_mb=SMALL_MEMORY_MB)

    @with_processes
    async def test_pipelined_requests_that_are_answered_at_once(self):
        await self.play("unknown_routes", 500)


class InternalCrowdTest(crowd_stage.GatewayCase):
    @with_processes
    async def test_long_bodies_at_the_port_of_other_vms(self):
        await self.play("forwarded", 30, address_name="internal_address")

    @with_processes
    async def test_long_bodies_that_are_no_forwarded_requests(self):
        await self.play(
            "forwarded_complete", 30, address_name="internal_address"
        )

    @with_processes
    async def test_more_connections_to_the_port_of_health_checks(self):
        await self.play("few_bytes", 900, address_name="ready_address")

    @with_processes
    async def test_chunks_of_one_byte_at_the_port_of_other_vms(self):
        await self.play("one_byte_chunks", 400, address_name="internal_address")

    @with_processes
    async def test_more_connections_to_the_port_of_other_vms(self):
        await self.play("few_bytes", 900, address_name="internal_address")


class LegalRequestTest(crowd_stage.GatewayCase):
    """A single request within the limits is served on a small machine."""

    async def send_alone(self, make_slices, *, path="/one/a", pause_s=0.0):
        """Send the slices of a request; return the status of the answer."""
        with tempfile.TemporaryDirectory() as folder:
            stage = crowd_stage.GatewayStage(pathlib.Path(folder))
            try:
                await stage.start()
                return await crowd_stage.send_slices(
                    stage.gateway.caller_address, make_slices(path), pause_s
                )
            finally:
                await stage.close()

    @with_processes
    async def test_a_long_body_is_served(self):
        self.assertEqual(await self.send_alone(with_length), 200)

    @with_processes
    async def test_a_long_body_in_chunks_of_one_byte_is_served(self):
        self.assertEqual(await self.send_alone(in_chunks_of_one_byte), 200)

    @with_processes
    async def test_a_slow_long_body_is_served(self):
        status = await self.send_alone(with_length, pause_s=0.4)
        self.assertEqual(status, 200)

    @with_processes
    async def test_a_long_body_for_all_shards_is_served(self):
        status = await self.send_alone(with_length, path="/all/a")
        self.assertEqual(status, 200)


def with_length(path):
    """Return a request with the longest body, in a few slices."""
    step = crowd_clients.BODY_BYTES // 8
    body = crowd_clients.BODY
    slices = [body[i : i + step] for i in range(0, len(body), step)]
    return [crowd_clients.head(path, crowd_clients.LENGTH), *slices]


def in_chunks_of_one_byte(path):
    """Return a request with the longest body, in chunks of one byte."""
    chunks = b"1\r\na\r\n" * crowd_clients.BODY_BYTES
    return [
        crowd_clients.head(path, crowd_clients.CHUNKED),
        chunks,
        b"0\r\n\r\n",
    ]
