"""External dependencies of a process, replaceable in tests."""

import random
from typing import Any

import attrs

from oriolegate.clock import Clock
from oriolegate.network.platform_api import Platform


@attrs.frozen
class ProcessDependencies:
    """Reactor, clock, platform client and random source of a process.

    Attributes:
        reactor: Twisted's reactor.
        clock: Source of monotonic and wall-clock time.
        platform: Client of the platform's object API.
        rng: Random source for jitter and random choices.
    """

    reactor: Any
    clock: Clock
    platform: Platform
    rng: random.Random

    @property
    def call_later(self) -> Any:
        """The reactor's function to set a timer; delays are in seconds."""
        return self.reactor.callLater
