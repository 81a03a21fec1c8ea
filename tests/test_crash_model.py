"""Fatal requests, and the others beside them, on a fleet of many instances."""

from collections.abc import Callable

import pytest

from plantainloft_node.quarantine.crashes import HOLD_S
from plantainloft_standins.crash_draws import draw_play
from plantainloft_standins.crash_model import CrashPlay, CrashScenario, FatalRequest
from plantainloft_standins.fleet_model import FleetModel, FleetShape

# What the users allow after the third crash and the time of contact.
MAX_LATER = 3
FATAL = FatalRequest('/fatal')
SMALL = FleetShape(loss=0.05)
MEDIUM = FleetShape(instances=12, loss=0.05)
LARGE = FleetShape(zones=3, instances=22, loss=0.05)
SETTLED_S = 8.0


@pytest.fixture
def play() -> Callable[..., CrashPlay]:
    """Return a way to set up a play on a fleet that has settled."""

    def make(shape: FleetShape, **terms: object) -> CrashPlay:
        model = FleetModel(shape=shape)
        model.start_all()
        model.run_for(SETTLED_S)
        scenario = CrashScenario(seed=shape.seed, **terms)  # type: ignore[arg-type]
        return CrashPlay(model=model, scenario=scenario)

    return make


Play = Callable[..., CrashPlay]


@pytest.mark.parametrize(
    ('shape', 'length_s'), [(SMALL, 20.0), (MEDIUM, 12.0), (LARGE, 7.0)], ids=['12', '72', '198']
)
def test_repeats_stop_in_time_on_fleets_of_all_sizes(
    play: Play, shape: FleetShape, length_s: float
) -> None:
    played = play(shape, fatal=(FATAL,), length_s=length_s)
    played.run()
    assert played.record.arrivals_after_contact('/fatal') <= MAX_LATER
    assert played.record.share('shut_out') == 0


@pytest.mark.parametrize('seed', range(6))
def test_two_fatal_requests_beside_kills_are_bounded_each(play: Play, seed: int) -> None:
    slow = FatalRequest('/slow', per_s=1.0, idempotent=False)
    played = play(SMALL._replace(seed=seed), fatal=(FATAL, slow), kills_per_s=0.5, length_s=25.0)
    played.run()
    for path in ('/fatal', '/slow'):
        assert played.record.arrivals_after_contact(path) <= MAX_LATER


@pytest.mark.parametrize('seed', range(4))
def test_an_instance_that_restarts_under_its_name_learns_in_time(play: Play, seed: int) -> None:
    played = play(SMALL._replace(seed=seed), fatal=(FATAL,), length_s=25.0)

    def restart() -> None:
        for name in sorted(played.model.instance_by_name)[::3]:
            played.model.start(name)
            played.started(name)

    for at in (3.0, 8.0, 14.0):
        played.model.after(at, restart)
    played.run()
    assert played.record.arrivals_after_contact('/fatal') <= MAX_LATER


@pytest.mark.parametrize('seed', range(4))
def test_an_instance_that_hears_nobody_counts_for_itself(play: Play, seed: int) -> None:
    played = play(SMALL._replace(seed=seed), fatal=(FATAL,), length_s=25.0)
    deaf = sorted(played.model.instance_by_name)[0]
    played.model.passes = lambda sender, receiver: receiver.name != deaf
    played.run()
    assert played.record.arrivals_after_contact('/fatal') <= MAX_LATER


@pytest.mark.parametrize('seed', [22, 31])
def test_a_deaf_instance_that_restarts_knows_what_is_shut_out(seed: int) -> None:
    """Alone with its own count, it sent a request four times more."""
    played = draw_play(seed)
    played.run()
    assert played.record.arrivals_after_contact('/fatal/0') <= MAX_LATER


@pytest.mark.parametrize('objects', [0, 20, 500], ids=['new', 'popular', 'usual'])
@pytest.mark.parametrize('kills_per_s', [1.0, 4.0])
def test_nobody_is_shut_out_for_kills_without_a_fatal_request(
    play: Play, objects: int, kills_per_s: float
) -> None:
    played = play(SMALL, objects=objects, kills_per_s=kills_per_s, length_s=60.0)
    played.run()
    assert played.record.share('shut_out') == 0


@pytest.mark.parametrize('seed', range(3))
def test_nobody_is_shut_out_for_long_beside_a_fatal_request_and_kills(
    play: Play, seed: int
) -> None:
    """The model makes no trials, so a request stays shut out until somebody is answered."""
    played = play(
        SMALL._replace(seed=seed), fatal=(FATAL,), objects=50, kills_per_s=2.0, length_s=60.0
    )
    played.run()
    assert played.record.longest_shut_out_s() <= HOLD_S


def test_the_others_are_answered_while_a_fatal_request_comes_again_and_again(play: Play) -> None:
    played = play(SMALL, fatal=(FATAL,), endpoints=6, slots=4, others_per_s=60.0)
    played.run()
    assert played.record.share('answered') >= 0.9


def test_suspects_that_are_not_repeated_end_fewer_endpoints(play: Play) -> None:
    ended = []
    for repeats_suspects in (True, False):
        total = 0
        for seed in range(5):
            shape = SMALL._replace(seed=seed)
            played = play(shape, fatal=(FATAL,), repeats_suspects=repeats_suspects, length_s=8.0)
            played.run()
            total += len(played.record.crashes_by_path['/fatal'])
        ended.append(total)
    assert ended[1] < ended[0]
