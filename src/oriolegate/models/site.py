"""Data classes of a site: routes, services, leafs and VM settings."""

from collections.abc import Mapping
import enum

import attrs

from oriolegate.models.machine import MachineLimits


class Repeatability(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = enum.auto()
    NON_IDEMPOTENT = enum.auto()


@attrs.frozen
class WeightedService:
    """One service of a traffic split.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other services of the split.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """How requests of one host and path prefix are routed.

    Attributes:
        name: Unique name.
        host: Host in requests, in lower case.
        prefix: Path prefix that begins and ends with a slash.
        repeatability: Whether requests may run more than once.
        timeout_ms: Maximum time until the reply.
        target_ms: Latency up to which an answer counts as on time.
        priority: Priority; 0 is the most urgent.
        attempts: Maximum number of leafs of one service that may run a
            request.
        split: Services among which requests are distributed; empty for a
            scatter-gather route.
        shards: Services that each answer one part of a scatter-gather request;
            empty for a split.
        record_limit: Maximum number of records in a scatter-gather answer.
        min_coverage: Minimum fraction of parts in a successful answer, 0 to 1.
        home_regions: Regions that may serve the route; empty allows all.
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
    """Properties of all leafs of one service.

    Attributes:
        name: Unique name.
        check_path: Path of the health check.
        connection_limit: Connections that a leaf accepts from all VMs.
        cold_per_s: Requests per second that a cold leaf supports, such as one
            that has just restarted.
    """

    name: str
    check_path: str
    connection_limit: int
    cold_per_s: float


@attrs.frozen
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    Attributes:
        header_bytes: Maximum size of a request's header.
        body_bytes: Maximum size of a request's body.
        header_limit_ms: Maximum time from a header's first byte to its last.
        idle_limit_ms: Maximum time between two requests.
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
    """A leaf's own entry in the store.

    Attributes:
        leaf_id: Id of this incarnation, usually new at each start.
        service: Service that the leaf belongs to.
        host: IP address.
        port: TCP port.
        data_centre: Data centre in which the leaf runs.
        slots: Requests that the leaf runs concurrently.
        draining: Whether the leaf is about to stop.
        cold_left_ms: Remaining time for which the leaf is cold.
        born_ms: Unix time of the leaf's start in ms, or 0 if not stated.
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
    """A VM's own entry in the store.

    Attributes:
        vm: Name of the VM.
        data_centre: Data centre in which the VM runs.
        host: IP address.
        port: Internal port.
        renewed_wall_ms: Unix time in ms at which the VM last wrote the entry.
        link_mbps: Rate of the VM's link; 0 in entries of earlier versions.
        accepts_forwards: Whether the VM serves requests that other VMs forward
            to it; False in entries of earlier versions.
        holds_attempts: Whether the VM uses a single attempt of such a request
            for as long as it says; False in entries of earlier versions.
    """

    vm: str
    data_centre: str
    host: str
    port: int
    renewed_wall_ms: int
    link_mbps: float = 0.0
    accepts_forwards: bool = False
    holds_attempts: bool = False


@attrs.frozen
class CrashReport:
    """Report that a leaf crashed while it may have run a request.

    Attributes:
        fingerprint: Hash of the request, the same for each retry.
        attempt_id: Id of the caller's attempt.
        leaf_id: The leaf that crashed.
        vm: The VM that sent the request.
        wall_ms: Unix time in ms at which the crash was detected.
    """

    fingerprint: int
    attempt_id: str
    leaf_id: str
    vm: str
    wall_ms: int


@attrs.frozen
class CrashTrial:
    """Claim of a VM to send a refused request to one leaf, once.

    Attributes:
        fingerprint: Hash of the request, the same for each retry.
        number: Number of the trial, from 1; each is claimed by one VM.
        attempt_id: Id of the caller's attempt.
        vm: The VM that sends the request.
        wall_ms: Unix time in ms of the claim.
    """

    fingerprint: int
    number: int
    attempt_id: str
    vm: str
    wall_ms: int


CrashEntry = CrashReport | CrashTrial


@attrs.frozen
class Bounds:
    """Limits from the users' rules.

    Attributes:
        grace_ms: Time between SIGTERM and SIGKILL at a stop of a VM's process.
        retry_ratio: Extra sends per request, over all VMs.
        retry_window_ms: Length of the window in which extra sends are counted.
        retry_slack: Extra sends in a window in addition to the ratio, over all
            VMs.
        cold_factor: Allowed factor on a cold leaf's `cold_per_s`.
        cold_slack: Requests in a second that are allowed in addition.
        contact_ms: Time after the end of a disturbance from which rules with a
            time limit hold for a VM.
        drain_ms: Time in which a VM must stop using a leaf that leaves.
        config_apply_ms: Time in which a configuration must be in force.
        evacuate_ms: Time in which the leafs of an evacuated data centre must
            no longer be used.
    """

    grace_ms: float = 6_000.0
    retry_ratio: float = 0.2
    retry_window_ms: float = 10_000.0
    retry_slack: float = 50.0
    cold_factor: float = 1.5
    cold_slack: float = 5.0
    contact_ms: float = 5_000.0
    drain_ms: float = 4_000.0
    config_apply_ms: float = 4_000.0
    evacuate_ms: float = 5_000.0


@attrs.frozen
class NodeSettings:
    """Settings that a VM reads at start.

    Attributes:
        vm: Name of the VM.
        data_centre: Data centre in which the VM runs.
        regions: Region by data centre.
        host: IP address.
        caller_address: Address to which callers connect.
        ready_address: Address of the balancer's readiness check.
        internal_ports: First and last port for internal use, such as requests
            of other VMs.
        store_address: Address of the platform's store.
        seeds: IP addresses of a few VMs that may or may not run.
        first_start: True only if the whole tier starts for the first time.
        bounds: Limits from the users' rules.
        link_mbps: Rate of the VM's link.
        limits: What the process may use.
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
    link_mbps: float = 0.0
    limits: MachineLimits = MachineLimits()

    @property
    def region(self) -> str:
        """The region of this VM."""
        return self.regions.get(self.data_centre, "")
