"""Forces the order of events of Twisted's event loop."""

import os

from twisted.internet import defer
from twisted.internet import reactor


class BeforeTimers:
    """Calls a function between two turns of the event loop.

    The reactor polls its sockets, handles what it found, and then makes all
    calls that are due. A function that is called while sockets are handled
    runs before those calls and after the poll, so that what arrives during the
    function is not read before them.
    """

    def __init__(self, function):
        self.function = function
        self.finished = defer.Deferred()
        self.receiver, sender = os.pipe()
        os.write(sender, b"x")
        os.close(sender)
        reactor.addReader(self)

    def fileno(self):
        return self.receiver

    def doRead(self):  # noqa: N802 (Twisted's name)
        reactor.removeReader(self)
        os.close(self.receiver)
        defer.execute(self.function).chainDeferred(self.finished)

    def connectionLost(self, reason):  # noqa: N802 (Twisted's name)
        """Do nothing."""

    def logPrefix(self):  # noqa: N802 (Twisted's name)
        return "before timers"
