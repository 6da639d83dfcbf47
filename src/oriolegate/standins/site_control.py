"""Control of a site's faults and records by commands in plain data.

docs/emulator.md lists the actions. `emulator_routes` serves them over HTTP;
tests call them directly.
"""

from collections.abc import Mapping
from typing import Any

import attrs

from oriolegate.standins.leaf_counts import LeafCounts
from oriolegate.standins.leaf_messages import LeafFaults
from oriolegate.standins.leaf_model import LeafModel
from oriolegate.standins.site import Site
from oriolegate.standins.site import SiteLeaf

SELECTORS = ("leaf", "service", "upstream", "data_centre")
FAULT_NAMES = frozenset(field.name for field in attrs.fields(LeafFaults))


class SiteControl:
    """Injects faults and reads records.

    Attributes:
        site: The controlled site.
    """

    def __init__(self, site: Site) -> None:
        self.site = site

    def act_on_leafs(self, now_ms: float, command: Mapping[str, Any]) -> int:
        """Carry out an action on the leafs that a command selects.

        Args:
            now_ms: Time on the leafs' clock.
            command: `action`, any of `SELECTORS`, and the action's fields.

        Returns:
            Number of leafs that the command selects.

        Raises:
            ValueError: A field or the action is unknown, or no leaf matches.
        """
        selectors = {key: command[key] for key in SELECTORS if key in command}
        known = FAULT_NAMES if command["action"] == "fault" else frozenset()
        unknown = command.keys() - selectors.keys() - known - {"action"}
        leafs = self.site.leafs_of(**selectors)
        if unknown or not leafs:
            raise ValueError(
                "the command has unknown fields or selects no leaf: "
                f"{sorted(unknown) or selectors}"
            )
        for leaf in leafs:
            self._apply_action(now_ms, leaf, command)
        return len(leafs)

    def act_on_service(self, command: Mapping[str, Any]) -> int:
        """Publish, withdraw or retire an index version.

        Returns:
            The current version after the action.

        Raises:
            ValueError: The action is unknown, or would withdraw the current
                version.
        """
        site = self.site
        service = command["service"]
        state = site.services[service]
        match command["action"]:
            case "publish":
                shards = command.get(
                    "shards", len(state.shard_maps[state.current])
                )
                version = command.get("version", state.current + 1)
                site.publish(service, version, shards)
            case "withdraw":
                site.withdraw(service, command["version"])
            case "retire":
                site.retire(service, command["version"])
            case action:
                raise ValueError(f"unknown action {action!r}")
        return state.current

    def records(self, with_runs: bool = False) -> dict[str, Any]:
        """Return counts and runs of all leafs as plain data.

        Args:
            with_runs: Include the records of single runs.
        """
        ledger = self.site.ledger
        leafs = {
            name: self._leaf_row(leaf.model)
            for name, leaf in self.site.leafs.items()
        }
        row: dict[str, Any] = {
            "runs": ledger.runs,
            "keyed_runs": ledger.keyed_runs,
            "doubled_runs": ledger.doubled_runs,
            "doubled_keys": list(ledger.doubled_keys),
            "totals": _totals(leafs.values()),
            "leafs": leafs,
        }
        if with_runs:
            row["records"] = [
                {**attrs.asdict(record), "outcome": record.outcome.value}
                for record in ledger.records
            ]
        return row

    def _apply_action(
        self, now_ms: float, leaf: SiteLeaf, command: Mapping[str, Any]
    ) -> None:
        model = leaf.model
        match command["action"]:
            case "drain":
                model.drain(now_ms)
            case "end-drain":
                model.end_drain()
            case "turn-cold":
                model.turn_cold(now_ms)
            case "restart":
                self._carry_out(model, model.restart(now_ms))
            case "stop":
                model.faults.down = True
                self._carry_out(model, model.restart(now_ms))
            case "start":
                model.faults.down = False
            case "fault":
                for name in FAULT_NAMES & command.keys():
                    setattr(model.faults, name, command[name])
            case action:
                raise ValueError(f"unknown action {action!r}")

    def _carry_out(self, model: LeafModel, effects: list[Any]) -> None:
        server = self.site.servers.get(model.settings.name)
        if server is not None:
            server.carry_out(effects)

    def _leaf_row(self, model: LeafModel) -> dict[str, Any]:
        counts = model.counts
        return {
            **attrs.asdict(counts),
            "after_drain_ms": list(counts.after_drain_ms),
            "state": model.state().value,
            "incarnation": model.incarnation,
        }


def _totals(rows: Any) -> dict[str, int]:
    names = [
        field.name
        for field in attrs.fields(LeafCounts)
        if field.type is int and not field.name.endswith("_peak")
    ]
    totals = dict.fromkeys(names, 0)
    for row in rows:
        for name in names:
            totals[name] += row[name]
    return totals
