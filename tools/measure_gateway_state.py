"""Measure the memory and the time that a gateway's view of its site takes.

python tools/measure_gateway_state.py [LEAFS ...]
"""

import random
import resource
import sys
import time

from tests.platform import stand_in_documents as documents

from oriolegate.following.follower import Follower
from oriolegate.following.view_cache import ViewCache
from oriolegate.models.site import Bounds
from oriolegate.models.stored import Change
from oriolegate.models.stored import ChangeBatch
from oriolegate.models.stored import Collection
from oriolegate.models.stored import ListPage
from oriolegate.models.stored import StoredObject
from oriolegate.placement.leaf_directory import LeafDirectory
from oriolegate.runtime.site_sinks import LeafSink

LEAFS_PER_SERVICE = 3
CHANGE_COUNT = 2_000


def _peak_kib() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def _make_object(number: int, revision: int) -> StoredObject:
    address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    content = documents.leaf_spec(
        f"service-{number // LEAFS_PER_SERVICE}",
        (address, 8_080),
        f"dc-{number % 10}",
    )
    return StoredObject(f"i-{number:010x}", revision, content)


def main() -> int:
    """Print one line for each number of leafs."""
    for count in [int(text) for text in sys.argv[1:] or ["300", "16000"]]:
        regions = {f"dc-{index}": f"r{index % 4}" for index in range(10)}
        directory = LeafDirectory("vm-1", "dc-0", regions, Bounds())
        cache = ViewCache(LeafSink(directory))
        follower = Follower(Collection.LEAFS, cache, random.Random(1))
        follower.start()
        before_kib = _peak_kib()
        items = tuple(_make_object(number, 1) for number in range(count))
        follower.on_page(0.0, ListPage(items, False, 1))
        del items
        view_kib = _peak_kib() - before_kib
        started_s = time.process_time()
        for revision in range(2, 2 + CHANGE_COUNT):
            leaf_object = _make_object(revision % count, revision)
            change = Change(leaf_object, removed=False)
            follower.on_changes(0.0, ChangeBatch((change,), revision))
        change_us = (time.process_time() - started_s) / CHANGE_COUNT * 1e6
        print(
            f"{count} leafs: {view_kib / 1024:.1f} MiB held, "
            f"{view_kib * 1024 / count:.0f} bytes a leaf, "
            f"{change_us:.0f} us a change"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
