"""What makes two sends the same request, as far as crashes go."""

import functools
import hashlib

FINGERPRINT_BYTES = 8
MULTIPLIER = 0x9E3779B97F4A7C15  # odd, with bits spread over the word
MASK = 0xFFFF_FFFF_FFFF_FFFF
MAX_CACHED_NAMES = 8_192


def fingerprint(service: str, body: bytes, shard_key: str | None) -> int:
    """Return a hash of what an upstream runs.

    Request id, caller and idempotency key are left out: resends change them.

    Args:
        service: The service that the rules chose.
        body: The caller's body, unchanged.
        shard_key: Sends the request to one shard, or None.
    """
    digest = hashlib.blake2b(body, digest_size=FINGERPRINT_BYTES)
    digest.update(f"\0{service}\0{shard_key or ''}".encode())
    return int.from_bytes(digest.digest(), "big")


@functools.lru_cache(maxsize=MAX_CACHED_NAMES)
def _name_hash(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=FINGERPRINT_BYTES)
    return int.from_bytes(digest.digest(), "big")


def by_rank(fingerprint_value: int, names: tuple[str, ...]) -> list[str]:
    """Order names by rendezvous hash; the same on each VM."""
    return sorted(
        names,
        key=lambda name: (
            (fingerprint_value ^ _name_hash(name)) * MULTIPLIER & MASK
        ),
    )
