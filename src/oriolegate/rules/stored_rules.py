"""Versions of the rules as objects of the platform."""

from collections.abc import Mapping
from typing import Any

import attrs

from oriolegate.rules.model import AcceptedRules

RULES_KIND = "rules"
ACCEPTED_NAME = "accepted"


def history_name(version: int) -> str:
    """Return the name of the object that keeps a replaced version."""
    return f"history-{version}"


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
