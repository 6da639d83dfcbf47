"""Fingerprints that identify resends of a request, and their hashing."""

import functools
import hashlib

FINGERPRINT_BYTES = 8
MULTIPLIER = 0x9E3779B97F4A7C15  # odd, with evenly spread bits
MASK = 0xFFFF_FFFF_FFFF_FFFF
MAX_CACHED_NAME_HASHES = 8_192


def fingerprint(service: str, body: bytes, shard_key: str | None) -> int:
    """Return a hash of the parts of a request that affect its execution.

    Request id, caller and idempotency key are omitted: resends change them.

    Args:
        service: The service chosen by the rules.
        body: The caller's body, unchanged.
        shard_key: Key that selects a single shard, or None.
    """
    digest = hashlib.blake2b(body, digest_size=FINGERPRINT_BYTES)
    digest.update(f"\0{service}\0{shard_key or ''}".encode())
    return int.from_bytes(digest.digest(), "big")


@functools.lru_cache(maxsize=MAX_CACHED_NAME_HASHES)
def _name_hash(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=FINGERPRINT_BYTES)
    return int.from_bytes(digest.digest(), "big")


def _rendezvous_weight(fingerprint_value: int, name: str) -> int:
    return (fingerprint_value ^ _name_hash(name)) * MULTIPLIER & MASK


def rendezvous_order(
    fingerprint_value: int, names: tuple[str, ...]
) -> list[str]:
    """Return names in rendezvous order, which is equal on all VMs."""
    return sorted(
        names, key=lambda name: _rendezvous_weight(fingerprint_value, name)
    )


def rendezvous_first(fingerprint_value: int, names: tuple[str, ...]) -> str:
    """Return the first name in rendezvous order."""
    return min(
        names, key=lambda name: _rendezvous_weight(fingerprint_value, name)
    )
