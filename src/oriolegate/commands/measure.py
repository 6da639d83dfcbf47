"""`oriolegate measure`: measure scenarios against their baselines."""

import argparse
import json
import pathlib
from typing import Any

from twisted.internet import defer

from oriolegate import system_reactor
from oriolegate.cli.status_codes import ExitStatus
from oriolegate.exceptions import OriolegateError
from oriolegate.exceptions import SettingsError
from oriolegate.logging_setup import setup_logging
from oriolegate.measurement import registry
from oriolegate.measurement import report
from oriolegate.measurement.report import ScenarioResult

DEFAULT_SECONDS = 12.0
DEFAULT_SEED = 1


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
    parser.add_argument(
        "--scenario",
        action="append",
        choices=sorted(registry.SCENARIOS),
        help="scenario to measure; may be repeated (default: all)",
    )
    parser.add_argument(
        "--seconds",
        type=float,
        default=DEFAULT_SECONDS,
        help="duration of each scenario (default: %(default)s)",
    )
    parser.add_argument(
        "--seed",
        type=int,
        default=DEFAULT_SEED,
        help="seed of all randomness (default: %(default)s)",
    )
    parser.add_argument("--json", help="file to write the figures to")


async def _measure_all(
    names: list[str], options: registry.ScenarioOptions
) -> list[ScenarioResult]:
    results = []
    for name in names:
        results.append(await registry.SCENARIOS[name](options))
        print(report.table(results[-1:]), flush=True)
    return results


def run(arguments: argparse.Namespace) -> int:
    """Measure, print tables, write the figures; return the exit status."""
    if arguments.seconds <= 0:
        raise SettingsError("--seconds must be more than 0")
    setup_logging()
    reactor = system_reactor.get_reactor()
    names = arguments.scenario or list(registry.SCENARIOS)
    options = registry.ScenarioOptions(
        reactor, arguments.seconds, arguments.seed
    )
    outcomes: list[Any] = []

    def start() -> None:
        measured = defer.Deferred.fromCoroutine(_measure_all(names, options))
        measured.addBoth(outcomes.append)
        measured.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    if not isinstance(outcomes[0], list):
        raise OriolegateError(outcomes[0].getTraceback())
    if arguments.json:
        value = report.to_plain(arguments.seed, outcomes[0])
        text = json.dumps(value, indent=2) + "\n"
        pathlib.Path(arguments.json).write_text(text)
    return ExitStatus.SUCCESS
