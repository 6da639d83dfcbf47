"""Clients that send requests through the gateways, as PROTOCOL.md says."""

import asyncio
import random

from stage import PROMISES
from stage import Connection
from stage import Stage

FINAL = (400, 401, 404, 413, 431)


class Client:
    """Sends requests; each attempt has an id of its own.

    Attributes:
        answers: Status of each attempt, or None without an answer.
        requests: Send time, path and whether it was served, of each request.
    """

    def __init__(self, stage: Stage, seed: int) -> None:
        self.stage = stage
        self.rng = random.Random(seed)
        self.idle: dict[str, list[Connection]] = {}
        self.answers: dict[str, int | None] = {}
        self.requests: list[list] = []

    async def get(self, path: str, deadline_ms: float) -> None:
        """Send a request that may be repeated; repeat it once."""
        entry = [self.stage.record.now(), path, False]
        self.requests.append(entry)
        due = entry[0] + deadline_ms / 1000
        for number in range(2):
            left_s = due - self.stage.record.now()
            if left_s <= 0.05:
                return
            status, headers = await self._attempt(path, left_s, is_new=number > 0)
            if status is not None and 200 <= status < 300:
                entry[2] = True
                return
            if status in FINAL:
                return
            left_s = due - self.stage.record.now()
            after_s = float(headers.get("retry-after", 0.0))
            await asyncio.sleep(max(0.0, min(after_s, left_s / 3)))

    async def _attempt(
        self, path: str, left_s: float, *, is_new: bool
    ) -> tuple[int | None, dict[str, str]]:
        attempt = f"{self.rng.getrandbits(64):016x}"
        ready = [g for g in self.stage.gateways if g.is_in_rotation]
        gateway = self.rng.choice(ready or self.stage.gateways)
        idle = self.idle.setdefault(gateway.name, [])
        connection = (
            Connection(gateway.front) if is_new or not idle else idle.pop()
        )
        head = (
            f"GET {path} HTTP/1.1\r\nHost: desk.example\r\n"
            f"Attempt-Id: {attempt}\r\nDeadline-Ms: {int(left_s * 1000)}\r\n\r\n"
        )
        self.answers[attempt] = None
        self.stage.record.add("sent", attempt=attempt, to=gateway.name, path=path)
        try:
            status, headers, _ = await asyncio.wait_for(
                connection.call(head.encode()), left_s
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            connection.close()
            self.stage.record.add(
                "no-answer", attempt=attempt, why=type(error).__name__
            )
            return None, {}
        self.answers[attempt] = status
        self.stage.record.add("answered", attempt=attempt, status=status)
        if connection.is_reusable:
            idle.append(connection)
        else:
            connection.close()
        return status, headers


__all__ = ["PROMISES", "Client"]
