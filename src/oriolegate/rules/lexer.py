"""Split a line of the rules file into words, strings and a comment."""

import re

import attrs

from oriolegate.rules.errors import RuleError
from oriolegate.rules.errors import RuleErrorCode

_TOKEN = re.compile(
    r"""(?P<space>[ \t]+)
      | (?P<comment>\#.*)
      | "(?P<string>[^"]*)"
      | (?P<open>".*)
      | (?P<word>[A-Za-z0-9][A-Za-z0-9._:/%+-]*)
      | (?P<bad>.)""",
    re.VERBOSE,
)


@attrs.frozen
class Token:
    """One word or quoted string, with the column where it starts."""

    text: str
    column: int
    quoted: bool = False


@attrs.frozen
class LexedLine:
    """The tokens of one line.

    Attributes:
        tokens: Words and strings in order.
        comment: Text from `#` to the end without trailing spaces, or empty.
        comment_column: Column of the comment, or else of the line's end.
        errors: Invalid characters and unclosed strings.
    """

    tokens: tuple[Token, ...]
    comment: str
    comment_column: int
    errors: tuple[RuleError, ...]


def split_line(text: str, line: int) -> LexedLine:
    """Split one line.

    Args:
        text: The line without its line ending.
        line: Line number, for errors.
    """
    tokens: list[Token] = []
    errors: list[RuleError] = []
    comment, comment_column = "", len(text.rstrip()) + 1
    for matched in _TOKEN.finditer(text):
        column = matched.start() + 1
        match matched.lastgroup:
            case "word":
                tokens.append(Token(matched["word"], column))
            case "string":
                tokens.append(Token(matched["string"], column, quoted=True))
            case "comment":
                comment, comment_column = matched["comment"].rstrip(), column
            case "open":
                errors.append(_error(line, column, 'close the string with "'))
            case "bad":
                message = f"{matched['bad']!r} is not allowed here; quote it"
                errors.append(_error(line, column, message))
    return LexedLine(tuple(tokens), comment, comment_column, tuple(errors))


def _error(line: int, column: int, message: str) -> RuleError:
    return RuleError(line, column, RuleErrorCode.BAD_CHARACTER, message)
