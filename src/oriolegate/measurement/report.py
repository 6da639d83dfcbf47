"""Results of measurements: figures of policy and baseline, as JSON or text."""

from collections.abc import Mapping
from typing import Any

import attrs


@attrs.frozen
class ScenarioResult:
    """Figures of one scenario, with the policy on and off.

    Attributes:
        name: Name of the scenario.
        policy: Figures with the policy.
        baseline: Figures of the baseline in the same run.
    """

    name: str
    policy: Mapping[str, Any]
    baseline: Mapping[str, Any]


def to_plain(seed: int, results: list[ScenarioResult]) -> dict[str, Any]:
    """Return results as a value that can be encoded as JSON."""
    return {
        "seed": seed,
        "scenarios": [attrs.asdict(result) for result in results],
    }


def _cell(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.2f}"
    if isinstance(value, Mapping):
        nonzero = {name: count for name, count in value.items() if count}
        return ", ".join(f"{n} {c}" for n, c in nonzero.items()) or "none"
    return "-" if value is None else str(value)


def table(results: list[ScenarioResult]) -> str:
    """Format results as text, with one block for each scenario."""
    lines = []
    for result in results:
        lines.append(f"{result.name}")
        width = max(len(name) for name in result.policy)
        lines.append(f"  {'':<{width}}  {'policy':>14}  {'baseline':>14}")
        for name, value in result.policy.items():
            baseline_value = result.baseline.get(name)
            if isinstance(value, list):
                continue
            lines.append(
                f"  {name:<{width}}  {_cell(value):>14}"
                f"  {_cell(baseline_value):>14}"
            )
    return "\n".join(lines) + "\n"
