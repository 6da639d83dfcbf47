"""Logs how long large answers of the store and of peers take."""

from oriolegate.network.http_reader import HttpResponse
from oriolegate.structured_log import BoundLog

# Answers above this size may take noticeable time to transfer or to decode.
LARGE_ANSWER_BYTES = 65_536


def log_if_large(
    log: BoundLog,
    outcome: HttpResponse | str,
    transfer_ms: float,
    apply_ms: float,
) -> None:
    """Log size and durations of a large answer.

    Args:
        log: Logger that names the source.
        outcome: The answer, or the reason why there is none.
        transfer_ms: Time from the request to the complete answer, including
            the time that a watch waited.
        apply_ms: Time for which decoding and applying blocked the process.
    """
    if isinstance(outcome, str) or len(outcome.body) < LARGE_ANSWER_BYTES:
        return
    log.bind(
        size_bytes=len(outcome.body),
        transfer_ms=round(transfer_ms),
        apply_ms=round(apply_ms),
    ).info("large answer received and applied")
