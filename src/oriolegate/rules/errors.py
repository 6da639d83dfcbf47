"""Define the numbered errors of a rules file; docs/rules.md lists them."""

from collections.abc import Iterable
import difflib
import enum

import attrs


class RuleErrorCode(enum.IntEnum):
    """What is wrong with a line."""

    UNKNOWN_WORD = 5101
    MISSING_WORD = 5102
    BAD_VALUE = 5103
    OUT_OF_RANGE = 5104
    ASKER_MISSING = 5105
    DUPLICATE = 5106
    BAD_TIME = 5107
    BAD_CHARACTER = 5108
    EXTRA_WORDS = 5109
    CONTRADICTION = 5110


@attrs.frozen(order=True)
class RuleError:
    """One error of a rules file.

    Attributes:
        line: Line number, from 1.
        column: Column, from 1.
        code: Kind of error.
        message: One sentence that says what is wrong and how to correct it.
    """

    line: int
    column: int
    code: RuleErrorCode
    message: str

    def render(self, file_name: str) -> str:
        """Return `FILE:LINE:COL: CODE message`."""
        return (
            f"{file_name}:{self.line}:{self.column}: "
            f"{int(self.code)} {self.message}"
        )


def suggestion(word: str, known: Iterable[str]) -> str:
    """Return a clause that suggests the closest known word, or an empty one."""
    similar = difflib.get_close_matches(word, sorted(known), n=1, cutoff=0.5)
    return f"; did you mean {similar[0]!r}?" if similar else ""
