"""Tells VMs what others found out about leafs; stands for peers' messages.

Without it a VM that holds no cold share could never find a leaf warm. It
carries two signs, each with the latency between the VMs' data centres: that
the holder of the cold share found a leaf warm, and that some VM found one
cold.
"""

from collections.abc import Callable

import attrs

from oriolegate.measurement.virtual_time import MS_PER_S
from oriolegate.measurement.virtual_vm import VirtualVm
from oriolegate.upstreams.leaf_state import LeafPhase
from oriolegate.upstreams.leaf_state import ReportedState
from oriolegate.upstreams.messages import LeafNews

POLL_MS = 5.0


@attrs.define
class WarmthRelay:
    """Watches the leaf tables of all VMs.

    Attributes:
        vms: The VMs; the first holds the cold share.
        latency_ms: One-way latency between two data centres.
        phases: Phases at the last look, by VM and leaf.
    """

    vms: list[VirtualVm]
    latency_ms: Callable[[str, str], float]
    phases: dict[tuple[str, str], LeafPhase] = attrs.field(factory=dict)

    def poll(self) -> None:
        """Look for changes and tell of them; then look again later."""
        for vm in self.vms:
            vm.timers.reactor.callLater(0.0, self._look_at, vm)
        self.vms[0].reactor.callLater(POLL_MS / MS_PER_S, self.poll)

    def _look_at(self, vm: VirtualVm) -> None:
        if vm.timers.paused or vm.timers.dead:
            return
        for name, state in vm.tier.table.leafs.items():
            key = (vm.name, name)
            before = self.phases.get(key, LeafPhase.COLD)
            self.phases[key] = state.phase
            if state.phase is before:
                continue
            if state.phase is LeafPhase.COLD:
                self._tell(vm, name, ReportedState.COLD, state.incarnation)
            elif state.phase is LeafPhase.WARM and vm is self.vms[0]:
                self._tell(vm, name, ReportedState.WARM, state.incarnation)

    def _tell(
        self, teller: VirtualVm, leaf: str, state: ReportedState, number: int
    ) -> None:
        for vm in self.vms:
            if vm is not teller:
                delay_ms = self.latency_ms(teller.data_centre, vm.data_centre)
                vm.timers.callLater(
                    delay_ms / MS_PER_S, _take, vm, leaf, state, number
                )


def _take(vm: VirtualVm, leaf: str, state: ReportedState, number: int) -> None:
    table = vm.tier.table
    if leaf not in table.leafs:
        return
    table.take_news(vm.reactor.now_ms(), LeafNews(leaf, state, number))
    vm.tier.capacity_changed()
