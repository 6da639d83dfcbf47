"""Runs tests that need real sockets on Twisted's reactor.

No test may import `twisted.trial`, nor `twisted.internet.testing`, which
imports Trial: afterwards nose2 can't load any test case. Trial declares an
interface on `unittest.TestCase`, nose2 reads every attribute of a test class,
and zope.interface raises an exception on one of them.
"""

from collections.abc import Callable
from collections.abc import Coroutine
import functools
from typing import Any

from twisted.internet import defer
from twisted.python import failure

from oriolegate import system_reactor

reactor = system_reactor.get_reactor()
TEST_TIMEOUT_S = 20.0


def wait_for(
    deferred: defer.Deferred, timeout_s: float = TEST_TIMEOUT_S
) -> Any:
    """Run the reactor until a deferred fires and return its result.

    Raises the exception of a failed deferred, or a timeout.
    """
    outcomes: list[Any] = []

    def finish(outcome: Any) -> None:
        outcomes.append(outcome)
        if reactor.running:
            reactor.crash()

    deferred.addTimeout(timeout_s, reactor)
    deferred.addBoth(finish)
    # If the deferred has already fired, nothing would stop the reactor.
    if not outcomes:
        reactor.run(installSignalHandlers=False)
    if isinstance(outcomes[0], failure.Failure):
        outcomes[0].raiseException()
    return outcomes[0]


def on_reactor(
    test: Callable[[Any], Coroutine[Any, Any, None]],
) -> Callable[[Any], None]:
    """Decorate a coroutine method so that it runs as a test method."""

    @functools.wraps(test)
    def run(case: Any) -> None:
        wait_for(defer.Deferred.fromCoroutine(test(case)))

    return run
