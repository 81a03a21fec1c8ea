"""The retries of whole fleets in the model: what arrives, and how much could be used."""

import pytest

from plantainloft_node.retry_budget.registry import RetryLimits
from plantainloft_standins.random_retry_scenarios import random_retry_scenario
from plantainloft_standins.retry_simulation import (
    Failures,
    LinkCut,
    Outage,
    RetryResult,
    RetryScenario,
    Traffic,
    simulate_retries,
)

# Instances, callers' requests a second and fixed retries in ten seconds.
FLEETS = [(8, 40.0, 60.0), (10, 250.0, 60.0), (72, 700.0, 184.0), (195, 1000.0, 430.0)]
RATIO = 0.2
WINDOW_S = 10.0
FAILURES_AT_S = 10.0
NEARLY_ALL_FAIL = Failures(FAILURES_AT_S, 40.0, turned_away=0.9)
# Part of the allowance that can be used while failures go on.
MIN_USED_FRACTION = 0.8


@pytest.fixture(params=FLEETS, ids=lambda fleet: f'{fleet[0]} instances')
def scenario(request: pytest.FixtureRequest) -> RetryScenario:
    instances, per_s, fixed_retries = request.param
    return RetryScenario(
        seed=instances,
        instances=instances,
        limits=RetryLimits(RATIO, fixed_retries, WINDOW_S),
        traffic=(Traffic(per_s),),
        failures=(NEARLY_ALL_FAIL,),
    )


def all_of(scenario: RetryScenario) -> frozenset[int]:
    return frozenset(range(scenario.instances))


def half_of(scenario: RetryScenario, *, offset: int = 0) -> frozenset[int]:
    return frozenset(range(offset, scenario.instances, 2))


def play(scenario: RetryScenario, **changes: object) -> RetryResult:
    """Play ``scenario`` with ``changes`` and check every window of ten seconds."""
    result = simulate_retries(scenario._replace(**changes))  # type: ignore[arg-type]
    assert result.ledger.worst_window().excess <= 0
    return result


def repeated(instances: frozenset[int], *times_s: float) -> tuple[Outage, ...]:
    return tuple(Outage(at, at + 0.5, instances) for at in times_s)


@pytest.mark.parametrize(
    'failures', [Failures(10.0, 40.0, turned_away=0.5), Failures(10.0, 40.0, lost=0.6)]
)
def test_fleets_use_most_of_the_allowance_in_a_steady_failure(failures: Failures) -> None:
    scenario = RetryScenario(
        seed=1,
        instances=10,
        limits=RetryLimits(RATIO, 60.0, WINDOW_S),
        traffic=(Traffic(250.0),),
        failures=(failures,),
    )
    result = play(scenario)
    assert result.ledger.used_fraction(15.0, 35.0) >= MIN_USED_FRACTION


def test_all_instances_start_again_after_the_failures_have_begun(scenario: RetryScenario) -> None:
    """Failure: processes that had forgotten their retries sent as many once more."""
    play(scenario, kills=repeated(all_of(scenario), 11.5))


def test_all_instances_start_again_several_times(scenario: RetryScenario) -> None:
    """Failure: each start gave every process its part of the fixed retries anew."""
    play(scenario, kills=repeated(all_of(scenario), 11.5, 14.0, 17.0))


def test_instances_start_again_in_turn(scenario: RetryScenario) -> None:
    kills = repeated(half_of(scenario), 11.5, 15.0, 19.0)
    play(scenario, kills=kills + repeated(half_of(scenario, offset=1), 13.0, 17.0))


@pytest.mark.parametrize('knows_all_after_s', [0.3, 8.0, 12.0, 99.0])
def test_processes_that_know_few_instances(
    scenario: RetryScenario, knows_all_after_s: float
) -> None:
    """Failure: processes with no list of instances, or a short one, took too large a part."""
    few = max(1, scenario.instances // 4)
    lists = ((0.2, 1), (0.25, few), (knows_all_after_s, scenario.instances))
    kills = repeated(all_of(scenario), 11.5, 14.0, 17.0)
    play(scenario, instance_lists=lists if knows_all_after_s <= WINDOW_S else ((99.0, 0),))
    if knows_all_after_s <= WINDOW_S:
        play(scenario, instance_lists=lists, kills=kills)


def test_callers_move_from_instance_to_instance(scenario: RetryScenario) -> None:
    """Failure: each instance spent for requests that another one gets next."""
    per_s = scenario.traffic[0].per_s
    instances = [tuple(half_of(scenario, offset=number % 2)) for number in range(8)]
    moving = tuple(
        Traffic(per_s, 5.0 * number, 5.0 * number + 5.0, instances[number]) for number in range(8)
    )
    play(scenario, traffic=moving)


def test_traffic_falls_steeply(scenario: RetryScenario) -> None:
    per_s = scenario.traffic[0].per_s
    play(scenario, traffic=(Traffic(per_s, 0.0, 11.0), Traffic(per_s / 100, 11.0)))


def test_bursts_with_little_traffic_between_them(scenario: RetryScenario) -> None:
    per_s = scenario.traffic[0].per_s
    bursts = (Traffic(per_s, 0.0, 12.0), Traffic(per_s * 2, 19.0, 22.0))
    play(scenario, traffic=(*bursts, Traffic(per_s / 50, 12.0)))


def test_links_are_cut_while_retries_are_on_their_way(scenario: RetryScenario) -> None:
    """Failure: retries of the cut arrived together with those of the moment it healed."""
    everybody = all_of(scenario)
    cuts = tuple(LinkCut(12 + 3.0 * one, 14.4 + 3.0 * one, everybody, 0.5) for one in range(6))
    play(scenario, cuts=cuts)
    play(scenario, cuts=(LinkCut(12.0, 17.0, everybody), LinkCut(22.0, 25.0, half_of(scenario))))


def test_instances_freeze_and_wake_up(scenario: RetryScenario) -> None:
    """Failure: what had waited in frozen processes was sent at once."""
    freezes = (
        Outage(12.0, 17.0, all_of(scenario)),
        Outage(20.0, 22.0, half_of(scenario)),
        Outage(21.0, 24.0, half_of(scenario, offset=1)),
    )
    play(scenario, freezes=freezes)


@pytest.mark.parametrize('seed', range(8))
def test_random_outages_that_overlap(scenario: RetryScenario, seed: int) -> None:
    result = simulate_retries(random_retry_scenario(scenario, seed))
    assert result.ledger.worst_window().excess <= 0
