"""Load simulations with each placement mechanism switched off, one at a time.

    .venv/bin/python bench/ablation.py [seeds] [processes]

Prints a Markdown table: the fraction of the requested value that is earned under
each load with every mechanism on, and the difference with one of them off (mean over
the seeds). The simulation has no failing or cold endpoints, so ejection and the
limits for cold endpoints are not covered.
"""

import math
import sys
from collections.abc import Callable
from multiprocessing import Pool
from typing import Any, NamedTuple
from unittest import mock

from plantainloft_node.placement import endpoints, placement, selection
from plantainloft_node.placement.spillover import SpilloverDecayLimiter
from plantainloft_node.retry_budget.budget import RetryBudget
from plantainloft_standins import load_simulation
from plantainloft_standins.deployments import nearby_regions_scenario
from plantainloft_standins.load_simulation import (
    Scenario,
    Workload,
    earned_value_fraction,
    simulate,
)

ORDERS = Workload('orders', 55.0, 0.34, 0.27, 1.5, 0, 3.0, 24)
HOLDS = Workload('holds', 66.0, 0.64, 0.47, 3.0, 1, 2.0, 24)
LOOKUPS = Workload('lookups', 215.0, 0.48, 0.37, 2.5, 2, 1.0, 53)
BURST_S = (4.0, 7.0)
SLOW_S = (5.0, 12.0)
SLOWDOWN_FACTOR = 5.0
SEEDS = 3
PROCESSES = 2


class Load(NamedTuple):
    """A scenario and its heading in the table."""

    name: str
    scenario: Scenario


class Mechanism(NamedTuple):
    """A mechanism and the replacement that switches it off; no target: all are on."""

    name: str
    target: object
    attribute: str
    replacement: Any


def _distant_regions_scenario() -> Scenario:
    """Return regions 55 ms apart, one with a third of the callers and 1/10 of the slots."""
    return nearby_regions_scenario()._replace(
        endpoints_by_region={'west': 16, 'east': 22, 'south': 4},
        inter_region_delay_s=0.055,
        workloads=(LOOKUPS, HOLDS, ORDERS),
    )


def _constant(factor: float) -> Callable[[float], float]:
    return lambda now: factor


def _burst_rate(now: float) -> float:
    return 2.5 if BURST_S[0] < now < BURST_S[1] else 1.0


def _slowdown(endpoint_number: int, now: float) -> float:
    return SLOWDOWN_FACTOR if endpoint_number == 1 and SLOW_S[0] < now < SLOW_S[1] else 1.0


def loads() -> list[Load]:
    """Return the scenarios to simulate."""
    return [
        Load('near, usual', nearby_regions_scenario()),
        Load('near, double', nearby_regions_scenario()._replace(rate_factor=_constant(2.0))),
        Load('far, usual', _distant_regions_scenario()),
        Load('far, double', _distant_regions_scenario()._replace(rate_factor=_constant(2.0))),
        Load('far, burst', _distant_regions_scenario()._replace(rate_factor=_burst_rate)),
        Load(
            'far, slow endpoints',
            _distant_regions_scenario()._replace(slowdown=_slowdown, rate_factor=_constant(1.3)),
        ),
    ]


def _first_with_room(candidates: Any, request: Any, now: float) -> Any:
    """Return the first of ``candidates``, in rank order, with a free slot, warm or not."""
    for rank, state in enumerate(candidates):
        load = state.load(now)
        if load < state.record.slots * (selection.SPILL_MAX_USED_FRACTION if rank else 1.0):
            return selection.Selection(endpoint=state, load=load, rank=rank)
    return selection.earliest_completion(candidates[:1], request, now)


def mechanisms() -> list[Mechanism]:
    """Return the baseline, then each mechanism that can be switched off."""
    never = mock.Mock(return_value=False)
    return [
        Mechanism('everything on', None, '', None),
        Mechanism('waits for warm endpoints', placement, 'earliest_completion', _first_with_room),
        Mechanism('average load of other instances', endpoints, 'TYPICAL_LOAD_DECAY_S', 0.001),
        Mechanism(
            'gradual decrease of spilling after a start',
            SpilloverDecayLimiter,
            'decays_too_fast',
            never,
        ),
        Mechanism('slow endpoints skipped', endpoints, 'SLOW_FACTOR', math.inf),
        Mechanism('region shares', placement.Placement, '_region_of', _own_region),
        Mechanism('demand of other instances', load_simulation, 'demand_by_region', _no_demand),
        Mechanism('candidates in other regions', placement, 'REMOTE_CANDIDATES', 0),
        Mechanism('queues by priority', selection, 'QUEUE_RATIO_BY_PRIORITY', (1.0, 1.0, 1.0)),
        Mechanism('refusal by worst-case time', selection, '_worst_case_answer_s', _zero_answer_s),
        Mechanism('retries', RetryBudget, 'try_acquire', never),
    ]


def _own_region(placement_: placement.Placement, request: object) -> str:
    return placement_.settings.region


def _no_demand(instances: object) -> dict[str, dict[str, float]]:
    return {}


def _zero_answer_s(state: object, load: float) -> float:
    return 0.0


def simulate_job(job: tuple[int, int, int]) -> float:
    """Return the earned value with one mechanism off, for one load and one seed."""
    number, load, seed = job
    mechanism = mechanisms()[number]
    scenario = loads()[load].scenario._replace(seed=seed)
    if mechanism.target is None:
        return earned_value_fraction(simulate(scenario))
    with mock.patch.object(mechanism.target, mechanism.attribute, mechanism.replacement):
        return earned_value_fraction(simulate(scenario))


def main() -> None:
    """Run all simulations and print the table."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else SEEDS
    processes = int(sys.argv[2]) if len(sys.argv) > 2 else PROCESSES
    names = [mechanism.name for mechanism in mechanisms()]
    headings = [load.name for load in loads()]
    jobs = [
        (number, load, seed)
        for number in range(len(names))
        for load in range(len(headings))
        for seed in range(1, seeds + 1)
    ]
    with Pool(processes) as pool:
        value_by_job = dict(zip(jobs, pool.map(simulate_job, jobs, chunksize=1), strict=True))
    print('| off |', ' | '.join(headings), '|')
    print('|', ' | '.join('---' for _ in range(len(headings) + 1)), '|')
    for number, name in enumerate(names):
        cells = []
        for load in range(len(headings)):
            mean_values = [
                sum(value_by_job[(one, load, seed)] for seed in range(1, seeds + 1)) / seeds
                for one in (0, number)
            ]
            cells.append(
                f'{mean_values[1] - mean_values[0]:+.3f}' if number else f'{mean_values[0]:.3f}'
            )
        print(f'| {name} |', ' | '.join(cells), '|')


if __name__ == '__main__':
    main()
