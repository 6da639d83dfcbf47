"""`oriolegate emulate`: run stand-ins of the platform and of upstreams.

One process holds the platform and every leaf of a layout, on loopback.
"""

import argparse
import os
from typing import Any

from twisted.internet import error
from twisted.internet import reactor as default_reactor

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
    _add_option(parser, "--host", "127.0.0.1", "IP number to listen on")
    _add_option(
        parser, "--platform-port", "7400", "port of platform and control"
    )
    _add_option(parser, "--first-leaf-port", "7500", "port of the first leaf")
    _add_option(parser, "--seed", "1", "seed of the leafs' service times")


def _number(arguments: argparse.Namespace, name: str) -> int:
    text = getattr(arguments, name)
    try:
        return int(text)
    except ValueError as cause:
        flag = "--" + name.replace("_", "-")
        raise SettingsError(f"give {flag} a number, not {text!r}") from cause


def build(
    arguments: argparse.Namespace, reactor: Any
) -> tuple[Site, EmulatorRoutes]:
    """Build the site and the routes that the options ask for.

    Raises:
        SettingsError: An option is out of range.
    """
    layout = NAMED_LAYOUTS.get(arguments.layout)
    if layout is None:
        layout = layouts.read_layout_file(arguments.layout)
    store = PlatformStore()
    site = Site(
        layout=layout,
        store=store,
        first_port=_number(arguments, "first_leaf_port"),
        seed=_number(arguments, "seed"),
        host=arguments.host,
    )
    platform = InMemoryPlatform(store, reactor)
    routes = EmulatorRoutes(PlatformRoutes(platform), SiteControl(site))
    return site, routes


def run(arguments: argparse.Namespace) -> int:
    """Run until the process is told to stop.

    Returns:
        The exit status.
    """
    reactor: Any = default_reactor
    site, routes = build(arguments, reactor)
    platform_port = _number(arguments, "platform_port")
    try:
        reactor.listenTCP(
            platform_port,
            api_resource.build_site(routes.route),
            interface=arguments.host,
        )
        site.listen(reactor)
    except error.CannotListenError as taken:
        raise SettingsError(f"choose other ports: {taken}") from taken
    print(
        f"emulate: ready, {site.layout.name}, {len(site.leafs)} leafs, "
        f"platform http://{arguments.host}:{platform_port}",
        flush=True,
    )
    reactor.run()
    return ExitStatus.SUCCESS
