"""Random simulations of fatal requests over many seeds.

    .venv/bin/python bench/crash_plays.py [SEEDS]

Each seed determines the size of the fleet, datagram loss, kills, restarts, an
instance that receives no datagrams, and one to three fatal requests. Prints each
simulation in which too many fatal requests were sent or a background request was
refused for too long.
"""

import sys

from plantainloft_node.quarantine.crash_records import INITIAL_TRIAL_DELAY_S
from plantainloft_standins.random_crash_simulations import random_simulation

DEFAULT_SEEDS = 50
MAX_LATE_REQUESTS = 3


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEEDS
    exceeded = 0
    blocked_times_s = []
    for seed in range(seeds):
        simulation = random_simulation(seed)
        simulation.run()
        results = simulation.results
        late_requests = {
            path: results.arrivals_after_propagation(path) for path in results.crashes_by_path
        }
        late_requests.pop('', None)
        blocked_times_s.append(results.longest_blocked_s())
        if (
            max(late_requests.values(), default=0) > MAX_LATE_REQUESTS
            or blocked_times_s[-1] > INITIAL_TRIAL_DELAY_S
        ):
            exceeded += 1
            print(
                f'seed {seed}: late fatal requests by path: {late_requests}, '
                f'background path blocked for {blocked_times_s[-1]:.1f} s',
                flush=True,
            )
    print(
        f'{seeds} seeds, {exceeded} over a limit; '
        f'background path blocked for at most {max(blocked_times_s):.1f} s'
    )


if __name__ == '__main__':
    main()
