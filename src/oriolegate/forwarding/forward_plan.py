"""Decides to which VM a forwarded request goes next.

A request goes to the next VM only if the previous one certainly did not run it,
or if it may run more than once. Whether an answer that got lost counts as run
is decided here for all ways of forwarding.
"""

import attrs


@attrs.define(eq=False)
class ForwardPlan:
    """The VMs to which one request may be forwarded.

    Attributes:
        targets: VMs that may run the request, in order of preference.
        repeatable: Whether the request may run more than once.
        deadline_at_ms: Time of the deadline.
        untried: VMs not yet tried in this round, in order.
        vm: VM that the request was last sent to, or empty.
        may_have_run: Whether the request may have run, here before it was
            forwarded or at a VM whose answer is missing.
    """

    targets: tuple[str, ...]
    repeatable: bool
    deadline_at_ms: float
    untried: list[str] = attrs.field(init=False)
    vm: str = ""
    may_have_run: bool = False

    def __attrs_post_init__(self) -> None:
        self.untried = list(self.targets)

    def next_vm(self, now_ms: float) -> str | None:
        """Return the VM to send the request to next, or None to give up."""
        self.vm = ""
        is_allowed = self.repeatable or not self.may_have_run
        if not is_allowed or not self.untried or now_ms >= self.deadline_at_ms:
            return None
        self.vm = self.untried.pop(0)
        return self.vm

    def on_lost(self) -> None:
        """Handle that the current VM may have run the request unanswered."""
        self.may_have_run = True

    def can_repeat_round(self, now_ms: float, interval_ms: float) -> bool:
        """Return whether all VMs may be tried again after an interval."""
        return (
            bool(self.targets)
            and not self.may_have_run
            and self.deadline_at_ms - now_ms > interval_ms
        )

    def start_round(self) -> None:
        """Allow all VMs again."""
        self.untried = list(self.targets)
