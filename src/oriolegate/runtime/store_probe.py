"""Probes whether the store answers this VM.

An open watch doesn't show that the path to the store is cut off until its wait
is over, and other VMs may follow this one all the while. A probe is a read of
one object that may be stale, which costs a tenth of other calls.
"""

from collections.abc import Callable
from typing import Any

from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.network.http_client import CancelCall
from oriolegate.network.http_reader import HttpResponse
from oriolegate.network.store_client import StoreClient
from oriolegate.platform import store_calls

log = structured_log.get_logger("store")

MS_PER_S = 1_000.0
# A VM that follows another must have a change in force 4 s after the store has
# acknowledged it. An interval, a timeout and the wait for a next source fit in,
# also if that source loses the store at the same time.
PROBE_INTERVAL_MS = 500.0
# Longer than a slow store takes to answer, or a large answer occupies a link.
PROBE_TIMEOUT_MS = 900.0


class StoreProbe:
    """Reads an object from the store again and again.

    Attributes:
        vm: Name of this VM, whose entry is read; it may be missing.
        has_answered: Whether the store answered since `start`.
        failures: Number of failed probes since the last answer.
        answered_ms: When the last answer arrived.
        on_answered: Called after each answer, with the failures before it.
        on_failed: Called after each failed probe.
    """

    def __init__(
        self, reactor: Any, clock: Clock, client: StoreClient, vm: str
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.client = client
        self.vm = vm
        self.has_answered = False
        self.failures = 0
        self.answered_ms = float("-inf")
        self.on_answered: Callable[[int], None] = lambda failures: None
        self.on_failed: Callable[[], None] = lambda: None
        self.timer: Any = None
        self.cancel_call: CancelCall | None = None

    def start(self) -> None:
        """Probe the store now, and regularly until `stop`."""
        self.stop()
        self.has_answered = False
        self.failures = 0
        self._probe()

    def stop(self) -> None:
        """End probing."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        if self.cancel_call is not None:
            self.cancel_call()
        self.cancel_call = None

    def _probe(self) -> None:
        self.cancel_call = self.client.call(
            store_calls.probe_call(self.vm), PROBE_TIMEOUT_MS, self._on_outcome
        )

    def _on_outcome(self, outcome: HttpResponse | str) -> None:
        self.cancel_call = None
        self.timer = self.reactor.callLater(
            PROBE_INTERVAL_MS / MS_PER_S, self._probe
        )
        if (
            isinstance(outcome, HttpResponse)
            and outcome.status in store_calls.PROBE_STATUSES
        ):
            self._record_answer()
        else:
            self._record_failure(outcome)

    def _record_answer(self) -> None:
        failures = self.failures
        self.failures = 0
        self.answered_ms = self.clock.now_ms()
        self.has_answered = True
        if failures:
            log.bind(failures=failures).info("store answers probes again")
        self.on_answered(failures)

    def _record_failure(self, outcome: HttpResponse | str) -> None:
        self.failures += 1
        if self.failures == 1:
            reason = outcome
            if isinstance(outcome, HttpResponse):
                reason = f"status {outcome.status}"
            log.bind(reason=reason).warning(
                "store does not answer a probe; peers are sent elsewhere"
            )
            # After one lost answer, peers need not look for another source.
            self.timer.reset(0.0)
        self.on_failed()
