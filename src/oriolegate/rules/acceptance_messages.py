"""Events, effects and results of accepting an edit of the rules."""

from collections.abc import Mapping
from typing import Any
from typing import TypeAlias

import attrs

from oriolegate.rules.diff import RuleChange
from oriolegate.rules.errors import RuleError
from oriolegate.rules.merge import RuleConflict
from oriolegate.rules.model import AcceptedRules
from oriolegate.rules.stored_rules import ObjectPath


@attrs.frozen
class RulesEdit:
    """An edit that an operator asks for.

    Attributes:
        edit_id: Unique; by it a lost answer is settled.
        base: The version that the text was made from; 0 if from none.
        text: The whole new file.
        dry_run: Whether only to show what would change.
    """

    edit_id: str
    base: int
    text: str
    dry_run: bool = False


# Events


@attrs.frozen
class EditStarted:
    """The edit may begin."""


@attrs.frozen
class ObjectFound:
    """A read found the object."""

    call_id: int
    version: int
    value: Mapping[str, Any]


@attrs.frozen
class ObjectAbsent:
    """A read found no such object."""

    call_id: int


@attrs.frozen
class WriteDone:
    """A write took effect."""

    call_id: int
    version: int


@attrs.frozen
class WriteRejected:
    """A write met another version and had no effect."""

    call_id: int


@attrs.frozen
class CallFailed:
    """A call got no answer; if it was a write it may have taken effect."""

    call_id: int


@attrs.frozen
class Woken:
    """A time asked for with `WakeAt` has come."""


AcceptanceEvent: TypeAlias = (
    EditStarted
    | ObjectFound
    | ObjectAbsent
    | WriteDone
    | WriteRejected
    | CallFailed
    | Woken
)


# Results


@attrs.frozen
class Accepted:
    """The edit is the version named, or changes nothing in it."""

    version: int
    changes: tuple[RuleChange, ...]


@attrs.frozen
class Merged:
    """The edit was merged with others' edits and is the version named.

    Attributes:
        version: The new version.
        changes: What the edit changed in the version before.
        others: What others had changed since the edit's base.
    """

    version: int
    changes: tuple[RuleChange, ...]
    others: tuple[RuleChange, ...]


@attrs.frozen
class DryRun:
    """What the edit would change in the version named."""

    version: int
    changes: tuple[RuleChange, ...]
    others: tuple[RuleChange, ...]


@attrs.frozen
class Refused:
    """The edit conflicts, or its base can't be merged; nothing changed."""

    version: int
    message: str
    conflicts: tuple[RuleConflict, ...] = ()


@attrs.frozen
class Invalid:
    """The text has errors; nothing changed."""

    errors: tuple[RuleError, ...]


@attrs.frozen
class Unavailable:
    """The edit was not accepted and never will be; it may be tried again."""

    message: str


@attrs.frozen
class Unknown:
    """The store has not yet said whether the edit was accepted."""

    message: str


AcceptanceResult: TypeAlias = (
    Accepted | Merged | DryRun | Refused | Invalid | Unavailable | Unknown
)


# Effects


@attrs.frozen
class ReadObject:
    """Read an object."""

    call_id: int
    path: ObjectPath


@attrs.frozen
class WriteObject:
    """Write an object if it is at a version; 0 means create it."""

    call_id: int
    path: ObjectPath
    value: Mapping[str, Any]
    expected_version: int


@attrs.frozen
class DeleteObject:
    """Delete an object; nobody waits for the answer."""

    path: ObjectPath
    expected_version: int


@attrs.frozen
class WakeAt:
    """Send `Woken` at a monotonic time."""

    at_ms: float


@attrs.frozen
class Report:
    """Tell the operator; only `Unknown` may be followed by another."""

    result: AcceptanceResult


@attrs.frozen
class SpreadRules:
    """A version was seen in the store: hand it on to be spread."""

    rules: AcceptedRules


AcceptanceEffect: TypeAlias = (
    ReadObject | WriteObject | DeleteObject | WakeAt | Report | SpreadRules
)
