"""What a process is given from outside."""

import random
from typing import Any

import attrs

from oriolegate.clock import Clock
from oriolegate.network.platform_api import Platform


@attrs.frozen
class Surroundings:
    """What a process is given from outside.

    Attributes:
        reactor: Twisted's reactor.
        clock: The clock.
        platform: The platform's object API.
        rng: Source of randomness.
    """

    reactor: Any
    clock: Clock
    platform: Platform
    rng: random.Random

    @property
    def call_later(self) -> Any:
        """The reactor's timer function; delays are in seconds."""
        return self.reactor.callLater
