"""Tests of header fields that are kept as bytes."""

import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.models import header_lines
from oriolegate.models.header_lines import HeaderLines

NAMES = strategies.sampled_from([b"A", b"a", b"B", b"Bb", b"b-b"])
VALUES = strategies.sampled_from([b"", b"1", b"a: 2", b"b", b": ", b"A"])
FIELDS = strategies.lists(strategies.tuples(NAMES, VALUES), max_size=6)


class HeaderLinesTest(unittest.TestCase):
    @given(FIELDS)
    def test_fields_are_found_as_in_a_list(self, fields):
        lines = HeaderLines.of(fields)
        self.assertEqual(list(lines), fields)
        for name in (b"a", b"b", b"bb", b"b-b", b"c"):
            values = [v for n, v in fields if n.lower() == name]
            self.assertEqual(lines.values(name), values)
            self.assertEqual(lines.first(name), values[0] if values else None)
            self.assertEqual(lines.last(name), values[-1] if values else None)
            self.assertEqual(
                list(lines.without({name})),
                [field for field in fields if field[0].lower() != name],
            )

    # A folded line must not become a field, or the end of a head.
    def test_line_ends_in_a_value_become_spaces(self):
        line = header_lines.encode_line(b"a", b"1\r\nb: 2\r\n\r\n3\n4")
        self.assertEqual(line, b"\r\na: 1 b: 2  3 4")


if __name__ == "__main__":
    unittest.main()
