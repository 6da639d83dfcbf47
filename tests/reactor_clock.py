"""Clock that reads the time of a Twisted test clock."""

MS_PER_S = 1_000.0


class ReactorClock:
    """Returns the time of a `twisted.internet.task.Clock` in milliseconds."""

    def __init__(self, reactor):
        self.reactor = reactor

    def now_ms(self):
        return self.reactor.seconds() * MS_PER_S

    def wall_ms(self):
        return int(self.now_ms())
