"""Scenarios with faults and planned changes at Anga Pamoja's studio desk.

Times are shares of the measured time, so a longer run has longer faults.
"""

from collections.abc import Callable
import functools

from oriolegate.measurement import sides
from oriolegate.measurement.open_loop import Load
from oriolegate.measurement.scenario import ScenarioPlan
from oriolegate.measurement.scenario import Stage
from oriolegate.measurement.sides import GrantPolicy
from oriolegate.measurement.sides import ONE_VM
from oriolegate.measurement.sides import STUDIO_DESK
from oriolegate.measurement.sides import TWO_VMS

RATE_PER_S = 60.0
SHARDS = STUDIO_DESK.services[0].shards
# What the leafs in other regions can bear, with a margin.
REMOTE_RATE_PER_S = 25.0
PUBLICATIONS = 8
TAKE_OUT = "take-out data-centre {}  # asked-by: Otieno: power works\n"

LOCAL = "nairobi-a"
REMOTE = "kisumu-a"
LOCAL_UPSTREAM = "studio-desk-00"
SECOND_LOCAL_UPSTREAM = "studio-desk-03"
REMOTE_UPSTREAM = "studio-desk-02"


def _cold_start(stage: Stage) -> None:
    """Restart all leafs of the near data centre at once."""
    stage.order_at(0.25, "restart", data_centre=LOCAL)


def _silent_cold(stage: Stage) -> None:
    """Let one upstream turn cold in place, then restart another."""
    stage.order_at(0.2, "turn-cold", upstream=LOCAL_UPSTREAM)
    stage.order_at(0.5, "restart", upstream=SECOND_LOCAL_UPSTREAM)
    stage.order_at(0.7, "turn-cold", data_centre=LOCAL)


def _upstream_leave(stage: Stage) -> None:
    """Drain one upstream; its leafs still run what comes for a while."""
    stage.order_at(0.25, "drain", upstream=LOCAL_UPSTREAM)

    def note() -> None:
        drained_ms = stage.start_ms + 0.25 * (stage.end_ms - stage.start_ms)
        last_ms = stage.site.last_arrival_ms(upstream=LOCAL_UPSTREAM)
        stage.new_work_after_ms = max(0.0, last_ms - drained_ms)

    stage.at(1.0, note)


def _replica_loss(stage: Stage) -> None:
    """Stop one upstream for half of the time."""
    stage.order_at(0.25, "stop", upstream=LOCAL_UPSTREAM)
    stage.order_at(0.75, "start", upstream=LOCAL_UPSTREAM)


def _change_index(stage: Stage, shards: Callable[[int], int]) -> None:
    """Publish versions; retire each soon after the next is there."""
    for number in range(1, PUBLICATIONS):
        share = number / PUBLICATIONS
        version = number + 1
        stage.at(share, stage.site.publish, version, shards(version))
        site = stage.site.site
        retire = functools.partial(site.retire, stage.site.service, number)
        # At the first half of the changes the old version goes at once.
        delay = 0.0 if number <= PUBLICATIONS // 2 else 0.3 / PUBLICATIONS
        stage.at(share + delay, retire)


def _index_change(stage: Stage) -> None:
    _change_index(stage, lambda version: SHARDS)


def _repartition(stage: Stage) -> None:
    """Publish versions with fewer and more shards in turn."""
    _change_index(stage, lambda version: SHARDS + (version % 3 - 1) * 10)


def _shed(stage: Stage) -> None:
    """Let one upstream shed everything for half of the time."""
    stage.order_at(0.25, "fault", upstream=LOCAL_UPSTREAM, shed=True)
    stage.order_at(0.75, "fault", upstream=LOCAL_UPSTREAM, shed=False)


def _out_and_back(stage: Stage) -> None:
    """Take the near data centre out by a rule, and bring it back."""
    site = stage.site
    out_ms = stage.start_ms + (stage.end_ms - stage.start_ms) / 3

    def bring_back() -> None:
        last_ms = site.last_arrival_ms(data_centre=LOCAL)
        stage.new_work_after_ms = max(0.0, last_ms - out_ms)
        site.put_rules(stage.rules)

    site.later(out_ms, site.put_rules, stage.rules + TAKE_OUT.format(LOCAL))
    stage.at(2 / 3, bring_back)


def _two_faults(stage: Stage) -> None:
    """Lose an upstream near by while another data centre turns cold.

    The platform's store is down throughout.
    """
    store = stage.site.store
    stage.at(0.2, lambda: setattr(store.faults, "outage", True))
    stage.at(0.8, lambda: setattr(store.faults, "outage", False))
    stage.order_at(0.3, "stop", upstream=LOCAL_UPSTREAM)
    stage.order_at(0.3, "turn-cold", data_centre=REMOTE)
    stage.order_at(0.6, "start", upstream=LOCAL_UPSTREAM)
    stage.order_at(0.7, "restart", upstream=SECOND_LOCAL_UPSTREAM)


def _paused_vm(stage: Stage) -> None:
    """Stop one VM's process for a while in the middle of its work."""
    timers = stage.site.vms[-1].timers
    stage.at(0.3, timers.pause)
    stage.order_at(0.35, "restart", upstream=LOCAL_UPSTREAM)
    stage.at(0.5, timers.resume)


def _plan(
    name: str,
    faults: Callable[[Stage], None],
    load: Load,
    vm_data_centres: tuple[str, ...] = ONE_VM,
    baseline_grants: GrantPolicy = sides.even_split,
    baseline_claims: bool = True,
    time_factor: float = 1.0,
) -> ScenarioPlan:
    return ScenarioPlan(
        name=name,
        layout=STUDIO_DESK,
        load=load,
        policy=sides.policy_side(STUDIO_DESK),
        baseline=sides.baseline_side(
            STUDIO_DESK, baseline_grants, baseline_claims
        ),
        vm_data_centres=vm_data_centres,
        faults=faults,
        time_factor=time_factor,
    )


def _plans() -> dict[str, ScenarioPlan]:
    load = Load(RATE_PER_S)
    keyed = Load(RATE_PER_S / 2, keyed_ratio=0.4, sends=2)
    no_warm_up = sides.without_warm_up
    plans = [
        _plan("cold-start", _cold_start, load, baseline_grants=no_warm_up),
        _plan("silent-cold", _silent_cold, load, baseline_grants=no_warm_up),
        _plan("upstream-leave", _upstream_leave, load),
        _plan("replica-loss", _replica_loss, load),
        _plan("index-change", _index_change, load),
        _plan("repartition", _repartition, load),
        _plan("shed", _shed, load),
        _plan(
            "resend",
            lambda stage: None,
            keyed,
            TWO_VMS,
            baseline_claims=False,
        ),
        _plan(
            "data-centre-out-and-back",
            _out_and_back,
            Load(REMOTE_RATE_PER_S),
            TWO_VMS,
            time_factor=2.0,
        ),
        _plan("two-faults", _two_faults, load),
        _plan("paused-vm", _paused_vm, keyed, TWO_VMS, baseline_claims=False),
    ]
    return {plan.name: plan for plan in plans}


FAULT_PLANS = _plans()
