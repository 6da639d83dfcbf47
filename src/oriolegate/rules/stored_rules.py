"""Versions of the rules as objects of the platform."""

from collections.abc import Mapping
from typing import Any

import attrs

from oriolegate.rules.model import AcceptedRules


@attrs.frozen
class ObjectPath:
    """Kind and name of an object of the platform."""

    kind: str
    name: str


ACCEPTED = ObjectPath("rules", "accepted")

# A kind of its own: a watch of `rules` from its beginning, as a starting VM
# makes it, would otherwise deliver every version that is kept.
_HISTORY_KIND = "rules-history"


def history_path(version: int) -> ObjectPath:
    """Return where a replaced version is kept."""
    return ObjectPath(_HISTORY_KIND, f"history-{version}")


def history_paths(present_version: int, limit: int) -> tuple[ObjectPath, ...]:
    """Return where the newest replaced versions are kept, newest first.

    Read them one by one: a list of the kind may be very large.

    Args:
        present_version: The accepted version.
        limit: How many at most.
    """
    newest = range(present_version - 1, 0, -1)[:limit]
    return tuple(history_path(version) for version in newest)


@attrs.frozen
class StoredRules:
    """One accepted version, as kept in the store.

    Attributes:
        version: The accepted version; the object `accepted` has the same.
        text: The whole file.
        asked_by: Who asked for the rules that the edit changed.
        edit_id: The edit that made it.
        base: The version that the edit was based on.
    """

    version: int
    text: str
    asked_by: str
    edit_id: str
    base: int

    def to_value(self) -> dict[str, Any]:
        """Return the value of the object."""
        return attrs.asdict(self)

    def accepted(self) -> AcceptedRules:
        """Return the unit that is spread to all VMs."""
        return AcceptedRules(self.version, self.text, self.edit_id)


NO_RULES = StoredRules(0, "", "", "", 0)


def read_stored(value: Mapping[str, Any]) -> StoredRules | None:
    """Read the value of `accepted` or of a history object.

    Returns:
        The version, or None if the value is not one.
    """
    numbers = (value.get("version"), value.get("base"))
    texts = (value.get("text"), value.get("asked_by"), value.get("edit_id"))
    if not all(type(number) is int for number in numbers):
        return None
    if not all(isinstance(text, str) for text in texts):
        return None
    return StoredRules(
        version=value["version"],
        text=value["text"],
        asked_by=value["asked_by"],
        edit_id=value["edit_id"],
        base=value["base"],
    )
