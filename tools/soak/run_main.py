"""Runs the coroutine of a soak to its end on the reactor."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from twisted.internet import defer

from oriolegate import system_reactor

reactor = system_reactor.get_reactor()

STATUS_UNEXPECTED = 2


def run_until_done(main: Callable[[], Coroutine[Any, Any, int]]) -> int:
    """Run a coroutine that returns an exit status; return that status.

    It is 2 after an error, or if the run was stopped.
    """
    statuses: list[int] = []

    def on_ended(outcome: Any) -> None:
        if isinstance(outcome, int):
            statuses.append(outcome)
        else:
            outcome.printTraceback()
            statuses.append(STATUS_UNEXPECTED)
        reactor.stop()

    reactor.callWhenRunning(
        lambda: defer.ensureDeferred(main()).addBoth(on_ended)
    )
    reactor.run()
    return statuses[0] if statuses else STATUS_UNEXPECTED
