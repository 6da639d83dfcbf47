"""The content of one object of kind `claims`."""

from collections.abc import Mapping
from typing import Any

import attrs

from oriolegate.result_codes import ResultCode


@attrs.frozen
class ClaimRecord:
    """Who claimed a key, and what came of it if that is recorded.

    Attributes:
        claim_id: VM, incarnation and counter; unique for each send.
        outcome: Result code of the request once it ran.
    """

    claim_id: str
    outcome: ResultCode | None = None

    def encode(self) -> str | list[Any]:
        """Return the record as it is stored."""
        if self.outcome is None:
            return self.claim_id
        return [self.claim_id, int(self.outcome)]

    @classmethod
    def decode(cls, value: Any) -> "ClaimRecord":
        """Read a stored record."""
        if isinstance(value, str):
            return cls(value)
        return cls(value[0], ResultCode(value[1]))


@attrs.frozen
class ObjectContent:
    """The claims of one hash class and time slot.

    Attributes:
        slot: Number of the time slot; never falls in the life of an object.
        records: Claims by key.
    """

    slot: int
    records: dict[str, ClaimRecord]

    def encode(self) -> dict[str, Any]:
        """Return the value to store."""
        claims = {key: record.encode() for key, record in self.records.items()}
        return {"slot": self.slot, "claims": claims}

    @classmethod
    def decode(cls, value: Mapping[str, Any] | None) -> "ObjectContent":
        """Read a stored value; None is an object that was never written."""
        if value is None:
            return cls(-1, {})
        records = {
            key: ClaimRecord.decode(record)
            for key, record in value["claims"].items()
        }
        return cls(value["slot"], records)
