"""Play the regression: gate and hunt of each site, with the users' bench.

    python -m tools.play_regression --bench PROGRAM --why TEXT SITE...

The bench writes an entry to `journal/` for each run; the summary comes from
these. The exit status is 1 if a gate failed or a rule was broken.
"""

import argparse
from collections.abc import Sequence
import json
import pathlib
import subprocess
import sys
import tomllib
from typing import Any

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
JOURNAL = ROOT / "journal"
# From so many machines on, a day takes minutes, and fewer are played.
MANY_MACHINES = 60
HUNT_DAYS = 40
HUNT_DAYS_MANY = 8
# Days at the same time; a day of more than 100 machines takes 5 GB.
JOBS = 3
JOBS_HUGE = 2
HUGE_MACHINES = 100
VERBS = ("score", "hunt")


@attrs.frozen
class SitePlan:
    """How a site is played.

    Attributes:
        path: Path of the site file.
        machines: Number of machines at the start of a day.
    """

    path: str
    machines: int

    @property
    def hunt_days(self) -> int:
        """Number of days to hunt."""
        if self.machines >= MANY_MACHINES:
            return HUNT_DAYS_MANY
        return HUNT_DAYS

    @property
    def jobs(self) -> int:
        """Number of days at the same time."""
        return JOBS_HUGE if self.machines > HUGE_MACHINES else JOBS


def read_plan(path: str) -> SitePlan:
    """Read the size of a site from its file."""
    site = tomllib.loads(pathlib.Path(path).read_text())
    machines = sum(entry["count"] for entry in site["machines"])
    return SitePlan(path, machines)


def build_command(bench: str, verb: str, plan: SitePlan, why: str) -> list[str]:
    """Return the command that plays one site."""
    command = [bench, verb, plan.path, "--jobs", str(plan.jobs), "--why", why]
    if verb == "hunt":
        command += ["--days", str(plan.hunt_days)]
    return command


def summarize(entry: dict[str, Any]) -> tuple[str, bool]:
    """Return one line about a journal entry, and whether it is clean."""
    days = entry.get("days") or []
    broken = [
        f"{day['name']} {sorted(day['rules'])} {day['fault'] or ''}".strip()
        for day in days
        if day["rules"] or day["fault"]
    ]
    short = [
        day["name"]
        for day in days
        if entry["cmd"] == "score" and not day["gate"]
    ]
    is_clean = bool(days) and not broken and not short and not entry["error"]
    text = (
        f"{entry['site']} {entry['cmd']} {entry['id']}: {len(days)} days,"
        f" broken {broken or 'none'}, below the gate {short or 'none'}"
    )
    return text, is_clean


def _play(command: Sequence[str]) -> dict[str, Any] | None:
    """Run the bench and return the journal entry that it wrote, if any."""
    before = set(JOURNAL.glob("*.json"))
    subprocess.run(command, cwd=ROOT, check=False)
    written = sorted(set(JOURNAL.glob("*.json")) - before)
    return json.loads(written[-1].read_text()) if written else None


def main(arguments: Sequence[str]) -> int:
    """Play all sites one after the other and print a summary."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True, help="path of the bench")
    parser.add_argument("--why", required=True, help="line for the journal")
    parser.add_argument("--verbs", nargs="+", default=VERBS, choices=VERBS)
    parser.add_argument("sites", nargs="+", metavar="SITE")
    options = parser.parse_args(arguments)
    summary = []
    for path in options.sites:
        plan = read_plan(path)
        for verb in options.verbs:
            command = build_command(options.bench, verb, plan, options.why)
            entry = _play(command)
            if entry is None:
                summary.append((f"{path} {verb}: no journal entry", False))
            else:
                summary.append(summarize(entry))
    print("\n".join(text for text, _ in summary))
    return 0 if all(is_clean for _, is_clean in summary) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
