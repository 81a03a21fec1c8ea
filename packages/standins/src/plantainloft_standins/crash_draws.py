"""Plays with fatal requests whose scenario is drawn from a seed."""

import random

from plantainloft_standins.crash_model import CrashPlay, CrashScenario, FatalRequest
from plantainloft_standins.fleet_model import FleetModel, FleetShape

__all__ = ['draw_play']

SETTLED_S = 8.0
LENGTH_S = 40.0
LOSSES = (0.01, 0.05)
INSTANCES_A_ZONE = (2, 2, 2, 4)
FATAL_PER_S = (0.5, 2.0, 8.0)
MOST_FATAL = 3
LATEST_BEGIN_S = 10.0
IDEMPOTENT_PART = 0.7
OBJECTS = (0, 50, 500)
KILLS_PER_S = (0.0, 0.5, 2.0)
MOST_RESTARTS = 3
RESTARTED_PART = 3
DEAF_PART = 0.3


def draw_play(seed: int) -> CrashPlay:
    """Return a play that is drawn from ``seed``, on a fleet that has settled.

    Sizes, loss, kills, restarts of a third of the instances, an instance that
    hears nobody, and one to three fatal requests.
    """
    chance = random.Random(seed)
    shape = FleetShape(instances=chance.choice(INSTANCES_A_ZONE), loss=chance.choice(LOSSES))
    model = FleetModel(shape=shape._replace(seed=seed))
    model.start_all()
    model.run_for(SETTLED_S)
    fatal = tuple(
        FatalRequest(
            f'/fatal/{number}',
            per_s=chance.choice(FATAL_PER_S),
            begins_s=chance.uniform(0, LATEST_BEGIN_S),
            idempotent=chance.random() < IDEMPOTENT_PART,
        )
        for number in range(chance.randint(1, MOST_FATAL))
    )
    scenario = CrashScenario(
        fatal=fatal,
        objects=chance.choice(OBJECTS),
        kills_per_s=chance.choice(KILLS_PER_S),
        length_s=LENGTH_S,
        seed=seed,
    )
    play = CrashPlay(model=model, scenario=scenario)
    _disturb(play, chance)
    return play


def _disturb(play: CrashPlay, chance: random.Random) -> None:
    names = sorted(play.model.instance_by_name)

    def restart() -> None:
        for name in chance.sample(names, len(names) // RESTARTED_PART):
            play.model.start(name)
            play.started(name)

    for _ in range(chance.randint(0, MOST_RESTARTS)):
        play.model.after(chance.uniform(1, LENGTH_S), restart)
    if chance.random() < DEAF_PART:
        deaf = chance.choice(names)
        play.model.passes = lambda sender, receiver: receiver.name != deaf
