"""The platform's lagging list of VMs, and what it proves or suggests."""

from oriolegate.membership.effects import ListedVm
from oriolegate.membership.member_table import MemberTable
from oriolegate.membership.messages import Member
from oriolegate.membership.messages import MemberState


class VmListing:
    """The newest list, and the incarnations that are known to have ended.

    Attributes:
        rows: By VM.
        ended: Newest incarnation of each VM that runs no more.
    """

    def __init__(self, own_vm: str) -> None:
        self.own_vm = own_vm
        self.rows: dict[str, ListedVm] = {}
        self.ended: dict[str, int] = {}

    def take(self, vms: tuple[ListedVm, ...]) -> None:
        """Replace the list."""
        self.rows = {row.vm: row for row in vms}

    def possibly_running(self) -> set[str]:
        """Return the listed VMs that the list does not call gone."""
        return {vm for vm, row in self.rows.items() if not row.gone}

    def _is_missing(self, vm: str, table: MemberTable) -> bool:
        known = table.members.get(vm)
        return vm != self.own_vm and (
            known is None or known.state is MemberState.DEAD
        )

    def missing_from(self, table: MemberTable) -> list[str]:
        """Return listed VMs that the table lacks or holds dead."""
        return [
            vm
            for vm in sorted(self.possibly_running())
            if self._is_missing(vm, table)
        ]

    def ended_by_list(
        self, table: MemberTable, wall_ms: int | None
    ) -> list[tuple[str, int]]:
        """Return gone VMs that the table doesn't hold live.

        Each comes with the newest incarnation that has ended. Incarnations
        are wall clock readings, so for a VM that was never met here it is
        the present one: a later VM of that name isn't taken for ended.
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

    def note_end(self, vm: str, incarnation: int) -> bool:
        """Note that an incarnation has ended; return whether it was news."""
        if self.ended.get(vm, -1) >= incarnation:
            return False
        self.ended[vm] = incarnation
        return True

    def census(self, table: MemberTable) -> list[Member]:
        """Return every VM that may be serving, unreachable ones included.

        A listed VM that nobody here has met has incarnation 0 and counts as
        dead, that is, as one that can't be asked.
        """
        entries = [
            member
            for vm, member in table.members.items()
            if self.ended.get(vm, -1) < member.incarnation
        ]
        for vm in sorted(self.possibly_running() - set(table.members)):
            row = self.rows[vm]
            entries.append(
                Member(
                    vm,
                    row.host,
                    row.peer_port,
                    row.data_centre,
                    incarnation=0,
                    state=MemberState.DEAD,
                )
            )
        return entries
