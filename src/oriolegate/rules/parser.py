"""Parse a rules file and report all of its errors at once."""

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

_MAX_CACHED_LINES = 20_000


@attrs.frozen
class _ParsedLine:
    """Content of a line without errors; a comment line has no rule."""

    rule: Rule | None
    comment: str


@attrs.define
class LineCache:
    """Parsed lines by text; most lines recur in the next version.

    A process shares one cache between edits, so that parsing a new version of a
    large file doesn't block requests for long.
    """

    lines: dict[str, _ParsedLine] = attrs.field(factory=dict)

    def add(self, text: str, parsed: _ParsedLine) -> None:
        """Add a line; a full cache is cleared first."""
        if len(self.lines) >= _MAX_CACHED_LINES:
            self.lines.clear()
        self.lines[text] = parsed


@attrs.define
class _DocumentBuilder:
    """Collects the entries and errors of a file line by line."""

    cache: LineCache
    entries: list[Entry] = attrs.field(factory=list)
    errors: list[RuleError] = attrs.field(factory=list)
    comments: list[str] = attrs.field(factory=list)
    first_lines: dict[RuleKey, int] = attrs.field(factory=dict)
    blank_before: bool = False

    def end_paragraph(self) -> None:
        """Add the pending comment lines as a standalone comment."""
        if self.comments:
            self._append(Entry(tuple(self.comments)))
        self.blank_before = bool(self.entries)

    def add_line(self, text: str, line: int) -> None:
        """Add a line that is not blank."""
        parsed = self.cache.lines.get(text)
        if parsed is None:
            parsed = self._parse_line(text, line)
        if parsed is None:
            return
        if parsed.rule is None:
            self.comments.append(parsed.comment)
            return
        self._check_duplicate(parsed.rule, line)
        self._append(
            Entry(tuple(self.comments), parsed.rule, parsed.comment, line=line)
        )

    def _parse_line(self, text: str, line: int) -> _ParsedLine | None:
        lexed = split_line(text, line)
        self.errors += lexed.errors
        if lexed.errors:
            return None
        if not lexed.tokens:
            return _ParsedLine(None, lexed.comment)
        cursor = TokenCursor(lexed, line)
        rule = parse_statement(cursor)
        self.errors += cursor.errors
        if rule is None:
            return None
        parsed = _ParsedLine(rule, lexed.comment)
        if not cursor.errors:
            self.cache.add(text, parsed)
        return parsed

    def _append(self, entry: Entry) -> None:
        if self.blank_before:
            entry = attrs.evolve(entry, blank_before=True)
        self.entries.append(entry)
        self.comments.clear()
        self.blank_before = False

    def _check_duplicate(self, rule: Rule, line: int) -> None:
        key = rule_key(rule)
        first = self.first_lines.setdefault(key, line)
        if first != line:
            message = f"'{key}' is already on line {first}; keep one"
            code = RuleErrorCode.DUPLICATE
            self.errors.append(RuleError(line, 1, code, message))


def parse(
    text: str, cache: LineCache | None = None
) -> Result[Document, tuple[RuleError, ...]]:
    """Parse a rules file.

    Args:
        text: The whole file.
        cache: Lines that were parsed before.

    Returns:
        The document, or all errors in file order.
    """
    builder = _DocumentBuilder(LineCache() if cache is None else cache)
    for line, content in enumerate(text.split("\n"), start=1):
        if content.strip():
            builder.add_line(content.rstrip("\r"), line)
        else:
            builder.end_paragraph()
    builder.end_paragraph()
    if builder.errors:
        return Error(tuple(sorted(builder.errors)))
    return Ok(Document(tuple(builder.entries)))


def parse_rule_set(
    version: int, text: str, cache: LineCache | None = None
) -> Result[RuleSet, tuple[RuleError, ...]]:
    """Parse the text of an accepted version."""
    return parse(text, cache).map(
        lambda document: RuleSet(version, document.rules, text)
    )
