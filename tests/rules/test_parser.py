"""Test the parser, its errors and the formatter."""

import pathlib
import unittest

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from oriolegate.rules.formatter import write_document
from oriolegate.rules.parser import LineCache
from oriolegate.rules.parser import parse
from tests.rules import strategies

ROOT = pathlib.Path(__file__).resolve().parents[2]
BROKEN = """\
rout forecast to studio-desk # asked-by: Marta
route forecast studio-desk
service desk deadline 5 soft # asked-by: Marta
service desk quantile 0.4 # asked-by: Marta
service desk deadline 1s soft 2s # asked-by: Marta
service desk retry 10% hedge off # asked-by: Marta
service desk retry 5% # asked-by:
service desk retry 5% # asked-by: Marta
priority caller "abc
trial t send 500% of caller "" on service x to index y until noon z # asked-by:Q
service desk limit waiting 0 # asked-by: Marta
"""
EXPECTED = """\
F:1:1: 5101 'rout' is not known here; did you mean 'route'?
F:2:16: 5101 'studio-desk' is not known here; write 'to'
F:2:27: 5105 say who asked: end the line with '# asked-by: NAME (REF): REASON'
F:3:23: 5103 '5' is not a time such as 800ms, 2s or 1m
F:3:29: 5102 the line ends where a time such as 800ms, 2s or 1m is needed
F:4:14: 5102 'quantile' belongs after 'hedge'; write hedge quantile
F:5:14: 5110 soft is later than deadline; make it shorter
F:6:14: 5110 write one rule for each of hedge and retry settings
F:7:23: 5105 say who asked: end the line with '# asked-by: NAME (REF): REASON'
F:8:1: 5106 'service desk retry' is already on line 7; keep one
F:9:17: 5108 close the string with "
F:10:14: 5104 the share must be over 0% and at most 100%
F:10:29: 5103 the pattern is empty; write "*" for every caller
F:10:54: 5103 'y' is not the number of an index version
F:10:62: 5107 'noon' is not a UTC time such as 2026-12-24T00:00Z
F:10:67: 5109 the rule is complete before 'z'; remove it
F:11:28: 5104 waiting must be at least 1
"""


class ParserTest(unittest.TestCase):
    maxDiff = None

    def test_reports_every_error_with_line_column_and_code(self):
        errors = parse(BROKEN).error
        shown = "".join(f"{error.render('F')}\n" for error in errors)
        self.assertEqual(shown, EXPECTED)

    def test_reads_who_asked_and_why(self):
        text = "route a to b # asked-by: Marta Díaz (ticket 41): new: desk\n"
        asker = parse(text).ok.rules[0].asker
        self.assertEqual(
            attrs.astuple(asker), ("Marta Díaz", "ticket 41", "new: desk")
        )

    def test_example_files_are_valid_and_formatted(self):
        for name in ("anga-pamoja", "consortium"):
            path = ROOT / "examples" / name / "rules.txt"
            text = path.read_text()
            self.assertEqual(write_document(parse(text).ok), text)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.text(st.sampled_from('route to b"#%: \n\r\té9.s-')))
    def test_any_text_parses_or_gives_errors_inside_it(self, text):
        result = parse(text)
        if result.is_error():
            lines = text.split("\n")
            for error in result.error:
                self.assertLessEqual(error.line, len(lines))
                width = len(lines[error.line - 1])
                self.assertLessEqual(error.column, width + 1)


class LineCacheTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(strategies.DOCUMENTS, strategies.DOCUMENTS)
    def test_a_cache_changes_no_outcome(self, one, other):
        cache = LineCache()
        texts = [write_document(one), write_document(other)]
        for text in [*texts, "".join(texts), BROKEN, *texts, BROKEN]:
            self.assertEqual(parse(text, cache), parse(text))

    def test_a_cache_is_bounded(self):
        cache = LineCache()
        line = "route r{} to s  # asked-by: M\n"
        for start in range(0, 24_000, 8_000):
            numbers = range(start, start + 8_000)
            parse("".join(map(line.format, numbers)), cache)
        self.assertEqual(len(cache.lines), 4_000)


class FormatterTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(strategies.DOCUMENTS)
    def test_a_written_document_reads_back_the_same(self, document):
        text = write_document(document)
        read = parse(text).ok
        self.assertEqual(read.rules, document.rules)
        self.assertEqual(
            [entry.comments for entry in read.entries],
            [entry.comments for entry in document.entries],
        )
        self.assertEqual(write_document(read), text)

    def test_keeps_comments_and_order_and_collapses_blank_lines(self):
        text = (
            "\n#head\n\n\n  # why\nroute  b to x#asked-by: M\n"
            "route a to x   # asked-by: M  \n# tail"
        )
        self.assertEqual(
            write_document(parse(text).ok),
            "#head\n\n# why\nroute b to x  #asked-by: M\n"
            "route a to x  # asked-by: M\n# tail\n",
        )
