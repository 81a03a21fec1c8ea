"""How long endpoints are used after they left, by number of instances.

    .venv/bin/python bench/leaving.py [instances ...]

Simulates (`plantainloft_standins.leaving_simulation`) a store that fails a third of
the instances for 16 s while four endpoints leave, and a store that is down for
all for 5.2 s while rows expire; calls to a failing store either hang or are refused
at once. Prints a Markdown table: the longest use of an endpoint after its row was
removed, store calls per instance and second, and running endpoints that were
dropped because their row had expired.
"""

import logging
import random
import sys
from typing import NamedTuple

from plantainloft_standins.leaving_simulation import (
    LeavingResult,
    LeavingScenario,
    simulate_leaving,
)
from plantainloft_standins.simulated_store import FailureMode, Outage

SIZES = (12, 24, 48)
REGIONS = 3
SEEDS = 4
FAILED_FRACTION = 0.35
OUTAGE_S = 5.2
DURATION_S = 30.0


class Row(NamedTuple):
    """Results for one kind of outage and one number of instances."""

    longest_stale_s: float
    calls_per_s: float
    false_drops: int


def instances(count: int) -> list[str]:
    return [f'e{number % REGIONS}-{number // REGIONS}' for number in range(count)]


def partial_outage(count: int, seed: int, failure_mode: FailureMode) -> LeavingScenario:
    rng = random.Random(seed)
    failed = frozenset(rng.sample(instances(count), int(FAILED_FRACTION * count)))
    return LeavingScenario(
        seed=seed,
        outages=(Outage(8.0, 24.0, failure_mode, failed),),
        leaves_at=tuple(at + rng.random() for at in (12.0, 16.0, 20.0, 25.0)),
        per_region=count // REGIONS,
        duration_s=DURATION_S,
    )


def full_outage(count: int, seed: int, failure_mode: FailureMode) -> LeavingScenario:
    outage = Outage(12.0, 12.0 + OUTAGE_S, failure_mode)
    return LeavingScenario(
        seed=seed,
        outages=(outage,),
        rows_expire=(True,),
        leaves_at=(outage.end_s + 4.0,),
        per_region=count // REGIONS,
        duration_s=DURATION_S,
    )


def summary(results: list[LeavingResult], count: int) -> Row:
    return Row(
        longest_stale_s=max(
            (one.stale_s for result in results for one in result.stale_uses), default=0.0
        ),
        calls_per_s=sum(result.calls for result in results) / len(results) / count / DURATION_S,
        false_drops=sum(len(result.false_drops) for result in results),
    )


def main() -> None:
    logging.disable(logging.CRITICAL)
    sizes = [int(word) for word in sys.argv[1:]] or list(SIZES)
    print('| instances | store | longest use s | calls/s an instance | dropped though running |')
    print('| --- | --- | --- | --- | --- |')
    for count in sizes:
        for outage_name, make_scenario in (
            ('fails a third', partial_outage),
            ('down for all', full_outage),
        ):
            for failure_mode in FailureMode:
                results = [
                    simulate_leaving(make_scenario(count, seed, failure_mode))
                    for seed in range(SEEDS)
                ]
                row = summary(results, count)
                print(
                    f'| {count} | {outage_name}, {failure_mode.value} | {row.longest_stale_s:.2f} '
                    f'| {row.calls_per_s:.2f} | {row.false_drops} |',
                    flush=True,
                )


if __name__ == '__main__':
    main()
