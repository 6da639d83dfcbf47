"""Watches whether this VM reaches leafs, and probes them while it doesn't."""

from collections.abc import Callable

from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.forwarding.target_choice import TargetChoice
from oriolegate.metrics import MetricsRegistry
from oriolegate.placement.leaf_contact import LeafContact
from oriolegate.placement.leaf_directory import LeafDirectory
from oriolegate.runtime.down_confirmation import DownConfirmation
from oriolegate.runtime.leaf_prober import LeafProber

log = structured_log.get_logger("leafs")


class ContactWatch:
    """Logs when this VM loses all leafs, and probes some until one responds.

    Attributes:
        was_cut_off: Whether the VM was cut off at the last check.
        prober: Probes leafs; while this VM is cut off, its callers' requests
            go to other VMs, and only probes show that leafs respond again.
        targets: VMs that serve the callers of this one while it is cut off.
        on_cut_off: Called when the VM loses its leafs, once a connection has
            failed too: silence alone may be slowness.
        must_hand_over: Whether `on_cut_off` is still to be called.
    """

    def __init__(
        self,
        clock: Clock,
        contact: LeafContact,
        directory: LeafDirectory,
        prober: LeafProber,
        confirmation: DownConfirmation,
        targets: TargetChoice,
        metrics: MetricsRegistry,
    ) -> None:
        self.clock = clock
        self.contact = contact
        self.directory = directory
        self.prober = prober
        self.confirmation = confirmation
        self.targets = targets
        self.was_cut_off = False
        self.must_hand_over = False
        self.on_cut_off: Callable[[], None] = lambda: None
        metrics.gauge("oriolegate_cut_off", lambda: int(self.is_cut_off()))
        metrics.gauge(
            "oriolegate_suspected_leafs",
            lambda: sum(leaf.suspect for leaf in directory.leafs.values()),
        )

    def is_cut_off(self) -> bool:
        """Return whether this VM seems to reach no leaf."""
        return self.contact.is_cut_off(
            self.clock.now_ms(), len(self.directory.leafs)
        )

    def is_isolated(self) -> bool:
        """Return whether this VM reaches neither leafs nor other VMs.

        Its callers are then served better if they connect to another VM. While
        other VMs answer that they are cut off as well, this one stays in
        rotation, since otherwise no VM might be left.
        """
        return self.is_cut_off() and self.targets.is_isolated(
            self.clock.now_ms()
        )

    def check_on_arrival(self) -> None:
        """Notice at a request that this VM has lost its leafs."""
        if not self.was_cut_off and self.is_cut_off():
            self.check()

    def check(self) -> None:
        """Log changes, probe leafs, and confirm which leafs are down."""
        now_ms = self.clock.now_ms()
        is_cut_off = self.is_cut_off()
        if is_cut_off != self.was_cut_off:
            self.was_cut_off = is_cut_off
            self.must_hand_over = is_cut_off
            self._report(now_ms, is_cut_off)
        if self.must_hand_over and self.contact.refusing:
            self.must_hand_over = False
            self.on_cut_off()
        self.confirmation.check(is_cut_off=is_cut_off)
        if (
            is_cut_off
            or self.confirmation.needs_probe
            or self.contact.needs_probe(len(self.directory.leafs))
        ):
            self.prober.probe()

    def _report(self, now_ms: float, is_cut_off: bool) -> None:
        if not is_cut_off:
            log.info("leafs respond again")
            return
        log.bind(
            silent=len(self.contact.silent_leafs(now_ms)),
            failed_probes=self.contact.failed_probes,
            known=len(self.directory.leafs),
            since_ms=round(now_ms - self.contact.last_response_ms),
        ).warning("no leaf responds to this VM; other VMs serve its callers")
