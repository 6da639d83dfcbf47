"""HTTP headers that callers and leafs of the platform use, in lower case."""

ATTEMPT_ID = b"attempt-id"
# How long the sender still waits, in ms; a duration, not a timestamp.
TIME_LEFT_MS = b"deadline-ms"
# The leaf's signature of its answer.
SIGNATURE = b"server-seal"
# Id of the only leaf that may accept the request.
EXPECTED_LEAF = b"target-instance"
NOT_RUN = b"not-executed"
RETRY_AFTER = b"retry-after"
LEAF_ID = b"instance-id"
# How long the leaf is still cold (warming up), in ms; in health responses.
COLD_LEFT_MS = b"warmup-ms"
# Requests per second that the leaf accepts from all VMs together.
REQUEST_LIMIT = b"server-limit"
# The leaf is about to stop.
LEAVING = b"server-leaving"
PART_SIGNATURES = b"part-seals"
MISSING_PARTS = b"missing-parts"
# Era of the store: rises each time that it comes back from an older copy.
STORE_ERA = b"store-era"
