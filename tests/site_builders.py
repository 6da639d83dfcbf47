"""Builders of site records and exchanges for tests, with defaults."""

from oriolegate.exchange.exchange import Exchange
from oriolegate.exchange.exchange import NO_HISTORY
from oriolegate.exchange.messages import CallerCall
from oriolegate.exchange.messages import LeafAnswer
from oriolegate.exchange.messages import SendToLeaf
from oriolegate.exchange.part_sender import ExchangeContext
from oriolegate.exchange.planned_stop import PlannedStop
from oriolegate.models.header_lines import HeaderLines
from oriolegate.models.site import Bounds
from oriolegate.models.site import LeafEntry
from oriolegate.models.site import Repeatability
from oriolegate.models.site import Route
from oriolegate.models.site import Service
from oriolegate.models.site import WeightedService
from oriolegate.placement.leaf_directory import LeafDirectory
from oriolegate.placement.route_latency import RouteLatencies
from oriolegate.retries.retry_budget import RetryBudget

REGIONS = {"dc-a": "north", "dc-b": "south", "dc-c": "west"}
BOUNDS = Bounds()


def leaf(leaf_id, service="s", data_centre="dc-a", **changes):
    fields = {
        "leaf_id": leaf_id,
        "service": service,
        "host": "10.0.0.1",
        "port": 8080,
        "data_centre": data_centre,
        "slots": 4,
        "draining": False,
        "cold_left_ms": 0.0,
    }
    return LeafEntry(**(fields | changes))


def route(**changes):
    fields = {
        "name": "r",
        "host": "h.example",
        "prefix": "/a/",
        "repeatability": Repeatability.IDEMPOTENT,
        "timeout_ms": 2_000.0,
        "target_ms": 200.0,
        "priority": 1,
        "attempts": 2,
        "split": (WeightedService("s", 1.0),),
    }
    return Route(**(fields | changes))


def gather_route(shards, **changes):
    fields = {
        "split": (),
        "shards": shards,
        "record_limit": 3,
        "min_coverage": 0.5,
    }
    return route(**(fields | changes))


def service(name="s", **changes):
    fields = {
        "name": name,
        "check_path": "/health",
        "connection_limit": 36,
        "cold_per_s": 0.0,
    }
    return Service(**(fields | changes))


def directory(leafs=(), services=("s",), vm="vm-1"):
    built = LeafDirectory(vm, "dc-a", REGIONS, BOUNDS)
    built.services = {name: service(name) for name in services}
    for entry in leafs:
        built.put(0.0, entry)
    return built


def exchange_context(leafs=(), services=("s",), slack=50.0):
    latencies = RouteLatencies()
    return ExchangeContext(
        directory(leafs, services),
        RetryBudget(0.2, 10_000.0, slack),
        latencies,
        PlannedStop(latencies),
    )


def call(time_left_ms=1_500.0):
    return CallerCall(
        attempt_id="a1",
        method=b"GET",
        target=b"/a/x",
        host="h.example",
        path="/a/x",
        headers=HeaderLines.of(
            ((b"Host", b"h.example"), (b"Attempt-Id", b"a1"))
        ),
        body=b"",
        time_left_ms=time_left_ms,
    )


def exchange(
    chosen_route,
    context,
    now_ms=0.0,
    time_left_ms=1_500.0,
    history=NO_HISTORY,
    is_trial=False,
):
    services = chosen_route.shards or (chosen_route.split[0].service,)
    return Exchange(
        call(time_left_ms),
        chosen_route,
        services,
        7,
        context,
        now_ms,
        history=history,
        is_trial=is_trial,
    )


def answer(body=b"x" * 16, status=200, signature=b"sig"):
    return LeafAnswer(status, HeaderLines(), body, signature)


def sends(effects):
    return [effect for effect in effects if isinstance(effect, SendToLeaf)]
