"""Match caller names, and sample members identically on every VM."""

import hashlib

import attrs

_HASH_BYTES = 8
_KEY_BYTES = 32
_HASH_RANGE = 1 << (8 * _HASH_BYTES)


@attrs.frozen
class CallerPattern:
    """A pattern of caller names; `*` matches any number of characters.

    The time to match is proportional to the name's length for any pattern.

    Attributes:
        text: The pattern as in the rule.
        parts: The literal texts between the stars.
    """

    text: str
    parts: tuple[str, ...] = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda self: tuple(self.text.split("*")), takes_self=True
        ),
    )

    def matches(self, caller: str) -> bool:
        """Return whether the whole name matches."""
        first, last = self.parts[0], self.parts[-1]
        if len(self.parts) == 1:
            return caller == first
        if not caller.startswith(first):
            return False
        position, end = len(first), len(caller) - len(last)
        for part in self.parts[1:-1]:
            start = caller.find(part, position, end)
            if start < 0:
                return False
            position = start + len(part)
        return position <= end and caller.endswith(last)


@attrs.frozen
class NamedSample:
    """Hashes callers or request ids (members) to positions from 0 up to 1.

    Positions are distributed evenly. A position depends only on the name and
    the member, so it is the same on every VM and in every version of the
    rules; increasing the share keeps the members that were in the sample.

    Attributes:
        name: Name of the trial or mirror.
        key: Hash key, so that the samples of different names are independent.
    """

    name: str
    key: bytes = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda self: hashlib.blake2b(
                self.name.encode(), digest_size=_KEY_BYTES
            ).digest(),
            takes_self=True,
        ),
    )

    def position(self, member: str) -> float:
        """Return the position of a caller or a request id."""
        digest = hashlib.blake2b(
            member.encode("utf-8", "surrogatepass"),
            digest_size=_HASH_BYTES,
            key=self.key,
        ).digest()
        return int.from_bytes(digest, "big") / _HASH_RANGE
