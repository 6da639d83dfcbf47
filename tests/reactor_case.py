"""Runs tests that need real sockets on Twisted's reactor.

nose2 can't load the test cases of `twisted.trial`: it reads every attribute
of a test class, and zope.interface raises on one of them.
"""

from collections.abc import Callable
from collections.abc import Coroutine
import functools
from typing import Any

from twisted.internet import defer
from twisted.internet import reactor
from twisted.python import failure

TEST_TIMEOUT_S = 20.0


def wait_for(deferred: defer.Deferred) -> Any:
    """Run the reactor until a deferred has fired; return its result."""
    outcomes: list[Any] = []

    def finish(outcome: Any) -> None:
        outcomes.append(outcome)
        if reactor.running:
            reactor.crash()

    deferred.addTimeout(TEST_TIMEOUT_S, reactor)
    deferred.addBoth(finish)
    # A deferred that has fired already must not start the reactor.
    if not outcomes:
        reactor.run(installSignalHandlers=False)
    if isinstance(outcomes[0], failure.Failure):
        outcomes[0].raiseException()
    return outcomes[0]


def on_reactor(
    test: Callable[[Any], Coroutine[Any, Any, None]],
) -> Callable[[Any], None]:
    """Make a test of a coroutine method."""

    @functools.wraps(test)
    def run(case: Any) -> None:
        wait_for(defer.Deferred.fromCoroutine(test(case)))

    return run
