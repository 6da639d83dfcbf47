"""Settings of `ClaimManager`."""

import attrs


@attrs.frozen
class ClaimsSettings:
    """Limits and intervals of claims.

    All VMs must run with the same `bucket_count`, `slot_width_ms`,
    `retention_ms` and `clock_skew_ms`: they determine the object of a key.

    Attributes:
        bucket_count: Number of hash buckets; keys of a bucket share a write.
        slot_width_ms: Width of a time slot; keys of a bucket whose times are
            in the same slot share an object.
        retention_ms: Keys older than this are refused.
        clock_skew_ms: How far a key's time may be ahead of a VM's clock.
        max_claims_per_object: Keeps an object below the platform's size limit;
            further claims are refused as overloaded.
        min_write_interval_ms: Time between writes of one object by one VM.
        claim_timeout_ms: A claim that takes longer is refused, not run.
        operation_timeout_ms: A call of the platform's store that takes longer
            counts as failed.
        backoff_ms: Backoff after the first failed call of the store.
        max_backoff_ms: The backoff doubles up to this.
        release_timeout_ms: How long the release of a claim is attempted.
        forward_timeout_ms: Time for the owner of a bucket to respond; then
            the VM that forwarded the claim writes it itself.
        forward: Whether claims are forwarded to the owner of their bucket.
        group_commit: Whether waiting claims share one write.
        granted_capacity: Number of granted claims kept in memory.
    """

    bucket_count: int = 4
    slot_width_ms: int = 2_000
    retention_ms: int = 300_000
    clock_skew_ms: int = 30_000
    max_claims_per_object: int = 6_000
    min_write_interval_ms: float = 50.0
    claim_timeout_ms: float = 1_000.0
    operation_timeout_ms: float = 400.0
    backoff_ms: float = 50.0
    max_backoff_ms: float = 1_000.0
    release_timeout_ms: float = 30_000.0
    forward_timeout_ms: float = 300.0
    forward: bool = True
    group_commit: bool = True
    granted_capacity: int = 20_000

    @property
    def ring_size(self) -> int:
        """Return the number of objects of one bucket.

        An object is reused once its slot is `ring_size` slots behind the
        slot of an accepted key. The newest key of the old slot is then older
        than the retention period, even if the accepted key's time is ahead.
        """
        accepted_span_ms = self.retention_ms + self.clock_skew_ms
        return -(-accepted_span_ms // self.slot_width_ms) + 1
