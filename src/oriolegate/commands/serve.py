"""`oriolegate serve`: run one process of the tier."""

import argparse
import os
import random
import signal

from twisted.internet import error

from oriolegate import logging_setup
from oriolegate import system_reactor
from oriolegate.cli import options
from oriolegate.clock import SystemClock
from oriolegate.exceptions import SettingsError
from oriolegate.network.platform_client import PlatformClient
from oriolegate.network.platform_client import PlatformClientSettings
from oriolegate.runtime.composition import build_process
from oriolegate.runtime.process_dependencies import ProcessDependencies
from oriolegate.settings.serve import load_serve_settings
from oriolegate.settings.serve import SERVE_SETTINGS

log = logging_setup.get_logger("main")


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the flags of the settings."""
    options.add_settings(parser, SERVE_SETTINGS)


def run(arguments: argparse.Namespace) -> int:
    """Serve until the process gets a signal to stop; return the exit status."""
    settings = load_serve_settings(vars(arguments), os.environ)
    logging_setup.setup_logging(settings.log_format, settings.verbose)
    logging_setup.forward_twisted_logs()
    reactor = system_reactor.get_reactor()
    platform = PlatformClient(
        reactor, PlatformClientSettings(settings.platform_urls[0])
    )
    process = build_process(
        settings,
        ProcessDependencies(reactor, SystemClock(), platform, random.Random()),
    )
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(
            signal_number, lambda *_: reactor.callFromThread(process.plan_stop)
        )
    # Its default ends the process. Settings are read at the start alone.
    signal.signal(
        signal.SIGHUP,
        lambda *_: reactor.callFromThread(
            log.warning, "SIGHUP ignored; restart to change settings."
        ),
    )
    process.on_exit = reactor.stop
    try:
        process.start()
    except error.CannotListenError as in_use:
        raise SettingsError(f"choose other ports: {in_use}") from in_use
    # Twisted's own signal handlers would stop the reactor immediately,
    # without the planned stop.
    reactor.run(installSignalHandlers=False)
    return process.exit_status
