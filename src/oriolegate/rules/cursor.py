"""A cursor over the tokens of one line, which gathers the line's errors."""

from collections.abc import Callable
from collections.abc import Collection
import re
from typing import TypeVar

from oriolegate.rules.errors import RuleError
from oriolegate.rules.errors import RuleErrorCode
from oriolegate.rules.errors import suggestion
from oriolegate.rules.lexer import LexedLine
from oriolegate.rules.lexer import Token

_T = TypeVar("_T")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]*")


class LineError(Exception):
    """Raised when the rest of a line can't be understood."""


class TokenCursor:
    """Reads tokens one by one.

    A wrong value is noted and reading goes on; a wrong or missing keyword
    ends the line with `LineError`.

    Attributes:
        errors: What was found so far.
    """

    def __init__(self, lexed: LexedLine, line: int) -> None:
        self.lexed = lexed
        self.line = line
        self.position = 0
        self.errors: list[RuleError] = []

    def peek(self) -> str | None:
        """Return the next word, or None at the end or before a string."""
        if self.position == len(self.lexed.tokens):
            return None
        token = self.lexed.tokens[self.position]
        return '"' if token.quoted else token.text

    def column(self) -> int:
        """Return the column of the next word, or of the line's end."""
        if self.position < len(self.lexed.tokens):
            return self.lexed.tokens[self.position].column
        return self._end_column()

    def note(self, code: RuleErrorCode, message: str, column: int) -> None:
        """Add an error and go on."""
        self.errors.append(RuleError(self.line, column, code, message))

    def take(self, expected: str) -> Token:
        """Return the next token.

        Args:
            expected: What should stand here, for the error.

        Raises:
            LineError: If the line is over.
        """
        if self.position == len(self.lexed.tokens):
            self.note(
                RuleErrorCode.MISSING_WORD,
                f"the line ends where {expected} is needed",
                self._end_column(),
            )
            raise LineError
        token = self.lexed.tokens[self.position]
        self.position += 1
        return token

    def keyword(self, known: Collection[str]) -> str:
        """Return the next word, which must be one of `known`."""
        expected = " or ".join(repr(word) for word in sorted(known))
        token = self.take(expected)
        if token.quoted or token.text not in known:
            hint = suggestion(token.text, known) or f"; write {expected}"
            message = f"{token.text!r} is not known here{hint}"
            self.note(RuleErrorCode.UNKNOWN_WORD, message, token.column)
            raise LineError
        return token.text

    def name(self, what: str) -> str:
        """Return the next word as a name of something."""
        token = self.take(what)
        if token.quoted or not _NAME.fullmatch(token.text):
            message = f"{token.text!r} can't be {what}"
            self.note(RuleErrorCode.BAD_VALUE, message, token.column)
        return token.text

    def pattern(self) -> str:
        """Return the next token as a pattern of caller names."""
        token = self.take('a pattern such as "studio-*"')
        if not token.text:
            message = 'the pattern is empty; write "*" for every caller'
            self.note(RuleErrorCode.BAD_VALUE, message, token.column)
        return token.text

    def convert(
        self, what: str, code: RuleErrorCode, reader: Callable[[str], _T]
    ) -> tuple[_T | None, int]:
        """Return the next word as read by `reader`, and its column."""
        token = self.take(what)
        try:
            return reader(token.text), token.column
        except ValueError:
            message = f"{token.text!r} is not {what}"
            self.note(code, message, token.column)
            return None, token.column

    def finish(self) -> None:
        """Note words left over at the end of the line."""
        if self.position < len(self.lexed.tokens):
            token = self.lexed.tokens[self.position]
            message = f"the rule is complete before {token.text!r}; remove it"
            self.note(RuleErrorCode.EXTRA_WORDS, message, token.column)

    def _end_column(self) -> int:
        if not self.lexed.tokens:
            return self.lexed.comment_column
        last = self.lexed.tokens[-1]
        quotes = 2 if last.quoted else 0
        return last.column + len(last.text) + quotes
