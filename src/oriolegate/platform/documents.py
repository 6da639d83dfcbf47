"""Decodes objects of the platform's store into the product's records.

Whoever writes to the store may write anything, so every field is checked. An
entry that can't be used raises `MalformedEntryError`; the rest stay usable.
"""

from collections.abc import Mapping
from typing import Any

from oriolegate.exceptions import MalformedEntryError
from oriolegate.models.site import CallerLimits
from oriolegate.models.site import Configuration
from oriolegate.models.site import LeafEntry
from oriolegate.models.site import Repeatability
from oriolegate.models.site import Route
from oriolegate.models.site import Service
from oriolegate.models.site import WeightedService

REPEATABILITY = {
    "idempotent": Repeatability.IDEMPOTENT,
    "non_idempotent": Repeatability.NON_IDEMPOTENT,
}
LEAF_STATES = {"ready": False, "draining": True}


def _mapping(value: Any, what: str) -> Mapping[str, Any]:
    if not isinstance(value, dict):
        raise MalformedEntryError(f"{what} is not an object")
    return value


def _list(value: Any, what: str) -> list[Any]:
    if not isinstance(value, list):
        raise MalformedEntryError(f"{what} is not a list")
    return value


def _text(source: Mapping[str, Any], name: str) -> str:
    value = source.get(name)
    if not isinstance(value, str) or not value:
        raise MalformedEntryError(f"`{name}` is missing or not a text")
    return value


def _number(
    source: Mapping[str, Any], name: str, default: float | None = None
) -> float:
    value = source.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedEntryError(f"`{name}` is missing or not a number")
    return float(value)


def _whole(
    source: Mapping[str, Any], name: str, default: int | None = None
) -> int:
    value = source.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedEntryError(f"`{name}` is missing or not a whole number")
    return value


def _address(source: Mapping[str, Any], name: str) -> tuple[str, int]:
    host, _, port = _text(source, name).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65_536:
        raise MalformedEntryError(f"`{name}` is not IP:PORT")
    return host, int(port)


def leaf_entry(name: str, spec: Any) -> LeafEntry:
    """Decode what a leaf says of itself.

    Args:
        name: Name of the object, which is the leaf's id.
        spec: Its content.

    Raises:
        MalformedEntryError: If it names no leaf that may be used.
    """
    source = _mapping(spec, "the entry")
    state = source.get("state")
    if not isinstance(state, str) or state not in LEAF_STATES:
        raise MalformedEntryError("`state` is unknown")
    host, port = _address(source, "address")
    return LeafEntry(
        leaf_id=name,
        service=_text(source, "service"),
        host=host,
        port=port,
        data_centre=_text(source, "zone"),
        slots=_whole(source, "slots"),
        draining=LEAF_STATES[state],
        cold_left_ms=_number(source, "warmup_left_ms"),
        born_ms=_whole(source, "born", 0),
    )


def _split(source: Mapping[str, Any]) -> tuple[WeightedService, ...]:
    # `traffic_split` holds several services, `service` names the only one.
    if "traffic_split" in source and source["traffic_split"]:
        return tuple(
            WeightedService(
                _text(_mapping(part, "a part"), "service"),
                _number(part, "weight"),
            )
            for part in _list(source["traffic_split"], "traffic_split")
        )
    return (WeightedService(_text(source, "service"), 1.0),)


def _texts(source: Mapping[str, Any], name: str) -> tuple[str, ...]:
    values = _list(source.get(name) or [], name)
    if not all(isinstance(value, str) for value in values):
        raise MalformedEntryError(f"`{name}` holds something else than texts")
    return tuple(values)


def _route(value: Any) -> Route:
    source = _mapping(value, "a route")
    kind = source.get("type")
    if kind not in REPEATABILITY:
        raise MalformedEntryError("the `type` of a route is unknown")
    shards = _texts(source, "gather")
    return Route(
        name=_text(source, "name"),
        host=_text(source, "host").lower(),
        prefix=_text(source, "path_prefix"),
        repeatability=REPEATABILITY[kind],
        timeout_ms=_number(source, "timeout_ms"),
        target_ms=_number(source, "target_latency_ms"),
        priority=_whole(source, "priority", 0),
        attempts=_whole(source, "attempts", 1),
        split=() if shards else _split(source),
        shards=shards,
        record_limit=_whole(source, "top_k", 0),
        min_coverage=_number(source, "min_coverage", 0.0),
        home_regions=frozenset(_texts(source, "allowed_regions")),
    )


def _service(value: Any) -> Service:
    source = _mapping(value, "a service")
    return Service(
        name=_text(source, "name"),
        check_path=_text(source, "health_path"),
        connection_limit=_whole(source, "max_connections"),
        cold_per_s=_number(source, "warmup_per_s", 0.0),
    )


def _limits(value: Any) -> CallerLimits:
    source = _mapping(value, "limits")
    default = CallerLimits()
    return CallerLimits(
        header_bytes=_whole(source, "max_header_bytes", default.header_bytes),
        body_bytes=_whole(source, "max_body_bytes", default.body_bytes),
        header_limit_ms=_number(
            source, "header_timeout_ms", default.header_limit_ms
        ),
        idle_limit_ms=_number(source, "idle_timeout_ms", default.idle_limit_ms),
    )


def configuration(spec: Any) -> Configuration:
    """Decode an accepted configuration.

    Raises:
        MalformedEntryError: If it can't be used as a whole.
    """
    source = _mapping(spec, "the configuration")
    services = [
        _service(value) for value in _list(source.get("services"), "services")
    ]
    return Configuration(
        version=_whole(source, "version"),
        routes=tuple(
            _route(value) for value in _list(source.get("routes"), "routes")
        ),
        services={service.name: service for service in services},
        limits=_limits(source.get("limits") or {}),
    )
