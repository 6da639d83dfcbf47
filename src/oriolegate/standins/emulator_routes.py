"""HTTP routes of the emulator: the platform, and control of the leafs."""

import json
from typing import Any

from oriolegate.standins.platform_routes import PlatformRoutes
from oriolegate.standins.site_control import SiteControl


class EmulatorRoutes:
    """Adds the leafs' control endpoint to the platform's routes.

    Attributes:
        platform_routes: Handles all other calls.
        control: Faults and records of the leafs.
    """

    def __init__(
        self, platform_routes: PlatformRoutes, control: SiteControl
    ) -> None:
        self.platform_routes = platform_routes
        self.control = control

    def route(self, method: str, path: list[str], request: Any) -> Any:
        """Handle one call; return its JSON body or a deferred of it."""
        match method, path:
            case "POST", ["control", "leafs"]:
                command = json.loads(request.content.read())
                now_ms = self.platform_routes.platform.now_ms()
                return {"leafs": self.control.act_on_leafs(now_ms, command)}
            case "POST", ["control", "services"]:
                command = json.loads(request.content.read())
                return {"current": self.control.act_on_service(command)}
            case "GET", ["control", "records"]:
                return self.control.records(b"runs" in request.args)
        return self.platform_routes.route(method, path, request)
