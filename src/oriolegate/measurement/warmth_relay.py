"""Tells VMs what others found out about leafs; stands for peers' messages.

Without it a VM that holds no cold share could never find a leaf warm. It
carries two signs, each with the latency between the VMs' data centres: that
the holder of the cold share found a leaf warm, and that some VM found one
cold.
"""

from collections.abc import Callable
import functools

import attrs

from oriolegate.measurement.virtual_time import MS_PER_S
from oriolegate.measurement.virtual_vm import VirtualVm
from oriolegate.upstreams.leaf_state import LeafPhase
from oriolegate.upstreams.leaf_state import LeafState
from oriolegate.upstreams.leaf_state import ReportedState
from oriolegate.upstreams.messages import LeafUpdate

# How long news are gathered before they are sent.
GATHER_MS = 5.0


@attrs.define
class WarmthRelay:
    """Hears of changes from the leaf tables of all VMs.

    Attributes:
        vms: The VMs; the first holds the cold share.
        latency_ms: One-way latency between two data centres.
    """

    vms: list[VirtualVm]
    latency_ms: Callable[[str, str], float]

    def start(self) -> None:
        """Hear of every change from now on."""
        for vm in self.vms:
            vm.tier.table.on_phase_change = functools.partial(self._changed, vm)

    def _changed(self, vm: VirtualVm, state: LeafState) -> None:
        if state.phase is LeafPhase.COLD:
            self._tell(vm, state, ReportedState.COLD)
        elif state.phase is LeafPhase.WARM and vm is self.vms[0]:
            self._tell(vm, state, ReportedState.WARM)

    def _tell(
        self, teller: VirtualVm, leaf: LeafState, state: ReportedState
    ) -> None:
        news = LeafUpdate(leaf.leaf.name, state, leaf.incarnation)
        for vm in self.vms:
            if vm is not teller:
                delay_ms = GATHER_MS + self.latency_ms(
                    teller.data_centre, vm.data_centre
                )
                vm.timers.callLater(delay_ms / MS_PER_S, _take, vm, news)


def _take(vm: VirtualVm, news: LeafUpdate) -> None:
    vm.tier.table.apply_update(vm.reactor.now_ms(), news)
    vm.tier.capacity_changed()
