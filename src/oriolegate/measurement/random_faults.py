"""Scenarios with many random faults, determined by the seed.

Times are fractions of the measured time.
"""

from collections.abc import Callable
import random

import attrs

from oriolegate.measurement import scenario_sides
from oriolegate.measurement.open_loop import Load
from oriolegate.measurement.scenario import FaultScheduler
from oriolegate.measurement.scenario import ScenarioPlan
from oriolegate.standins.layout import Layout
from oriolegate.standins.layout import ServiceLayout

FAULT_COUNT = 25
LONGEST_FAULT_FRACTION = 0.2
SLOW_FACTOR = 30.0
LOST_ANSWER_COUNT = 3
RATE_PER_S = 60.0
INSTANCES = 6
TAKE_OUT = "take-out data-centre {}  # asked-by: Otieno: power works\n"
LAYOUT = Layout(
    name="three-data-centres",
    regions={"dc-0": "east", "dc-1": "east", "dc-2": "west"},
    between_data_centres_ms=0.5,
    between_regions_ms=20.0,
    hosts={"127.0.0.1": "dc-0", "127.0.0.2": "dc-2"},
    services=(
        ServiceLayout(
            name="search",
            instances=INSTANCES,
            slots=4,
            connections=12,
            connection_ms=2.0,
            shards=6,
            replicas=2,
        ),
    ),
)


@attrs.define
class RandomFaults:
    """Schedules the random faults of one run.

    Attributes:
        scheduler: Schedules faults on the site of the run.
        rng: Chooses faults and their times.
        version: Newest index version.
    """

    scheduler: FaultScheduler
    rng: random.Random
    version: int = 1

    def schedule_one(self) -> None:
        """Choose a fault and its time, and schedule it."""
        at = self.rng.random()
        until = at + self.rng.uniform(0.01, LONGEST_FAULT_FRACTION)
        upstream = f"search-{self.rng.randrange(INSTANCES):02}"
        data_centre = self.rng.choice(list(LAYOUT.regions))
        kinds: list[Callable[[], None]] = [
            lambda: self._act(at, "restart", upstream=upstream),
            lambda: self._act(at, "turn-cold", upstream=upstream),
            lambda: self._act_twice(at, until, "drain", "end-drain", upstream),
            lambda: self._act_twice(at, until, "stop", "start", upstream),
            lambda: self._set_fault(at, until, upstream, "shed", True, False),
            lambda: self._set_fault(
                at, until, upstream, "slow_factor", SLOW_FACTOR, 1.0
            ),
            lambda: self._publish(at, until, self.rng.randrange(3, 10)),
            lambda: self._publish(at, at, self.rng.randrange(3, 10)),
            lambda: self._take_out(at, until, data_centre),
            lambda: self._fail_store(at, until),
            lambda: self._pause_vm(at, until),
        ]
        self.rng.choice(kinds)()

    def _act(self, at: float, action: str, upstream: str) -> None:
        self.scheduler.act_on_leafs_at(at, action, upstream=upstream)

    def _act_twice(
        self, at: float, until: float, start: str, end: str, upstream: str
    ) -> None:
        self._act(at, start, upstream)
        self._act(until, end, upstream)

    def _set_fault(
        self,
        at: float,
        until: float,
        upstream: str,
        name: str,
        faulty: object,
        normal: object,
    ) -> None:
        act_at = self.scheduler.act_on_leafs_at
        act_at(at, "fault", upstream=upstream, **{name: faulty})
        act_at(until, "fault", upstream=upstream, **{name: normal})

    def _publish(self, at: float, retire_at: float, shards: int) -> None:
        scheduler = self.scheduler

        def publish() -> None:
            old = self.version
            self.version += 1
            scheduler.site.publish(self.version, shards)
            length_ms = (retire_at - at) * (
                scheduler.end_ms - scheduler.start_ms
            )
            now_ms = scheduler.site.reactor.now_ms()
            retire = scheduler.site.leaf_site.retire
            scheduler.site.call_at(now_ms + length_ms, retire, "search", old)

        scheduler.call_at(at, publish)

    def _take_out(self, at: float, until: float, data_centre: str) -> None:
        put = self.scheduler.site.put_rules
        rules = self.scheduler.rules
        self.scheduler.call_at(at, put, rules + TAKE_OUT.format(data_centre))
        self.scheduler.call_at(until, put, rules)

    def _fail_store(self, at: float, until: float) -> None:
        faults = self.scheduler.site.store.faults
        self.scheduler.call_at(at, lambda: setattr(faults, "outage", True))
        self.scheduler.call_at(until, lambda: setattr(faults, "outage", False))
        # The first writes after the outage take effect, but their answers
        # are lost.
        self.scheduler.call_at(
            until, lambda: setattr(faults, "lose_answers", LOST_ANSWER_COUNT)
        )

    def _pause_vm(self, at: float, until: float) -> None:
        timers = self.scheduler.site.vms[-1].timers
        self.scheduler.call_at(at, timers.pause)
        self.scheduler.call_at(until, timers.resume)


def _schedule_faults(scheduler: FaultScheduler) -> None:
    faults = RandomFaults(scheduler, random.Random(scheduler.seed))
    for _ in range(FAULT_COUNT):
        faults.schedule_one()


def _plan(name: str, load: Load, vms: tuple[str, ...]) -> ScenarioPlan:
    return ScenarioPlan(
        name=name,
        layout=LAYOUT,
        load=load,
        policy=scenario_sides.policy_side(LAYOUT),
        baseline=scenario_sides.baseline_side(LAYOUT),
        vm_data_centres=vms,
        faults=_schedule_faults,
    )


RANDOM_PLANS = [
    _plan("random-faults", Load(RATE_PER_S, keyed_ratio=0.2), ("dc-0",)),
    _plan(
        "random-faults-two-vms",
        Load(RATE_PER_S, keyed_ratio=0.2, sends=2),
        ("dc-0", "dc-2"),
    ),
]
