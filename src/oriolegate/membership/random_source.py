"""The randomness that cores are given; `random.Random` provides it."""

from collections.abc import Sequence
from typing import Protocol
from typing import TypeVar

Item = TypeVar("Item")


class RandomSource(Protocol):
    """What cores use of a seeded generator."""

    def uniform(self, a: float, b: float) -> float:
        """Return a number between both bounds."""
        ...

    def sample(self, population: Sequence[Item], k: int) -> list[Item]:
        """Return `k` different items of a sequence."""
        ...
