"""Decodes objects of the platform's store into the product's records.

The store doesn't validate what is written to it, so every field is checked.
An entry that can't be used raises `MalformedEntryError`; the other entries
stay usable.
"""

from collections.abc import Mapping
import re
import socket
from typing import Any

from oriolegate.exceptions import MalformedEntryError
from oriolegate.models.site import CallerLimits
from oriolegate.models.site import Configuration
from oriolegate.models.site import LeafEntry
from oriolegate.models.site import Repeatability
from oriolegate.models.site import Route
from oriolegate.models.site import Service
from oriolegate.models.site import WeightedService

MAX_PORT = 65_535
PORT = re.compile(r"[1-9][0-9]{0,4}")
REPEATABILITY_BY_TYPE = {
    "idempotent": Repeatability.IDEMPOTENT,
    "non_idempotent": Repeatability.NON_IDEMPOTENT,
}
IS_DRAINING_BY_STATE = {"ready": False, "draining": True}


def _mapping(value: Any, what: str) -> Mapping[str, Any]:
    if not isinstance(value, dict):
        raise MalformedEntryError(f"{what} is not an object")
    return value


def _list(value: Any, what: str) -> list[Any]:
    if not isinstance(value, list):
        raise MalformedEntryError(f"{what} is not a list")
    return value


def _string(source: Mapping[str, Any], name: str) -> str:
    value = source.get(name)
    if not isinstance(value, str) or not value:
        raise MalformedEntryError(f"`{name}` is missing, empty or not a string")
    return value


def _number(
    source: Mapping[str, Any], name: str, default: float | None = None
) -> float:
    value = source.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedEntryError(f"`{name}` is missing or not a number")
    return float(value)


def _integer(
    source: Mapping[str, Any], name: str, default: int | None = None
) -> int:
    value = source.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedEntryError(f"`{name}` is missing or not an integer")
    return value


def _is_ipv4_address(host: str) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    return True


def _address(source: Mapping[str, Any], name: str) -> tuple[str, int]:
    host, _, port = _string(source, name).rpartition(":")
    # A name would be resolved in a thread, or not at all.
    if not _is_ipv4_address(host) or not PORT.fullmatch(port):
        raise MalformedEntryError(f"`{name}` is not IP:PORT")
    if int(port) > MAX_PORT:
        raise MalformedEntryError(f"`{name}` has a port over {MAX_PORT}")
    return host, int(port)


def _is_token(text: str) -> bool:
    """Return whether a header can hold a text as one word."""
    return bool(text) and all("!" <= character <= "~" for character in text)


def decode_leaf_entry(name: str, spec: Any) -> LeafEntry:
    """Decode the store object with which a leaf registers itself.

    Args:
        name: Name of the object, which is the leaf's id.
        spec: Content of the object.

    Raises:
        MalformedEntryError: A field is missing or invalid.
    """
    if not _is_token(name):
        raise MalformedEntryError("the id is not printable ASCII")
    source = _mapping(spec, "the leaf entry")
    state = source.get("state")
    if not isinstance(state, str) or state not in IS_DRAINING_BY_STATE:
        raise MalformedEntryError("`state` is missing or unknown")
    host, port = _address(source, "address")
    return LeafEntry(
        leaf_id=name,
        service=_string(source, "service"),
        host=host,
        port=port,
        data_centre=_string(source, "zone"),
        slots=_integer(source, "slots"),
        draining=IS_DRAINING_BY_STATE[state],
        cold_left_ms=_number(source, "warmup_left_ms"),
        born_ms=_integer(source, "born", 0),
    )


def _split(source: Mapping[str, Any]) -> tuple[WeightedService, ...]:
    # `traffic_split` lists weighted services, `service` names a single one.
    if "traffic_split" in source and source["traffic_split"]:
        return tuple(
            WeightedService(
                _string(_mapping(part, "a part of `traffic_split`"), "service"),
                _number(part, "weight"),
            )
            for part in _list(source["traffic_split"], "traffic_split")
        )
    return (WeightedService(_string(source, "service"), 1.0),)


def _strings(source: Mapping[str, Any], name: str) -> tuple[str, ...]:
    values = _list(source.get(name) or [], name)
    if not all(isinstance(value, str) for value in values):
        raise MalformedEntryError(
            f"`{name}` holds a value that is not a string"
        )
    return tuple(values)


def _route(value: Any) -> Route:
    source = _mapping(value, "a route")
    kind = source.get("type")
    if kind not in REPEATABILITY_BY_TYPE:
        raise MalformedEntryError("the `type` of a route is missing or unknown")
    shards = _strings(source, "gather")
    return Route(
        name=_string(source, "name"),
        host=_string(source, "host").lower(),
        prefix=_string(source, "path_prefix"),
        repeatability=REPEATABILITY_BY_TYPE[kind],
        timeout_ms=_number(source, "timeout_ms"),
        target_ms=_number(source, "target_latency_ms"),
        priority=_integer(source, "priority", 0),
        attempts=_integer(source, "attempts", 1),
        split=() if shards else _split(source),
        shards=shards,
        record_limit=_integer(source, "top_k", 0),
        min_coverage=_number(source, "min_coverage", 0.0),
        home_regions=frozenset(_strings(source, "allowed_regions")),
    )


def _service(value: Any) -> Service:
    source = _mapping(value, "a service")
    return Service(
        name=_string(source, "name"),
        check_path=_string(source, "health_path"),
        connection_limit=_integer(source, "max_connections"),
        cold_per_s=_number(source, "warmup_per_s", 0.0),
    )


def _limits(value: Any) -> CallerLimits:
    source = _mapping(value, "limits")
    default = CallerLimits()
    return CallerLimits(
        header_bytes=_integer(source, "max_header_bytes", default.header_bytes),
        body_bytes=_integer(source, "max_body_bytes", default.body_bytes),
        header_limit_ms=_number(
            source, "header_timeout_ms", default.header_limit_ms
        ),
        idle_limit_ms=_number(source, "idle_timeout_ms", default.idle_limit_ms),
    )


class ConfigurationDecoder:
    """Decodes successive configurations.

    Routes that did not change are not decoded again: a configuration may have
    thousands, and decoding blocks the process.

    Attributes:
        documents: The routes last decoded, as they were written.
        routes: The routes last decoded.
    """

    def __init__(self) -> None:
        self.documents: list[Any] = []
        self.routes: tuple[Route, ...] = ()

    def decode(self, spec: Any) -> Configuration:
        """Decode an accepted configuration.

        Raises:
            MalformedEntryError: Any part of the configuration is missing or
                invalid.
        """
        source = _mapping(spec, "the configuration")
        services = [
            _service(value)
            for value in _list(source.get("services"), "services")
        ]
        documents = _list(source.get("routes"), "routes")
        configuration = Configuration(
            version=_integer(source, "version"),
            routes=self._decode_routes(documents),
            services={service.name: service for service in services},
            limits=_limits(source.get("limits") or {}),
        )
        self.documents = documents
        self.routes = configuration.routes
        return configuration

    def _decode_routes(self, documents: list[Any]) -> tuple[Route, ...]:
        known = {
            route.name: (document, route)
            for document, route in zip(self.documents, self.routes, strict=True)
        }

        def decode(document: Any) -> Route:
            name = document.get("name") if isinstance(document, dict) else None
            if isinstance(name, str) and name in known:
                known_document, route = known[name]
                if known_document == document:
                    return route
            return _route(document)

        return tuple(decode(document) for document in documents)
