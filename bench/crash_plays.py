"""Fatal requests on the model of the fleet, over many seeds.

    .venv/bin/python bench/crash_plays.py [SEEDS]

Each seed draws the size of the fleet, the loss, kills, restarts, a deaf instance
and one to three fatal requests. Prints each play that the users' bound does not
allow, and what the others got.
"""

import random
import sys

from plantainloft_node.quarantine.crashes import HOLD_S
from plantainloft_standins.crash_model import CrashPlay, CrashScenario, FatalRequest
from plantainloft_standins.fleet_model import FleetModel, FleetShape

DEFAULT_SEEDS = 50
MAX_LATER = 3
SETTLED_S = 8.0
LENGTH_S = 40.0


def drawn(seed: int) -> CrashPlay:
    chance = random.Random(seed)
    shape = FleetShape(instances=chance.choice((2, 2, 2, 4)), loss=chance.choice((0.01, 0.05)))
    model = FleetModel(shape=shape._replace(seed=seed))
    model.start_all()
    model.run_for(SETTLED_S)
    fatal = tuple(
        FatalRequest(
            f'/fatal/{number}',
            per_s=chance.choice((0.5, 2.0, 8.0)),
            begins_s=chance.uniform(0, 10),
            idempotent=chance.random() < 0.7,
        )
        for number in range(chance.randint(1, 3))
    )
    scenario = CrashScenario(
        fatal=fatal,
        objects=chance.choice((0, 50, 500)),
        kills_per_s=chance.choice((0.0, 0.5, 2.0)),
        length_s=LENGTH_S,
        seed=seed,
    )
    play = CrashPlay(model=model, scenario=scenario)
    _disturb(play, chance)
    return play


def _disturb(play: CrashPlay, chance: random.Random) -> None:
    names = sorted(play.model.instance_by_name)

    def restart() -> None:
        for name in chance.sample(names, len(names) // 3):
            play.model.start(name)
            play.started(name)

    for _ in range(chance.randint(0, 3)):
        play.model.after(chance.uniform(1, LENGTH_S), restart)
    if chance.random() < 0.3:
        deaf = chance.choice(names)
        play.model.passes = lambda sender, receiver: receiver.name != deaf


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEEDS
    broken = 0
    longest = []
    for seed in range(seeds):
        play = drawn(seed)
        play.run()
        record = play.record
        later = {path: record.arrivals_after_contact(path) for path in record.crashes_by_path}
        later.pop('', None)
        longest.append(record.longest_shut_out_s())
        if max(later.values(), default=0) > MAX_LATER or longest[-1] > HOLD_S:
            broken += 1
            print(f'seed {seed}: later {later}, shut out for {longest[-1]:.1f} s', flush=True)
    print(f'{seeds} seeds, {broken} not allowed; longest shut out {max(longest):.1f} s')


if __name__ == '__main__':
    main()
