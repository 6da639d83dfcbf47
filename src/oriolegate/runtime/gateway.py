"""One gateway process: starts its parts, watches over them, stops them."""

from collections.abc import Callable
import os
from typing import Any

from oriolegate import metrics as metrics_module
from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.membership.pause_detector import PauseDetector
from oriolegate.models.site import NodeSettings
from oriolegate.models.stored import Collection
from oriolegate.network import view_wire
from oriolegate.network.caller_front import CallerFactory
from oriolegate.network.caller_front import PlainFactory
from oriolegate.network.caller_front import Respond
from oriolegate.runtime.gateway_composition import GatewayParts

log = structured_log.get_logger("gateway")

MS_PER_S = 1_000.0
TICK_S = 0.25
# Views are doubted after a longer gap; shorter ones come from a busy machine
# or a used-up quota of processor time.
LEAST_PAUSE_MS = 900.0
# At the first start of all VMs the member list is read once all have written
# their entries; they start within 0.3 s of each other.
FIRST_LISTS_S = 0.5
# Callers of a VM that failed all connect anew at the same moment.
BACKLOG = 512
# Without word from the store for this long, the member list is not relied on.
MEMBERS_TRUSTED_MS = 8_000.0
# How long callers are still served after SIGTERM before idle connections are
# closed: the balancer takes two checks, a second apart, to stop sending.
NOTICE_PART = 0.45
# Part of the grace time after which no new connection is taken; what is left
# is for the requests that have begun.
ACCEPT_PART = 0.7
# Part of the grace time after which a stopping process ends in any case.
LAST_PART = 0.92
# Time in which the last answers leave the process.
FLUSH_S = 0.05


class Gateway:
    """One gateway process.

    Attributes:
        settings: Of this VM.
        parts: Its running parts.
        stopping_since_ms: When SIGTERM came, or None.
        on_exit: Called once nothing is left to do.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        settings: NodeSettings,
        parts: GatewayParts,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.settings = settings
        self.parts = parts
        self.stopping_since_ms: float | None = None
        self.on_exit: Callable[[], None] = lambda: None
        self.front = CallerFactory(parts.runner)
        self.was_ready = False
        self.ports: list[Any] = []
        self.accepting = True
        self.pauses = PauseDetector(LEAST_PAUSE_MS)
        self.doubted_at_ms = float("-inf")
        parts.runner.on_arrival = self._check_pause
        parts.store.on_step = self._heard
        parts.feed.on_step = self._heard
        self.ended = False
        self._add_gauges()

    def _add_gauges(self) -> None:
        registry = self.parts.metrics
        parts = self.parts
        registry.gauge(
            "oriolegate_store_calls", lambda: parts.store_client.calls_total
        )
        registry.gauge(
            "oriolegate_leaf_connections_opened",
            lambda: parts.leaf_client.opened_total,
        )
        registry.gauge("oriolegate_leafs", lambda: len(parts.directory.leafs))
        registry.gauge(
            "oriolegate_requests_open", lambda: len(parts.runner.running)
        )

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return self.stopping_since_ms is None and all(
            follower.complete for follower in self.parts.followers.values()
        )

    def start(self) -> None:
        """Listen and follow the store."""
        settings = self.settings
        listen = self.reactor.listenTCP
        host, port = settings.caller_address
        ready_host, ready_port = settings.ready_address
        self.ports = [
            listen(port, self.front, interface=host, backlog=BACKLOG),
            listen(
                ready_port,
                PlainFactory(self._answer_ready),
                interface=ready_host,
            ),
            listen(
                settings.internal_ports[0],
                PlainFactory(self._answer_inside),
                interface=settings.host,
            ),
        ]
        log.bind(
            vm=settings.vm,
            data_centre=settings.data_centre,
            region=settings.region,
            pid=os.getpid(),
        ).info("started")
        self.parts.members.start()
        self.reactor.callLater(
            FIRST_LISTS_S if settings.first_start else 0.0,
            self.parts.store.start,
        )
        self.parts.feed.start()
        self._tick()

    def _answer_ready(self, target: bytes, respond: Respond) -> None:
        if self.ready:
            respond(200, b"ready\n")
        else:
            respond(503, b"not ready\n")

    def _answer_inside(self, target: bytes, respond: Respond) -> None:
        if target.startswith(view_wire.PATH):
            self.parts.views.handle(target, respond)
            return
        text = metrics_module.render_text(self.parts.metrics.snapshot())
        respond(200, text.encode())

    def _check_pause(self) -> None:
        """Rely on nothing known before the process stood still."""
        now_ms = self.clock.now_ms()
        pause_ms = self.pauses.observe(now_ms, self.clock.boot_ms())
        if pause_ms is not None:
            log.bind(pause_ms=round(pause_ms)).warning("stood still")
            self.doubted_at_ms = now_ms
            self.parts.directory.on_process_paused(now_ms)
            self.parts.feed.confirm_soon()

    def _heard(self) -> None:
        """Take that the store or a peer answered."""
        leafs = self.parts.followers[Collection.LEAFS]
        if leafs.confirmed_ms > self.doubted_at_ms:
            self.parts.directory.on_store_confirmed()
        self.parts.views.changed()

    def _tick(self) -> None:
        self._check_pause()
        now_ms = self.clock.now_ms()
        parts = self.parts
        for leaf_id in parts.directory.drop_expired(now_ms):
            parts.leaf_client.drop(leaf_id)
        heard_ms = self._store_heard_ms()
        parts.directory.members_known = (
            parts.followers[Collection.MEMBERS].complete
            and heard_ms > self.doubted_at_ms
            and now_ms - heard_ms < MEMBERS_TRUSTED_MS
        )
        if self.ready != self.was_ready:
            self.was_ready = self.ready
            log.bind(ready=self.ready).info("readiness changed")
        if self.stopping_since_ms is not None:
            self._continue_stop(now_ms - self.stopping_since_ms)
        self.reactor.callLater(TICK_S, self._tick)

    def _store_heard_ms(self) -> float:
        """Return when the store last answered any follower."""
        followers = self.parts.followers.values()
        return max(follower.confirmed_ms for follower in followers)

    def reload(self, settings: NodeSettings) -> None:
        """Take changed settings; addresses stay as they are."""
        if settings == self.settings:
            return
        bounds = settings.bounds
        self.settings = settings
        self.parts.directory.bounds = bounds
        self.parts.directory.regions = settings.regions
        self.parts.budget.set_bounds(
            bounds.retry_ratio, bounds.retry_window_ms, bounds.retry_slack
        )
        log.info("settings reloaded")

    def plan_stop(self) -> None:
        """Begin the planned stop; a second call changes nothing."""
        if self.stopping_since_ms is not None:
            return
        self.stopping_since_ms = self.clock.now_ms()
        self.parts.runner.leaving = True
        self.parts.members.leave()
        self.parts.views.changed()
        log.bind(open=len(self.parts.runner.running)).info("stopping")

    def _continue_stop(self, since_ms: float) -> None:
        grace_ms = self.settings.bounds.grace_ms
        if since_ms < NOTICE_PART * grace_ms:
            return
        if since_ms >= ACCEPT_PART * grace_ms:
            self._stop_accepting()
        connections = self.front.close_idle()
        if not connections or since_ms >= LAST_PART * grace_ms:
            self._end(since_ms, connections)

    def _stop_accepting(self) -> None:
        """Refuse new connections: their callers are served elsewhere."""
        if self.accepting:
            self.accepting = False
            self.ports[0].stopListening()

    def _end(self, since_ms: float, connections: int) -> None:
        if self.ended:
            return
        self.ended = True
        self._stop_accepting()
        log.bind(
            open=len(self.parts.runner.running),
            connections=connections,
            after_ms=round(since_ms),
        ).info("stopped")
        # A caller that hears of a failure loses less than one that is cut.
        self.parts.runner.answer_all()
        self.parts.feed.stop()
        self.parts.store.pause()
        # What was answered just now is still to be written.
        self.reactor.callLater(FLUSH_S, self.on_exit)
