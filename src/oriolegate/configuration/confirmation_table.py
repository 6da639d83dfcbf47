"""Table of the rules version that each VM has confirmed."""

from collections.abc import Iterable

from oriolegate.configuration.effects import InForceStatus
from oriolegate.configuration.effects import PossibleMember
from oriolegate.configuration.messages import Confirmation
from oriolegate.membership.rendezvous import stable_hash

MAX_CONFIRMATIONS = 16_384


def _hash(confirmation: Confirmation) -> int:
    return stable_hash(
        confirmation.vm,
        str(confirmation.incarnation),
        str(confirmation.version),
    )


class ConfirmationTable:
    """The newest confirmation of the newest process of each VM.

    Attributes:
        items: Confirmations by VM.
        possible_members: VMs that may be serving, by name.
        digest: XOR of the hashes of all confirmations.
    """

    def __init__(self) -> None:
        self.items: dict[str, Confirmation] = {}
        self.possible_members: dict[str, PossibleMember] = {}
        self.digest = 0

    def merge(self, confirmation: Confirmation) -> bool:
        """Store a confirmation; return whether it is newer than the known one.

        A new VM is ignored if `MAX_CONFIRMATIONS` are stored.
        """
        known = self.items.get(confirmation.vm)
        if known is None:
            if len(self.items) >= MAX_CONFIRMATIONS:
                return False
        elif (known.incarnation, known.version) >= (
            confirmation.incarnation,
            confirmation.version,
        ):
            return False
        else:
            self.digest ^= _hash(known)
        self.digest ^= _hash(confirmation)
        self.items[confirmation.vm] = confirmation
        return True

    def set_possible_members(self, members: Iterable[PossibleMember]) -> None:
        """Replace the possible members; drop confirmations of other VMs."""
        self.possible_members = {member.vm: member for member in members}
        for vm in list(self.items):
            if vm not in self.possible_members:
                self.digest ^= _hash(self.items.pop(vm))

    def _has_confirmed(self, member: PossibleMember, version: int) -> bool:
        confirmation = self.items.get(member.vm)
        return (
            confirmation is not None
            and confirmation.incarnation >= member.incarnation
            and confirmation.version >= version
        )

    def in_force(self, version: int) -> InForceStatus:
        """Return which VMs are known to have a version in force."""
        missing = [
            member
            for member in self.possible_members.values()
            if not self._has_confirmed(member, version)
        ]
        return InForceStatus(
            version=version,
            confirmed=len(self.possible_members) - len(missing),
            pending=tuple(
                sorted(member.vm for member in missing if member.reachable)
            ),
            unreachable=tuple(
                sorted(member.vm for member in missing if not member.reachable)
            ),
        )
