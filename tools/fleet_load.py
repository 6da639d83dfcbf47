"""Load on a fleet from callers behind a balancer, and its outcomes."""

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
    """Outcome of one request.

    Attributes:
        at_s: Time of sending, on the monotonic clock.
        latency_ms: Time until the request was answered or lost.
        vm: Name of the VM that received it.
        submit: Whether it was a submit, which isn't idempotent.
        key: Idempotency key of a submit.
        status: HTTP status, or 0 if the connection was cut.
        code: Result code, or -1 if the answer has none.
        run_state: Run state of a refusal.
        coverage: Fraction of shards that answered, 0 to 1.
        violations: Guarantees that the answer breaks, such as `doubled`.
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
    violations: tuple[str, ...]


class Balancer:
    """Assigns each request to a VM that was ready at the last check."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.ready: list[Vm] = [vm for vm in fleet.vms if fleet.is_ready(vm)]
        self.counter = itertools.count()
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
        return ready[next(self.counter) % len(ready)] if ready else None


def _violations(value: dict[str, Any]) -> tuple[str, ...]:
    """Return the guarantees that an answer's document ids show as broken."""
    ids = [result["id"] for result in value["results"]]
    version = f"v{value['index_version']}-"
    violations = []
    if len(ids) != len(set(ids)):
        violations.append("doubled")
    if any(not document_id.startswith(version) for document_id in ids):
        violations.append("mixed_snapshots")
    return tuple(violations)


class Load:
    """Concurrent callers, each with one request at a time.

    Attributes:
        pause_s: Mean time from an outcome to a caller's next request.
        outcomes: Outcome of every request.
    """

    def __init__(
        self,
        fleet: Fleet,
        routes: list[str],
        callers: int,
        submit_fraction: float,
        pause_s: float,
        seed: int,
    ) -> None:
        self.fleet = fleet
        self.routes = routes
        self.submit_fraction = submit_fraction
        self.pause_s = pause_s
        self.balancer = Balancer(fleet)
        self.stopped = threading.Event()
        self.outcomes: collections.deque[Outcome] = collections.deque()
        self.threads = [
            threading.Thread(target=self._run, args=(seed * 1_000 + number,))
            for number in range(callers)
        ]

    def start(self) -> None:
        """Start the balancer's readiness checks and all callers."""
        self.balancer.thread.start()
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Let the callers finish their requests, then stop the balancer."""
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
                self.outcomes.append(self._send_request(rng, vm))
            self.stopped.wait(rng.expovariate(1.0 / self.pause_s))

    def _send_request(self, rng: random.Random, vm: Vm) -> Outcome:
        submit = rng.random() < self.submit_fraction
        route = rng.choice(self.routes)
        key = ""
        headers = {"X-Caller": f"presenter-{rng.randrange(50)}"}
        if submit:
            key = f"{time.time_ns() // 1_000_000}-{rng.getrandbits(80):020x}"
            headers["Idempotency-Key"] = key
        path = f"/v1/{'submit' if submit else 'query'}/{route}"
        body = json.dumps({"place": rng.randrange(1_000)}).encode()
        sent_s = time.monotonic()
        status, value = _post(vm.host, path, body, headers)
        latency_ms = (time.monotonic() - sent_s) * 1000.0
        coverage = value.get("coverage")
        covered_fraction = 0.0
        if coverage:
            covered_fraction = (
                coverage["shards_answered"] / coverage["shards_total"]
            )
        return Outcome(
            at_s=sent_s,
            latency_ms=latency_ms,
            vm=vm.name,
            submit=submit,
            key=key,
            status=status,
            code=value.get("code", -1),
            run_state=value.get("run_state", ""),
            coverage=covered_fraction,
            violations=_violations(value) if status == 200 else (),
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
