"""Watches are cut while the first machine of a zone is cut off; then a change."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import standins  # noqa: E402

ZONES = {"dca": "north", "dcb": "south", "dcc": "west"}
MACHINES = ("dca", "dca", "dcb", "dcb", "dcc", "dcc", "dcc", "dcc")
CUT_S = 12.0
CALM_S = 6.0
ROUNDS = 5
CONFIG_APPLY_S = 4.0
# A machine whose connections were reset is in touch again after this time.
CONTACT_S = 5.0


async def play(record, folder, machines, trouble):
    store = standins.Store(record)
    services = ["old", "new"]
    leafs = []
    for service in services:
        for zone in ZONES:
            leaf = standins.Leaf(
                record, store, f"i-{service}-{zone}", service, zone
            )
            await leaf.start("127.0.0.1")
            leafs.append(leaf)
    version = 7

    def configure():
        route = standins.route("one", services[version % 2])
        store.put(
            "config",
            "main",
            standins.configuration(version, [route], services),
        )

    configure()
    hosts = [standins.machine_host(number) for number in range(len(MACHINES))]
    inner_port = standins.free_port(hosts[0])
    for number, zone in enumerate(MACHINES):
        machine = standins.Machine(
            record,
            folder,
            f"edge-{zone}-{number}",
            zone,
            hosts[number],
            inner_port,
            await store.open_port("127.0.0.1"),
        )
        machine.write_settings(ZONES, hosts[:3], bootstrap=True)
        machines.append(machine)
        machine.start()
    if not await standins.wait_ready(record, machines):
        return 2
    traffic = standins.Traffic(record)
    ends_at = time.monotonic() + CALM_S + ROUNDS * (CUT_S + CALM_S)
    load = asyncio.ensure_future(
        traffic.run(machines, 80, ends_at, "one", "GET", "/one/x", 2500)
    )
    await asyncio.sleep(CALM_S)
    changes = []
    cut_spans = []
    watch_cuts = []
    for _ in range(ROUNDS):
        cut = []
        for zone in ("dca", "dcb"):
            # The machine that reads the store for its zone has open calls.
            cut.append(
                max(
                    (m for m in machines if m.zone == zone),
                    key=lambda m: m.store_port.open_calls,
                )
            )
        started_at = time.monotonic()
        if trouble:
            for machine in cut:
                machine.store_port.is_cut = True
                cut_spans.append((machine.name, started_at))
                record.note(f"{machine.name} is cut off for {CUT_S} s")
        await asyncio.sleep(5.2)
        record.note("the waiting watches are cut off")
        watch_cuts.append(time.monotonic())
        for port in store.ports:
            if not port.is_cut:
                port.cut_watches()
        await asyncio.sleep(0.1)
        version += 1
        configure()
        changes.append((time.monotonic(), services[version % 2]))
        record.note(f"configuration {version} is written")
        await asyncio.sleep(started_at + CUT_S - time.monotonic())
        for port in store.ports:
            port.is_cut = False
        await asyncio.sleep(CALM_S)
    await load
    await traffic.finish()
    ran_by = {
        attempt: leaf.service for leaf in leafs for _, attempt, _, _ in leaf.runs
    }
    broken = {}
    for attempt, (at, _, name) in traffic.sent.items():
        due = [s for acked_at, s in changes if at > acked_at + CONFIG_APPLY_S]
        newer = [s for acked_at, s in changes if acked_at < at]
        if not due or ran_by.get(attempt) in {due[-1], newer[-1], None}:
            continue
        if any(
            cut == name and since < at < since + CUT_S + CONTACT_S
            for cut, since in cut_spans
        ):
            continue
        if any(since < at < since + CONTACT_S for since in watch_cuts):
            continue
        broken.setdefault(name, []).append(attempt)
    for name, attempts in sorted(broken.items()):
        record.note(f"{name}: {len(attempts)} requests run by the old service")
    served = sum(a.status == 200 for _, a in traffic.answers.values())
    record.note(f"{served} of {len(traffic.sent)} requests served")
    count = sum(len(attempts) for attempts in broken.values())
    record.note(f"CONFIG: {count} requests in all, by machines in touch")
    return 1 if count else 0


standins.main(HERE, play)
