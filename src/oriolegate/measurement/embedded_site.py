"""A site in one operating system process, for the demo and functional tests.

It consists of an emulated platform, emulated leafs and the parts of one
serving process. Everything listens on loopback.
"""

import random
import socket
from typing import Any

from oriolegate.clock import SystemClock
from oriolegate.network.platform_api import Platform
from oriolegate.rules.stored_rules import ACCEPTED
from oriolegate.rules.stored_rules import StoredRules
from oriolegate.runtime.composition import build_process
from oriolegate.runtime.process import Process
from oriolegate.runtime.process_dependencies import ProcessDependencies
from oriolegate.settings.serve import load_serve_settings
from oriolegate.settings.serve import ServeSettings
from oriolegate.standins.in_memory_platform import InMemoryPlatform
from oriolegate.standins.layout import Layout
from oriolegate.standins.platform_store import PlatformStore
from oriolegate.standins.site import Site
from oriolegate.standins.site_control import SiteControl

HOST = "127.0.0.1"
# Both the peer key and the admin key.
KEY = "key-of-the-embedded-site-0123456789"


def free_ports(count: int) -> list[int]:
    """Return TCP ports of loopback that are currently free."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for opened in sockets:
            opened.bind((HOST, 0))
        return [opened.getsockname()[1] for opened in sockets]
    finally:
        for opened in sockets:
            opened.close()


class EmbeddedSite:
    """Emulated platform and leafs, and one serving process, on one reactor.

    Attributes:
        store: Store of the emulated platform.
        site: Emulated leafs and their published topology.
        control: Injects faults into the leafs and reads their records.
        process: Serving process.
        caller_port: Port on which the process accepts callers' requests.
        admin_port: Port on which the process accepts admin requests.
    """

    def __init__(
        self, reactor: Any, layout: Layout, rules_text: str, seed: int
    ) -> None:
        self.reactor = reactor
        self.store = PlatformStore()
        self.site = Site(layout, self.store, first_port=0, seed=seed)
        self.control = SiteControl(self.site)
        self.leaf_ports = self.site.listen(reactor)
        self.put_rules(rules_text)
        platform = InMemoryPlatform(self.store, reactor)
        settings = self._settings(next(iter(layout.regions)))
        self.caller_port = settings.caller_port
        self.admin_port = settings.admin_port
        self.process = self._build(settings, platform, seed)

    def _settings(self, data_centre: str) -> ServeSettings:
        caller_port, admin_port, peer_port = free_ports(3)
        flags = {
            "vm": "vm-1",
            "data_centre": data_centre,
            "caller_port": caller_port,
            "admin_port": admin_port,
            "peer_port": peer_port,
            "platform_urls": ["http://127.0.0.1:1"],
        }
        environ = {
            "ORIOLEGATE_PEER_KEY": KEY,
            "ORIOLEGATE_ADMIN_KEY": KEY,
        }
        return load_serve_settings(flags, environ)

    def _build(
        self, settings: ServeSettings, platform: Platform, seed: int
    ) -> Process:
        dependencies = ProcessDependencies(
            self.reactor, SystemClock(), platform, random.Random(seed)
        )
        return build_process(settings, dependencies)

    def put_rules(self, text: str) -> int:
        """Write the next version of the rules to the store."""
        version = self.store.version_of(ACCEPTED.kind, ACCEPTED.name)
        stored = StoredRules(
            version + 1, text, "embedded site", f"edit-{version + 1}", version
        )
        return self.store.put(
            ACCEPTED.kind, ACCEPTED.name, stored.to_value(), version
        )

    def now_ms(self) -> float:
        """Return the time on the leafs' clock."""
        return float(self.reactor.seconds()) * 1000.0

    def wall_ms(self) -> int:
        """Return the wall-clock time of the serving process."""
        return self.process.dependencies.clock.wall_ms()

    def stop(self) -> None:
        """Close all ports and connections."""
        self.process.stop()
        for port in self.leaf_ports:
            port.stopListening()
