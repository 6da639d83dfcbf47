"""One gateway as a process: signals, settings, and the loop."""

import random
import signal
from typing import Any

from oriolegate import structured_log
from oriolegate.clock import SystemClock
from oriolegate.exceptions import SettingsError
from oriolegate.platform import node_settings
from oriolegate.runtime import gateway
from oriolegate.runtime import gateway_composition
from oriolegate.runtime.line_writer import LineWriter

log = structured_log.get_logger("gateway")

STANDARD_OUTPUT = 1
# The settings file may change without a signal; it is a few hundred bytes.
SETTINGS_CHECK_S = 2.0


def _follow_settings(reactor: Any, process: gateway.Gateway, path: str) -> None:
    """Reload the settings at SIGHUP and whenever the file has changed."""

    def reload() -> None:
        try:
            process.reload(node_settings.read(path))
        except SettingsError as fault:
            log.bind(reason=fault.message).warning("settings kept")

    def check() -> None:
        reload()
        reactor.callLater(SETTINGS_CHECK_S, check)

    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload))
    reactor.callLater(SETTINGS_CHECK_S, check)


def serve(path: str, verbosity: int) -> None:
    """Serve until the process is told to stop.

    Args:
        path: The settings file.
        verbosity: How often more logs were asked for.

    Raises:
        SettingsError: If the settings can't be read.
    """
    from twisted.internet import reactor as default_reactor

    reactor: Any = default_reactor
    clock = SystemClock()
    settings = node_settings.read(path)
    structured_log.begin(LineWriter(STANDARD_OUTPUT, clock).write, verbosity)
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
    # Twisted's own handlers would stop the reactor at once.
    reactor.run(installSignalHandlers=False)
