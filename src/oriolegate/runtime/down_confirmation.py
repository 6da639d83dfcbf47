"""Confirms that leafs which a check found down are, before others learn it.

A VM that is cut off finds all leafs down. So a leaf counts as down only once
another one has responded on a new connection after the check that failed.
"""

from collections.abc import Callable

import attrs

from oriolegate.clock import Clock
from oriolegate.models.site import LeafEntry
from oriolegate.placement.leaf_contact import LeafContact

# How long after the failed check the response must be: one that was under way
# when this VM was cut off shows nothing.
CONFIRMATION_MS = 100.0


@attrs.frozen
class UnconfirmedDown:
    """A leaf that a check found down.

    Attributes:
        leaf: The leaf.
        failed_at_ms: When the check failed.
    """

    leaf: LeafEntry
    failed_at_ms: float


class DownConfirmation:
    """Passes on which leafs are alive or down, the latter once confirmed.

    Attributes:
        unconfirmed: Leafs found down, by id.
        on_liveness_known: Called with a leaf and whether it is alive.
    """

    def __init__(self, clock: Clock, contact: LeafContact) -> None:
        self.clock = clock
        self.contact = contact
        self.unconfirmed: dict[str, UnconfirmedDown] = {}
        self.on_liveness_known: Callable[[LeafEntry, bool], None] = (
            lambda leaf, is_alive: None
        )

    def on_checked(self, leaf: LeafEntry, is_alive: bool) -> None:
        """Handle the result of a check."""
        if is_alive:
            self.unconfirmed.pop(leaf.leaf_id, None)
            self.on_liveness_known(leaf, True)
        else:
            self.unconfirmed.setdefault(
                leaf.leaf_id, UnconfirmedDown(leaf, self.clock.now_ms())
            )

    @property
    def needs_probe(self) -> bool:
        """Whether a probe of another leaf may confirm that a leaf is down."""
        now_ms = self.clock.now_ms()
        return any(
            now_ms >= down.failed_at_ms + CONFIRMATION_MS
            for down in self.unconfirmed.values()
        )

    def check(self, *, is_cut_off: bool) -> None:
        """Pass on what is confirmed, unless this VM reaches no leaf.

        Later checks find the leafs that are still down when it reaches some.
        """
        if is_cut_off:
            self.unconfirmed.clear()
        for down in list(self.unconfirmed.values()):
            confirmed_from_ms = down.failed_at_ms + CONFIRMATION_MS
            if self.contact.last_connected_ms >= confirmed_from_ms:
                del self.unconfirmed[down.leaf.leaf_id]
                self.on_liveness_known(down.leaf, False)
