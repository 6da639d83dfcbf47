"""Whether this VM reaches any leaf at all.

A lost connection alone doesn't show whether its leaf or this VM's own network
is at fault. Leafs fail a few at a time, and slow ones still answer; so a VM
counts as cut off if several leafs in a row can't be reached while none
responds. One response of any leaf ends that.

Open connections may live on while new ones fail. Then responses still arrive,
and probes of arbitrary leafs on new connections tell: if several in a row fail,
the VM counts as cut off until one succeeds.
"""

# Leafs without a response before this VM counts as cut off, if it knows so
# many.
MIN_LEAFS = 4
# How long no leaf has responded by then: pauses of leafs last up to 300 ms, but
# not those of several leafs together.
SILENCE_MS = 250.0
# Probes in a row that fail before this VM counts as cut off. Even if half of
# the leafs are down, one of 256 such rows misleads.
MIN_FAILED_PROBES = 8


class LeafContact:
    """Tracks responses of leafs, and what failed since the last.

    Attributes:
        last_response_ms: When a leaf last responded, or this VM started.
        last_connected_ms: When a leaf last responded on a new connection, or
            this VM started.
        waiting_since_ms: Start of the oldest send without a response, by leaf;
            only sends since the last response of any leaf.
        unreachable: Leafs that failed since the last response of any leaf.
        refusing: Leafs to which a connection failed since the last new
            connection to any leaf.
        failed_probes: Probes that failed since then.
    """

    def __init__(self, started_ms: float) -> None:
        self.last_response_ms = started_ms
        self.last_connected_ms = started_ms
        self.waiting_since_ms: dict[str, float] = {}
        self.unreachable: set[str] = set()
        self.refusing: set[str] = set()
        self.failed_probes = 0

    def record_send(self, now_ms: float, leaf_id: str) -> None:
        """Record a request or health check that is sent to a leaf."""
        self.waiting_since_ms.setdefault(leaf_id, now_ms)

    def record_response(self, now_ms: float) -> None:
        """Record a response of any leaf, errors included."""
        self.last_response_ms = now_ms
        self.waiting_since_ms.clear()
        self.unreachable.clear()

    def record_connected(self, now_ms: float) -> None:
        """Record a response of any leaf on a new connection."""
        self.last_connected_ms = now_ms
        self.refusing.clear()
        self.failed_probes = 0

    def record_unconnected(self, leaf_id: str) -> None:
        """Record that no connection to a leaf could be opened."""
        self.refusing.add(leaf_id)
        self.record_lost(leaf_id)

    def record_lost(self, leaf_id: str) -> None:
        """Record that a connection to a leaf broke."""
        self.waiting_since_ms.pop(leaf_id, None)
        self.unreachable.add(leaf_id)

    def record_abandoned(self, now_ms: float, leaf_id: str) -> None:
        """Record that this VM no longer waits for a leaf."""
        since_ms = self.waiting_since_ms.pop(leaf_id, now_ms)
        if now_ms - since_ms >= SILENCE_MS:
            self.unreachable.add(leaf_id)

    def record_failed_probe(self) -> None:
        """Record a probe of an arbitrary leaf on a new connection."""
        self.failed_probes += 1

    def silent_leafs(self, now_ms: float) -> set[str]:
        """Return the leafs that can't be reached or don't respond."""
        return self.unreachable | {
            leaf_id
            for leaf_id, since_ms in self.waiting_since_ms.items()
            if now_ms - since_ms >= SILENCE_MS
        }

    def can_connect(self, known_leafs: int) -> bool:
        """Return whether new connections to leafs seem to succeed."""
        return self.failed_probes < min(MIN_FAILED_PROBES, known_leafs)

    def is_cut_off(self, now_ms: float, known_leafs: int) -> bool:
        """Return whether this VM seems to reach no leaf.

        Args:
            now_ms: Current time.
            known_leafs: Number of leafs that this VM knows.
        """
        if not known_leafs:
            return False
        if not self.can_connect(known_leafs):
            return True
        if now_ms - self.last_response_ms < SILENCE_MS:
            return False
        silent_count = len(self.silent_leafs(now_ms))
        return silent_count >= min(MIN_LEAFS, known_leafs)

    def needs_probe(self, known_leafs: int) -> bool:
        """Return whether probes should show if connections can be opened."""
        return len(self.refusing) >= min(MIN_LEAFS, known_leafs) > 0
