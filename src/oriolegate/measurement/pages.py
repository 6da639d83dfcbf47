"""Writes measured figures into docs/measurements.md and draws its plots.

`make measure` and `make measure-seeds` run this module; see `main`.
"""

import argparse
from collections.abc import Iterable
from collections.abc import Mapping
import json
import pathlib
import random
from typing import Any

from loguru import logger

from oriolegate.measurement import open_loop
from oriolegate.measurement import plots
from oriolegate.measurement import scenario
from oriolegate.measurement.scenarios import PLANS
from oriolegate.measurement.scenarios import STRAGGLER_SHARDS
from oriolegate.measurement.virtual_time import MS_PER_S
from oriolegate.standins.leaf_messages import ServiceTime

PAGE = "measurements.md"
PLOTS = "plots"
TIMELINE_SCENARIO = "data-centre-out-and-back"
# Simulated queries for the lowest possible latency.
SIMULATED_QUERY_COUNT = 4_000
COLUMNS = (
    "queries",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "coverage",
    "extra_load",
    "goodput_per_s",
    "new_work_after_s",
)


def second_choice_limit_ms(seed: int, quantile: float = 0.99) -> float:
    """Return the lowest possible latency of the straggler scenario.

    Each straggler is assumed to be recognised immediately, and the shard's
    other replica to be queried instead. A query takes as long as its slowest
    shard. No tier can be faster without more replicas.

    Args:
        seed: Seed of the run times.
        quantile: Quantile of the latency to return, 0 to 1.
    """
    times = ServiceTime()
    rng = random.Random(seed)

    def run_ms() -> float:
        time_ms = times.median_ms * rng.lognormvariate(0.0, times.sigma)
        if rng.random() < times.straggler_ratio:
            time_ms *= times.straggler_factor
        return time_ms

    def shard_ms() -> float:
        first_ms = run_ms()
        # A run over a quarter of the median straggler time is a straggler.
        is_slow = first_ms > times.median_ms * times.straggler_factor / 4
        return min(first_ms, run_ms()) if is_slow else first_ms

    histogram = open_loop.new_histogram()
    for _ in range(SIMULATED_QUERY_COUNT):
        slowest_ms = max(shard_ms() for _ in range(STRAGGLER_SHARDS))
        histogram.record_value(int(slowest_ms * open_loop.US_PER_MS))
    return open_loop.quantile_ms(histogram, quantile)


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def violations_text(violations: Mapping[str, int]) -> str:
    """Return the names and counts of the violations that occurred."""
    nonzero = [f"{name} {count}" for name, count in violations.items() if count]
    return ", ".join(nonzero) or "none"


def _with_latencies(value: Mapping[str, Any]) -> list[Mapping[str, Any]]:
    rows: list[Mapping[str, Any]] = value["scenarios"]
    return [row for row in rows if "p99_ms" in row["policy"]]


def figures_table(value: Mapping[str, Any]) -> str:
    """Return a Markdown table with a row for each side of each scenario."""
    lines = [
        "| scenario | side | " + " | ".join(COLUMNS) + " | violations |",
        "|---|---|" + "---|" * (len(COLUMNS) + 1),
    ]
    for row in _with_latencies(value):
        for side in ("policy", "baseline"):
            figures = row[side]
            cells = [_cell(figures[name]) for name in COLUMNS]
            cells.append(violations_text(figures["violations"]))
            lines.append(f"| {row['name']} | {side} | {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def replace_section(page: str, name: str, text: str) -> str:
    """Replace the text between a section's two markers.

    Raises:
        ValueError: The page lacks a marker.
    """
    begin, end = f"<!-- {name}: begin -->", f"<!-- {name}: end -->"
    before, found_begin, from_section = page.partition(begin)
    _, found_end, after = from_section.partition(end)
    if not found_begin or not found_end:
        raise ValueError(f"a marker of section {name} is missing in the page")
    return f"{before}{begin}\n\n{text}\n{end}{after}"


def _timeline(seed: int, seconds: float) -> str:
    plan = PLANS[TIMELINE_SCENARIO]
    points = {
        "policy": scenario.run_side(plan, plan.policy, seconds, seed).timeline,
        "baseline": scenario.run_side(
            plan, plan.baseline, seconds, seed
        ).timeline,
    }
    end_ms = seconds * plan.time_factor * MS_PER_S
    return plots.timeline_plot(points, end_ms / 3, end_ms * 2 / 3, end_ms)


def _straggler_text(value: Mapping[str, Any]) -> str:
    for row in value["scenarios"]:
        if row["name"] == "straggler":
            limit_ms = second_choice_limit_ms(value["seed"])
            p99_ms = row["policy"]["p99_ms"]
            ratio = p99_ms / row["baseline"]["p99_ms"]
            return (
                f"Straggler: p99 is {ratio:.3f} of the baseline's. With"
                f" perfect second choices p99 would be {limit_ms:.2f} ms; the"
                f" policy takes {p99_ms / limit_ms:.2f} times that.\n"
            )
    return ""


def _overload_text(value: Mapping[str, Any]) -> str:
    rows = {row["name"]: row for row in value["scenarios"]}
    if "overload" not in rows or "overload-1x" not in rows:
        return ""
    parts = []
    for side in ("policy", "baseline"):
        at_overload = rows["overload"][side]["goodput_per_s"]
        at_capacity = rows["overload-1x"][side]["goodput_per_s"]
        parts.append(f"{at_overload / max(at_capacity, 1e-9):.3f} ({side})")
    return (
        "Overload: goodput at 2.5 times capacity over goodput at capacity:"
        f" {', '.join(parts)}.\n"
    )


def write_figures(
    value: Mapping[str, Any], seconds: float, docs: pathlib.Path
) -> None:
    """Write the section of figures and draw the plots.

    Args:
        value: Results as written by `oriolegate measure --json`.
        seconds: Duration of each scenario.
        docs: Folder of the page and of the folder of plots.
    """
    text = (
        f"Seed {value['seed']}, {seconds:g} s for each scenario.\n\n"
        f"{figures_table(value)}\n"
        f"{_straggler_text(value)}\n{_overload_text(value)}"
    )
    _write_section(docs, "figures", text)
    folder = docs / PLOTS
    folder.mkdir(exist_ok=True)
    (folder / "latency.svg").write_text(
        plots.latency_plot(_with_latencies(value))
    )
    (folder / f"{TIMELINE_SCENARIO}.svg").write_text(
        _timeline(value["seed"], seconds)
    )


def _write_section(docs: pathlib.Path, name: str, text: str) -> None:
    page = docs / PAGE
    page.write_text(replace_section(page.read_text(), name, text))


def write_seeds(
    seeds: Iterable[int], seconds: float, docs: pathlib.Path
) -> int:
    """Run all scenarios with several seeds and write their violations.

    Returns:
        Number of violations on the policy's side.
    """
    numbers = list(seeds)
    lines = [
        f"Seeds {numbers}, {seconds:g} s for each scenario and seed.\n",
        "| scenario | p99 ms, policy | p99 ms, baseline"
        " | violations, policy | violations, baseline |",
        "|---|---|---|---|---|",
    ]
    total = 0
    for name, plan in PLANS.items():
        results = [
            scenario.run_plan(plan, seconds, number) for number in numbers
        ]
        cells = []
        sides = {
            "policy": [result.policy for result in results],
            "baseline": [result.baseline for result in results],
        }
        for rows in sides.values():
            p99s_ms = [row["p99_ms"] for row in rows]
            cells.append(f"{min(p99s_ms):.1f} to {max(p99s_ms):.1f}")
        for side, rows in sides.items():
            violations = _sum([row["violations"] for row in rows])
            cells.append(violations_text(violations))
            total += sum(violations.values()) if side == "policy" else 0
        lines.append(f"| {name} | {' | '.join(cells)} |")
        print(lines[-1], flush=True)
    _write_section(docs, "seeds", "\n".join(lines) + "\n")
    return total


def _sum(rows: list[Mapping[str, int]]) -> dict[str, int]:
    return {name: sum(row[name] for row in rows) for name in rows[0]}


def main() -> None:
    """Write one part of the page and print the violations that it shows."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--docs", type=pathlib.Path, default="docs")
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--figures", type=pathlib.Path, help="JSON to read")
    parser.add_argument("--seeds", type=int, help="run seeds from 1 to this")
    arguments = parser.parse_args()
    logger.disable("oriolegate")
    violations = 0
    if arguments.figures:
        value = json.loads(arguments.figures.read_text())
        write_figures(value, arguments.seconds, arguments.docs)
        violations += sum(
            sum(row["policy"]["violations"].values())
            for row in _with_latencies(value)
        )
    if arguments.seeds:
        violations += write_seeds(
            range(1, arguments.seeds + 1), arguments.seconds, arguments.docs
        )
    print(f"violations of the policy's side: {violations}")


if __name__ == "__main__":
    main()
