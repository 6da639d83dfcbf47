"""Whether this VM reaches any leaf at all.

A lost connection alone doesn't show whether its leaf or this VM's own network
is at fault. Leafs fail a few at a time, and slow ones still answer; so a VM
from which several leafs in a row can't be reached, while none responds, counts
as cut off. One response of any leaf ends that.
"""

# Leafs without a response before this VM counts as cut off, if it knows so
# many.
MIN_LEAFS = 4
# How long no leaf has responded by then: pauses of leafs last up to 300 ms, but
# not those of several leafs together.
SILENCE_MS = 250.0


class LeafContact:
    """Tracks responses of leafs, and the sends without one since the last.

    Attributes:
        last_response_ms: When a leaf last responded, or this VM started.
        waiting_since_ms: Start of the oldest send without a response, by leaf;
            only sends since the last response of any leaf.
        unreachable: Leafs that failed since the last response of any leaf.
    """

    def __init__(self, started_ms: float) -> None:
        self.last_response_ms = started_ms
        self.waiting_since_ms: dict[str, float] = {}
        self.unreachable: set[str] = set()

    def record_send(self, now_ms: float, leaf_id: str) -> None:
        """Record a request or health check that is sent to a leaf."""
        self.waiting_since_ms.setdefault(leaf_id, now_ms)

    def record_response(self, now_ms: float) -> None:
        """Record a response of any leaf, errors included."""
        self.last_response_ms = now_ms
        self.waiting_since_ms.clear()
        self.unreachable.clear()

    def record_failure(self, leaf_id: str) -> None:
        """Record that a leaf could not be reached or its connection broke."""
        self.waiting_since_ms.pop(leaf_id, None)
        self.unreachable.add(leaf_id)

    def record_abandoned(self, now_ms: float, leaf_id: str) -> None:
        """Record that this VM no longer waits for a leaf."""
        since_ms = self.waiting_since_ms.pop(leaf_id, now_ms)
        if now_ms - since_ms >= SILENCE_MS:
            self.unreachable.add(leaf_id)

    def silent_leafs(self, now_ms: float) -> set[str]:
        """Return the leafs that can't be reached or don't respond."""
        return self.unreachable | {
            leaf_id
            for leaf_id, since_ms in self.waiting_since_ms.items()
            if now_ms - since_ms >= SILENCE_MS
        }

    def is_cut_off(self, now_ms: float, known_leafs: int) -> bool:
        """Return whether this VM seems to reach no leaf.

        Args:
            now_ms: Current time.
            known_leafs: Number of leafs that this VM knows.
        """
        if now_ms - self.last_response_ms < SILENCE_MS or not known_leafs:
            return False
        silent_count = len(self.silent_leafs(now_ms))
        return silent_count >= min(MIN_LEAFS, known_leafs)
