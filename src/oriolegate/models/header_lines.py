"""Header fields of an HTTP message, kept as the bytes of their lines.

A pair of objects for each field needs 20 to 40 times the bytes of a short line,
so that a small message of many lines would fill the memory of a machine.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Set

import attrs

LINE_START = b"\r\n"
SEPARATOR = b": "


def encode_line(name: bytes, value: bytes) -> bytes:
    """Return the line of a field, with the line end that precedes it.

    Line ends in the value, which may come from a folded line, become spaces.
    """
    if b"\n" in value or b"\r" in value:
        value = b" ".join(value.splitlines())
    return b"%b%b%b%b" % (LINE_START, name, SEPARATOR, value)


@attrs.frozen
class HeaderLines:
    """The fields of one message, in order; iterates over names and values.

    Attributes:
        data: The lines, each after a line end, as they follow a start line.
    """

    data: bytes = b""

    @classmethod
    def of(cls, fields: Iterable[tuple[bytes, bytes]]) -> "HeaderLines":
        """Return the lines of names and values."""
        return cls(b"".join(encode_line(n, v) for n, v in fields))

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        if self.data:
            for line in self.data[len(LINE_START) :].split(LINE_START):
                name, _, value = line.partition(SEPARATOR)
                yield name, value

    def values(self, name: bytes) -> list[bytes]:
        """Return the values of a field, in order.

        Args:
            name: Name of the field, in lower case.
        """
        found = []
        start_of_line = LINE_START + name + SEPARATOR
        lower_data = self.data.lower()
        at = lower_data.find(start_of_line)
        while at >= 0:
            start = at + len(start_of_line)
            end = lower_data.find(LINE_START, start)
            end = len(self.data) if end < 0 else end
            found.append(self.data[start:end])
            at = lower_data.find(start_of_line, end)
        return found

    def first(self, name: bytes) -> bytes | None:
        """Return the first value of a field, or None.

        Args:
            name: Name of the field, in lower case.
        """
        start_of_line = LINE_START + name + SEPARATOR
        at = self.data.lower().find(start_of_line)
        if at < 0:
            return None
        start = at + len(start_of_line)
        end = self.data.find(LINE_START, start)
        return self.data[start : None if end < 0 else end]

    def last(self, name: bytes) -> bytes | None:
        """Return the last value of a field, or None.

        Args:
            name: Name of the field, in lower case.
        """
        values = self.values(name)
        return values[-1] if values else None

    def without(self, names: Set[bytes]) -> "HeaderLines":
        """Return the fields other than those with some names.

        Args:
            names: Names of fields, in lower case.
        """
        return HeaderLines.of(
            (name, value) for name, value in self if name.lower() not in names
        )
