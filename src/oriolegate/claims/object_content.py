"""The content of one store object of kind `claims`."""

from collections.abc import Mapping
from typing import Any

import attrs

from oriolegate.result_codes import ResultCode


@attrs.frozen
class ClaimRecord:
    """The claim of a key, with the outcome of its request if recorded.

    Attributes:
        claim_id: VM, incarnation and counter of the send that claimed the key.
        outcome: Result code of the request once it ran.
    """

    claim_id: str
    outcome: ResultCode | None = None

    def encode(self) -> str | list[Any]:
        """Return the stored form of the record."""
        if self.outcome is None:
            return self.claim_id
        return [self.claim_id, int(self.outcome)]

    @classmethod
    def decode(cls, value: Any) -> "ClaimRecord":
        """Decode a stored record."""
        if isinstance(value, str):
            return cls(value)
        return cls(value[0], ResultCode(value[1]))


@attrs.frozen
class ObjectContent:
    """The claims of one hash bucket and time slot.

    Attributes:
        slot: Number of the time slot; never decreases within an object.
        records: Claims by idempotency key.
    """

    slot: int
    records: dict[str, ClaimRecord]

    def encode(self) -> dict[str, Any]:
        """Return the stored form of the content."""
        claims = {key: record.encode() for key, record in self.records.items()}
        return {"slot": self.slot, "claims": claims}

    @classmethod
    def decode(cls, value: Mapping[str, Any] | None) -> "ObjectContent":
        """Decode a stored value; None means that the object does not exist."""
        if value is None:
            return cls(-1, {})
        records = {
            key: ClaimRecord.decode(record)
            for key, record in value["claims"].items()
        }
        return cls(value["slot"], records)
