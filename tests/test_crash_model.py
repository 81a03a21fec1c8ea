"""Simulated fatal requests beside background requests, on fleets of many instances."""

from collections.abc import Callable

import pytest

from plantainloft_node.quarantine.crash_records import INITIAL_TRIAL_DELAY_S
from plantainloft_standins.crash_simulation import CrashScenario, CrashSimulation, FatalRequest
from plantainloft_standins.fleet_simulation import FleetModel, FleetShape
from plantainloft_standins.random_crash_simulations import random_simulation

# Limit on fatal requests sent later than PROPAGATION_S after the third crash.
MAX_LATE_REQUESTS = 3
FATAL = FatalRequest('/fatal')
SMALL = FleetShape(loss=0.05)
MEDIUM = FleetShape(instances=12, loss=0.05)
LARGE = FleetShape(zones=3, instances=22, loss=0.05)
SETTLE_TIME_S = 8.0


@pytest.fixture
def make_simulation() -> Callable[..., CrashSimulation]:
    """Return a function that sets up a simulation on a fleet that has settled."""

    def make(shape: FleetShape, **overrides: object) -> CrashSimulation:
        model = FleetModel(shape=shape)
        model.start_all()
        model.run_for(SETTLE_TIME_S)
        scenario = CrashScenario(seed=shape.seed, **overrides)  # type: ignore[arg-type]
        return CrashSimulation(model=model, scenario=scenario)

    return make


SimulationFactory = Callable[..., CrashSimulation]


@pytest.mark.parametrize(
    ('shape', 'duration_s'), [(SMALL, 20.0), (MEDIUM, 12.0), (LARGE, 7.0)], ids=['12', '72', '198']
)
def test_repeats_stop_in_time_on_fleets_of_all_sizes(
    make_simulation: SimulationFactory, shape: FleetShape, duration_s: float
) -> None:
    simulation = make_simulation(shape, fatal=(FATAL,), duration_s=duration_s)
    simulation.run()
    assert simulation.results.arrivals_after_propagation('/fatal') <= MAX_LATE_REQUESTS
    assert simulation.results.share('shut_out') == 0


@pytest.mark.parametrize('seed', range(6))
def test_two_fatal_requests_beside_kills_are_bounded_each(
    make_simulation: SimulationFactory, seed: int
) -> None:
    slow = FatalRequest('/slow', per_s=1.0, idempotent=False)
    simulation = make_simulation(
        SMALL._replace(seed=seed), fatal=(FATAL, slow), kills_per_s=0.5, duration_s=25.0
    )
    simulation.run()
    for path in ('/fatal', '/slow'):
        assert simulation.results.arrivals_after_propagation(path) <= MAX_LATE_REQUESTS


@pytest.mark.parametrize('seed', range(4))
def test_an_instance_that_restarts_under_its_name_learns_in_time(
    make_simulation: SimulationFactory, seed: int
) -> None:
    simulation = make_simulation(SMALL._replace(seed=seed), fatal=(FATAL,), duration_s=25.0)

    def restart() -> None:
        for name in sorted(simulation.model.instance_by_name)[::3]:
            simulation.model.start(name)
            simulation.note_restart(name)

    for at in (3.0, 8.0, 14.0):
        simulation.model.after(at, restart)
    simulation.run()
    assert simulation.results.arrivals_after_propagation('/fatal') <= MAX_LATE_REQUESTS


@pytest.mark.parametrize('seed', range(4))
def test_an_instance_that_receives_no_datagrams_counts_for_itself(
    make_simulation: SimulationFactory, seed: int
) -> None:
    simulation = make_simulation(SMALL._replace(seed=seed), fatal=(FATAL,), duration_s=25.0)
    unreachable = sorted(simulation.model.instance_by_name)[0]
    simulation.model.can_deliver = lambda sender, receiver: receiver.name != unreachable
    simulation.run()
    assert simulation.results.arrivals_after_propagation('/fatal') <= MAX_LATE_REQUESTS


@pytest.mark.parametrize('seed', [22, 31])
def test_an_unreachable_instance_that_restarts_knows_what_is_shut_out(seed: int) -> None:
    """Relying on its own count only, it sent a fatal request four more times."""
    simulation = random_simulation(seed)
    simulation.run()
    assert simulation.results.arrivals_after_propagation('/fatal/0') <= MAX_LATE_REQUESTS


@pytest.mark.parametrize('path_count', [0, 20, 500], ids=['new', 'popular', 'usual'])
@pytest.mark.parametrize('kills_per_s', [1.0, 4.0])
def test_nobody_is_shut_out_for_kills_without_a_fatal_request(
    make_simulation: SimulationFactory, path_count: int, kills_per_s: float
) -> None:
    simulation = make_simulation(
        SMALL, path_count=path_count, kills_per_s=kills_per_s, duration_s=60.0
    )
    simulation.run()
    assert simulation.results.share('shut_out') == 0


@pytest.mark.parametrize('seed', range(3))
def test_nobody_is_shut_out_for_long_beside_a_fatal_request_and_kills(
    make_simulation: SimulationFactory, seed: int
) -> None:
    """The model sends no trial requests, so a path is shut out until a request is answered."""
    simulation = make_simulation(
        SMALL._replace(seed=seed), fatal=(FATAL,), path_count=50, kills_per_s=2.0, duration_s=60.0
    )
    simulation.run()
    assert simulation.results.longest_blocked_s() <= INITIAL_TRIAL_DELAY_S


def test_the_others_are_answered_while_a_fatal_request_comes_again_and_again(
    make_simulation: SimulationFactory,
) -> None:
    simulation = make_simulation(SMALL, fatal=(FATAL,), endpoints=6, slots=4, background_per_s=60.0)
    simulation.run()
    assert simulation.results.share('answered') >= 0.9


def test_suspects_that_are_not_retried_crash_fewer_endpoints(
    make_simulation: SimulationFactory,
) -> None:
    crash_counts = []
    for retries_suspects in (True, False):
        total = 0
        for seed in range(5):
            shape = SMALL._replace(seed=seed)
            simulation = make_simulation(
                shape, fatal=(FATAL,), retries_suspects=retries_suspects, duration_s=8.0
            )
            simulation.run()
            total += len(simulation.results.crashes_by_path['/fatal'])
        crash_counts.append(total)
    assert crash_counts[1] < crash_counts[0]
