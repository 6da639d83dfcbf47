"""A caller's request once it has been read and checked."""

import attrs

from oriolegate.models.policy import Priority


@attrs.frozen
class CallerRequest:
    """One request of a caller.

    Attributes:
        request_id: Unique; made by the tier where the caller names none.
        caller: The caller's name, for rules and trials.
        route: The name that the caller asked for; rules map it to a service.
        body: Opaque to the tier; passed to each shard.
        deadline_ms: Time left when the request arrived, or None.
        idempotent: Whether a sub-request may be sent more than once.
        idempotency_key: Set exactly when the request is not idempotent.
        shard_key: Sends the request to the one shard that holds the key.
        priority: Order among waiting requests.
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
