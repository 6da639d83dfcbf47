"""Faults and records of a site, as orders in plain data.

docs/emulator.md lists the actions. `emulator_routes` offers them over HTTP;
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
    """Brings about faults and reads records.

    Attributes:
        site: The site.
    """

    def __init__(self, site: Site) -> None:
        self.site = site

    def act_on_leafs(self, now_ms: float, order: Mapping[str, Any]) -> int:
        """Carry out an action on the leafs that the order names.

        Args:
            now_ms: The time on the leafs' clock.
            order: `action`, any of `SELECTORS`, and the action's fields.

        Returns:
            How many leafs it was carried out on.

        Raises:
            ValueError: A field is unknown, or no leaf is named.
        """
        named = {key: order[key] for key in SELECTORS if key in order}
        known = FAULT_NAMES if order["action"] == "fault" else frozenset()
        unknown = order.keys() - named.keys() - known - {"action"}
        leafs = self.site.leafs_of(**named)
        if unknown or not leafs:
            raise ValueError(f"correct {sorted(unknown) or named}")
        for leaf in leafs:
            self._act(now_ms, leaf, order)
        return len(leafs)

    def act_on_service(self, order: Mapping[str, Any]) -> int:
        """Publish, withdraw or retire an index version.

        Returns:
            The version that is current afterwards.
        """
        site = self.site
        service = order["service"]
        state = site.services[service]
        match order["action"]:
            case "publish":
                shards = order.get(
                    "shards", len(state.shard_maps[state.current])
                )
                version = order.get("version", state.current + 1)
                site.publish(service, version, shards)
            case "withdraw":
                site.withdraw(service, order["version"])
            case "retire":
                site.retire(service, order["version"])
            case other:
                raise ValueError(f"there is no action {other!r}")
        return state.current

    def records(self, with_runs: bool = False) -> dict[str, Any]:
        """Return what the far side saw, as plain data."""
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

    def _act(
        self, now_ms: float, leaf: SiteLeaf, order: Mapping[str, Any]
    ) -> None:
        model = leaf.model
        match order["action"]:
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
                for name in FAULT_NAMES & order.keys():
                    setattr(model.faults, name, order[name])
            case other:
                raise ValueError(f"there is no action {other!r}")

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
