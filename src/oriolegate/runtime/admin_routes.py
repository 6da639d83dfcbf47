"""Admin endpoints for operators and the balancer."""

from collections.abc import Mapping
from typing import Any

import attrs

from oriolegate import __version__
from oriolegate.clock import Clock
from oriolegate.metrics import MetricsRegistry
from oriolegate.metrics import render_text
from oriolegate.network.admin import AdminAnswer
from oriolegate.network.admin import AdminRequest
from oriolegate.network.admin import Route
from oriolegate.network.platform_client import PlatformClient
from oriolegate.runtime.process import ProcessParts
from oriolegate.runtime.rules_routes import RulesRoutes
from oriolegate.settings.serve import ServeSettings
from oriolegate.timeline import events_json

UNAVAILABLE_STATUS = 503


class AdminRoutes:
    """Handles requests to the admin endpoints of a process."""

    def __init__(
        self,
        settings: ServeSettings,
        clock: Clock,
        parts: ProcessParts,
        metrics: MetricsRegistry,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.parts = parts
        self.tier = parts.tier
        self.metrics = metrics
        self.events = parts.events
        self.rules = RulesRoutes(parts.rules)

    def open_routes(self) -> Mapping[tuple[str, str], Route]:
        """Return the routes that need no key."""
        return {
            ("GET", "/healthz"): self._health,
            ("GET", "/readyz"): self._ready,
        }

    def key_routes(self) -> Mapping[tuple[str, str], Route]:
        """Return the routes that need the admin key."""
        return {
            ("GET", "/status"): self._status,
            ("GET", "/metrics"): self._metrics,
            ("GET", "/events"): self._events,
            **self.rules.routes(),
        }

    def _health(self, _: AdminRequest) -> AdminAnswer:
        return AdminAnswer({"state": "live"})

    def _ready(self, _: AdminRequest) -> AdminAnswer:
        state = self.tier.flow.state
        if state.stopping or state.leaving:
            return AdminAnswer({"state": "stopping"}, UNAVAILABLE_STATUS)
        # Before a process has requested shares, it can only forward requests.
        # If all processes start at the same time, none could run a request yet.
        if not state.ready or not self.parts.shares.may_request_shares:
            return AdminAnswer({"state": "starting"}, UNAVAILABLE_STATUS)
        if state.isolated:
            return AdminAnswer({"state": "isolated"}, UNAVAILABLE_STATUS)
        return AdminAnswer({"state": "ready"})

    def _status(self, _: AdminRequest) -> AdminAnswer:
        tier = self.tier
        accepted = tier.accepted
        value: dict[str, Any] = {
            "vm": self.settings.vm,
            "version": __version__,
            "data_centre": self.settings.data_centre,
            "ready": tier.flow.state.ready,
            "leaving": tier.flow.state.leaving,
            "isolated": tier.flow.state.isolated,
            "rules_version": None if accepted is None else accepted.version,
            "members": {
                member.vm: member.state.name.lower()
                for member in self.parts.peers.membership.possible_members()
            },
            "links": sorted(self.parts.peers.mesh.linked_vms()),
            "peer_messages": attrs.asdict(self.parts.peers.mesh.counters),
            "platform_calls": self._platform_calls(),
            "forwarded": self.parts.forwards.forwarder.forwarded,
            "requests_active": len(tier.flow.active),
            "services": {
                name: self._service(name) for name in tier.table.topologies
            },
            "coordinator": attrs.asdict(tier.runner.coordinator.state.counters),
        }
        return AdminAnswer(value)

    def _platform_calls(self) -> dict[str, int]:
        platform = self.parts.peers.platform
        if isinstance(platform, PlatformClient):
            return dict(platform.counts)
        return {}

    def _service(self, name: str) -> dict[str, Any]:
        table = self.tier.table
        topology = table.topologies[name]
        phases: dict[str, int] = {}
        for leaf in topology.leafs:
            phase = table.leafs[leaf].phase.value
            phases[phase] = phases.get(phase, 0) + 1
        grant = table.grants.get(name)
        return {
            "generation": topology.generation,
            "index_version": topology.current,
            "leafs": phases,
            "homes": self.parts.shares.homes.get(name, []),
            "grant": None if grant is None else attrs.asdict(grant),
        }

    def _metrics(self, _: AdminRequest) -> AdminAnswer:
        return AdminAnswer(render_text(self.metrics.snapshot()))

    def _events(self, request: AdminRequest) -> AdminAnswer:
        wanted_id = request.arguments.get("request")
        rows = [
            events_json.to_plain(event)
            for event in self.events.events()
            if wanted_id is None or event.request_id == wanted_id
        ]
        return AdminAnswer(rows)
