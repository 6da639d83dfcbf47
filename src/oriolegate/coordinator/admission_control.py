"""Admission control: refuses queries that can't be answered in time."""

from oriolegate.coordinator.coordinator_state import ServiceState
from oriolegate.coordinator.query_state import QueryState
from oriolegate.models.answer import Refusal
from oriolegate.models.topology import ServiceTopology
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState
from oriolegate.upstreams.leaf_table import LeafTable

# Largest expected wait as a ratio of the remaining time. Well below 1, because
# leaf queues differ in length and the slowest shard determines the latency.
MAX_WAIT_RATIO = 0.3
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 5_000


def expected_wait_ms(
    service: ServiceState, topology: ServiceTopology, leafs: LeafTable
) -> float:
    """Estimate how long a new sub-request waits until a leaf can accept it.

    By Little's law the service completes all sub-requests in flight once per
    mean latency. A measured completion rate is unsuitable: at low load it
    equals the arrival rate, far below the capacity of the leafs.
    """
    if service.waiting == 0:
        return 0.0
    states = leafs.leafs
    in_flight = sum(states[name].in_flight for name in topology.leafs)
    return service.waiting * service.mean_latency_ms / max(1, in_flight)


def check_arrival(
    now_ms: float,
    query: QueryState,
    service: ServiceState,
    topology: ServiceTopology | None,
    leafs: LeafTable,
) -> Refusal | None:
    """Return a refusal with run state NOT_RUN if the query must not start.

    Args:
        now_ms: Time of arrival.
        query: The query, not yet pinned to an index version.
        service: Load of the query's service.
        topology: The service's topology, or None if there is none yet.
        leafs: States of the leafs.
    """
    if topology is None:
        return _refusal(
            query,
            ResultCode.NOT_READY,
            f"the topology of {query.arrival.service} is not known yet",
            MIN_RETRY_AFTER_MS,
        )
    policy = query.arrival.policy
    wait_ms = expected_wait_ms(service, topology, leafs)
    remaining_ms = query.hard_deadline_ms - now_ms
    limit_ms = MAX_WAIT_RATIO * remaining_ms
    if service.waiting >= policy.max_waiting or wait_ms > limit_ms:
        retry_ms = min(
            max(int(wait_ms), MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS
        )
        return _refusal(
            query,
            ResultCode.OVERLOADED,
            "the service's queue is too long for the deadline",
            retry_ms,
        )
    return None


def _refusal(
    query: QueryState, code: ResultCode, message: str, retry_ms: int
) -> Refusal:
    return Refusal(query.request_id, code, RunState.NOT_RUN, message, retry_ms)
