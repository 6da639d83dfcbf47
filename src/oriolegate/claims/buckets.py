"""Which object holds a key, and which VM writes it by preference."""

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
    """Return the hash class of a key."""
    return _hash(key.text) % settings.bucket_count


def object_name(bucket: int, slot: int, settings: ClaimsSettings) -> str:
    """Return the object that holds the keys of a class and slot."""
    return f"c{bucket:04d}-s{slot % settings.ring_size:04d}"


def owner_of(bucket: int, vms: tuple[str, ...]) -> str | None:
    """Return the VM that writes a class by preference.

    Rendezvous hashing: when a VM comes or goes, only its classes move.
    """
    return max(vms, key=lambda vm: (_hash(f"{bucket}/{vm}"), vm), default=None)
