"""Rendezvous hashing: every process chooses the same VMs without messages."""

from collections.abc import Iterable
import hashlib

SCORE_BYTES = 8
# Number of values of `stable_hash`.
HASH_RANGE = 2.0 ** (8 * SCORE_BYTES)


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash that is the same in every process."""
    digest = hashlib.blake2b(digest_size=SCORE_BYTES)
    for part in parts:
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "big") + encoded)
    return int.from_bytes(digest.digest(), "big")


def hash_fraction(*parts: str) -> float:
    """Return a number from 0 to 1 that is the same in every process."""
    return stable_hash(*parts) / HASH_RANGE


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in their order of preference for a key.

    Adding or removing a name doesn't change the order of the others.
    """
    return sorted(names, key=lambda name: (-stable_hash(key, name), name))


def rank_across_groups(
    key: str, groups: dict[str, list[str]], count: int
) -> list[str]:
    """Return up to `count` names, taken from the groups in turn.

    Args:
        key: Key to rank by, such as the name of a service.
        groups: Names by group, for example VMs by data centre.
        count: Maximum number of names.
    """
    queues = [
        ranked(key, groups[group]) for group in ranked(key, groups.keys())
    ]
    chosen: list[str] = []
    for depth in range(max((len(queue) for queue in queues), default=0)):
        for queue in queues:
            if depth < len(queue) and len(chosen) < count:
                chosen.append(queue[depth])
    return chosen
