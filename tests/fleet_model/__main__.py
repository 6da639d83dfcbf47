"""Play many histories by hand, or one that was kept.

    python -m tests.fleet_model COUNT [SEED]
    python -m tests.fleet_model FILE

Histories that break a rule are kept as files in build/fleet-model, which can be
played again.
"""

import pathlib
import sys
import time

import hypothesis

from tests.fleet_model import history as model
from tests.fleet_model import player

KEPT = pathlib.Path("build/fleet-model")


def _play_file(path: str) -> int:
    violations = player.play(model.read(pathlib.Path(path)))
    print("\n".join(violations) or "no rule broken")
    return 1 if violations else 0


def _play_many(count: int, seed: int) -> int:
    """Play histories; keep each that breaks a rule in `KEPT`."""
    played = 0
    broken = 0
    started_s = time.monotonic()

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=count,
        deadline=None,
        database=None,
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(model.histories())
    def check(history: model.History) -> None:
        nonlocal played, broken
        played += 1
        violations = player.play(history)
        if violations:
            broken += 1
            KEPT.mkdir(parents=True, exist_ok=True)
            path = KEPT / f"{seed}-{played}.txt"
            path.write_text(f"{history}\n")
            print(f"{path}: {violations[:3]}", flush=True)

    check()
    took_s = time.monotonic() - started_s
    print(f"{broken} of {played} broke a rule, {took_s:.0f} s, seed {seed}")
    return 1 if broken else 0


def main() -> int:
    """Return the exit status."""
    if not sys.argv[1].isdecimal():
        return _play_file(sys.argv[1])
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    return _play_many(int(sys.argv[1]), seed)


if __name__ == "__main__":
    sys.exit(main())
