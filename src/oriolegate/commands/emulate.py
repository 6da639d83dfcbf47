"""`oriolegate emulate`: emulate the platform and upstreams.

One process runs the platform and every leaf of a layout, by default on
loopback.
"""

import argparse
import os
from typing import Any

from twisted.internet import error

from oriolegate import system_reactor
from oriolegate.cli.status_codes import ExitStatus
from oriolegate.exceptions import SettingsError
from oriolegate.standins import api_resource
from oriolegate.standins import layout as layouts
from oriolegate.standins.emulator_routes import EmulatorRoutes
from oriolegate.standins.in_memory_platform import InMemoryPlatform
from oriolegate.standins.named_layouts import NAMED_LAYOUTS
from oriolegate.standins.platform_routes import PlatformRoutes
from oriolegate.standins.platform_store import PlatformStore
from oriolegate.standins.site import Site
from oriolegate.standins.site_control import SiteControl

VARIABLE_PREFIX = "ORIOLEGATE_EMULATE_"


def _add_option(
    parser: argparse.ArgumentParser, flag: str, default: str, purpose: str
) -> None:
    variable = VARIABLE_PREFIX + flag.strip("-").replace("-", "_").upper()
    parser.add_argument(
        flag,
        default=os.environ.get(variable, default),
        help=f"{purpose} (default: {default}; environment: {variable})",
    )


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
    _add_option(
        parser,
        "--layout",
        "anga-pamoja",
        f"one of {', '.join(NAMED_LAYOUTS)}, or a layout file",
    )
    _add_option(parser, "--host", "127.0.0.1", "IP address to listen on")
    _add_option(
        parser,
        "--platform-port",
        "7400",
        "port of the platform's and the control API, 0 for a free one",
    )
    _add_option(
        parser,
        "--first-leaf-port",
        "7500",
        "port of the first leaf, 0 for free ones",
    )
    _add_option(parser, "--seed", "1", "seed of the leafs' service times")


def _parse_number(arguments: argparse.Namespace, name: str) -> int:
    text = getattr(arguments, name)
    try:
        return int(text)
    except ValueError as cause:
        flag = "--" + name.replace("_", "-")
        raise SettingsError(f"set {flag} to a number, not {text!r}") from cause


def build(
    arguments: argparse.Namespace, reactor: Any
) -> tuple[Site, EmulatorRoutes]:
    """Build the emulated site and its HTTP routes from the options.

    Raises:
        SettingsError: If an option is invalid.
    """
    layout = NAMED_LAYOUTS.get(arguments.layout)
    if layout is None:
        layout = layouts.read_layout_file(arguments.layout)
    store = PlatformStore()
    site = Site(
        layout=layout,
        store=store,
        first_port=_parse_number(arguments, "first_leaf_port"),
        seed=_parse_number(arguments, "seed"),
        host=arguments.host,
    )
    platform = InMemoryPlatform(store, reactor)
    routes = EmulatorRoutes(PlatformRoutes(platform), SiteControl(site))
    return site, routes


def listen(
    arguments: argparse.Namespace,
    site: Site,
    routes: EmulatorRoutes,
    reactor: Any,
) -> list[Any]:
    """Listen on the ports of the platform and all leafs.

    Returns:
        The listening ports, the platform's first.

    Raises:
        SettingsError: If a port is in use.
    """
    try:
        port = reactor.listenTCP(
            _parse_number(arguments, "platform_port"),
            api_resource.build_site(routes.route),
            interface=arguments.host,
        )
        return [port, *site.listen(reactor)]
    except error.CannotListenError as in_use:
        raise SettingsError(f"choose other ports: {in_use}") from in_use


def run(arguments: argparse.Namespace) -> int:
    """Run until the process gets a signal to stop; return the exit status."""
    reactor = system_reactor.get_reactor()
    site, routes = build(arguments, reactor)
    port = listen(arguments, site, routes, reactor)[0].getHost().port
    print(
        f"emulate: ready, {site.layout.name}, {len(site.leafs)} leafs, "
        f"platform http://{arguments.host}:{port}",
        flush=True,
    )
    reactor.run()
    return ExitStatus.SUCCESS
