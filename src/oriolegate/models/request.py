"""A caller's request after it was read and validated."""

import attrs

from oriolegate.models.policy import Priority


@attrs.frozen
class CallerRequest:
    """One request of a caller.

    Attributes:
        request_id: Unique id; generated if the caller states none.
        caller: Name of the caller, for rules and dry runs.
        route: Route name from the request; rules map it to a service.
        body: Opaque body that is sent to each shard.
        deadline_ms: Time until the deadline at arrival, or None.
        idempotent: Whether a sub-request may be sent more than once.
        idempotency_key: Set if and only if the request is not idempotent.
        shard_key: If set, the request goes only to the shard with this key.
        priority: Priority among waiting requests.
    """

    request_id: str
    caller: str
    route: str
    body: bytes
    deadline_ms: float | None = None
    idempotent: bool = True
    idempotency_key: str | None = None
    shard_key: str | None = None
    priority: Priority = Priority.NORMAL
