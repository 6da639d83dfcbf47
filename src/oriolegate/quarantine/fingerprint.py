"""What makes two sends the same request, as far as crashes go."""

import hashlib

FINGERPRINT_BYTES = 8
RANK_BYTES = 8


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


def _rank(fingerprint_value: int, name: str) -> bytes:
    text = f"{fingerprint_value}/{name}".encode()
    return hashlib.blake2b(text, digest_size=RANK_BYTES).digest()


def by_rank(fingerprint_value: int, names: tuple[str, ...]) -> list[str]:
    """Order names by rendezvous hash; the same on each VM."""
    return sorted(
        names, key=lambda name: _rank(fingerprint_value, name), reverse=True
    )
