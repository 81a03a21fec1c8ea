"""Fatal requests on the model of the fleet, over many seeds.

    .venv/bin/python bench/crash_plays.py [SEEDS]

Each seed draws the size of the fleet, the loss, kills, restarts, a deaf instance
and one to three fatal requests. Prints each play that the users' bound does not
allow, and what the others got.
"""

import sys

from plantainloft_node.quarantine.crashes import HOLD_S
from plantainloft_standins.crash_draws import draw_play

DEFAULT_SEEDS = 50
MAX_LATER = 3


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEEDS
    broken = 0
    longest = []
    for seed in range(seeds):
        play = draw_play(seed)
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
