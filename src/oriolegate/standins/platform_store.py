"""Emulated store of the platform: objects, revisions, VMs and faults.

The store has no sockets or timers and never waits: results depend on the calls
and their `now_ms` only. `in_memory_platform` implements delays and watches.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import json
from typing import Any

import attrs

from oriolegate.exceptions import PlatformError
from oriolegate.network.platform_api import ObjectList
from oriolegate.network.platform_api import StoredObject
from oriolegate.network.platform_api import VmRecord
from oriolegate.result_codes import ResultCode

MAX_VALUE_BYTES = 1_000_000
DEFAULT_WRITES_PER_S = 400.0
DEFAULT_READS_PER_S = 2_000.0
WRITE_CALLS = frozenset({"put", "delete"})


@attrs.define
class StoreFaults:
    """Injected faults, set by tests and the control endpoint.

    Attributes:
        outage: Every call fails.
        slow_ms: Delay of each call.
        lose_answers: Number of next writes that take effect but whose answer
            is lost.
        vm_lag_ms: Age of the list of VMs that readers get.
    """

    outage: bool = False
    slow_ms: float = 0.0
    lose_answers: int = 0
    vm_lag_ms: float = 0.0


@attrs.define
class RateLimit:
    """A token bucket with a capacity of one second of calls."""

    per_s: float
    tokens: float = attrs.field(
        default=attrs.Factory(lambda self: self.per_s, takes_self=True)
    )
    refilled_ms: float = 0.0

    def take(self, now_ms: float) -> bool:
        """Take a token for one call; return whether one was available."""
        earned = (now_ms - self.refilled_ms) * self.per_s / 1_000.0
        self.tokens = min(self.per_s, self.tokens + earned)
        self.refilled_ms = now_ms
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@attrs.define
class KindState:
    """Objects of one kind.

    Attributes:
        revision: Incremented by each change of any object of the kind.
        objects: Existing objects by name.
        changed_at: Revision at which each name last changed, including
            deleted objects.
    """

    revision: int = 0
    objects: dict[str, StoredObject] = attrs.field(factory=dict)
    changed_at: dict[str, int] = attrs.field(factory=dict)


class PlatformStore:
    """Versioned objects, a revision per kind, and the list of VMs.

    Attributes:
        faults: Injected faults.
        writes: Rate limit of writes.
        reads: Rate limit of reads; a watch is one read, when it starts.
        counts: Calls by `Platform` method, including refused ones.
        refused: Refused calls by result code.
        listeners: Called with the kind after each change.
    """

    def __init__(
        self,
        writes_per_s: float = DEFAULT_WRITES_PER_S,
        reads_per_s: float = DEFAULT_READS_PER_S,
    ) -> None:
        self.faults = StoreFaults()
        self.writes = RateLimit(writes_per_s)
        self.reads = RateLimit(reads_per_s)
        self.counts: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self.listeners: list[Callable[[str], None]] = []
        self.kinds: dict[str, KindState] = collections.defaultdict(KindState)
        self.vm_history: list[tuple[float, tuple[VmRecord, ...]]] = [(0.0, ())]

    def admit(self, now_ms: float, call: str) -> None:
        """Count one call; refuse it in an outage or over the rate limit.

        Args:
            now_ms: Time of the call.
            call: Name of the `Platform` method.

        Raises:
            PlatformError: PLATFORM_DOWN or PLATFORM_RATE_LIMITED; a
                refused call takes no effect.
        """
        self.counts[call] += 1
        if self.faults.outage:
            raise self._refusal(
                ResultCode.PLATFORM_DOWN, "the platform is down; try later"
            )
        limit = self.writes if call in WRITE_CALLS else self.reads
        if not limit.take(now_ms):
            raise self._refusal(
                ResultCode.PLATFORM_RATE_LIMITED,
                "the platform's rate limit is reached; send fewer calls",
            )

    def consume_lost_answer(self) -> bool:
        """Use up one of `lose_answers`; return whether any was left."""
        if self.faults.lose_answers <= 0:
            return False
        self.faults.lose_answers -= 1
        return True

    def get(self, kind: str, name: str) -> StoredObject:
        """Read one object."""
        stored = self.kinds[kind].objects.get(name)
        if stored is None:
            raise self._refusal(
                ResultCode.PLATFORM_NOT_FOUND,
                f"there is no {kind} object {name!r}; create it first",
            )
        return stored

    def list(self, kind: str) -> ObjectList:
        """Read all objects of a kind."""
        state = self.kinds[kind]
        return ObjectList(state.revision, tuple(state.objects.values()))

    def changes_after(self, kind: str, revision: int) -> ObjectList:
        """Read the objects that changed after a revision.

        A deleted object is listed with version 0 and an empty value.
        """
        state = self.kinds[kind]
        changed = [
            state.objects.get(name, StoredObject(name, 0, {}))
            for name, changed_at in state.changed_at.items()
            if changed_at > revision
        ]
        return ObjectList(state.revision, tuple(changed))

    def put(
        self,
        kind: str,
        name: str,
        value: Mapping[str, Any],
        expected_version: int,
    ) -> int:
        """Write if the object is at `expected_version`; 0 means absent."""
        encoded = json.dumps(value)
        if len(encoded) > MAX_VALUE_BYTES:
            raise self._refusal(
                ResultCode.PLATFORM_BAD_ANSWER,
                f"the value is over {MAX_VALUE_BYTES} bytes; make it smaller",
            )
        self._check_version(kind, name, expected_version)
        version = expected_version + 1
        # A copy, so that later changes to the caller's mapping have no effect.
        stored = StoredObject(name, version, json.loads(encoded))
        self.kinds[kind].objects[name] = stored
        self._record_change(kind, name)
        return version

    def delete(self, kind: str, name: str, expected_version: int) -> None:
        """Delete if the object is at `expected_version`.

        An object created again under the name starts at version 1.
        """
        self.get(kind, name)
        self._check_version(kind, name, expected_version)
        del self.kinds[kind].objects[name]
        self._record_change(kind, name)

    def version_of(self, kind: str, name: str) -> int:
        """Return an object's version, or 0 if the object is absent."""
        stored = self.kinds[kind].objects.get(name)
        return stored.version if stored else 0

    def set_vms(self, now_ms: float, vms: tuple[VmRecord, ...]) -> None:
        """Replace the list of VMs; readers see it after `vm_lag_ms`."""
        self.vm_history.append((now_ms, vms))

    def list_vms(self, now_ms: float) -> tuple[VmRecord, ...]:
        """Return the list of VMs as it was `vm_lag_ms` ago."""
        seen_ms = now_ms - self.faults.vm_lag_ms
        seen = [vms for at_ms, vms in self.vm_history if at_ms <= seen_ms]
        return seen[-1] if seen else self.vm_history[0][1]

    def _check_version(self, kind: str, name: str, expected: int) -> None:
        present = self.version_of(kind, name)
        if present != expected:
            raise self._refusal(
                ResultCode.PLATFORM_CONFLICT,
                f"{kind} object {name!r} is at version {present}, not "
                f"{expected}; read it again",
            )

    def _record_change(self, kind: str, name: str) -> None:
        state = self.kinds[kind]
        state.revision += 1
        state.changed_at[name] = state.revision
        # Listeners may remove themselves while they are called.
        for listener in tuple(self.listeners):
            listener(kind)

    def _refusal(self, code: ResultCode, message: str) -> PlatformError:
        self.refused[code.name] += 1
        return PlatformError(message, code)
