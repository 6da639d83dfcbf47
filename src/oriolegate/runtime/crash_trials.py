"""Claims trials of requests that all VMs refuse, before one is sent.

A trial is claimed in the store, so that all VMs together make few. Before the
claim a health check finds a leaf that may run the request: a trial at a leaf
that is down would show nothing.
"""

from collections.abc import Callable
from collections.abc import Hashable
from typing import Any

import attrs

from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.crashes.crash_ledger import Suspicion
from oriolegate.exchange.messages import CallerCall
from oriolegate.metrics import MetricsRegistry
from oriolegate.models.site import CrashTrial
from oriolegate.models.site import Route
from oriolegate.models.stored import Collection
from oriolegate.network.http_reader import HttpResponse
from oriolegate.network.store_client import StoreClient
from oriolegate.placement.leaf_directory import LeafCriteria
from oriolegate.placement.leaf_directory import LeafDirectory
from oriolegate.platform import crash_entry
from oriolegate.platform import store_calls
from oriolegate.runtime.crash_reporter import CrashReporter
from oriolegate.runtime.leaf_checker import LeafChecker

log = structured_log.get_logger("crashes")

MS_PER_S = 1_000.0
# How long a request waits for the check and the claim: a few round trips to
# another region.
CLAIM_TIMEOUT_MS = 400.0
# How long a trial may be used that was claimed too late for its request.
UNUSED_MS = 10_000.0
CLAIMED_STATUSES = (200, 201)
STATUS_CONFLICT = 409


@attrs.define(eq=False)
class OpenClaim:
    """A request that waits for the claim of its trial.

    Attributes:
        call: The request.
        suspicion: What the crash reports say about it.
        done: Called with whether the trial may be made.
        timer: Timeout of the claim.
    """

    call: CallerCall
    suspicion: Suspicion
    done: Callable[[bool], None]
    timer: Any = None


class CrashTrials:
    """Claims trials, one at a time for each refused request.

    Attributes:
        open: Claims in progress, by request.
        claiming: Fingerprints of the requests that a claim is in progress for.
        unused: Until when a trial may be used that was claimed here too late
            for its request, by fingerprint.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        client: StoreClient,
        vm: str,
        directory: LeafDirectory,
        checker: LeafChecker,
        reporter: CrashReporter,
        metrics: MetricsRegistry,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.client = client
        self.vm = vm
        self.directory = directory
        self.checker = checker
        self.reporter = reporter
        self.metrics = metrics
        self.open: dict[Hashable, OpenClaim] = {}
        self.claiming: set[int] = set()
        self.unused: dict[int, float] = {}

    def claim(
        self,
        request: Hashable,
        call: CallerCall,
        suspicion: Suspicion,
        route: Route,
        services: tuple[str, ...],
        done: Callable[[bool], None],
    ) -> bool:
        """Claim the trial of a refused request that is due.

        Args:
            request: Identifies the request in `cancel`.
            call: Content of the request.
            suspicion: What the crash reports say about it.
            route: Its route.
            services: Services that its parts need.
            done: Called with whether the trial may be made now; not called
                after a cancel.

        Returns:
            Whether a claim is in progress; if not, the request is refused.
        """
        fingerprint = suspicion.fingerprint
        is_due = suspicion.trial_number is not None
        if fingerprint in self.claiming or not (
            is_due or self._has_unused(fingerprint)
        ):
            return False
        # The first part alone is sent before the request has succeeded once.
        record = self.directory.choose_warm(
            self.clock.now_ms(),
            LeafCriteria(services[0], (), route.home_regions, route.target_ms),
        )
        if record is None:
            return False
        claim = OpenClaim(call, suspicion, done)
        claim.timer = self.reactor.callLater(
            CLAIM_TIMEOUT_MS / MS_PER_S, self._end, request, claim, False
        )
        self.open[request] = claim
        self.claiming.add(fingerprint)

        def on_checked(is_healthy: bool) -> None:
            if not is_healthy or self.open.get(request) is not claim:
                self.claiming.discard(fingerprint)
                self._end(request, claim, False)
            elif self._has_unused(fingerprint):
                self.claiming.discard(fingerprint)
                self._use(request, claim)
            else:
                self._create(request, claim)

        self.checker.check_before_trial(record, on_checked)
        return True

    def _has_unused(self, fingerprint: int) -> bool:
        """Return whether a trial that was claimed here may still be used."""
        now_ms = self.clock.now_ms()
        for known, until_ms in list(self.unused.items()):
            if now_ms >= until_ms:
                del self.unused[known]
        return fingerprint in self.unused

    def _create(self, request: Hashable, claim: OpenClaim) -> None:
        """Create the entry of a trial; the store accepts one of each number."""
        suspicion = claim.suspicion
        assert suspicion.trial_number is not None
        fingerprint = suspicion.fingerprint
        name = f"{fingerprint:016x}-trial-{suspicion.trial_number}"
        trial = CrashTrial(
            fingerprint=fingerprint,
            number=suspicion.trial_number,
            attempt_id=claim.call.attempt_id,
            vm=self.vm,
            wall_ms=self.clock.wall_ms(),
        )

        def on_outcome(outcome: HttpResponse | str) -> None:
            self.claiming.discard(fingerprint)
            status = outcome.status if isinstance(outcome, HttpResponse) else 0
            is_claimed = status in CLAIMED_STATUSES
            if is_claimed or status == STATUS_CONFLICT:
                self.reporter.on_entry(name, trial)
            self._count("trial claimed" if is_claimed else "trial not claimed")
            log.bind(
                id=claim.call.attempt_id,
                name=name,
                outcome=status or outcome,
            ).info("claimed the trial of a refused request")
            if not is_claimed:
                self._end(request, claim, False)
                return
            self.unused[fingerprint] = self.clock.now_ms() + UNUSED_MS
            if self.open.get(request) is claim:
                self._use(request, claim)

        self.client.call(
            store_calls.create_call(
                Collection.CRASHES, name, crash_entry.encode(trial)
            ),
            CLAIM_TIMEOUT_MS,
            on_outcome,
        )

    def _use(self, request: Hashable, claim: OpenClaim) -> None:
        del self.unused[claim.suspicion.fingerprint]
        self._end(request, claim, True)

    def _end(self, request: Hashable, claim: OpenClaim, may_try: bool) -> None:
        if self.open.get(request) is claim:
            del self.open[request]
            if claim.timer.active():
                claim.timer.cancel()
            claim.done(may_try)

    def _count(self, event: str) -> None:
        self.metrics.counter(
            "oriolegate_crash_reports_total", event=event
        ).add()

    def cancel(self, request: Hashable) -> None:
        """Stop waiting for a claim whose caller has disconnected."""
        claim = self.open.pop(request, None)
        if claim is not None:
            claim.timer.cancel()

    def end_all(self) -> None:
        """End all claims, as the process ends."""
        for request, claim in list(self.open.items()):
            self._end(request, claim, False)
