"""Documents that a shard of an index version returns.

The documents depend on version and shard only, so a test can check that an
answer is from one version, complete and without duplicates.
"""

import functools
import json
import zlib

DOCUMENTS_PER_SHARD = 3


def document_id(version: int, shard: int, number: int) -> str:
    """Return the id of one document, such as `v7-s12-d3`."""
    return f"v{version}-s{shard}-d{number}"


def documents(version: int, shard: int) -> list[dict[str, object]]:
    """Return the documents of one shard, best score first."""
    rows: list[tuple[int, str]] = []
    for number in range(DOCUMENTS_PER_SHARD):
        name = document_id(version, shard, number)
        rows.append((zlib.crc32(name.encode()) % 1_000_000, name))
    rows.sort(reverse=True)
    return [{"id": name, "score": score / 1e6} for score, name in rows]


@functools.lru_cache(maxsize=4_096)
def answer_body(version: int, shard: int) -> bytes:
    """Return the JSON body of a shard's answer."""
    return json.dumps({"results": documents(version, shard)}).encode()
