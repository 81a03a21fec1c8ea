"""Stores that are away for a moment, with and without a copy, in virtual time."""

import random
from typing import NamedTuple

import pytest

from plantainloft_standins.replicating_instance import Cut
from plantainloft_standins.simulated_store import FailureMode, Outage
from plantainloft_standins.store_return_simulation import (
    Restart,
    StoreReturnScenario,
    simulate_store_returns,
)


@pytest.mark.parametrize('duration_s', [0.7, 1.5])
@pytest.mark.parametrize('seed', [0, 3])
def test_a_change_after_a_silent_absence_is_in_force_in_time(seed: int, duration_s: float) -> None:
    """Failure: a change ended all polls, and the next ones were lost together."""
    start_s = 8.0 + 2.0 * random.Random(seed).random()
    outage = Outage(start_s, start_s + duration_s, FailureMode.SILENT)
    result = simulate_store_returns(
        StoreReturnScenario(seed=seed, outages=(outage,), config_interval_s=0.4, duration_s=20.0)
    )
    assert result.breaches == []


class FleetSize(NamedTuple):
    """Regions and instances of each."""

    regions: int
    per_region: int

    def names(self) -> list[str]:
        return [
            f'e{region}-{number}'
            for region in range(self.regions)
            for number in range(self.per_region)
        ]


EIGHT = FleetSize(2, 4)
TWELVE = FleetSize(3, 4)
SEVENTY_TWO = FleetSize(3, 24)
COPY_AGES_S = (0.3, 1.0, 3.0, 6.0)


def random_outages(rng: random.Random, size: FleetSize) -> list[Outage]:
    """One to three returns, some right after each other, and outages for some instances."""
    outages = []
    end_s = 7.0
    for _ in range(rng.randint(1, 3)):
        start_s = end_s + rng.uniform(0.5, 7.0)
        end_s = start_s + rng.uniform(0.2, 3.0)
        mode = rng.choice(list(FailureMode))
        outages.append(Outage(start_s, end_s, mode, copy_age_s=rng.choice(COPY_AGES_S)))
    if rng.random() < 0.5:
        some = frozenset(rng.sample(size.names(), max(1, len(size.names()) // 4)))
        start_s = rng.uniform(5.0, end_s)
        mode = rng.choice(list(FailureMode))
        outages.append(Outage(start_s, start_s + rng.uniform(1.0, 6.0), mode, some))
    return outages


def random_scenario(seed: int, size: FleetSize) -> StoreReturnScenario:
    """Returns beside cut-off and restarted instances, lost history and changes of all kinds."""
    rng = random.Random(seed)
    outages = random_outages(rng, size)
    last_return_s = max(one.end_s for one in outages if one.copy_age_s is not None)
    names = size.names()
    cuts_at = [rng.uniform(5.0, last_return_s + 1.0) for _ in range(rng.randint(0, 3))]
    evacuation = (rng.uniform(4.0, last_return_s + 3.0), last_return_s + 9.5)
    return StoreReturnScenario(
        seed=seed,
        outages=tuple(outages),
        cuts=tuple(Cut(rng.choice(names), at, at + rng.uniform(0.5, 8.0)) for at in cuts_at),
        restarts=tuple(
            Restart(name, rng.uniform(7.0, last_return_s + 1.0), rng.uniform(0.1, 1.0))
            for name in rng.sample(names, rng.randint(0, 3))
        ),
        evacuations=(evacuation,) if rng.random() < 0.7 else (),
        leaves_at=tuple(sorted(rng.uniform(5.0, last_return_s + 4.0) for _ in range(8))),
        compactions_at=(rng.uniform(5.0, last_return_s + 3.0),),
        config_interval_s=rng.choice([0.4, 1.3, 4.0]),
        regions=size.regions,
        per_region=size.per_region,
        duration_s=last_return_s + 28.0,
    )


@pytest.mark.parametrize('size', [EIGHT, TWELVE], ids=['8', '12'])
@pytest.mark.parametrize('seed', [5, 11, 19, 23, 27, 39, 70])
def test_nothing_goes_back_and_changes_are_in_force_around_returns(
    seed: int, size: FleetSize
) -> None:
    result = simulate_store_returns(random_scenario(seed, size))
    assert result.breaches == []
    assert result.held_at_end == 0


@pytest.mark.parametrize('seed', [0, 1])
def test_a_larger_fleet_follows_a_store_that_returns(seed: int) -> None:
    assert simulate_store_returns(random_scenario(seed, SEVENTY_TWO)).breaches == []


def test_195_instances_follow_a_store_that_returns() -> None:
    scenario = StoreReturnScenario(
        seed=3,
        outages=(Outage(9.0, 10.2, FailureMode.SILENT, copy_age_s=3.0),),
        leaves_at=(7.0, 8.0, 11.0, 14.5),
        evacuations=((8.0, 18.0),),
        regions=3,
        per_region=65,
        duration_s=20.0,
    )
    assert simulate_store_returns(scenario).breaches == []


def calls_after_absence(
    size: FleetSize, failure_mode: FailureMode, *, copy_age_s: float | None
) -> int:
    """Return the calls of all instances in five seconds after an absence of one second."""
    scenario = StoreReturnScenario(
        seed=1,
        outages=(Outage(10.0, 11.0, failure_mode, copy_age_s=copy_age_s),),
        config_interval_s=60.0,
        regions=size.regions,
        per_region=size.per_region,
        duration_s=17.0,
    )
    return simulate_store_returns(scenario).calls_after_outages[0]


@pytest.mark.parametrize('failure_mode', FailureMode)
@pytest.mark.parametrize('size', [TWELVE, SEVENTY_TWO], ids=['12', '72'])
def test_a_return_costs_few_calls(size: FleetSize, failure_mode: FailureMode) -> None:
    """Failure: all instances list all tables, or poll and list without a pause."""
    without_return = calls_after_absence(size, failure_mode, copy_age_s=None)
    with_return = calls_after_absence(size, failure_mode, copy_age_s=3.0)
    relays = 2 * size.regions
    # Each instance polls both tables once more; relays list and follow what is written again.
    assert with_return <= without_return + 2 * len(size.names()) + 10 * relays
