"""All leafs known to this VM, and the choice of a leaf for a request."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import enum

import attrs

from oriolegate.membership import rendezvous
from oriolegate.models.leaf_notice import LeafNotice
from oriolegate.models.site import Bounds
from oriolegate.models.site import LeafEntry
from oriolegate.models.site import Service
from oriolegate.placement import cold_leaf_quota
from oriolegate.placement import connection_assignment
from oriolegate.placement import request_limit
from oriolegate.placement.leaf_record import LeafRecord
from oriolegate.placement.slow_leafs import LeafSample
from oriolegate.placement.slow_leafs import SelfCheck
from oriolegate.placement.slow_leafs import SlowLeafs

# How long a leaf whose entry was removed is kept as a last resort. Entries that
# expire during an outage of the store are written again within about two
# seconds of the store's return.
REMOVED_USE_MS = 2_000.0
# How long after a process pause no leaf is chosen unless the store confirms the
# view earlier, which takes some tens of ms. After this time an old view is
# better than no view.
CONFIRMATION_WAIT_MS = 400.0
# How long a leaf of a readmitted data centre counts as cold: the leaf writes
# its entry within a heartbeat of 1.2 s, and views are up to 0.8 s behind.
READMISSION_MS = 2_000.0
# The VMs return to a leaf that wanted no requests within this fraction of the
# time, and at most this time.
RETURN_SPREAD = 0.25
MAX_RETURN_SPREAD_MS = 1_000.0
# How long a leaf counts as verified after a health check.
VERIFIED_MS = 1_000.0
# Limit on the drained incarnations that are remembered, and on the records of
# leafs whose entries are gone.
MAX_DRAINED = 1_000
MAX_DROPPED = 1_000
# Assumed network round-trip times.
SAME_DATA_CENTRE_MS = 0.5
SAME_REGION_MS = 1.5
OTHER_REGION_MS = 41.0
# Time that a leaf takes to accept a connection, without network latency.
ACCEPT_MS = 6.0
# Used if a leaf's service is missing in the configuration.
DEFAULT_MAX_CONNECTIONS = 8
DEFAULT_CHECK_PATH = "/health"


class NoLeaf(enum.Enum):
    """Why no leaf can take a request now.

    UNREACHABLE: each leaf failed, and no check has found it healthy since.
    UNSURE: this process was paused and the view is not confirmed yet, or the
        view is not current and the leafs are being checked.
    """

    NONE_LEFT = "no leaf"
    ALL_COLD = "all leafs cold"
    ALL_FULL = "all leafs full"
    ALL_LIMITED = "all leafs at their limits"
    ALL_QUIET = "all leafs want no requests"
    UNREACHABLE = "no leaf reachable"
    UNSURE = "leafs not confirmed yet"


class LeafChange(enum.Enum):
    """A change of a leaf that one of its responses states, for the log."""

    LIMITED = "leaf limits its requests; keeping to a part of the limit"
    UNLIMITED = "leaf no longer limits its requests"
    QUIET = "leaf wants no requests for a time; none are sent"
    LEAVING = "leaf announces that it leaves; not used any more"


@attrs.frozen
class LeafCriteria:
    """Criteria for the choice of a leaf.

    Attributes:
        service: Service that the leaf must belong to.
        tried: Ids of leafs to exclude, since they already got the request.
        home_regions: Regions that may serve; empty allows all.
        typical_ms: Typical work time of the route.
    """

    service: str
    tried: Collection[str]
    home_regions: frozenset[str]
    typical_ms: float


class LeafDirectory:
    """All leafs, by id and by service.

    Attributes:
        leafs: Record by leaf id.
        by_service: Records by leaf id, for each service.
        services: Service by name, from the configuration.
        members: Names of the VMs that may run, including this one.
        members_by_region: Number of members in each region.
        members_known: Whether the member list is current.
        evacuated: Data centres that get no requests.
        drained: Id and start of leafs that drained, oldest first; an entry
            that calls one ready is obsolete.
        dropped: Records of leafs whose entries are gone, by leaf id, oldest
            first. An entry may lapse with the store while its leaf lives, and
            what the leaf said of itself still holds when the entry is back.
        hold_until_ms: Until when no leaf is chosen, because this process was
            paused and the store has not confirmed the view since.
        has_connection: Returns whether an idle connection to a leaf is
            available.
        is_view_current: Returns whether changes of entries reach this VM.
        on_unverified: Called with a leaf that must be checked before it is
            used.
        slow_leafs: Which leafs are slow.
        self_check: Detects that this VM itself is slow.
        on_sample: Called with what an answer shows of a leaf.
    """

    def __init__(
        self,
        vm: str,
        data_centre: str,
        regions: Mapping[str, str],
        bounds: Bounds,
    ) -> None:
        self.vm = vm
        self.data_centre = data_centre
        self.regions = regions
        self.bounds = bounds
        self.leafs: dict[str, LeafRecord] = {}
        self.by_service: dict[str, dict[str, LeafRecord]] = {}
        self.services: Mapping[str, Service] = {}
        self.members: frozenset[str] = frozenset({vm})
        self.members_by_region: Mapping[str, int] = {}
        self.members_known = False
        self.evacuated: set[str] = set()
        self.drained: dict[tuple[str, int], None] = {}
        self.dropped: dict[str, LeafRecord] = {}
        self.hold_until_ms = float("-inf")
        self.has_connection: Callable[[str], bool] = lambda leaf_id: True
        self.is_view_current: Callable[[], bool] = lambda: True
        self.on_unverified: Callable[[LeafRecord], None] = lambda record: None
        self.slow_leafs = SlowLeafs()
        self.self_check = SelfCheck()
        self.on_sample: Callable[[LeafSample], None] = lambda sample: None

    def _distance_ms(self, data_centre: str) -> float:
        if data_centre == self.data_centre:
            return SAME_DATA_CENTRE_MS
        own_region = self.regions.get(self.data_centre)
        if self.regions.get(data_centre) == own_region:
            return SAME_REGION_MS
        return OTHER_REGION_MS

    def _assign(self, record: LeafRecord) -> None:
        """Set how many of a leaf's connections this VM may use."""
        known_service = self.services.get(record.entry.service)
        if known_service is None:
            record.capacity = DEFAULT_MAX_CONNECTIONS
            record.is_assigned = True
            return
        local = self.members_by_region.get(record.home_region, 0)
        assignment = connection_assignment.assign_connections(
            known_service.connection_limit, local, len(self.members) - local
        )
        record.capacity = max(1, assignment.per_vm)
        is_local = self.regions.get(self.data_centre) == record.home_region
        record.is_assigned = connection_assignment.has_connections(
            self.vm,
            record.entry.leaf_id,
            assignment.local_fraction
            if is_local
            else assignment.remote_fraction,
        )

    def check_path(self, service: str) -> str:
        """Return the path of health checks of a service's leafs."""
        known_service = self.services.get(service)
        if known_service is None:
            return DEFAULT_CHECK_PATH
        return known_service.check_path

    def put(self, now_ms: float, entry: LeafEntry) -> LeafRecord:
        """Add or update a leaf from its entry."""
        if (entry.leaf_id, entry.born_ms) in self.drained:
            entry = attrs.evolve(entry, draining=True)
        record = self.leafs.get(entry.leaf_id)
        if record is None or record.entry.service != entry.service:
            self._drop(entry.leaf_id)
            record = self._restore(entry) or self._add(entry)
        elif record.entry.born_ms != entry.born_ms:
            # The leaf restarted with the same id: its history is obsolete.
            record.slowness = 1.0
            record.failure_rate = 0.0
            record.request_limit = None
            record.quiet_until_ms = float("-inf")
            record.is_returning = False
        record.entry = entry
        record.suspect = False
        record.entry_removed_at_ms = None
        record.cold_until_ms = now_ms + entry.cold_left_ms
        return record

    def put_restored(self, now_ms: float, entry: LeafEntry) -> LeafRecord:
        """Update a leaf from an entry that may be older than the one known.

        No leaf goes back to an earlier incarnation, from draining to ready or
        from cold to warm until it writes its entry again.
        """
        known = self.leafs.get(entry.leaf_id)
        if known is None or entry.born_ms > known.entry.born_ms:
            return self.put(now_ms, entry)
        if entry.born_ms < known.entry.born_ms or known.entry.draining:
            return known
        cold_until_ms = known.cold_until_ms
        was_suspect = known.suspect
        record = self.put(now_ms, entry)
        record.cold_until_ms = max(record.cold_until_ms, cold_until_ms)
        record.suspect = was_suspect
        return record

    def _restore(self, entry: LeafEntry) -> LeafRecord | None:
        """Use the record of the same incarnation again, if there is one."""
        record = self.dropped.pop(entry.leaf_id, None)
        if record is None or not entry.born_ms:
            return None
        known = record.entry
        if (known.service, known.born_ms) != (entry.service, entry.born_ms):
            return None
        self._insert(record)
        if record.request_limit is not None:
            record.request_limit.set_members(
                self.vm, self.members, entry.leaf_id
            )
        return record

    def _add(self, entry: LeafEntry) -> LeafRecord:
        distance_ms = self._distance_ms(entry.data_centre)
        record = LeafRecord(
            entry,
            distance_ms,
            self.regions.get(entry.data_centre, ""),
            connect_ms=distance_ms + ACCEPT_MS,
        )
        self._insert(record)
        return record

    def _insert(self, record: LeafRecord) -> None:
        self._assign(record)
        leaf_id = record.entry.leaf_id
        self.leafs[leaf_id] = record
        self.by_service.setdefault(record.entry.service, {})[leaf_id] = record

    def _drop(self, leaf_id: str) -> None:
        record = self.leafs.pop(leaf_id, None)
        if record is None:
            return
        if record.entry.draining:
            self._remember_drained(record.entry)
        else:
            self._remember_dropped(record)
        service_leafs = self.by_service[record.entry.service]
        del service_leafs[leaf_id]
        if not service_leafs:
            del self.by_service[record.entry.service]

    def _remember_drained(self, entry: LeafEntry) -> None:
        """Never use an incarnation again, whatever its entry says later."""
        if not entry.born_ms:
            return
        self.drained[entry.leaf_id, entry.born_ms] = None
        if len(self.drained) > MAX_DRAINED:
            del self.drained[next(iter(self.drained))]

    def _remember_dropped(self, record: LeafRecord) -> None:
        self.dropped[record.entry.leaf_id] = record
        if len(self.dropped) > MAX_DROPPED:
            del self.dropped[next(iter(self.dropped))]

    def on_process_paused(self, now_ms: float) -> None:
        """Handle a pause of this process, in which leafs may become cold."""
        self.hold_until_ms = now_ms + CONFIRMATION_WAIT_MS
        self.members_known = False

    def on_store_confirmed(self) -> None:
        """Handle the store's confirmation that the view is current."""
        self.hold_until_ms = float("-inf")

    def on_entry_removed(self, now_ms: float, leaf_id: str) -> None:
        """Handle a leaf's entry that was removed or became unreadable."""
        record = self.leafs.get(leaf_id)
        if record is None:
            return
        if record.entry.draining:
            record.entry_removed_at_ms = now_ms - REMOVED_USE_MS
        elif record.entry_removed_at_ms is None:
            record.entry_removed_at_ms = now_ms

    def readmit(self, now_ms: float, data_centre: str) -> None:
        """Use the leafs of an evacuated data centre again.

        The leafs may have become cold just before, and their updated entries
        may arrive after this update: until then they count as cold.
        """
        self.evacuated.discard(data_centre)
        for record in self.leafs.values():
            if record.entry.data_centre == data_centre:
                record.cold_until_ms = max(
                    record.cold_until_ms, now_ms + READMISSION_MS
                )

    def on_address_taken(self, leaf_id: str) -> None:
        """Handle that another leaf now uses a leaf's address.

        The leaf's entry is stale. Sends to its address would reach another
        service and count against that service's retry budget, so the leaf is
        removed until it writes its entry again.
        """
        self._drop(leaf_id)

    def drop_expired(self, now_ms: float) -> list[str]:
        """Drop leafs whose entries were removed too long ago; return their ids.

        Drained leafs, which announced that they leave, are dropped at once.
        """
        expired = [
            leaf_id
            for leaf_id, record in self.leafs.items()
            if record.entry_removed_at_ms is not None
            and now_ms - record.entry_removed_at_ms >= REMOVED_USE_MS
        ]
        for leaf_id in expired:
            self._drop(leaf_id)
        return expired

    def refresh_capacities(self) -> None:
        """Recompute all limits of leafs after services or members changed."""
        for record in self.leafs.values():
            self._assign(record)
            if record.request_limit is not None:
                record.request_limit.set_members(
                    self.vm, self.members, record.entry.leaf_id
                )

    def apply_notice(
        self, now_ms: float, leaf_id: str, notice: LeafNotice
    ) -> list[LeafChange]:
        """Apply what a leaf says of itself, and return what changed."""
        # A leaf may answer after its entry has lapsed.
        record = self.leafs.get(leaf_id) or self.dropped.get(leaf_id)
        if record is None:
            return []
        changes = []
        if self._set_limit(now_ms, record, notice.limit_per_s):
            is_limited = record.request_limit is not None
            changes.append(
                LeafChange.LIMITED if is_limited else LeafChange.UNLIMITED
            )
        if self._set_quiet(now_ms, record, notice.quiet_ms):
            changes.append(LeafChange.QUIET)
        if notice.is_leaving and not record.entry.draining:
            self._remember_drained(record.entry)
            record.entry = attrs.evolve(record.entry, draining=True)
            changes.append(LeafChange.LEAVING)
        return changes

    def _set_quiet(
        self, now_ms: float, record: LeafRecord, quiet_ms: float | None
    ) -> bool:
        """Set a leaf's quiet time; return whether it began."""
        if quiet_ms is None:
            if now_ms >= record.quiet_until_ms:
                record.is_returning = False
            return False
        was_quiet = now_ms < record.quiet_until_ms
        # The VMs were turned away together, and must not return together.
        position = rendezvous.hash_fraction(record.entry.leaf_id, self.vm)
        spread_ms = min(MAX_RETURN_SPREAD_MS, RETURN_SPREAD * quiet_ms)
        until_ms = now_ms + quiet_ms + position * spread_ms
        record.quiet_until_ms = max(record.quiet_until_ms, until_ms)
        record.is_returning = True
        return not was_quiet

    def earliest_use_ms(self, criteria: LeafCriteria) -> float | None:
        """Return when the first leaf that wants no requests may be used.

        Returns None if no leaf of the service wants none.
        """
        return min(
            (
                record.quiet_until_ms
                for record in self.by_service.get(criteria.service, {}).values()
                if record.is_returning and self._is_allowed(record, criteria)
            ),
            default=None,
        )

    def _set_limit(
        self, now_ms: float, record: LeafRecord, limit_per_s: float | None
    ) -> bool:
        """Set a leaf's limit; return whether it began or ended."""
        known = record.request_limit
        if known is not None and limit_per_s is not None:
            known.per_s = limit_per_s
            return False
        if limit_per_s is None:
            record.request_limit = None
            return known is not None
        record.request_limit = request_limit.create(
            now_ms, self.vm, self.members, record.entry.leaf_id, limit_per_s
        )
        return True

    def choose(
        self, now_ms: float, criteria: LeafCriteria
    ) -> LeafRecord | NoLeaf:
        """Return the leaf with the lowest expected latency, or why none fits.

        Warm leafs come first, then leafs whose entry was removed, then cold
        leafs within this VM's quota.
        """
        if now_ms < self.hold_until_ms:
            return NoLeaf.UNSURE
        usable = [
            record
            for leaf_id, record in self.by_service.get(
                criteria.service, {}
            ).items()
            if leaf_id not in criteria.tried
            and self._is_allowed(record, criteria)
        ]
        if not usable:
            return NoLeaf.NONE_LEFT
        if all(record.suspect for record in usable):
            return NoLeaf.UNREACHABLE
        warm = [record for record in usable if not record.is_cold(now_ms)]
        free = [
            record
            for record in warm
            if not record.is_full(now_ms) and not record.is_declining(now_ms)
        ]
        if free and not self.is_view_current():
            return self._fastest_verified(now_ms, free, criteria)
        if free:
            return self._fastest(now_ms, free, criteria)
        if any(not record.is_declining(now_ms) for record in warm):
            return NoLeaf.ALL_FULL
        cold = [record for record in usable if record.is_cold(now_ms)]
        chosen = self._choose_cold(now_ms, cold)
        if not warm or not isinstance(chosen, NoLeaf):
            return chosen
        if any(now_ms < record.quiet_until_ms for record in warm):
            return NoLeaf.ALL_QUIET
        return NoLeaf.ALL_LIMITED

    def choose_warm(
        self, now_ms: float, criteria: LeafCriteria
    ) -> LeafRecord | None:
        """Return the warm and free leaf with the lowest expected latency."""
        free = [
            record
            for record in self.by_service.get(criteria.service, {}).values()
            if self._is_allowed(record, criteria)
            and record.entry_removed_at_ms is None
            and not record.is_cold(now_ms)
            and not record.is_full(now_ms)
            and not record.is_declining(now_ms)
        ]
        if not free or now_ms < self.hold_until_ms:
            return None
        return self._fastest(now_ms, free, criteria)

    def _fastest(
        self, now_ms: float, free: list[LeafRecord], criteria: LeafCriteria
    ) -> LeafRecord:
        """Return the leaf with the lowest expected latency."""
        return min(
            free,
            key=lambda record: (
                record.entry_removed_at_ms is not None,
                record.expected_ms(
                    now_ms,
                    criteria.typical_ms,
                    connected=self.has_connection(record.entry.leaf_id),
                    is_slow=self.slow_leafs.is_slow(
                        now_ms, record.entry.leaf_id
                    ),
                ),
            ),
        )

    def _fastest_verified(
        self, now_ms: float, free: list[LeafRecord], criteria: LeafCriteria
    ) -> LeafRecord | NoLeaf:
        """Return a leaf that can't have restarted since its entry was read.

        Without a connection to a leaf and without news of its entry, nothing
        shows that it restarted and is cold; a health check does.
        """
        fastest = self._fastest(now_ms, free, criteria)
        if self._is_verified(now_ms, fastest):
            return fastest
        self.on_unverified(fastest)
        verified = [r for r in free if self._is_verified(now_ms, r)]
        if not verified:
            return NoLeaf.UNSURE
        return self._fastest(now_ms, verified, criteria)

    def _is_verified(self, now_ms: float, record: LeafRecord) -> bool:
        return (
            bool(record.outstanding)
            or self.has_connection(record.entry.leaf_id)
            or now_ms - record.verified_at_ms < VERIFIED_MS
        )

    def record_answer(
        self, record: LeafRecord, started_ms: float, *, is_late: bool
    ) -> None:
        """Record whether a leaf answered a request late."""
        self.self_check.record(is_late)
        if self.self_check.is_trusted:
            leaf_id = record.entry.leaf_id
            self.on_sample(LeafSample(leaf_id, started_ms, is_late))

    def _is_allowed(self, record: LeafRecord, criteria: LeafCriteria) -> bool:
        if record.entry.draining:
            return False
        if record.entry.data_centre in self.evacuated:
            return False
        return (
            not criteria.home_regions
            or record.home_region in criteria.home_regions
        )

    def _choose_cold(
        self, now_ms: float, cold: list[LeafRecord]
    ) -> LeafRecord | NoLeaf:
        for record in cold:
            # A suspect leaf may be down; a health check decides.
            if (
                record.suspect
                or record.is_full(now_ms)
                or record.is_declining(now_ms)
            ):
                continue
            since_ms = now_ms - record.last_cold_send_ms
            if since_ms >= cold_leaf_quota.SPACING_MS and self._may_use_cold(
                record
            ):
                record.last_cold_send_ms = now_ms
                return record
        return NoLeaf.ALL_COLD

    def _may_use_cold(self, record: LeafRecord) -> bool:
        if not self.members_known:
            return False
        service = self.services.get(record.entry.service)
        count = cold_leaf_quota.allowed_vm_count(
            service.cold_per_s if service is not None else 0.0,
            self.bounds.cold_factor,
            self.bounds.cold_slack,
        )
        return cold_leaf_quota.is_allowed(
            self.vm, self.members, record.entry.leaf_id, count
        )
