"""Random scenarios of failing endpoints with outages that overlap."""

import random
from collections.abc import Sequence

from plantainloft_standins.retry_simulation import (
    Failures,
    InstanceLists,
    LinkCut,
    Outage,
    RetryScenario,
    Traffic,
)

__all__ = ['random_retry_scenario']

FIRST_OUTAGE_S = 8.0
LAST_OUTAGE_S = 32.0
MAX_OUTAGES = 6
FLEET_SHARES = (0.1, 0.3, 0.5, 1.0)
CUT_SHARES = (0.2, 0.5, 1.0)
LONGEST_KILL_S = 2.0
LONGEST_FREEZE_S = 6.0
LONGEST_CUT_S = 6.0
SHORTEST_OUTAGE_S = 0.2
LONGEST_FAILURES_S = 20.0
LONGEST_PAUSE_S = 6.0
TURNED_AWAY_SHARES = (0.0, 0.3, 0.9)
LOST_SHARES = (0.05, 0.6, 0.9)
FALLEN_SHARES = (0.01, 0.1, 0.5)
CALM_SHARE = 0.2
BURST_FACTOR = 2
MAX_BURSTS = 4
BURST_S = (0.5, 4.0)
MOVE_PERIOD_S = (1.0, 8.0)


def random_retry_scenario(calm: RetryScenario, seed: int) -> RetryScenario:
    """Return ``calm`` with failures, outages and changes of traffic drawn from ``seed``."""
    rng = random.Random(seed)
    per_s = calm.traffic[0].per_s
    return calm._replace(
        seed=seed,
        traffic=rng.choice([_steady, _falling, _bursts, _moving])(rng, calm.instances, per_s),
        failures=_failures(rng),
        kills=_outages(rng, calm.instances, longest_s=LONGEST_KILL_S),
        freezes=_outages(rng, calm.instances, longest_s=LONGEST_FREEZE_S),
        cuts=tuple(
            LinkCut(*outage, rng.choice(CUT_SHARES))
            for outage in _outages(rng, calm.instances, longest_s=LONGEST_CUT_S)
        ),
        instance_lists=rng.choice(_instance_lists(calm.instances)),
    )


def _steady(_rng: random.Random, _instances: int, per_s: float) -> tuple[Traffic, ...]:
    return (Traffic(per_s),)


def _falling(rng: random.Random, _instances: int, per_s: float) -> tuple[Traffic, ...]:
    falls_at = rng.uniform(FIRST_OUTAGE_S, LAST_OUTAGE_S)
    return (
        Traffic(per_s, 0.0, falls_at),
        Traffic(per_s * rng.choice(FALLEN_SHARES), falls_at),
    )


def _bursts(rng: random.Random, _instances: int, per_s: float) -> tuple[Traffic, ...]:
    starts = [rng.uniform(0.0, LAST_OUTAGE_S) for _ in range(rng.randint(1, MAX_BURSTS))]
    bursts = [Traffic(per_s * BURST_FACTOR, at, at + rng.uniform(*BURST_S)) for at in starts]
    return (Traffic(per_s * CALM_SHARE), *bursts)


def _moving(rng: random.Random, instances: int, per_s: float) -> tuple[Traffic, ...]:
    """Callers use one half of the instances, then the other, and so on."""
    period_s = rng.uniform(*MOVE_PERIOD_S)
    halves = [tuple(range(half, instances, 2)) for half in (0, 1)]
    periods = int(2 * LAST_OUTAGE_S / period_s)
    return tuple(
        Traffic(per_s, period_s * number, period_s * (number + 1), halves[number % 2])
        for number in range(periods)
    )


def _failures(rng: random.Random) -> tuple[Failures, ...]:
    failures = []
    begins_s = rng.uniform(0.0, FIRST_OUTAGE_S)
    while begins_s < LAST_OUTAGE_S:
        ends_s = begins_s + rng.uniform(1.0, LONGEST_FAILURES_S)
        turned_away = rng.choice(TURNED_AWAY_SHARES)
        failures.append(Failures(begins_s, ends_s, turned_away, rng.choice(LOST_SHARES)))
        begins_s = ends_s + rng.uniform(0.0, LONGEST_PAUSE_S)
    return tuple(failures)


def _outages(rng: random.Random, instances: int, *, longest_s: float) -> tuple[Outage, ...]:
    outages = []
    for _ in range(rng.randint(0, MAX_OUTAGES)):
        begins_s = rng.uniform(FIRST_OUTAGE_S, LAST_OUTAGE_S)
        count = max(1, int(instances * rng.choice(FLEET_SHARES)))
        hit = frozenset(rng.sample(range(instances), count))
        outages.append(Outage(begins_s, begins_s + rng.uniform(SHORTEST_OUTAGE_S, longest_s), hit))
    return tuple(outages)


def _instance_lists(instances: int) -> Sequence[InstanceLists]:
    """Return lists that are complete, late, short at first, and never read."""
    few = max(1, instances // 4)
    return (
        (),
        ((2.0, instances),),
        ((0.2, 1), (3.0, few), (9.0, instances)),
        ((99.0, 0),),
    )
