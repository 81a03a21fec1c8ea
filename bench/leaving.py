"""How long endpoints that left are used, by number of instances.

    .venv/bin/python bench/leaving.py [instances ...]

In virtual time (`plantainloft_standins.leaving_model`): a store that fails a
third of the instances for 16 s while four endpoints leave, silent and refusing,
and one that is away for all for 5.2 s, with rows that lapse. Prints a Markdown
table: the longest use after a row went, the store's calls an instance and
second, and the endpoints dropped though their rows only lapsed.
"""

import logging
import random
import sys
from typing import NamedTuple

from plantainloft_standins.leaving_model import LeavingScenario, Seen, play_leaving
from plantainloft_standins.store_model import Manner, Outage

SIZES = (12, 24, 48)
REGIONS = 3
SEEDS = 4
FAILED_SHARE = 0.35
AWAY_S = 5.2
LENGTH_S = 30.0


class Row(NamedTuple):
    """Figures of one kind of outage at one number of instances."""

    longest_use_s: float
    calls_per_s: float
    dropped: int


def instances(count: int) -> list[str]:
    return [f'e{number % REGIONS}-{number // REGIONS}' for number in range(count)]


def failed_part(count: int, seed: int, manner: Manner) -> LeavingScenario:
    rng = random.Random(seed)
    failed = frozenset(rng.sample(instances(count), int(FAILED_SHARE * count)))
    return LeavingScenario(
        seed=seed,
        outages=(Outage(8.0, 24.0, manner, failed),),
        leaves_at=tuple(at + rng.random() for at in (12.0, 16.0, 20.0, 25.0)),
        per_region=count // REGIONS,
        length_s=LENGTH_S,
    )


def away_for_all(count: int, seed: int, manner: Manner) -> LeavingScenario:
    outage = Outage(12.0, 12.0 + AWAY_S, manner)
    return LeavingScenario(
        seed=seed,
        outages=(outage,),
        lapses=(True,),
        leaves_at=(outage.end_s + 4.0,),
        per_region=count // REGIONS,
        length_s=LENGTH_S,
    )


def summary(plays: list[Seen], count: int) -> Row:
    return Row(
        longest_use_s=max((one.used_s for play in plays for one in play.leavings), default=0.0),
        calls_per_s=sum(play.calls for play in plays) / len(plays) / count / LENGTH_S,
        dropped=sum(len(play.lapses) for play in plays),
    )


def main() -> None:
    logging.disable(logging.CRITICAL)
    sizes = [int(word) for word in sys.argv[1:]] or list(SIZES)
    print('| instances | store | longest use s | calls/s an instance | dropped though alive |')
    print('| --- | --- | --- | --- | --- |')
    for count in sizes:
        for name, make in (('fails a third', failed_part), ('away for all', away_for_all)):
            for manner in Manner:
                plays = [play_leaving(make(count, seed, manner)) for seed in range(SEEDS)]
                row = summary(plays, count)
                print(
                    f'| {count} | {name}, {manner.value} | {row.longest_use_s:.2f} '
                    f'| {row.calls_per_s:.2f} | {row.dropped} |',
                    flush=True,
                )


if __name__ == '__main__':
    main()
