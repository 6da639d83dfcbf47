"""Store objects, requests and responses in the platform's format, for tests."""

from collections.abc import Iterable
from typing import Any

IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"


def leaf_spec(
    service: str,
    address: tuple[str, int],
    data_centre: str,
    *,
    draining: bool = False,
    cold_ms: int = 0,
    born_ms: int = 0,
) -> dict[str, Any]:
    """Return the content of the store object of a leaf."""
    host, port = address
    return {
        "service": service,
        "address": f"{host}:{port}",
        "zone": data_centre,
        "version": "v1",
        "slots": 4,
        "state": "draining" if draining else "ready",
        "warmup_left_ms": cold_ms,
        "sequence": 1,
        "born": born_ms,
    }


def route_spec(name: str, **changes: Any) -> dict[str, Any]:
    """Return a route of host `h.example` whose path prefix is its name."""
    fields = {
        "name": name,
        "host": "h.example",
        "path_prefix": f"/{name}/",
        "type": IDEMPOTENT,
        "timeout_ms": 1_500,
        "target_latency_ms": 250,
        "priority": 1,
        "attempts": 2,
    }
    return fields | changes


def split_part(service: str, weight: int) -> dict[str, Any]:
    """Return one part of a traffic split."""
    return {"service": service, "weight": weight}


def signed_answer(attempt: str, leaf: str, body: bytes) -> bytes:
    """Return the bytes of a signed, successful response of a leaf."""
    lines = [
        "HTTP/1.1 200 OK",
        f"Attempt-Id: {attempt}",
        f"Server-Seal: seal.{leaf}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


def gather_fields(
    shards: Iterable[str], count: int, coverage: float
) -> dict[str, Any]:
    """Return the additional fields of a scatter-gather route."""
    return {
        "gather": list(shards),
        "top_k": count,
        "min_coverage": coverage,
    }


def configuration_spec(
    version: int,
    routes: Iterable[dict[str, Any]],
    services: Iterable[str],
    **limits: int,
) -> dict[str, Any]:
    """Return the content of the configuration object."""
    return {
        "version": version,
        "routes": list(routes),
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 40,
                "warmup_s": 3.0,
                "warmup_per_s": 0.0,
            }
            for name in services
        ],
        "limits": limits,
    }


def caller_request(
    method: str,
    path: str,
    attempt: str,
    time_left_ms: int,
    body: bytes = b"",
) -> bytes:
    """Return the bytes of a caller's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: h.example",
        f"Attempt-Id: {attempt}",
        f"Deadline-Ms: {time_left_ms}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


def part_leafs(response: Any) -> list[str]:
    """Return the leafs that contributed parts to a gathered answer."""
    seals = response.header(b"part-seals").decode().split(", ")
    return [seal.removeprefix("seal.") for seal in seals]


def missing_parts(response: Any) -> int:
    """Return the number of parts missing from a gathered answer."""
    return int(response.header(b"missing-parts") or 0)


def answering_leaf(response: Any) -> str:
    """Return the leaf that signed a single answer."""
    return response.header(b"server-seal").decode().removeprefix("seal.")
