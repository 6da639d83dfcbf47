"""The entry by which a VM tells the others that it may run."""

from typing import Any

from oriolegate.exceptions import MalformedEntryError


def encode(vm: str, data_centre: str, started_wall_ms: int) -> dict[str, Any]:
    """Return the content of a VM's entry."""
    return {
        "vm": vm,
        "data_centre": data_centre,
        "started_wall_ms": started_wall_ms,
    }


def decode(content: Any) -> str:
    """Return the VM that an entry names.

    Raises:
        MalformedEntryError: If it names none.
    """
    vm = content.get("vm") if isinstance(content, dict) else None
    if not isinstance(vm, str) or not vm:
        raise MalformedEntryError("the entry names no VM")
    return vm
