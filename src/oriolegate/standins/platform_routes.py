"""HTTP routes of the emulated platform and of its control endpoint.

The wire format is in docs/interfaces/platform.md.
"""

import json
from typing import Any

import attrs

from oriolegate.exceptions import PlatformError
from oriolegate.network.platform_api import ObjectList
from oriolegate.network.platform_api import StoredObject
from oriolegate.network.platform_api import VmRecord
from oriolegate.network.platform_api import VmState
from oriolegate.result_codes import ResultCode
from oriolegate.standins.in_memory_platform import InMemoryPlatform
from oriolegate.standins.platform_store import RateLimit
from oriolegate.standins.platform_store import StoreFaults

CONTROL_FIELDS = frozenset(
    {"vms", "writes_per_s", "reads_per_s"}
    | {field.name for field in attrs.fields(StoreFaults)}
)


def _object_row(stored: StoredObject) -> dict[str, Any]:
    return {
        "name": stored.name,
        "version": stored.version,
        "value": stored.value,
    }


def _list_row(objects: ObjectList) -> dict[str, Any]:
    items = [_object_row(stored) for stored in objects.items]
    return {"revision": objects.revision, "items": items}


def _vm_rows(vms: tuple[VmRecord, ...]) -> dict[str, Any]:
    rows = [{**attrs.asdict(vm), "state": vm.state.value} for vm in vms]
    return {"vms": rows}


def parse_vms(rows: list[dict[str, Any]]) -> tuple[VmRecord, ...]:
    """Build VM records from the JSON rows of a list of VMs."""
    return tuple(
        VmRecord(**{**row, "state": VmState(row["state"])}) for row in rows
    )


class PlatformRoutes:
    """Routes of the object API and of the store's control endpoint.

    Attributes:
        platform: Carries out the calls.
    """

    def __init__(self, platform: InMemoryPlatform) -> None:
        self.platform = platform

    def route(self, method: str, path: list[str], request: Any) -> Any:
        """Start one call; return its JSON body or a deferred of it."""
        match method, path:
            case "GET", ["objects", kind, name]:
                return self.platform.get(kind, name).addCallback(_object_row)
            case "GET", ["objects", kind]:
                return self.platform.list(kind).addCallback(_list_row)
            case "PUT", ["objects", kind, name]:
                value = json.loads(request.content.read())
                written = self.platform.put(
                    kind, name, value, _expected_version(request)
                )
                return written.addCallback(lambda v: {"version": v})
            case "DELETE", ["objects", kind, name]:
                deleted = self.platform.delete(
                    kind, name, _expected_version(request)
                )
                return deleted.addCallback(lambda _: {})
            case "GET", ["watch", kind]:
                return self.platform.watch(
                    kind,
                    int(request.args[b"after"][0]),
                    int(request.args[b"timeout_ms"][0]),
                ).addCallback(_list_row)
            case "GET", ["vms"]:
                return self.platform.list_vms().addCallback(_vm_rows)
            case "POST", ["control"]:
                return self._apply_control(json.loads(request.content.read()))
            case "GET", ["control", "counts"]:
                return self._counts()
        raise PlatformError("no such call", ResultCode.PLATFORM_NOT_FOUND)

    def _apply_control(self, settings: dict[str, Any]) -> dict[str, Any]:
        unknown = settings.keys() - CONTROL_FIELDS
        if unknown:
            raise ValueError(f"unknown control fields {sorted(unknown)}")
        store = self.platform.store
        for field, value in settings.items():
            match field:
                case "vms":
                    store.set_vms(self.platform.now_ms(), parse_vms(value))
                case "writes_per_s":
                    store.writes = RateLimit(value)
                case "reads_per_s":
                    store.reads = RateLimit(value)
                case _:
                    setattr(store.faults, field, value)
        return attrs.asdict(store.faults)

    def _counts(self) -> dict[str, Any]:
        store = self.platform.store
        return {"calls": dict(store.counts), "refused": dict(store.refused)}


def _expected_version(request: Any) -> int:
    if request.getHeader("if-none-match") == "*":
        return 0
    expected = request.getHeader("if-match")
    if expected is None or int(expected) < 1:
        raise ValueError(
            "send the expected version in If-Match, or If-None-Match: *"
        )
    return int(expected)
