"""Random simulations of fatal requests, drawn from a seed."""

import random

from plantainloft_standins.crash_simulation import CrashScenario, CrashSimulation, FatalRequest
from plantainloft_standins.fleet_simulation import FleetModel, FleetShape

__all__ = ['random_simulation']

SETTLE_TIME_S = 8.0
DURATION_S = 40.0
LOSS_RATES = (0.01, 0.05)
INSTANCES_PER_ZONE = (2, 2, 2, 4)
FATAL_RATES_PER_S = (0.5, 2.0, 8.0)
MAX_FATAL_REQUESTS = 3
MAX_FATAL_START_S = 10.0
IDEMPOTENT_FRACTION = 0.7
PATH_COUNTS = (0, 50, 500)
KILL_RATES_PER_S = (0.0, 0.5, 2.0)
MAX_RESTARTS = 3
RESTARTED_DIVISOR = 3
UNREACHABLE_PROBABILITY = 0.3


def random_simulation(seed: int) -> CrashSimulation:
    """Return a random simulation on a fleet that has settled.

    The seed determines the size of the fleet, datagram loss, kills, restarts of a
    third of the instances, an instance that receives no datagrams, and one to three
    fatal requests.
    """
    rng = random.Random(seed)
    shape = FleetShape(instances=rng.choice(INSTANCES_PER_ZONE), loss=rng.choice(LOSS_RATES))
    model = FleetModel(shape=shape._replace(seed=seed))
    model.start_all()
    model.run_for(SETTLE_TIME_S)
    fatal = tuple(
        FatalRequest(
            f'/fatal/{number}',
            per_s=rng.choice(FATAL_RATES_PER_S),
            start_s=rng.uniform(0, MAX_FATAL_START_S),
            idempotent=rng.random() < IDEMPOTENT_FRACTION,
        )
        for number in range(rng.randint(1, MAX_FATAL_REQUESTS))
    )
    scenario = CrashScenario(
        fatal=fatal,
        path_count=rng.choice(PATH_COUNTS),
        kills_per_s=rng.choice(KILL_RATES_PER_S),
        duration_s=DURATION_S,
        seed=seed,
    )
    simulation = CrashSimulation(model=model, scenario=scenario)
    _schedule_faults(simulation, rng)
    return simulation


def _schedule_faults(simulation: CrashSimulation, rng: random.Random) -> None:
    names = sorted(simulation.model.instance_by_name)

    def restart() -> None:
        for name in rng.sample(names, len(names) // RESTARTED_DIVISOR):
            simulation.model.start(name)
            simulation.note_restart(name)

    for _ in range(rng.randint(0, MAX_RESTARTS)):
        simulation.model.after(rng.uniform(1, DURATION_S), restart)
    if rng.random() < UNREACHABLE_PROBABILITY:
        unreachable = rng.choice(names)
        simulation.model.can_deliver = lambda sender, receiver: receiver.name != unreachable
