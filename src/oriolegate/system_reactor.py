"""The reactor of a process, whose timers follow the monotonic clock.

Twisted's timers follow the time of day: when it is set back, every timer is
late by as much, and when it is set forward, all are due at once. No other
module of the package imports the reactor.
"""

import time
from typing import Any


def get_reactor() -> Any:
    """Return the reactor; call this before any timer is set."""
    from twisted.internet import reactor

    chosen: Any = reactor
    chosen.seconds = time.monotonic
    return chosen
