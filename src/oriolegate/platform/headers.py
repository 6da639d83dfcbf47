"""Names of the HTTP headers that callers and leafs use here."""

ATTEMPT_ID = b"attempt-id"
# Milliseconds that the sender will still wait, not a moment in time.
TIME_LEFT_MS = b"deadline-ms"
# The leaf's signature over its answer.
SIGNATURE = b"server-seal"
EXPECTED_LEAF = b"target-instance"
NOT_RUN = b"not-executed"
RETRY_AFTER = b"retry-after"
LEAF_ID = b"instance-id"
COLD_LEFT_MS = b"warmup-ms"
PART_SIGNATURES = b"part-seals"
MISSING_PARTS = b"missing-parts"
