"""Read the tokens of one line and collect the line's errors."""

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
    """Raised when the rest of a line can't be parsed."""


class TokenCursor:
    """A position in the tokens of one line.

    A wrong value adds to `errors` and parsing continues; after a wrong
    or missing keyword, `LineError` ends the parsing of the line.

    Attributes:
        errors: Errors found so far.
    """

    def __init__(self, lexed: LexedLine, line: int) -> None:
        self.lexed = lexed
        self.line = line
        self.position = 0
        self.errors: list[RuleError] = []

    def peek(self) -> str | None:
        """Return the next word, `"` for a quoted string, or None at the end."""
        if self.position == len(self.lexed.tokens):
            return None
        token = self.lexed.tokens[self.position]
        return '"' if token.quoted else token.text

    def next_column(self) -> int:
        """Return the column of the next token, or of the line's end."""
        if self.position < len(self.lexed.tokens):
            return self.lexed.tokens[self.position].column
        return self._end_column()

    def add_error(self, code: RuleErrorCode, message: str, column: int) -> None:
        """Add an error; parsing continues."""
        self.errors.append(RuleError(self.line, column, code, message))

    def _next_token(self, expected: str) -> Token:
        """Return the next token.

        Args:
            expected: Description of what is expected, for the error message.

        Raises:
            LineError: If there are no more tokens.
        """
        if self.position == len(self.lexed.tokens):
            self.add_error(
                RuleErrorCode.MISSING_WORD,
                f"the line ends where {expected} is needed",
                self._end_column(),
            )
            raise LineError
        token = self.lexed.tokens[self.position]
        self.position += 1
        return token

    def expect_keyword(self, known: Collection[str]) -> str:
        """Return the next word, which must be one of `known`.

        Raises:
            LineError: If the next word is missing or not in `known`.
        """
        expected = " or ".join(repr(word) for word in sorted(known))
        token = self._next_token(expected)
        if token.quoted or token.text not in known:
            hint = suggestion(token.text, known) or f"; write {expected}"
            message = f"{token.text!r} is not known here{hint}"
            self.add_error(RuleErrorCode.UNKNOWN_WORD, message, token.column)
            raise LineError
        return token.text

    def expect_name(self, what: str) -> str:
        """Return the next word, which must be a name; `what` describes it."""
        token = self._next_token(what)
        if token.quoted or not _NAME.fullmatch(token.text):
            message = f"{token.text!r} can't be {what}"
            self.add_error(RuleErrorCode.BAD_VALUE, message, token.column)
        return token.text

    def expect_pattern(self) -> str:
        """Return the next token, which must be a pattern of caller names."""
        token = self._next_token('a pattern such as "studio-*"')
        if not token.text:
            message = 'the pattern is empty; write "*" for every caller'
            self.add_error(RuleErrorCode.BAD_VALUE, message, token.column)
        return token.text

    def expect_value(
        self, what: str, code: RuleErrorCode, parse: Callable[[str], _T]
    ) -> tuple[_T | None, int]:
        """Parse the next word as a value.

        Args:
            what: Description of the value, for error messages.
            code: Code of the error if `parse` raises `ValueError`.
            parse: Converts the word.

        Returns:
            The value, or None after an error; and the word's column.
        """
        token = self._next_token(what)
        try:
            return parse(token.text), token.column
        except ValueError:
            message = f"{token.text!r} is not {what}"
            self.add_error(code, message, token.column)
            return None, token.column

    def expect_end(self) -> None:
        """Add an error if there are words after the end of the rule."""
        if self.position < len(self.lexed.tokens):
            token = self.lexed.tokens[self.position]
            message = f"the rule is complete before {token.text!r}; remove it"
            self.add_error(RuleErrorCode.EXTRA_WORDS, message, token.column)

    def _end_column(self) -> int:
        if not self.lexed.tokens:
            return self.lexed.comment_column
        last = self.lexed.tokens[-1]
        quotes = 2 if last.quoted else 0
        return last.column + len(last.text) + quotes
