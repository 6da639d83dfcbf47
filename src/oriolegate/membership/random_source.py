"""Interface of the random number generator that state machines use."""

from collections.abc import Sequence
from typing import Protocol
from typing import TypeVar

Item = TypeVar("Item")


class RandomSource(Protocol):
    """The methods of `random.Random` that state machines use."""

    def uniform(self, a: float, b: float) -> float:
        """Return a random number between both bounds."""
        ...

    def sample(self, population: Sequence[Item], k: int) -> list[Item]:
        """Return `k` distinct random items of a sequence."""
        ...
