"""Plain records of a site: its routes, services, leafs and VM settings."""

from collections.abc import Mapping
import enum

import attrs


class Repeatability(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = enum.auto()
    NON_IDEMPOTENT = enum.auto()


@attrs.frozen
class WeightedService:
    """One part of a traffic split.

    Attributes:
        service: Name of the service.
        weight: Its share relative to the other parts.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests of one host and path prefix go.

    Attributes:
        name: Unique name.
        host: Host that callers name, in lower case.
        prefix: Begins and ends with a slash.
        repeatability: Whether requests may run more than once.
        timeout_ms: Longest time that a caller is kept waiting.
        target_ms: Latency within which an answer earns its full credit.
        priority: 0 is the most urgent.
        attempts: Most leafs of one service that a request is sent to.
        split: Services that share the requests; empty for a gather.
        shards: Services that each give one part; empty for a split.
        record_limit: Records of a gathered answer.
        min_coverage: Least share of parts in a success, 0 to 1.
        home_regions: Regions that may serve it; empty allows all.
    """

    name: str
    host: str
    prefix: str
    repeatability: Repeatability
    timeout_ms: float
    target_ms: float
    priority: int
    attempts: int
    split: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    record_limit: int = 0
    min_coverage: float = 0.0
    home_regions: frozenset[str] = frozenset()


@attrs.frozen
class Service:
    """What is known of all leafs of one service.

    Attributes:
        name: Unique name.
        check_path: Path that answers whether a leaf is healthy.
        connection_limit: Connections that a leaf takes from all callers.
        cold_per_s: Requests a second that a cold leaf bears.
    """

    name: str
    check_path: str
    connection_limit: int
    cold_per_s: float


@attrs.frozen
class CallerLimits:
    """What a caller may send and how long it may take.

    Attributes:
        header_bytes: Most bytes of a request's header.
        body_bytes: Most bytes of a request's body.
        header_limit_ms: Longest time from a header's first byte to its last.
        idle_limit_ms: Longest time between two requests.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_limit_ms: float = 3_000.0
    idle_limit_ms: float = 15_000.0


@attrs.frozen
class Configuration:
    """One accepted version of routes, services and limits."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits


@attrs.frozen
class LeafEntry:
    """What a leaf says of itself.

    Attributes:
        leaf_id: Id of this incarnation, mostly new at each start.
        service: Service that it belongs to.
        host: IP number.
        port: TCP port.
        data_centre: Where it runs.
        slots: Requests that it runs at once.
        draining: Whether it is about to leave.
        cold_left_ms: How much longer it stays cold.
        born_ms: Unix time of its start in ms, or 0 if not stated.
    """

    leaf_id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    cold_left_ms: float
    born_ms: int = 0


@attrs.frozen
class MemberEntry:
    """What a VM of the tier says of itself.

    Attributes:
        vm: Its name.
        data_centre: Where it runs.
        host: Its IP number.
        port: Its internal port.
        renewed_wall_ms: Unix time in ms at which it last wrote the entry.
    """

    vm: str
    data_centre: str
    host: str
    port: int
    renewed_wall_ms: int


@attrs.frozen
class CrashReport:
    """That a leaf fell while it may have run a request.

    Attributes:
        fingerprint: Hash of the request, the same each time it comes.
        attempt_id: Id of the caller's attempt.
        leaf_id: The leaf that fell.
        vm: The VM that had sent it.
        wall_ms: Unix time in ms at which the fall was noticed.
    """

    fingerprint: int
    attempt_id: str
    leaf_id: str
    vm: str
    wall_ms: int


@attrs.frozen
class Bounds:
    """Figures of the users' rules that this role needs.

    Attributes:
        grace_ms: Time between SIGTERM and SIGKILL.
        retry_ratio: Extra sends for each request.
        retry_window_ms: Window over which extra sends are counted.
        retry_slack: Extra sends in a window beyond the ratio.
        cold_factor: Allowance over the stated rate of a cold leaf.
        cold_slack: Requests in a second beyond that rate.
    """

    grace_ms: float = 6_000.0
    retry_ratio: float = 0.2
    retry_window_ms: float = 10_000.0
    retry_slack: float = 50.0
    cold_factor: float = 1.5
    cold_slack: float = 5.0


@attrs.frozen
class NodeSettings:
    """What a VM learns of itself at start.

    Attributes:
        vm: Its name.
        data_centre: Where it runs.
        regions: Region by data centre.
        host: Its IP number.
        caller_address: Where callers connect.
        ready_address: Where the balancer asks for readiness.
        internal_ports: First and last port for the tier's own use.
        store_address: The platform's store.
        seeds: IP numbers of a few VMs that may run, or may not.
        first_start: True only when the whole tier starts for the first time.
        bounds: Figures of the rules.
    """

    vm: str
    data_centre: str
    regions: Mapping[str, str]
    host: str
    caller_address: tuple[str, int]
    ready_address: tuple[str, int]
    internal_ports: tuple[int, int]
    store_address: tuple[str, int]
    seeds: tuple[str, ...]
    first_start: bool
    bounds: Bounds

    @property
    def region(self) -> str:
        """The region of this VM."""
        return self.regions.get(self.data_centre, "")
