"""The machines of each zone are stopped and started in turn, again and again.

Exit status: 1 if a request that a stopping process had passed on to a leaf was
cut without an answer, 0 if none was, 2 if the case could not run.
"""

import asyncio
import collections
import itertools
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
import site3

HOST = "shop.example"
ZONES = {
    "za1": "ra", "za2": "ra", "zb1": "rb", "zb2": "rb", "zc1": "rc",
    "zc2": "rc",
}
MACHINES_PER_ZONE = 3
# Requests a second of each zone.
ZONE_PER_S = 40.0
KEPT_FRACTION = 0.1
GAP_S = 1.4
# A machine has been ready for a while before it is stopped again.
UP_S = 1.0
GRACE_S = 6.0
LAST_TERM_S = 95.0
DEADLINE_MS = 3_000
WORK_S = 0.06
WORK_SPREAD = 0.1
KINDS = {"look": "GET", "book": "POST"}


class Play:
    """State of one play.

    Attributes:
        stopped_at: When each machine got SIGTERM.
        started_at: When each machine was last started.
        ended: When the connection of each attempt ended without an answer,
            with its machine and when the request was sent.
    """

    def __init__(self, site) -> None:
        self.site = site
        self.balancer = site3.Balancer(site.gateways)
        self.stopped_at = collections.defaultdict(list)
        self.started_at = collections.defaultdict(site3.now)
        self.ended = {}
        self.kept = collections.defaultdict(list)
        self.counts = collections.Counter()
        self.sending = set()

    async def clients(self, zone):
        """Send requests of one zone, on new and on kept connections."""
        next_at = site3.now()
        while True:
            next_at += random.expovariate(ZONE_PER_S)
            await asyncio.sleep(max(0.0, next_at - site3.now()))
            task = asyncio.create_task(self._send(zone))
            self.sending.add(task)
            task.add_done_callback(self.sending.discard)

    async def _connect(self, zone, is_kept):
        while is_kept and self.kept[zone]:
            gateway, reader, writer = self.kept[zone].pop()
            if not reader.at_eof():
                return gateway, reader, writer
            writer.close()
        gateway = self.balancer.choose(zone)
        opened = asyncio.open_connection(*gateway.front)
        return gateway, *(await asyncio.wait_for(opened, 1.0))

    async def _send(self, zone):
        kind = random.choice(list(KINDS))
        body = b"seat 7" if kind == "book" else b""
        attempt, data = self.site.request(
            KINDS[kind], HOST, f"/{kind}/x", DEADLINE_MS, body
        )
        is_kept = random.random() < KEPT_FRACTION
        try:
            gateway, reader, writer = await self._connect(zone, is_kept)
        except (OSError, TimeoutError):
            self.counts["no connection"] += 1
            return
        sent_at = site3.now()
        message = None
        try:
            writer.write(data)
            await writer.drain()
            message = await asyncio.wait_for(
                site3.read_message(reader, is_response=True),
                DEADLINE_MS / 1_000,
            )
        except TimeoutError:
            self.counts[f"{kind}: no answer in time"] += 1
            writer.close()
            return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        if message is None:
            self.counts[f"{kind}: connection ended"] += 1
            self.ended[attempt] = (gateway.name, kind, sent_at, site3.now())
            writer.close()
            return
        first, headers, _ = message
        self.counts[f"{kind}: {int(first.split()[1])}"] += 1
        if is_kept and headers.get(b"connection", b"").lower() != b"close":
            self.kept[zone].append((gateway, reader, writer))
        else:
            writer.close()

    async def restart(self, gateway):
        """Stop a machine and start it again, as the platform does."""
        self.stopped_at[gateway.name].append(site3.now())
        self.site.record.write(f"SIGTERM to {gateway.name}")
        gateway.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(gateway.process.wait(), GRACE_S)
        except TimeoutError:
            gateway.signal(signal.SIGKILL)
            await gateway.process.wait()
        await asyncio.sleep(0.3)
        await gateway.start()
        self.started_at[gateway.name] = site3.now()

    async def operator(self, zone):
        """Stop the machines of a zone in turn, one at a time."""
        tasks = {}
        began = site3.now()
        machines = [g for g in self.site.gateways if g.zone == zone]
        for gateway in itertools.cycle(machines):
            if gateway.name in tasks:
                await tasks[gateway.name]
            up_s = site3.now() - self.started_at[gateway.name]
            await asyncio.sleep(max(0.0, UP_S - up_s))
            if site3.now() - began >= LAST_TERM_S:
                break
            tasks[gateway.name] = asyncio.create_task(self.restart(gateway))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*tasks.values())

    def lost(self):
        """Return the lines of requests that break the rule."""
        runs = {
            run[1]: (leaf.leaf_id, run[0])
            for leaf in self.site.leafs
            for run in leaf.runs
        }
        lines = []
        for attempt, (name, kind, sent_at, ended_at) in self.ended.items():
            if attempt not in runs:
                continue
            for stopped_at in self.stopped_at[name]:
                since = sent_at - stopped_at
                if not 0.0 <= since <= GRACE_S + 1.0:
                    continue
                leaf_id, ran_at = runs[attempt]
                lines.append(
                    f"LOST {kind} {attempt} at {name}: sent "
                    f"{since:.3f} s after SIGTERM, begun by {leaf_id} "
                    f"{ran_at - stopped_at:.3f} s and cut "
                    f"{ended_at - stopped_at:.3f} s after it"
                )
        return lines


async def play(folder, has_trouble):
    """Play the case; return the exit status."""
    site = site3.Site(folder, ZONES, MACHINES_PER_ZONE)
    try:
        services = {"seats": (12, 8, WORK_S, 110)}
        # Shards that no route names here; their entries change as well.
        services |= {f"shard{n}": (3, 2, 0.01, 25) for n in range(20)}
        routes = [
            site3.route(
                "look", HOST, "/look/", "idempotent", 4_000, 300,
                service="seats",
            ),
            site3.route(
                "book", HOST, "/book/", "non_idempotent", 4_000, 300,
                service="seats",
            ),
        ]
        if not await site.start(services, routes):
            return 2
        for leaf in site.leafs:
            leaf.spread = WORK_SPREAD
        state = Play(site)
        tasks = [asyncio.create_task(state.balancer.run())]
        tasks += [asyncio.create_task(state.clients(zone)) for zone in ZONES]
        await asyncio.sleep(2.0)
        if has_trouble:
            await asyncio.gather(*(state.operator(zone) for zone in ZONES))
        else:
            await asyncio.sleep(LAST_TERM_S)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(2.0)
        lines = state.lost()
        for line in lines:
            site.record.write(line)
        stops = sum(map(len, state.stopped_at.values()))
        site.record.write(f"{stops} planned stops, {len(lines)} requests lost")
        for name, count in sorted(state.counts.items()):
            site.record.write(f"{count} x {name}")
        ran = sum(len(leaf.runs) for leaf in site.leafs)
        site.record.write(f"{ran} runs at leafs")
        if not state.counts["book: 200"]:
            return 2
    finally:
        await site.close()
    return 1 if lines else 0


site3.main(play)
