"""Open-loop load generator in virtual time, and the figures of a run."""

from collections.abc import Callable
import random
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

from oriolegate.measurement.outcome_checker import Outcome
from oriolegate.measurement.outcome_checker import OutcomeChecker
from oriolegate.measurement.outcome_checker import SentRequest
from oriolegate.measurement.scenario_sides import ROUTE
from oriolegate.measurement.virtual_site import VirtualSite
from oriolegate.measurement.virtual_time import MS_PER_S
from oriolegate.measurement.virtual_vm import VirtualVm
from oriolegate.models.answer import Answer
from oriolegate.models.answer import Refusal
from oriolegate.models.request import CallerRequest
from oriolegate.result_codes import RunState

US_PER_MS = 1_000.0
HIGHEST_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
KEY_RANDOM_DIGITS = 20
# A caller that is refused within this time can still resend to another VM.
EARLY_REFUSAL_MS = 50.0


@attrs.frozen
class Load:
    """Load that the load generator sends.

    Attributes:
        rate_per_s: Mean requests per second, with Poisson arrivals.
        keyed_ratio: Fraction of requests that are not idempotent and have an
            idempotency key, 0 to 1.
        sends: How often each keyed request is sent, at the same time and to
            VMs in turn.
    """

    rate_per_s: float
    keyed_ratio: float = 0.0
    sends: int = 1


class OpenLoop:
    """Sends requests at random times, independently of earlier outcomes.

    Attributes:
        sent: All requests sent.
        keys: Idempotency keys of the keyed requests, by request id.
        vm_turn: Counter that chooses the VM of each request.
        measure_from_ms: Start of the measured time.
        end_ms: End of the load.
    """

    def __init__(self, site: VirtualSite, load: Load, seed: int) -> None:
        self.site = site
        self.load = load
        self.rng = random.Random(seed)
        self.sent: list[SentRequest] = []
        self.keys: dict[str, str] = {}
        self.vm_turn = 0
        self.measure_from_ms = 0.0
        self.end_ms = 0.0

    def start(self, measure_from_ms: float, end_ms: float) -> None:
        """Start to send requests.

        Args:
            measure_from_ms: Requests sent earlier are not measured.
            end_ms: No request is sent later.
        """
        self.measure_from_ms = measure_from_ms
        self.end_ms = end_ms
        self._schedule_next()

    def _schedule_next(self) -> None:
        interval_s = self.rng.expovariate(self.load.rate_per_s)
        reactor = self.site.reactor
        if reactor.now_ms() + interval_s * MS_PER_S < self.end_ms:
            reactor.callLater(interval_s, self._send_next)

    def _send_next(self) -> None:
        self._schedule_next()
        if self.rng.random() >= self.load.keyed_ratio:
            self._send(self._next_vm(), None)
            return
        digits = f"{self.rng.getrandbits(64):0{KEY_RANDOM_DIGITS}d}"
        key = f"{self.site.reactor.wall_ms()}-{digits}"
        for _ in range(self.load.sends):
            self._send(self._next_vm(), key)

    def _next_vm(self) -> VirtualVm:
        vms = [vm for vm in self.site.vms if not vm.timers.dead]
        self.vm_turn += 1
        return vms[self.vm_turn % len(vms)]

    def _send(self, vm: VirtualVm, key: str | None) -> None:
        now_ms = self.site.reactor.now_ms()
        sent = SentRequest(
            f"r{len(self.sent)}", now_ms, now_ms >= self.measure_from_ms
        )
        self.sent.append(sent)
        if key is not None:
            self.keys[sent.request_id] = key
        request = CallerRequest(
            request_id=sent.request_id,
            caller="load",
            route=ROUTE,
            body=sent.request_id.encode(),
            idempotent=key is None,
            idempotency_key=key,
        )

        def on_outcome(outcome: Outcome) -> None:
            sent.outcome = outcome
            sent.done_ms = self.site.reactor.now_ms()

        vm.timers.callLater(
            0.0, lambda: vm.flow.handle(request).addCallback(on_outcome)
        )


def new_histogram() -> Any:
    """Return an empty histogram of times in microseconds."""
    return HdrHistogram(1, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)


def quantile_ms(histogram: Any, quantile: float) -> float:
    """Return a quantile of a histogram of times in microseconds."""
    value_us = histogram.get_value_at_percentile(quantile * 100.0)
    return round(value_us / US_PER_MS, 3)


def _counts_for_latency(sent: SentRequest) -> bool:
    """Return whether a request counts for latency and coverage.

    After an early refusal as "not run" the caller has time to resend to another
    VM, so that refusal only reduces goodput. A late refusal is as bad as no
    answer.
    """
    match sent.outcome:
        case None:
            return False
        case Refusal(run_state=RunState.NOT_RUN):
            return sent.done_ms - sent.sent_ms > EARLY_REFUSAL_MS
        case _:
            return True


def _answered_by_other_send(loop: OpenLoop) -> set[str]:
    """Return ids of unanswered sends whose key was answered on another send."""
    answered = {
        loop.keys[sent.request_id]
        for sent in loop.sent
        if sent.request_id in loop.keys and isinstance(sent.outcome, Answer)
    }
    return {
        sent.request_id
        for sent in loop.sent
        if loop.keys.get(sent.request_id) in answered
        and not isinstance(sent.outcome, Answer)
    }


def compute_figures(
    checker: OutcomeChecker,
    loop: OpenLoop,
    new_work_after_ms: float | None,
    on_request: Callable[[SentRequest, float], None] | None = None,
) -> dict[str, Any]:
    """Check all requests of a run and compute its figures.

    Args:
        checker: Checks the outcomes.
        loop: Load generator that sent the requests.
        new_work_after_ms: Time from a drain or take-out of an upstream to the
            last sub-request that its leafs still received; None if not
            measured.
        on_request: Called with each measured request and its coverage.
    """
    latencies = new_histogram()
    coverages = []
    complete_answers = 0
    answered_by_other_send = _answered_by_other_send(loop)
    for sent in loop.sent:
        coverage = checker.check(sent, sent.request_id in loop.keys)
        if not sent.measured or sent.request_id in answered_by_other_send:
            continue
        if on_request is not None:
            on_request(sent, coverage)
        if _counts_for_latency(sent):
            latency_us = (sent.done_ms - sent.sent_ms) * US_PER_MS
            latencies.record_value(max(1, int(latency_us)))
            coverages.append(coverage)
            complete_answers += (
                isinstance(sent.outcome, Answer) and coverage == 1.0
            )
    for leaf in loop.site.leaf_site.leafs.values():
        checker.add_leaf(leaf.model.counts)
    checker.add_doubled_runs()
    seconds = (loop.end_ms - loop.measure_from_ms) / MS_PER_S
    ledger = checker.ledger
    return {
        "queries": sum(sent.measured for sent in loop.sent),
        "p50_ms": quantile_ms(latencies, 0.5),
        "p99_ms": quantile_ms(latencies, 0.99),
        "p999_ms": quantile_ms(latencies, 0.999),
        "coverage": round(sum(coverages) / max(1, len(coverages)), 6),
        "extra_load": round(
            ledger.sub_requests / max(1, ledger.first_sub_requests) - 1.0, 6
        ),
        "goodput_per_s": round(complete_answers / seconds, 3),
        "new_work_after_s": None
        if new_work_after_ms is None
        else round(new_work_after_ms / MS_PER_S, 4),
        "violations": attrs.asdict(checker.violations),
    }
