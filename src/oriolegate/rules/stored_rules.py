"""Represent versions of the rules as objects of the platform."""

from collections.abc import Mapping
from typing import Any

import attrs

from oriolegate.rules.model import AcceptedRules


@attrs.frozen
class ObjectPath:
    """Kind and name of a platform object."""

    kind: str
    name: str


ACCEPTED = ObjectPath("rules", "accepted")

# A separate kind: otherwise a starting VM, which watches `rules` from the
# beginning, would receive all history versions.
_HISTORY_KIND = "rules-history"


def history_path(version: int) -> ObjectPath:
    """Return the path of the history object of a replaced version."""
    return ObjectPath(_HISTORY_KIND, f"history-{version}")


def history_paths(current_version: int, limit: int) -> tuple[ObjectPath, ...]:
    """Return the paths of the newest replaced versions, newest first.

    These objects are read one by one, as a list of all history objects may be
    very large.

    Args:
        current_version: The accepted version.
        limit: Maximum number of paths.
    """
    newest = range(current_version - 1, 0, -1)[:limit]
    return tuple(history_path(version) for version in newest)


@attrs.frozen
class StoredRules:
    """One accepted version, as written to the store.

    Attributes:
        version: Version of the rules; equals the store's version of the object
            `accepted`.
        text: Text of the whole file.
        asked_by: Who requested the rules that the edit changed.
        edit_id: Id of the edit that created this version.
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

    def to_accepted_rules(self) -> AcceptedRules:
        """Return the fields that are distributed to all VMs."""
        return AcceptedRules(self.version, self.text, self.edit_id)


NO_RULES = StoredRules(0, "", "", "", 0)


def parse_stored_rules(value: Mapping[str, Any]) -> StoredRules | None:
    """Decode the value of `accepted` or of a history object.

    Returns:
        The version, or None if the value is invalid.
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
