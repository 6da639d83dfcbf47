"""Parses a rules file and reports all of its errors at once."""

import attrs
from expression import Error
from expression import Ok
from expression import Result

from oriolegate.rules.cursor import TokenCursor
from oriolegate.rules.errors import RuleError
from oriolegate.rules.errors import RuleErrorCode
from oriolegate.rules.lexer import split_line
from oriolegate.rules.model import Document
from oriolegate.rules.model import Entry
from oriolegate.rules.model import Rule
from oriolegate.rules.model import rule_key
from oriolegate.rules.model import RuleKey
from oriolegate.rules.model import RuleSet
from oriolegate.rules.statements import parse_statement


@attrs.define
class _DocumentBuilder:
    entries: list[Entry] = attrs.field(factory=list)
    errors: list[RuleError] = attrs.field(factory=list)
    comments: list[str] = attrs.field(factory=list)
    first_lines: dict[RuleKey, int] = attrs.field(factory=dict)
    blank_before: bool = False

    def end_block(self) -> None:
        """Make the gathered comment lines an entry of their own."""
        if self.comments:
            self._append(Entry(tuple(self.comments)))
        self.blank_before = bool(self.entries)

    def add_line(self, text: str, line: int) -> None:
        """Add one line that is not empty."""
        lexed = split_line(text, line)
        self.errors += lexed.errors
        if not lexed.tokens and not lexed.errors:
            self.comments.append(lexed.comment)
            return
        cursor = TokenCursor(lexed, line)
        rule = None if lexed.errors else parse_statement(cursor)
        self.errors += cursor.errors
        if rule is not None:
            self._check_first(rule, line)
            entry = Entry(tuple(self.comments), rule, lexed.comment, line=line)
            self._append(entry)

    def _append(self, entry: Entry) -> None:
        entry = attrs.evolve(entry, blank_before=self.blank_before)
        self.entries.append(entry)
        self.comments.clear()
        self.blank_before = False

    def _check_first(self, rule: Rule, line: int) -> None:
        key = rule_key(rule)
        first = self.first_lines.setdefault(key, line)
        if first != line:
            message = f"'{key}' stands on line {first} too; keep one"
            code = RuleErrorCode.DUPLICATE
            self.errors.append(RuleError(line, 1, code, message))


def parse(text: str) -> Result[Document, tuple[RuleError, ...]]:
    """Parse a rules file.

    Args:
        text: The whole file.

    Returns:
        The document, or every error in the file's order.
    """
    builder = _DocumentBuilder()
    for line, content in enumerate(text.split("\n"), start=1):
        if content.strip():
            builder.add_line(content.rstrip("\r"), line)
        else:
            builder.end_block()
    builder.end_block()
    if builder.errors:
        return Error(tuple(sorted(builder.errors)))
    return Ok(Document(tuple(builder.entries)))


def parse_rule_set(
    version: int, text: str
) -> Result[RuleSet, tuple[RuleError, ...]]:
    """Parse the text of an accepted version."""
    return parse(text).map(
        lambda document: RuleSet(version, document.rules, text)
    )
