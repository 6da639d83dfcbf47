"""`oriolegate demo`: run requests against an emulated site in one process.

The process runs an emulated platform, the emulated leafs of an example layout
and one serving process. Every step checks its result; the exit status is not 0
if a check fails.
"""

import argparse
from typing import Any

import attrs
from twisted.internet import defer
from twisted.internet import task

from oriolegate import system_reactor
from oriolegate.cli.status_codes import ExitStatus
from oriolegate.logging_setup import setup_logging
from oriolegate.measurement.caller import Caller
from oriolegate.measurement.caller import CallerAnswer
from oriolegate.measurement.embedded_site import EmbeddedSite
from oriolegate.standins.named_layouts import NAMED_LAYOUTS
from oriolegate.timeline.events import EventKind

SERVICE = "studio-desk"
BASE_RULES = """\
route forecast to studio-desk  # asked-by: Wanjiru: forecast graphics
service studio-desk deadline 2s coverage coverage-first  # asked-by: Wanjiru
service studio-desk hedge on quantile 0.9 budget 50%  # asked-by: Otieno
"""
TAKE_OUT_RULE = "take-out data-centre {}  # asked-by: Otieno: power works\n"
WARM_UP_QUERIES = 60
START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
# Multiplies the service time of the leaf that is made slow.
SLOW_FACTOR = 200.0
SEED = 7


class DemoError(Exception):
    """Raised when a step does not have the expected result."""


@attrs.define
class Demo:
    """Runs the steps of the demo.

    Attributes:
        reactor: Twisted's reactor.
        embedded_site: Emulated platform and leafs, and the serving process.
        caller: Client that sends the requests.
    """

    reactor: Any
    embedded_site: EmbeddedSite
    caller: Caller

    async def run(self) -> None:
        """Run all steps in order."""
        await self._wait_until(
            lambda: self.embedded_site.process.tier.flow.state.ready, "ready"
        )
        print(f"Serving on {self.caller.url}, 30 shards, 3 data centres.")
        await self._show_plain_query()
        for _ in range(WARM_UP_QUERIES):
            await self._send_query()
        await self._show_hedge()
        await self._show_repeated_submit()
        await self._show_data_centre_out_and_back()

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self.reactor, seconds)

    async def _wait_until(self, condition: Any, goal: str) -> None:
        deadline_s = self.reactor.seconds() + START_TIMEOUT_S
        while not condition():
            if self.reactor.seconds() > deadline_s:
                raise DemoError(f"timeout: the site is not {goal}")
            await self._sleep(POLL_INTERVAL_S)

    async def _send_query(self) -> CallerAnswer:
        answer = await self.caller.post(
            "/v1/query/forecast", b"rain over Kisumu", {"X-Caller": "demo"}
        )
        _check_complete(answer)
        return answer

    async def _show_plain_query(self) -> None:
        print("\n1. A query over every shard")
        _print_answer(await self._send_query())

    async def _show_hedge(self) -> None:
        print(
            "\n2. A leaf becomes slow; its shards are also requested elsewhere"
        )
        table = self.embedded_site.process.tier.table
        counters = (
            self.embedded_site.process.tier.runner.coordinator.state.counters
        )
        before = counters.hedges
        slow = min(
            table.topologies[SERVICE].leafs,
            key=lambda name: table.leafs[name].latency_ms,
        )
        self._send_control_order("fault", leaf=slow, slow_factor=SLOW_FACTOR)
        started_s = self.reactor.seconds()
        answer = await self._send_query()
        taken_ms = (self.reactor.seconds() - started_s) * 1000.0
        self._send_control_order("fault", leaf=slow, slow_factor=1.0)
        _print_answer(answer)
        hedges = counters.hedges - before
        print(f"   {slow} slow: {hedges} hedges, {taken_ms:.0f} ms")
        if hedges == 0:
            raise DemoError("no hedge was sent")
        _print_events(self.embedded_site, answer, EventKind.HEDGE_SENT)

    async def _show_repeated_submit(self) -> None:
        print("\n3. A request that is not idempotent, sent twice")
        key = f"{self.embedded_site.wall_ms()}-archive0ticket0001"
        headers = {"Idempotency-Key": key, "X-Caller": "archive-desk"}
        path = "/v1/submit/forecast"
        first = await self.caller.post(path, b"ticket", headers)
        second = await self.caller.post(path, b"ticket", headers)
        for answer in (first, second):
            _print_answer(answer)
        ledger = self.embedded_site.site.ledger
        print(f"   the leafs ran it {ledger.keyed_runs} time(s)")
        if first.status != 200 or ledger.keyed_runs != 1:
            raise DemoError("the submit did not run exactly once")

    async def _show_data_centre_out_and_back(self) -> None:
        name = self.embedded_site.process.settings.data_centre
        print(f"\n4. {name} is taken out of service, and put back")
        for text, change in (
            (BASE_RULES + TAKE_OUT_RULE.format(name), "out"),
            (BASE_RULES, "back"),
        ):
            version = self.embedded_site.put_rules(text)
            await self._wait_until(
                lambda expected=version: self._rules_version() == expected,
                f"at rules {version}",
            )
            before = self._count_queries(name)
            answer = await self._send_query()
            new = self._count_queries(name) - before
            print(f"   rules {version}: {name} {change}, {new} sub-requests")
            _print_answer(answer)
            if change == "out" and new:
                raise DemoError(f"{name} got queries while out of service")

    def _rules_version(self) -> int:
        accepted = self.embedded_site.process.tier.accepted
        return 0 if accepted is None else accepted.version

    def _count_queries(self, data_centre: str) -> int:
        leafs = self.embedded_site.site.leafs_of(data_centre=data_centre)
        return sum(leaf.model.counts.queries for leaf in leafs)

    def _send_control_order(self, action: str, **fields: Any) -> None:
        order = {"action": action, **fields}
        self.embedded_site.control.act_on_leafs(
            self.embedded_site.now_ms(), order
        )


def _check_complete(answer: CallerAnswer) -> None:
    if answer.status != 200:
        raise DemoError(f"a query was refused: {answer.value}")
    coverage = answer.value["coverage"]
    if coverage["shards_answered"] != coverage["shards_total"]:
        raise DemoError(f"an answer does not cover all shards: {coverage}")


def _print_answer(answer: CallerAnswer) -> None:
    value = answer.value
    if answer.status != 200:
        print(
            f"   refused: {value['code']} {value['code_name']}, "
            f"{value['run_state']}: {value['message']}"
        )
        return
    coverage = value["coverage"]
    ids = ", ".join(result["id"] for result in value["results"][:4])
    print(
        f"   answered: index {value['index_version']}, coverage "
        f"{coverage['shards_answered']}/{coverage['shards_total']}, "
        f"{len(value['results'])} results: {ids}, ..."
    )


def _print_events(
    embedded_site: EmbeddedSite, answer: CallerAnswer, kind: EventKind
) -> None:
    request_id = answer.value["request_id"]
    events = embedded_site.process.tier.runner.coordinator.state.events
    for event in events.events():
        if event.kind is kind and event.request_id == request_id:
            print(f"   {event.kind.name} {event.detail}")


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
    parser.add_argument(
        "--seed",
        type=int,
        default=SEED,
        help="seed of the leafs' service times",
    )


async def _run(reactor: Any, seed: int, failures: list[str]) -> None:
    layout = NAMED_LAYOUTS["anga-pamoja"]
    embedded_site = EmbeddedSite(reactor, layout, BASE_RULES, seed)
    embedded_site.process.start()
    caller = Caller(reactor, f"http://127.0.0.1:{embedded_site.caller_port}")
    try:
        await Demo(reactor, embedded_site, caller).run()
    except DemoError as error:
        failures.append(str(error))
    await caller.close()
    embedded_site.stop()


def run(arguments: argparse.Namespace) -> int:
    """Run all steps.

    Returns:
        The exit status: not 0 if a step did not have the expected result.
    """
    setup_logging()
    reactor = system_reactor.get_reactor()
    failures: list[str] = []

    def main() -> "defer.Deferred[None]":
        return defer.Deferred.fromCoroutine(
            _run(reactor, arguments.seed, failures)
        )

    reactor.callWhenRunning(
        lambda: (
            main()
            .addErrback(lambda reason: failures.append(reason.getTraceback()))
            .addBoth(lambda _: reactor.stop())
        )
    )
    reactor.run()
    for failure in failures:
        print(f"demo: {failure}")
    return ExitStatus.ERROR if failures else ExitStatus.SUCCESS
