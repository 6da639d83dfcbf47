"""Scenarios with many faults at random times, drawn from the seed."""

from collections.abc import Callable
import random

import attrs

from oriolegate.measurement import sides
from oriolegate.measurement.open_loop import Load
from oriolegate.measurement.scenario import ScenarioPlan
from oriolegate.measurement.scenario import Stage
from oriolegate.standins.layout import Layout
from oriolegate.standins.layout import ServiceLayout

FAULTS = 25
LONGEST = 0.2
SLOW_FACTOR = 30.0
LOST_ANSWERS = 3
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
class Changes:
    """Brings about one run's faults.

    Attributes:
        stage: The run.
        rng: Draws them.
        version: The newest index version.
    """

    stage: Stage
    rng: random.Random
    version: int = 1

    def draw(self) -> None:
        """Draw one fault and its time."""
        at = self.rng.random()
        until = at + self.rng.uniform(0.01, LONGEST)
        upstream = f"search-{self.rng.randrange(INSTANCES):02}"
        data_centre = self.rng.choice(list(LAYOUT.regions))
        kinds: list[Callable[[], None]] = [
            lambda: self._order(at, "restart", upstream=upstream),
            lambda: self._order(at, "turn-cold", upstream=upstream),
            lambda: self._for(at, until, "drain", "end-drain", upstream),
            lambda: self._for(at, until, "stop", "start", upstream),
            lambda: self._fault(at, until, upstream, "shed", True, False),
            lambda: self._fault(
                at, until, upstream, "slow_factor", SLOW_FACTOR, 1.0
            ),
            lambda: self._publish(at, until, self.rng.randrange(3, 10)),
            lambda: self._publish(at, at, self.rng.randrange(3, 10)),
            lambda: self._take_out(at, until, data_centre),
            lambda: self._store(at, until),
            lambda: self._pause(at, until),
        ]
        self.rng.choice(kinds)()

    def _order(self, at: float, action: str, upstream: str) -> None:
        self.stage.order_at(at, action, upstream=upstream)

    def _for(
        self, at: float, until: float, start: str, end: str, upstream: str
    ) -> None:
        self._order(at, start, upstream)
        self._order(until, end, upstream)

    def _fault(
        self,
        at: float,
        until: float,
        upstream: str,
        name: str,
        bad: object,
        good: object,
    ) -> None:
        order = self.stage.order_at
        order(at, "fault", upstream=upstream, **{name: bad})
        order(until, "fault", upstream=upstream, **{name: good})

    def _publish(self, at: float, retired: float, shards: int) -> None:
        stage = self.stage

        def publish() -> None:
            old = self.version
            self.version += 1
            stage.site.publish(self.version, shards)
            length_ms = (retired - at) * (stage.end_ms - stage.start_ms)
            now_ms = stage.site.reactor.now_ms()
            retire = stage.site.site.retire
            stage.site.later(now_ms + length_ms, retire, "search", old)

        stage.at(at, publish)

    def _take_out(self, at: float, until: float, data_centre: str) -> None:
        put = self.stage.site.put_rules
        rules = self.stage.rules
        self.stage.at(at, put, rules + TAKE_OUT.format(data_centre))
        self.stage.at(until, put, rules)

    def _store(self, at: float, until: float) -> None:
        faults = self.stage.site.store.faults
        self.stage.at(at, lambda: setattr(faults, "outage", True))
        self.stage.at(until, lambda: setattr(faults, "outage", False))
        # The first writes after the outage take effect unheard.
        self.stage.at(
            until, lambda: setattr(faults, "lose_answers", LOST_ANSWERS)
        )

    def _pause(self, at: float, until: float) -> None:
        timers = self.stage.site.vms[-1].timers
        self.stage.at(at, timers.pause)
        self.stage.at(until, timers.resume)


def _draw_all(stage: Stage) -> None:
    changes = Changes(stage, random.Random(stage.seed))
    for _ in range(FAULTS):
        changes.draw()


def _plan(name: str, load: Load, vms: tuple[str, ...]) -> ScenarioPlan:
    return ScenarioPlan(
        name=name,
        layout=LAYOUT,
        load=load,
        policy=sides.policy_side(LAYOUT),
        baseline=sides.baseline_side(LAYOUT),
        vm_data_centres=vms,
        faults=_draw_all,
    )


RANDOM_PLANS = [
    _plan("random-faults", Load(RATE_PER_S, keyed_ratio=0.2), ("dc-0",)),
    _plan(
        "random-faults-two-vms",
        Load(RATE_PER_S, keyed_ratio=0.2, sends=2),
        ("dc-0", "dc-2"),
    ),
]
