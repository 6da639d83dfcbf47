"""Assign keys to hash buckets, store objects and preferred writers.

The claims of one bucket and time slot share a store object. `ReadClass` and
`WriteClass` read and write such an object.
"""

import hashlib

from oriolegate.claims.keys import IdempotencyKey
from oriolegate.claims.settings import ClaimsSettings


def slot_of(key: IdempotencyKey, settings: ClaimsSettings) -> int:
    """Return the number of the time slot of a key."""
    return key.time_ms // settings.slot_width_ms


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def bucket_of(key: IdempotencyKey, settings: ClaimsSettings) -> int:
    """Return the hash bucket of a key."""
    return _hash(key.text) % settings.bucket_count


def object_name(bucket: int, slot: int, settings: ClaimsSettings) -> str:
    """Return the name of the object with the keys of a bucket and slot."""
    return f"c{bucket:04d}-s{slot % settings.ring_size:04d}"


def owner_of(bucket: int, vms: tuple[str, ...]) -> str | None:
    """Return the VM that is preferred for writing a bucket, if any.

    Rendezvous hashing: if a VM is added or removed, only the buckets of that
    VM change their owner.
    """
    return max(vms, key=lambda vm: (_hash(f"{bucket}/{vm}"), vm), default=None)
