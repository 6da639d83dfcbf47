"""The platform's list of VMs, which may be out of date."""

from oriolegate.membership.effects import ListedVm
from oriolegate.membership.member_table import MemberTable
from oriolegate.membership.messages import Member
from oriolegate.membership.messages import MemberState


class VmListing:
    """The newest list of VMs, and the incarnations that have ended.

    Attributes:
        rows: Rows by VM.
        ended: Newest incarnation that has ended, by VM.
    """

    def __init__(self, own_vm: str) -> None:
        self.own_vm = own_vm
        self.rows: dict[str, ListedVm] = {}
        self.ended: dict[str, int] = {}

    def replace(self, vms: tuple[ListedVm, ...]) -> None:
        """Replace the list."""
        self.rows = {row.vm: row for row in vms}

    def listed_not_gone(self) -> set[str]:
        """Return the listed VMs that aren't marked as gone."""
        return {vm for vm, row in self.rows.items() if not row.gone}

    def _is_missing(self, vm: str, table: MemberTable) -> bool:
        known = table.members.get(vm)
        return vm != self.own_vm and (
            known is None or known.state is MemberState.DEAD
        )

    def missing_from(self, table: MemberTable) -> list[str]:
        """Return listed VMs that are missing or dead in the table."""
        return [
            vm
            for vm in sorted(self.listed_not_gone())
            if self._is_missing(vm, table)
        ]

    def incarnations_ended_by_list(
        self, table: MemberTable, wall_ms: int | None
    ) -> list[tuple[str, int]]:
        """Return VMs that are listed as gone and missing or dead in the table.

        Each VM is returned with its newest incarnation that has ended.
        Incarnations are wall clock readings, so for a VM that isn't in the
        table, the current time is returned: a later process of the same VM
        name isn't considered ended.
        """
        for vm in list(self.ended):
            if vm not in self.rows and vm not in table.members:
                del self.ended[vm]
        ended = []
        for vm, row in sorted(self.rows.items()):
            if not row.gone or not self._is_missing(vm, table):
                continue
            known = table.members.get(vm)
            if known is not None:
                ended.append((vm, known.incarnation))
            elif wall_ms is not None and vm not in self.ended:
                ended.append((vm, wall_ms))
        return ended

    def record_end(self, vm: str, incarnation: int) -> bool:
        """Record that an incarnation has ended; return whether this is news."""
        if self.ended.get(vm, -1) >= incarnation:
            return False
        self.ended[vm] = incarnation
        return True

    def possible_members(self, table: MemberTable) -> list[Member]:
        """Return all VMs that may be serving, including unreachable ones.

        A listed VM that isn't in the table has incarnation 0 and counts as
        dead, which means unreachable.
        """
        members = [
            member
            for vm, member in table.members.items()
            if self.ended.get(vm, -1) < member.incarnation
        ]
        for vm in sorted(self.listed_not_gone() - set(table.members)):
            row = self.rows[vm]
            members.append(
                Member(
                    vm,
                    row.host,
                    row.peer_port,
                    row.data_centre,
                    incarnation=0,
                    state=MemberState.DEAD,
                )
            )
        return members
