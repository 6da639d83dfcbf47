"""Sends leaf states between VMs; replaces the product's peer messages.

A VM's cold share is the number of concurrent requests that the VM may send to a
cold leaf. Without the relay a VM that holds no cold share could never learn
that a leaf is warm. The relay sends two kinds of updates, with the
latency between the VMs' data centres: that the holder of the cold share saw a
leaf become warm, and that some VM saw a leaf become cold.
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

# Time for which a VM batches updates before it sends them.
BATCH_MS = 5.0


@attrs.define
class LeafUpdateRelay:
    """Sends phase changes from each VM's leaf table to the other VMs.

    Attributes:
        vms: All VMs; the first holds the cold share.
        latency_ms: Returns the one-way latency between two data centres.
    """

    vms: list[VirtualVm]
    latency_ms: Callable[[str, str], float]

    def start(self) -> None:
        """Subscribe to the phase changes of all leaf tables."""
        for vm in self.vms:
            vm.tier.table.on_phase_change = functools.partial(
                self._on_phase_change, vm
            )

    def _on_phase_change(self, vm: VirtualVm, state: LeafState) -> None:
        if state.phase is LeafPhase.COLD:
            self._send(vm, state, ReportedState.COLD)
        elif state.phase is LeafPhase.WARM and vm is self.vms[0]:
            self._send(vm, state, ReportedState.WARM)

    def _send(
        self, sender: VirtualVm, leaf: LeafState, state: ReportedState
    ) -> None:
        update = LeafUpdate(leaf.leaf.name, state, leaf.incarnation)
        for vm in self.vms:
            if vm is not sender:
                delay_ms = BATCH_MS + self.latency_ms(
                    sender.data_centre, vm.data_centre
                )
                vm.timers.callLater(
                    delay_ms / MS_PER_S, _apply_update, vm, update
                )


def _apply_update(vm: VirtualVm, update: LeafUpdate) -> None:
    vm.tier.table.apply_update(vm.reactor.now_ms(), update)
    vm.tier.capacity_changed()
