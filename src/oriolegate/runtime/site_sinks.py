"""Turns objects of the store into what this VM believes of its site."""

from collections.abc import Callable

from oriolegate import structured_log
from oriolegate.crashes.crash_ledger import CrashLedger
from oriolegate.exceptions import MalformedEntryError
from oriolegate.models.site import Configuration
from oriolegate.models.site import MemberEntry
from oriolegate.models.stored import StoredObject
from oriolegate.placement.leaf_directory import LeafDirectory
from oriolegate.platform import crash_entry
from oriolegate.platform import documents
from oriolegate.platform import member_entry
from oriolegate.routing.route_table import RouteTable

log = structured_log.get_logger("site")

CONFIGURATION_NAME = "main"
# Broken entries are logged once each; beyond this many names, not at all.
MAX_BROKEN_NAMES = 1_000


class BrokenEntries:
    """Logs each entry that can't be used once for each revision."""

    def __init__(self, collection: str) -> None:
        self.collection = collection
        self.revisions: dict[str, int] = {}

    def note(self, item: StoredObject, fault: MalformedEntryError) -> None:
        """Log a broken entry unless this revision was logged."""
        if self.revisions.get(item.name) == item.revision:
            return
        if len(self.revisions) >= MAX_BROKEN_NAMES:
            return
        self.revisions[item.name] = item.revision
        log.bind(
            collection=self.collection,
            name=item.name,
            revision=item.revision,
            reason=fault.message,
        ).warning("entry ignored")


class LeafSink:
    """Feeds the directory of leafs."""

    def __init__(self, directory: LeafDirectory) -> None:
        self.directory = directory
        self.broken = BrokenEntries("leafs")
        self.is_synchronized = False

    def put(self, now_ms: float, item: StoredObject) -> None:
        """Take a leaf's entry."""
        try:
            entry = documents.leaf_entry(item.name, item.content)
        except MalformedEntryError as fault:
            self.broken.note(item, fault)
            self.directory.on_entry_removed(now_ms, item.name)
            return
        self.directory.put(now_ms, entry)
        if self.is_synchronized:
            log.bind(
                leaf=item.name,
                service=entry.service,
                data_centre=entry.data_centre,
                revision=item.revision,
                draining=entry.draining,
                cold_ms=entry.cold_left_ms,
                born_ms=entry.born_ms,
            ).info("leaf changed")

    def remove(self, now_ms: float, name: str, listed: bool) -> None:
        """Take that a leaf's entry is gone."""
        self.directory.on_entry_removed(now_ms, name)
        log.bind(leaf=name, by_list=listed).info("leaf entry gone")

    def commit(self, now_ms: float, revision: int) -> None:
        """Log changes one by one from now on."""
        if not self.is_synchronized:
            log.bind(leafs=len(self.directory.leafs)).info("leafs listed")
        self.is_synchronized = True


class ConfigurationSink:
    """Holds the newest configuration; versions only rise.

    Attributes:
        table: The routes in force, or None before the first version.
        in_force_at_ms: Since when.
    """

    def __init__(self, directory: LeafDirectory) -> None:
        self.directory = directory
        self.broken = BrokenEntries("configuration")
        self.table: RouteTable | None = None
        self.in_force_at_ms = 0.0
        self.on_change: Callable[[Configuration], None] = lambda found: None

    def put(self, now_ms: float, item: StoredObject) -> None:
        """Take a configuration if it is newer than the one in force."""
        if item.name != CONFIGURATION_NAME:
            return
        try:
            found = documents.configuration(item.content)
        except MalformedEntryError as fault:
            self.broken.note(item, fault)
            return
        before = self.table.configuration.version if self.table else None
        if before is not None and found.version <= before:
            log.bind(version=found.version, in_force=before).warning(
                "older configuration ignored"
            )
            return
        self.table = RouteTable(found)
        self.in_force_at_ms = now_ms
        self.directory.services = found.services
        self.directory.refresh_capacities()
        self.on_change(found)
        log.bind(
            version=found.version,
            before=before,
            revision=item.revision,
            routes=len(found.routes),
        ).info("configuration in force")

    def remove(self, now_ms: float, name: str, listed: bool) -> None:
        """Keep the configuration in force: nothing replaces it."""
        log.bind(name=name).warning("configuration object gone; kept")

    def commit(self, now_ms: float, revision: int) -> None:
        """Do nothing: every configuration was taken as it came."""


class EvacuationSink:
    """Holds which data centres get nothing."""

    def __init__(self, directory: LeafDirectory) -> None:
        self.directory = directory

    def put(self, now_ms: float, item: StoredObject) -> None:
        """Send nothing more to a data centre."""
        self.directory.evacuated.add(item.name)
        log.bind(data_centre=item.name, revision=item.revision).info(
            "data centre evacuated"
        )

    def remove(self, now_ms: float, name: str, listed: bool) -> None:
        """Use a data centre again."""
        self.directory.readmit(now_ms, name)
        log.bind(data_centre=name).info("data centre in use again")

    def commit(self, now_ms: float, revision: int) -> None:
        """Do nothing: every entry was taken as it came."""


class CrashSink:
    """Feeds the ledger of requests with which leafs fell."""

    def __init__(self, ledger: CrashLedger) -> None:
        self.ledger = ledger
        self.broken = BrokenEntries("crashes")

    def put(self, now_ms: float, item: StoredObject) -> None:
        """Take a report."""
        try:
            report = crash_entry.decode(item.content)
        except MalformedEntryError as fault:
            self.broken.note(item, fault)
            return
        self.ledger.add_report(item.name, report)
        log.bind(id=report.attempt_id, leaf=report.leaf_id, vm=report.vm).info(
            "crash reported"
        )

    def remove(self, now_ms: float, name: str, listed: bool) -> None:
        """Take that a report no longer holds."""
        self.ledger.remove_report(name)
        log.bind(name=name).info("crash report gone")

    def commit(self, now_ms: float, revision: int) -> None:
        """Do nothing: every report was taken as it came."""


class MemberSink:
    """Holds which VMs may run."""

    def __init__(
        self, vm: str, on_change: Callable[[tuple[MemberEntry, ...]], None]
    ) -> None:
        self.vm = vm
        self.on_change = on_change
        self.broken = BrokenEntries("members")
        self.entries: dict[str, MemberEntry] = {}

    def commit(self, now_ms: float, revision: int) -> None:
        """Take the member list, also if it holds nobody else."""
        log.bind(count=len(self.entries), revision=revision).info(
            "members changed"
        )
        self.on_change(tuple(self.entries.values()))

    def put(self, now_ms: float, item: StoredObject) -> None:
        """Take a VM's entry."""
        try:
            entry = member_entry.decode(item.content)
        except MalformedEntryError as fault:
            self.broken.note(item, fault)
            return
        self.entries[item.name] = entry

    def remove(self, now_ms: float, name: str, listed: bool) -> None:
        """Take that a VM left."""
        self.entries.pop(name, None)
