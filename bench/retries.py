"""Plays random scenarios of retries in the model and prints both sides of the allowance.

Run as ``python bench/retries.py FIRST_SEED COUNT``: one line for each scenario whose worst
window exceeds the allowance, and a summary for each size of the fleet.
"""

import sys
from collections.abc import Iterable

from plantainloft_node.retry_budget.registry import RetryLimits
from plantainloft_standins.random_retry_scenarios import random_retry_scenario
from plantainloft_standins.retry_simulation import (
    RetryScenario,
    Traffic,
    simulate_retries,
)

__all__ = ['FLEETS', 'calm_scenario', 'main']

# Instances, callers' requests a second and fixed retries in ten seconds.
FLEETS = ((8, 40.0, 60.0), (10, 250.0, 60.0), (72, 700.0, 184.0), (195, 1000.0, 430.0))


def calm_scenario(instances: int, per_s: float, fixed_retries: float) -> RetryScenario:
    """Return a fleet without failures or outages."""
    return RetryScenario(
        seed=0,
        instances=instances,
        limits=RetryLimits(ratio=0.2, fixed_retries=fixed_retries, window_s=10.0),
        traffic=(Traffic(per_s),),
        failures=(),
    )


def play_seeds(calm: RetryScenario, seeds: Iterable[int]) -> None:
    """Play ``calm`` with the outages of each seed and print what was seen."""
    fractions = []
    for seed in seeds:
        worst = simulate_retries(random_retry_scenario(calm, seed)).ledger.worst_window()
        fractions.append(worst.retries / worst.allowed)
        if worst.excess > 0:
            print(f'{calm.instances} instances, seed {seed}: {worst}')
    broken = sum(fraction > 1 for fraction in fractions)
    print(
        f'{calm.instances} instances, {len(fractions)} seeds: {broken} exceed the allowance, '
        f'at most {max(fractions):.2f} of it in the window nearest to it'
    )


def main() -> None:
    """Play the seeds named on the command line."""
    first_seed, count = int(sys.argv[1]), int(sys.argv[2])
    for fleet in FLEETS:
        play_seeds(calm_scenario(*fleet), range(first_seed, first_seed + count))


if __name__ == '__main__':
    main()
