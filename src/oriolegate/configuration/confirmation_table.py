"""Table of the rules version that each VM has confirmed."""

from collections.abc import Iterable

from oriolegate.configuration.effects import CensusEntry
from oriolegate.configuration.effects import InForceStatus
from oriolegate.configuration.messages import Confirmation
from oriolegate.membership.rendezvous import stable_hash

MAX_CONFIRMATIONS = 16_384


def _hash(item: Confirmation) -> int:
    return stable_hash(item.vm, str(item.incarnation), str(item.version))


class ConfirmationTable:
    """The newest confirmation of the newest process of each VM.

    Attributes:
        items: Confirmations by VM.
        census: VMs that may be serving, by name.
        digest: XOR of the hashes of all items.
    """

    def __init__(self) -> None:
        self.items: dict[str, Confirmation] = {}
        self.census: dict[str, CensusEntry] = {}
        self.digest = 0

    def merge(self, item: Confirmation) -> bool:
        """Store a confirmation; return whether it was newer than the known one.

        A new VM is ignored if `MAX_CONFIRMATIONS` are stored.
        """
        known = self.items.get(item.vm)
        if known is None:
            if len(self.items) >= MAX_CONFIRMATIONS:
                return False
        elif (known.incarnation, known.version) >= (
            item.incarnation,
            item.version,
        ):
            return False
        else:
            self.digest ^= _hash(known)
        self.digest ^= _hash(item)
        self.items[item.vm] = item
        return True

    def set_census(self, entries: Iterable[CensusEntry]) -> None:
        """Replace the census; drop confirmations of VMs that are not in it."""
        self.census = {entry.vm: entry for entry in entries}
        for vm in list(self.items):
            if vm not in self.census:
                self.digest ^= _hash(self.items.pop(vm))

    def _has_confirmed(self, entry: CensusEntry, version: int) -> bool:
        item = self.items.get(entry.vm)
        return (
            item is not None
            and item.incarnation >= entry.incarnation
            and item.version >= version
        )

    def in_force(self, version: int) -> InForceStatus:
        """Return which VMs are known to have a version in force."""
        missing = [
            entry
            for entry in self.census.values()
            if not self._has_confirmed(entry, version)
        ]
        return InForceStatus(
            version=version,
            confirmed=len(self.census) - len(missing),
            pending=tuple(
                sorted(entry.vm for entry in missing if entry.reachable)
            ),
            unreachable=tuple(
                sorted(entry.vm for entry in missing if not entry.reachable)
            ),
        )
