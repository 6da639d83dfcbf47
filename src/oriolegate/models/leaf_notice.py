"""What a leaf says of itself in a response, besides the answer."""

import attrs


@attrs.frozen
class LeafNotice:
    """What one response of a leaf states.

    Attributes:
        limit_per_s: Requests per second that it accepts from all VMs together,
            or None without a limit.
        is_leaving: Whether this incarnation of the leaf is about to stop.
        quiet_ms: For how long it wants no request from this VM, or None.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    quiet_ms: float | None = None


NO_NOTICE = LeafNotice()
