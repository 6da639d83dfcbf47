"""The era of the platform's store.

The store may come back from an older copy of itself. Its revisions then repeat,
and the era, which it states in every answer, rises by one. So revisions are
ordered by era first: `tag` puts the era into the upper bits of a revision.
Without an era, tagged and plain revisions are equal.
"""

import enum

# Bits of a revision within its era: enough for 100,000 changes a second during
# four months.
REVISION_BITS = 40
REVISION_MASK = (1 << REVISION_BITS) - 1
# Era of a store that has never come back from a copy.
FIRST_ERA = 1


def tag(era: int, revision: int) -> int:
    """Return a revision that compares by era first."""
    return era << REVISION_BITS | revision


def era_of(tagged: int) -> int:
    """Return the era of a tagged revision."""
    return tagged >> REVISION_BITS


def plain(tagged: int) -> int:
    """Return a tagged revision as the store states it."""
    return tagged & REVISION_MASK


class Observation(enum.Enum):
    """How the era of an answer compares with the one known."""

    CURRENT = enum.auto()
    NEW = enum.auto()
    EARLIER = enum.auto()


class StoreEra:
    """The newest era that any answer of the store has stated.

    Attributes:
        number: The era, or 0 before the first answer that states one.
    """

    def __init__(self) -> None:
        self.number = 0

    @property
    def was_restored(self) -> bool:
        """Whether the store has ever come back from an older copy."""
        return self.number > FIRST_ERA

    def observe(self, era: int | None) -> Observation:
        """Compare the era of an answer, and remember it if it is newer.

        Args:
            era: Era of the answer, or None if it states none.
        """
        if era is None or era == self.number:
            return Observation.CURRENT
        if era < self.number:
            return Observation.EARLIER
        self.number = era
        return Observation.NEW
