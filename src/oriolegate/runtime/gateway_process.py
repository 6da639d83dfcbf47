"""Entry point of a gateway process: signals, settings and the reactor."""

import random
import signal
from typing import Any

from oriolegate import structured_log
from oriolegate import system_reactor
from oriolegate.clock import SystemClock
from oriolegate.exceptions import SettingsError
from oriolegate.platform import node_settings
from oriolegate.runtime import gateway
from oriolegate.runtime import gateway_composition
from oriolegate.runtime.line_writer import LineWriter

log = structured_log.get_logger("gateway")

STANDARD_OUTPUT_FD = 1
# Interval of reading the settings file, which may change without a signal;
# reading is cheap, since the file has a few hundred bytes.
SETTINGS_CHECK_S = 2.0


def _follow_settings(reactor: Any, process: gateway.Gateway, path: str) -> None:
    """Reload the settings at SIGHUP and whenever the file changes."""

    def reload() -> None:
        try:
            process.reload(node_settings.read(path))
        except SettingsError as error:
            log.bind(reason=error.message).warning(
                "invalid settings; keeping the old ones"
            )

    def check() -> None:
        reload()
        reactor.callLater(SETTINGS_CHECK_S, check)

    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload))
    reactor.callLater(SETTINGS_CHECK_S, check)


def serve(path: str, verbosity: int) -> None:
    """Serve until a signal stops the process.

    Args:
        path: Path of the settings file.
        verbosity: How often the verbose flag was given.

    Raises:
        SettingsError: If the settings file is unreadable or invalid.
    """
    reactor = system_reactor.get_reactor()
    clock = SystemClock()
    settings = node_settings.read(path)
    structured_log.start_logging(
        LineWriter(STANDARD_OUTPUT_FD, clock).write, verbosity
    )
    parts = gateway_composition.build_parts(
        reactor, clock, settings, random.Random()
    )
    process = gateway.Gateway(reactor, clock, settings, parts)
    process.on_exit = reactor.stop
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(
            number, lambda *_: reactor.callFromThread(process.plan_stop)
        )
    _follow_settings(reactor, process, path)
    process.start()
    # Twisted's own signal handlers would stop the reactor at once.
    reactor.run(installSignalHandlers=False)
