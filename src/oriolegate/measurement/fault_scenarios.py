"""Scenarios with faults and planned changes in the studio desk layout.

Times are fractions of the measured time, so a longer run has longer faults.
"""

from collections.abc import Callable
import functools

from oriolegate.measurement import scenario_sides
from oriolegate.measurement.open_loop import Load
from oriolegate.measurement.scenario import FaultScheduler
from oriolegate.measurement.scenario import ScenarioPlan
from oriolegate.measurement.scenario_sides import GrantPolicy
from oriolegate.measurement.scenario_sides import ONE_VM
from oriolegate.measurement.scenario_sides import STUDIO_DESK
from oriolegate.measurement.scenario_sides import TWO_VMS

RATE_PER_S = 60.0
SHARDS = STUDIO_DESK.services[0].shards
# Below the capacity of the leafs in other regions, with a margin.
REMOTE_RATE_PER_S = 25.0
PUBLICATION_COUNT = 8
TAKE_OUT = "take-out data-centre {}  # asked-by: Otieno: power works\n"

LOCAL = "nairobi-a"
REMOTE = "kisumu-a"
LOCAL_UPSTREAM = "studio-desk-00"
SECOND_LOCAL_UPSTREAM = "studio-desk-03"
REMOTE_UPSTREAM = "studio-desk-02"


def _cold_start(scheduler: FaultScheduler) -> None:
    """Restart all leafs of the local data centre at the same time."""
    scheduler.act_on_leafs_at(0.25, "restart", data_centre=LOCAL)


def _silent_cold(scheduler: FaultScheduler) -> None:
    """Turn leafs cold without restarting them; also restart one upstream."""
    scheduler.act_on_leafs_at(0.2, "turn-cold", upstream=LOCAL_UPSTREAM)
    scheduler.act_on_leafs_at(0.5, "restart", upstream=SECOND_LOCAL_UPSTREAM)
    scheduler.act_on_leafs_at(0.7, "turn-cold", data_centre=LOCAL)


def _upstream_leave(scheduler: FaultScheduler) -> None:
    """Drain one upstream; measure how long its leafs still get new work."""
    scheduler.act_on_leafs_at(0.25, "drain", upstream=LOCAL_UPSTREAM)

    def record_new_work() -> None:
        drained_ms = scheduler.start_ms + 0.25 * (
            scheduler.end_ms - scheduler.start_ms
        )
        last_ms = scheduler.site.last_arrival_ms(upstream=LOCAL_UPSTREAM)
        scheduler.new_work_after_ms = max(0.0, last_ms - drained_ms)

    scheduler.call_at(1.0, record_new_work)


def _replica_loss(scheduler: FaultScheduler) -> None:
    """Stop one upstream for half of the time."""
    scheduler.act_on_leafs_at(0.25, "stop", upstream=LOCAL_UPSTREAM)
    scheduler.act_on_leafs_at(0.75, "start", upstream=LOCAL_UPSTREAM)


def _change_index(
    scheduler: FaultScheduler, shards: Callable[[int], int]
) -> None:
    """Publish index versions; retire each when the next is published or later.

    Args:
        scheduler: Schedules the publications.
        shards: Returns the number of shards of a version.
    """
    for number in range(1, PUBLICATION_COUNT):
        fraction = number / PUBLICATION_COUNT
        version = number + 1
        scheduler.call_at(
            fraction, scheduler.site.publish, version, shards(version)
        )
        leaf_site = scheduler.site.leaf_site
        retire = functools.partial(
            leaf_site.retire, scheduler.site.service, number
        )
        # In the first half of the changes the old version is retired as soon as
        # the new one is published; later both are served for a while.
        delay = (
            0.0 if number <= PUBLICATION_COUNT // 2 else 0.3 / PUBLICATION_COUNT
        )
        scheduler.call_at(fraction + delay, retire)


def _index_change(scheduler: FaultScheduler) -> None:
    _change_index(scheduler, lambda version: SHARDS)


def _repartition(scheduler: FaultScheduler) -> None:
    """Publish index versions with varying numbers of shards."""
    _change_index(scheduler, lambda version: SHARDS + (version % 3 - 1) * 10)


def _shed(scheduler: FaultScheduler) -> None:
    """Make one upstream shed all load for half of the time."""
    scheduler.act_on_leafs_at(0.25, "fault", upstream=LOCAL_UPSTREAM, shed=True)
    scheduler.act_on_leafs_at(
        0.75, "fault", upstream=LOCAL_UPSTREAM, shed=False
    )


def _out_and_back(scheduler: FaultScheduler) -> None:
    """Take the local data centre out by a rule; remove the rule later."""
    site = scheduler.site
    out_ms = scheduler.start_ms + (scheduler.end_ms - scheduler.start_ms) / 3

    def bring_back() -> None:
        last_ms = site.last_arrival_ms(data_centre=LOCAL)
        scheduler.new_work_after_ms = max(0.0, last_ms - out_ms)
        site.put_rules(scheduler.rules)

    site.call_at(
        out_ms, site.put_rules, scheduler.rules + TAKE_OUT.format(LOCAL)
    )
    scheduler.call_at(2 / 3, bring_back)


def _two_faults(scheduler: FaultScheduler) -> None:
    """Stop a local upstream while a remote data centre's leafs turn cold.

    Both happen during an outage of the platform's store.
    """
    store = scheduler.site.store
    scheduler.call_at(0.2, lambda: setattr(store.faults, "outage", True))
    scheduler.call_at(0.8, lambda: setattr(store.faults, "outage", False))
    scheduler.act_on_leafs_at(0.3, "stop", upstream=LOCAL_UPSTREAM)
    scheduler.act_on_leafs_at(0.3, "turn-cold", data_centre=REMOTE)
    scheduler.act_on_leafs_at(0.6, "start", upstream=LOCAL_UPSTREAM)
    scheduler.act_on_leafs_at(0.7, "restart", upstream=SECOND_LOCAL_UPSTREAM)


def _paused_vm(scheduler: FaultScheduler) -> None:
    """Pause one VM's process, and restart an upstream during the pause."""
    timers = scheduler.site.vms[-1].timers
    scheduler.call_at(0.3, timers.pause)
    scheduler.act_on_leafs_at(0.35, "restart", upstream=LOCAL_UPSTREAM)
    scheduler.call_at(0.5, timers.resume)


def _plan(
    name: str,
    faults: Callable[[FaultScheduler], None],
    load: Load,
    vm_data_centres: tuple[str, ...] = ONE_VM,
    baseline_grants: GrantPolicy = scenario_sides.even_split,
    baseline_claims: bool = True,
    time_factor: float = 1.0,
) -> ScenarioPlan:
    return ScenarioPlan(
        name=name,
        layout=STUDIO_DESK,
        load=load,
        policy=scenario_sides.policy_side(STUDIO_DESK),
        baseline=scenario_sides.baseline_side(
            STUDIO_DESK, baseline_grants, baseline_claims
        ),
        vm_data_centres=vm_data_centres,
        faults=faults,
        time_factor=time_factor,
    )


def _plans() -> dict[str, ScenarioPlan]:
    load = Load(RATE_PER_S)
    keyed = Load(RATE_PER_S / 2, keyed_ratio=0.4, sends=2)
    no_warm_up = scenario_sides.without_warm_up
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
            lambda scheduler: None,
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
