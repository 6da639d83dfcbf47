"""One gateway process: starts, supervises and stops its components."""

from collections.abc import Callable
import functools
import os
from typing import Any

from oriolegate import metrics as metrics_module
from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.connections.machine_share import ConnectionGroup
from oriolegate.exchange import planned_stop
from oriolegate.exchange.planned_stop import StopEffect
from oriolegate.following.view_age import ViewAgeMonitor
from oriolegate.membership.pause_detector import PauseDetector
from oriolegate.models.site import NodeSettings
from oriolegate.models.stored import Collection
from oriolegate.network import graceful_close
from oriolegate.network import view_wire
from oriolegate.network.caller_server import CallerFactory
from oriolegate.network.caller_server import InternalHttpFactory
from oriolegate.network.caller_server import Respond
from oriolegate.runtime.gateway_composition import GatewayParts

log = structured_log.get_logger("gateway")

MS_PER_S = 1_000.0
TICK_S = 0.25
# After a longer process pause the views need a new confirmation; shorter pauses
# come from a busy machine or an exhausted CPU quota.
MIN_PAUSE_MS = 900.0
# Delay of the first lists at the first start of all VMs, so that the member
# list is read once all VMs have written their entries; the VMs start within
# 0.3 s of each other.
FIRST_LISTS_DELAY_S = 0.5
# Maximum age of a confirmation for the member list to count as current.
MEMBERS_TRUSTED_MS = 8_000.0
# Age that is logged for a view that the store never confirmed.
MAX_LOGGED_AGE_MS = 1e9


class Gateway:
    """One gateway process.

    Attributes:
        settings: Settings of this VM.
        parts: The components of the gateway.
        caller_factory: Accepts the connections of callers.
        pause_detector: Detects pauses of this process.
        view_ages: Reports views that are older than a rule allows.
        on_exit: Called when the process should exit.
        last_pause_at_ms: When a process pause was last detected; views
            confirmed before the pause need a new confirmation.
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
        self.on_exit: Callable[[], None] = lambda: None
        self.caller_factory = CallerFactory(parts.connections, parts.runner)
        self.was_ready = False
        self.ports: list[Any] = []
        self.pause_detector = PauseDetector(MIN_PAUSE_MS)
        self.view_ages = ViewAgeMonitor(parts.followers, settings.bounds)
        self.last_pause_at_ms = float("-inf")
        parts.runner.on_arrival = self._on_arrival
        parts.store.on_call_ended = self._on_view_update
        parts.feed.on_update = self._on_view_update
        parts.connections.report = self._on_connections_refused
        self._add_gauges()

    def _add_gauges(self) -> None:
        registry = self.parts.metrics
        parts = self.parts
        registry.gauge(
            "oriolegate_store_calls", lambda: parts.store_client.calls_total
        )
        registry.gauge(
            "oriolegate_store_failures_while_answering",
            lambda: parts.store.failures_while_answering,
        )
        registry.gauge(
            "oriolegate_leaf_connections_opened",
            lambda: parts.leaf_client.opened_total,
        )
        registry.gauge("oriolegate_leafs", lambda: len(parts.directory.leafs))
        registry.gauge(
            "oriolegate_requests_open",
            lambda: (
                len(parts.runner.running) + len(parts.runner.handover.forwards)
            ),
        )
        registry.gauge(
            "oriolegate_slow_leafs",
            lambda: len(
                parts.directory.slow_leafs.current(self.clock.now_ms())
            ),
        )
        for collection in parts.followers:
            registry.gauge(
                "oriolegate_view_age_ms",
                functools.partial(self._view_age_ms, collection),
                collection=collection.name.lower(),
            )

    def _view_age_ms(self, collection: Collection) -> float:
        return self.view_ages.age_ms(self.clock.now_ms(), collection)

    @property
    def ready(self) -> bool:
        """Whether the balancer should send requests to this VM."""
        if self.parts.stop.is_stopping:
            return False
        if self.parts.contact_watch.is_isolated():
            return False
        return all(f.complete for f in self.parts.followers.values())

    def start(self) -> None:
        """Open the ports and start following the store."""
        settings = self.settings
        parts = self.parts
        listen = self.reactor.listenTCP
        host, port = settings.caller_address
        ready_host, ready_port = settings.ready_address
        self.ports = [
            listen(
                port,
                self.caller_factory,
                interface=host,
                backlog=graceful_close.LISTEN_BACKLOG,
            ),
            listen(
                ready_port,
                InternalHttpFactory(parts.connections, self._answer_ready),
                interface=ready_host,
            ),
            listen(
                settings.internal_ports[0],
                InternalHttpFactory(
                    parts.connections,
                    self._answer_internal,
                    parts.forward_server.handle,
                ),
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
            FIRST_LISTS_DELAY_S if settings.first_start else 0.0,
            self.parts.store.start,
        )
        self.parts.feed.start()
        self._tick()

    def _on_connections_refused(self, refused: dict[str, int]) -> None:
        budget = self.parts.connections.budget
        log.bind(
            **{group.value: budget.count(group) for group in ConnectionGroup},
            held_bytes=sum(budget.held_bytes(g) for g in ConnectionGroup),
            refused=refused,
        ).warning("connections refused; the process is at its limits")

    def _answer_ready(self, target: bytes, respond: Respond) -> None:
        if self.ready:
            respond(200, b"ready\n")
        else:
            respond(503, b"not ready\n")

    def _answer_internal(self, target: bytes, respond: Respond) -> None:
        if view_wire.is_updates_request(target):
            self.parts.views.handle(target, respond)
            return
        if view_wire.is_samples_request(target):
            self.parts.slow_runner.on_report(target, respond)
            return
        text = metrics_module.render_text(self.parts.metrics.snapshot())
        respond(200, text.encode())

    def _on_arrival(self) -> None:
        self._check_pause()
        self.parts.contact_watch.check_on_arrival()

    def _check_pause(self) -> None:
        """Require a new confirmation of all views after a process pause."""
        now_ms = self.clock.now_ms()
        pause_ms = self.pause_detector.observe(now_ms, self.clock.boot_ms())
        if pause_ms is not None:
            log.bind(pause_ms=round(pause_ms)).warning(
                "process was paused; confirming its views with the store"
            )
            self.last_pause_at_ms = now_ms
            self.parts.directory.on_process_paused(now_ms)
            self.parts.feed.confirm_with_store()

    def _on_view_update(self) -> None:
        """Use leafs again once the view is confirmed; notify waiting peers."""
        leafs = self.parts.followers[Collection.LEAFS]
        if leafs.confirmed_ms > self.last_pause_at_ms:
            self.parts.directory.on_store_confirmed()
        self.parts.views.on_view_changed()

    def _tick(self) -> None:
        # Before the rest, so that an unexpected error ends only this turn.
        self.reactor.callLater(TICK_S, self._tick)
        self._check_pause()
        now_ms = self.clock.now_ms()
        parts = self.parts
        is_view_current = parts.directory.is_view_current()
        for follower in parts.followers.values():
            if is_view_current:
                follower.remove_absent(now_ms)
            else:
                follower.postpone_removals(now_ms)
        self._report_view_ages(now_ms)
        for leaf_id in parts.directory.drop_expired(now_ms):
            parts.leaf_client.drop(leaf_id)
        members = parts.followers[Collection.MEMBERS]
        parts.directory.members_known = (
            members.complete
            and members.confirmed_ms > self.last_pause_at_ms
            and now_ms - members.confirmed_ms < MEMBERS_TRUSTED_MS
        )
        parts.contact_watch.check()
        if self.ready != self.was_ready:
            self.was_ready = self.ready
            log.bind(ready=self.ready).info("readiness changed")

    def _report_view_ages(self, now_ms: float) -> None:
        peer = self.parts.feed.peer
        for report in self.view_ages.check(now_ms):
            bound_log = log.bind(
                collection=report.collection.name,
                age_ms=round(min(report.age_ms, MAX_LOGGED_AGE_MS)),
                limit_ms=round(report.limit_ms),
                peer=peer.vm if peer else None,
            )
            if report.is_overdue:
                bound_log.warning(
                    "view of the store is older than allowed; still using it"
                )
            else:
                bound_log.info("view of the store is current again")

    def reload(self, settings: NodeSettings) -> None:
        """Apply changed settings, except for changed addresses."""
        if settings == self.settings:
            return
        bounds = settings.bounds
        self.settings = settings
        self.parts.directory.bounds = bounds
        self.parts.connections.set_limits(settings.limits)
        self.view_ages.set_bounds(bounds)
        for follower in self.parts.followers.values():
            follower.set_contact_ms(bounds.contact_ms)
        self.parts.directory.regions = settings.regions
        self.parts.budget.set_bounds(
            bounds.retry_ratio, bounds.retry_window_ms, bounds.retry_slack
        )
        log.info("settings reloaded")

    def plan_stop(self) -> None:
        """Begin the planned stop; further calls have no effect."""
        grace_ms = self.settings.bounds.grace_ms
        effects = self.parts.stop.begin(self.clock.now_ms(), grace_ms)
        if not effects:
            return
        self._carry_out_stop(effects)
        log.bind(open=len(self.parts.runner.running)).info("stopping")
        self.parts.members.leave()
        self.parts.views.on_view_changed()

    def _continue_stop(self) -> None:
        open_connections = len(self.parts.connections.channels)
        self._carry_out_stop(
            self.parts.stop.step(self.clock.now_ms(), open_connections)
        )

    def _carry_out_stop(self, effects: list[StopEffect]) -> None:
        # Before the rest, so that an unexpected error doesn't end the stop.
        for effect in effects:
            if isinstance(effect, planned_stop.WakeAt):
                delay_ms = max(0.0, effect.at_ms - self.clock.now_ms())
                self.reactor.callLater(delay_ms / MS_PER_S, self._continue_stop)
        for effect in effects:
            match effect:
                case planned_stop.CloseIdle():
                    self.parts.connections.close_idle()
                case planned_stop.ClosePorts():
                    self._close_ports()
                case planned_stop.AnswerOpen():
                    self._answer_open()
                case planned_stop.Exit():
                    self._exit()

    def _close_ports(self) -> None:
        """Stop listening, so that new callers connect to other VMs."""
        for port in self.ports:
            graceful_close.close_port(port)
        log.bind(
            open=len(self.parts.runner.running),
            connections=len(self.parts.connections.channels),
            after_ms=self._stopping_for_ms(),
        ).info("ports closed; finishing open requests")

    def _answer_open(self) -> None:
        # An error answer is better for a caller than a closed connection.
        self.parts.runner.answer_all()
        self.parts.connections.refuse_incomplete(ConnectionGroup.CALLERS)

    def _exit(self) -> None:
        log.bind(
            connections=len(self.parts.connections.channels),
            after_ms=self._stopping_for_ms(),
        ).info("stopped; exiting")
        self.parts.feed.stop()
        self.parts.store.pause()
        self.on_exit()

    def _stopping_for_ms(self) -> int:
        return round(self.clock.now_ms() - self.parts.stop.started_ms)
