"""Callers behind a balancer: load on a fleet, and what came of it."""

import collections
import http.client
import itertools
import json
import random
import threading
import time
from typing import Any

import attrs
from tools.fleet import CALLER_PORT
from tools.fleet import Fleet
from tools.fleet import Vm

CHECK_INTERVAL_S = 0.2
CALLER_TIMEOUT_S = 15.0


@attrs.frozen
class Outcome:
    """What one request got.

    Attributes:
        at_s: When it was sent, on the monotonic clock.
        latency_ms: Until its answer or its loss.
        vm: Who was asked.
        submit: Whether it was not idempotent.
        key: Idempotency key of a submit.
        status: HTTP status, or 0 if the connection was cut.
        code: Result code, or -1.
        run_state: Of a refusal.
        coverage: Share of shards answered, 0 to 1.
        faults: What is wrong with the answer itself, such as `doubled`.
    """

    at_s: float
    latency_ms: float
    vm: str
    submit: bool
    key: str
    status: int
    code: int
    run_state: str
    coverage: float
    faults: tuple[str, ...]


class Balancer:
    """Sends each request to a VM that was ready at the last check."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.ready: list[Vm] = [vm for vm in fleet.vms if fleet.is_ready(vm)]
        self.turns = itertools.count()
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        while not self.stopped.wait(CHECK_INTERVAL_S):
            self.ready = [
                vm for vm in self.fleet.vms if self.fleet.is_ready(vm)
            ]

    def choose(self) -> Vm | None:
        """Return the next ready VM."""
        ready = self.ready
        return ready[next(self.turns) % len(ready)] if ready else None


def _faults(value: dict[str, Any]) -> tuple[str, ...]:
    """Check an answer by the names of its documents."""
    ids = [result["id"] for result in value["results"]]
    version = f"v{value['index_version']}-"
    found = []
    if len(ids) != len(set(ids)):
        found.append("doubled")
    if any(not name.startswith(version) for name in ids):
        found.append("mixed_snapshots")
    return tuple(found)


class Load:
    """A number of callers that ask one after the other.

    Attributes:
        outcomes: What every request got.
    """

    def __init__(
        self,
        fleet: Fleet,
        routes: list[str],
        callers: int,
        submit_share: float,
        pause_s: float,
        seed: int,
    ) -> None:
        self.fleet = fleet
        self.routes = routes
        self.submit_share = submit_share
        self.pause_s = pause_s
        self.balancer = Balancer(fleet)
        self.stopped = threading.Event()
        self.outcomes: collections.deque[Outcome] = collections.deque()
        self.threads = [
            threading.Thread(target=self._run, args=(seed * 1_000 + number,))
            for number in range(callers)
        ]

    def start(self) -> None:
        """Start the balancer's checks and all callers."""
        self.balancer.thread.start()
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Wait for the last request of each caller."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()
        self.balancer.stopped.set()
        self.balancer.thread.join()

    def _run(self, seed: int) -> None:
        rng = random.Random(seed)
        while not self.stopped.is_set():
            vm = self.balancer.choose()
            if vm is not None:
                self.outcomes.append(self._ask(rng, vm))
            self.stopped.wait(rng.expovariate(1.0 / self.pause_s))

    def _ask(self, rng: random.Random, vm: Vm) -> Outcome:
        submit = rng.random() < self.submit_share
        route = rng.choice(self.routes)
        key = ""
        headers = {"X-Caller": f"presenter-{rng.randrange(50)}"}
        if submit:
            key = f"{time.time_ns() // 1_000_000}-{rng.getrandbits(80):020x}"
            headers["Idempotency-Key"] = key
        path = f"/v1/{'submit' if submit else 'query'}/{route}"
        body = json.dumps({"place": rng.randrange(1_000)}).encode()
        started_s = time.monotonic()
        status, value = _post(vm.host, path, body, headers)
        latency_ms = (time.monotonic() - started_s) * 1000.0
        coverage = value.get("coverage")
        share = 0.0
        if coverage:
            share = coverage["shards_answered"] / coverage["shards_total"]
        return Outcome(
            at_s=started_s,
            latency_ms=latency_ms,
            vm=vm.name,
            submit=submit,
            key=key,
            status=status,
            code=value.get("code", -1),
            run_state=value.get("run_state", ""),
            coverage=share,
            faults=_faults(value) if status == 200 else (),
        )


def _post(
    host: str, path: str, body: bytes, headers: dict[str, str]
) -> tuple[int, dict[str, Any]]:
    connection = http.client.HTTPConnection(
        host, CALLER_PORT, timeout=CALLER_TIMEOUT_S
    )
    try:
        connection.request("POST", path, body, headers)
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    except (OSError, http.client.HTTPException, ValueError) as error:
        return 0, {"message": repr(error)}
    finally:
        connection.close()
