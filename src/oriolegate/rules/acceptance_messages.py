"""Define the events, effects and results of accepting an edit."""

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
    """An edit submitted by an operator.

    Attributes:
        edit_id: Unique id; shows whether a write took effect if the store's
            answer was lost.
        base: The version that the edit is based on; 0 for none.
        text: Text of the whole new file.
        dry_run: Whether to report the changes without making them.
    """

    edit_id: str
    base: int
    text: str
    dry_run: bool = False


# Events


@attrs.frozen
class EditStarted:
    """Acceptance of the edit starts."""


@attrs.frozen
class ObjectFound:
    """A read found the object."""

    call_id: int
    version: int
    value: Mapping[str, Any]


@attrs.frozen
class ObjectAbsent:
    """A read found that the object does not exist."""

    call_id: int


@attrs.frozen
class WriteDone:
    """A write took effect."""

    call_id: int
    version: int


@attrs.frozen
class WriteRejected:
    """A write had no effect: the object has another version."""

    call_id: int


@attrs.frozen
class CallFailed:
    """A call failed or got no answer; a write may have taken effect."""

    call_id: int


@attrs.frozen
class TimerFired:
    """A time requested by `WakeAt` was reached."""


AcceptanceEvent: TypeAlias = (
    EditStarted
    | ObjectFound
    | ObjectAbsent
    | WriteDone
    | WriteRejected
    | CallFailed
    | TimerFired
)


# Results


@attrs.frozen
class Accepted:
    """The edit became `version`, or `version` already contains the edit."""

    version: int
    changes: tuple[RuleChange, ...]


@attrs.frozen
class Merged:
    """The edit was merged with other edits and became `version`.

    Attributes:
        version: The new version.
        changes: Changes of the edit to the version before.
        others: Changes of other edits since the edit's base.
    """

    version: int
    changes: tuple[RuleChange, ...]
    others: tuple[RuleChange, ...]


@attrs.frozen
class DryRun:
    """The changes that the edit would make to `version`."""

    version: int
    changes: tuple[RuleChange, ...]
    others: tuple[RuleChange, ...]


@attrs.frozen
class Refused:
    """The edit conflicts or isn't allowed; nothing changed."""

    version: int
    message: str
    conflicts: tuple[RuleConflict, ...] = ()


@attrs.frozen
class Invalid:
    """The text has errors; nothing changed."""

    errors: tuple[RuleError, ...]


@attrs.frozen
class Unavailable:
    """The edit wasn't and won't be accepted; it may be submitted again."""

    message: str


@attrs.frozen
class Unknown:
    """The store has not yet confirmed whether the edit was accepted."""

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
    """Write an object if its version is as expected; 0 means create it."""

    call_id: int
    path: ObjectPath
    value: Mapping[str, Any]
    expected_version: int


@attrs.frozen
class DeleteObject:
    """Delete an object; the answer is ignored."""

    path: ObjectPath
    expected_version: int


@attrs.frozen
class WakeAt:
    """Send `TimerFired` at a monotonic time."""

    at_ms: float


@attrs.frozen
class Report:
    """Report to the operator; another report may follow only `Unknown`."""

    result: AcceptanceResult


@attrs.frozen
class DistributeRules:
    """Send the VMs a version that the store has confirmed."""

    rules: AcceptedRules


AcceptanceEffect: TypeAlias = (
    ReadObject | WriteObject | DeleteObject | WakeAt | Report | DistributeRules
)
