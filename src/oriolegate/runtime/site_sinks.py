"""Sinks that apply objects of the store to this VM's state."""

from collections.abc import Callable
from typing import Protocol

from oriolegate import structured_log
from oriolegate.exceptions import MalformedEntryError
from oriolegate.models.site import Configuration
from oriolegate.models.site import CrashEntry
from oriolegate.models.site import CrashReport
from oriolegate.models.site import CrashTrial
from oriolegate.models.site import LeafEntry
from oriolegate.models.site import MemberEntry
from oriolegate.models.stored import StoredObject
from oriolegate.placement.leaf_directory import LeafDirectory
from oriolegate.placement.leaf_record import LeafRecord
from oriolegate.platform import crash_entry
from oriolegate.platform import documents
from oriolegate.platform import member_entry
from oriolegate.routing.route_table import RouteTable

log = structured_log.get_logger("site")

CONFIGURATION_NAME = "main"
# Limit on the entry names remembered for logging; invalid entries of further
# names are not logged.
MAX_INVALID_NAMES = 1_000


class InvalidEntryLog:
    """Logs each invalid entry once per revision."""

    def __init__(self, collection: str) -> None:
        self.collection = collection
        self.revisions: dict[str, int] = {}

    def log_once(self, item: StoredObject, error: MalformedEntryError) -> None:
        """Log an invalid entry unless this revision was logged."""
        if self.revisions.get(item.name) == item.revision:
            return
        if len(self.revisions) >= MAX_INVALID_NAMES:
            return
        self.revisions[item.name] = item.revision
        log.bind(
            collection=self.collection,
            name=item.name,
            revision=item.revision,
            reason=error.message,
        ).warning("invalid entry ignored")


class LeafSink:
    """Applies leaf entries to the leaf directory."""

    def __init__(self, directory: LeafDirectory) -> None:
        self.directory = directory
        self.invalid_entries = InvalidEntryLog("leafs")
        self.is_synchronized = False

    def put(self, now_ms: float, item: StoredObject) -> None:
        """Add or update a leaf; treat an invalid entry as removed."""
        self._put(now_ms, item, self.directory.put)

    def put_restored(self, now_ms: float, item: StoredObject) -> None:
        """Update a leaf from an entry that may be older than the one known."""
        self._put(now_ms, item, self.directory.put_restored)

    def _put(
        self,
        now_ms: float,
        item: StoredObject,
        put: Callable[[float, LeafEntry], LeafRecord],
    ) -> None:
        try:
            entry = documents.decode_leaf_entry(item.name, item.content)
        except MalformedEntryError as error:
            self.invalid_entries.log_once(item, error)
            self.directory.on_entry_removed(now_ms, item.name)
            return
        put(now_ms, entry)
        if self.is_synchronized:
            log.bind(
                leaf=item.name,
                service=entry.service,
                data_centre=entry.data_centre,
                revision=item.revision,
                draining=entry.draining,
                cold_ms=entry.cold_left_ms,
                born_ms=entry.born_ms,
            ).info("leaf entry added or updated")

    def remove(self, now_ms: float, name: str, by_list: bool) -> None:
        """Mark a leaf whose entry was removed."""
        self.directory.on_entry_removed(now_ms, name)
        log.bind(leaf=name, by_list=by_list).info("leaf entry removed")

    def on_absent(self, now_ms: float, name: str) -> None:
        """Do nothing; leafs write their entries again."""

    def commit(self, now_ms: float, revision: int) -> None:
        """Log the first list as a whole; `put` logs later changes."""
        if not self.is_synchronized:
            log.bind(leafs=len(self.directory.leafs)).info(
                "first list of leafs applied"
            )
        self.is_synchronized = True


class ConfigurationSink:
    """Holds the newest configuration; never returns to an older version.

    Attributes:
        table: The routes in force, or None before the first version.
        in_force_at_ms: When the routes came into force.
        on_change: Called with each new configuration.
    """

    def __init__(self, directory: LeafDirectory) -> None:
        self.directory = directory
        self.decoder = documents.ConfigurationDecoder()
        self.invalid_entries = InvalidEntryLog("configuration")
        self.table: RouteTable | None = None
        self.in_force_at_ms = 0.0
        self.on_change: Callable[[Configuration], None] = lambda new: None

    def put(self, now_ms: float, item: StoredObject) -> None:
        """Apply a configuration if it is newer than the one in force."""
        if item.name != CONFIGURATION_NAME:
            return
        try:
            configuration = self.decoder.decode(item.content)
        except MalformedEntryError as error:
            self.invalid_entries.log_once(item, error)
            return
        old_version = self.table.configuration.version if self.table else None
        if old_version is not None and configuration.version <= old_version:
            log.bind(
                version=configuration.version, in_force=old_version
            ).warning("configuration is not newer; keeping the one in force")
            return
        self.table = RouteTable(configuration)
        self.in_force_at_ms = now_ms
        self.directory.services = configuration.services
        self.directory.refresh_capacities()
        self.on_change(configuration)
        log.bind(
            version=configuration.version,
            before=old_version,
            revision=item.revision,
            routes=len(configuration.routes),
        ).info("configuration in force")

    def put_restored(self, now_ms: float, item: StoredObject) -> None:
        """Apply an entry of a restored store like any other."""
        self.put(now_ms, item)

    def remove(self, now_ms: float, name: str, by_list: bool) -> None:
        """Keep the configuration in force, since no other replaces it."""
        log.bind(name=name).warning(
            "configuration object removed; keeping the one in force"
        )

    def on_absent(self, now_ms: float, name: str) -> None:
        """Do nothing; the operator writes it again."""

    def commit(self, now_ms: float, revision: int) -> None:
        """Do nothing; `put` has applied every configuration."""


class EvacuationSink:
    """Applies evacuations of data centres to the leaf directory."""

    def __init__(self, directory: LeafDirectory) -> None:
        self.directory = directory

    def put(self, now_ms: float, item: StoredObject) -> None:
        """Stop sending requests to a data centre."""
        self.directory.evacuated.add(item.name)
        log.bind(data_centre=item.name, revision=item.revision).info(
            "data centre evacuated"
        )

    def put_restored(self, now_ms: float, item: StoredObject) -> None:
        """Apply an entry of a restored store like any other."""
        self.put(now_ms, item)

    def remove(self, now_ms: float, name: str, by_list: bool) -> None:
        """Resume sending requests to a data centre."""
        self.directory.readmit(now_ms, name)
        log.bind(data_centre=name).info("data centre in use again")

    def on_absent(self, now_ms: float, name: str) -> None:
        """Do nothing; the operator writes it again."""

    def commit(self, now_ms: float, revision: int) -> None:
        """Do nothing; `put` and `remove` have applied every entry."""


class CrashEntries(Protocol):
    """Receives the reports and trials that the store holds."""

    def on_entry(self, name: str, entry: CrashEntry) -> None:
        """Handle an entry that was added or updated."""
        ...

    def on_entry_removed(self, name: str) -> None:
        """Handle an entry that was removed."""
        ...

    def on_entry_absent(self, name: str) -> None:
        """Handle an entry that a restored store lacks."""
        ...


class CrashSink:
    """Applies crash reports, and trials of the requests they are about."""

    def __init__(self, entries: CrashEntries) -> None:
        self.entries = entries
        self.invalid_entries = InvalidEntryLog("crashes")

    def put(self, now_ms: float, item: StoredObject) -> None:
        """Add a crash report or a trial."""
        try:
            entry = crash_entry.decode(item.content)
        except MalformedEntryError as error:
            self.invalid_entries.log_once(item, error)
            return
        self.entries.on_entry(item.name, entry)
        bound_log = log.bind(id=entry.attempt_id, vm=entry.vm)
        match entry:
            case CrashReport():
                bound_log.bind(leaf=entry.leaf_id).info("crash reported")
            case CrashTrial():
                bound_log.bind(trial=entry.number).info(
                    "trial of a refused request claimed"
                )

    def put_restored(self, now_ms: float, item: StoredObject) -> None:
        """Apply an entry of a restored store like any other."""
        self.put(now_ms, item)

    def remove(self, now_ms: float, name: str, by_list: bool) -> None:
        """Remove a crash report or trial that is no longer valid."""
        self.entries.on_entry_removed(name)
        log.bind(name=name, by_list=by_list).info("crash report removed")

    def on_absent(self, now_ms: float, name: str) -> None:
        """Let the VM that wrote an entry write it again."""
        self.entries.on_entry_absent(name)

    def commit(self, now_ms: float, revision: int) -> None:
        """Do nothing; `put` and `remove` have applied every entry."""


class MemberSink:
    """Collects the entries of the VMs that are members."""

    def __init__(
        self,
        vm: str,
        on_change: Callable[[tuple[MemberEntry, ...]], None],
        on_own_entry_absent: Callable[[], None],
    ) -> None:
        self.vm = vm
        self.on_change = on_change
        self.on_own_entry_absent = on_own_entry_absent
        self.invalid_entries = InvalidEntryLog("members")
        self.entries: dict[str, MemberEntry] = {}

    def on_absent(self, now_ms: float, name: str) -> None:
        """Let this VM write its own entry again."""
        if name == self.vm:
            self.on_own_entry_absent()

    def commit(self, now_ms: float, revision: int) -> None:
        """Report the member list, even if it is empty."""
        log.bind(count=len(self.entries), revision=revision).info(
            "member list applied"
        )
        self.on_change(tuple(self.entries.values()))

    def put(self, now_ms: float, item: StoredObject) -> None:
        """Add or update a VM's entry."""
        try:
            entry = member_entry.decode(item.content)
        except MalformedEntryError as error:
            self.invalid_entries.log_once(item, error)
            return
        self.entries[item.name] = entry

    def put_restored(self, now_ms: float, item: StoredObject) -> None:
        """Apply an entry of a restored store like any other."""
        self.put(now_ms, item)

    def remove(self, now_ms: float, name: str, by_list: bool) -> None:
        """Remove a VM's entry."""
        self.entries.pop(name, None)
