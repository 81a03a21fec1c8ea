"""The sum over all instances of what endpoints with request limits get, in a model."""

import pytest

from plantainloft_standins.endpoint_limit_simulation import EndpointLimitSimulation, ModelLimit
from plantainloft_standins.fleet_simulation import FleetModel, FleetShape

ENDPOINT = 'r0-ep0'
NAMED_AT_S = 3.0
# The users allow, from 4 s after a limit was first named, one and a half times what it
# allows in any 4 s and 5 more requests, and ask that 0.8 of it is used.
CONTACT_S = 4.0
BOUND_WINDOW_S = 4.0
MIN_USED_FRACTION = 0.8
BOUND_FROM_S = NAMED_AT_S + CONTACT_S
OBSERVED_S = 12.0
# All instances know by then that others are down, and shares have grown.
DETECTED_AFTER_S = 10.0
SHAPES = {
    8: FleetShape(regions=2, zones=1, instances=4),
    12: FleetShape(regions=3, zones=2, instances=2),
    72: FleetShape(regions=3, zones=2, instances=12),
}


def max_in_window(limit_per_s: float) -> int:
    return int(1.5 * limit_per_s * BOUND_WINDOW_S + 5)


def simulate(
    shape: FleetShape, limit_per_s: float, *, callers_at: tuple[str, ...] = ()
) -> EndpointLimitSimulation:
    """Return a simulation in which ``ENDPOINT`` names a limit from ``NAMED_AT_S`` on."""

    def header_values(at_s: float) -> list[bytes]:
        return [b'%g' % limit_per_s] if at_s >= NAMED_AT_S else []

    return EndpointLimitSimulation(
        model=FleetModel(shape=shape),
        limits=[ModelLimit(ENDPOINT, header_values)],
        per_s=400.0,
        callers_at=callers_at,
        seed=shape.seed,
    )


def most_in_window(simulation: EndpointLimitSimulation) -> int:
    return simulation.most_in_window(ENDPOINT, BOUND_WINDOW_S, since_s=BOUND_FROM_S)


def used_fraction(
    simulation: EndpointLimitSimulation, limit_per_s: float, *, since_s: float = BOUND_FROM_S
) -> float:
    used = simulation.count(ENDPOINT, since_s, since_s + OBSERVED_S)
    return used / (limit_per_s * OBSERVED_S)


@pytest.mark.parametrize(
    ('instances', 'limit_per_s'),
    [(8, 1.2), (8, 3.0), (8, 20.0), (12, 1.2), (12, 3.0), (12, 20.0), (72, 1.2), (72, 20.0)],
)
def test_a_limit_is_kept_and_used(instances: int, limit_per_s: float) -> None:
    simulation = simulate(SHAPES[instances]._replace(loss=0.05), limit_per_s)
    simulation.run_for(BOUND_FROM_S + OBSERVED_S)
    assert most_in_window(simulation) <= max_in_window(limit_per_s)
    assert used_fraction(simulation, limit_per_s) >= MIN_USED_FRACTION
    assert simulation.refused == 0


@pytest.mark.timeout(400)
def test_195_instances_keep_and_use_a_limit_of_a_few_requests() -> None:
    shape = FleetShape(regions=3, zones=5, instances=13, loss=0.05)
    simulation = simulate(shape, 3.0)
    simulation.run_for(BOUND_FROM_S + OBSERVED_S)
    assert most_in_window(simulation) <= max_in_window(3.0)
    assert used_fraction(simulation, 3.0) >= MIN_USED_FRACTION


def test_a_limit_is_used_by_the_few_instances_that_have_callers() -> None:
    callers_at = ('r0-z0-0', 'r0-z1-3', 'r0-z1-4')
    simulation = simulate(SHAPES[72], 3.0, callers_at=callers_at)
    simulation.run_for(BOUND_FROM_S + OBSERVED_S)
    assert most_in_window(simulation) <= max_in_window(3.0)
    assert used_fraction(simulation, 3.0) >= MIN_USED_FRACTION


def test_a_limit_is_kept_while_callers_move_between_instances() -> None:
    simulation = simulate(SHAPES[12], 3.0, callers_at=('r0-z0-0', 'r0-z0-1'))
    simulation.run_for(BOUND_FROM_S)
    simulation.callers_at = ('r0-z1-0', 'r0-z1-1')
    simulation.run_for(5.0)
    simulation.callers_at = ('r0-z0-0', 'r0-z1-1')
    simulation.run_for(OBSERVED_S)
    assert most_in_window(simulation) <= max_in_window(3.0)


@pytest.mark.parametrize('named_at_s', [BOUND_FROM_S, NAMED_AT_S - 1.0])
def test_a_limit_is_kept_in_a_partition(named_at_s: float) -> None:
    """``named_at_s``: the partition starts long after, or before the limit is named."""
    simulation = simulate(SHAPES[12], 3.0)
    simulation.run_for(named_at_s)
    simulation.model.can_deliver = lambda sender, receiver: (
        (sender.zone == 'r0-z0') == (receiver.zone == 'r0-z0')
    )
    simulation.run_for(20.0)
    simulation.model.can_deliver = lambda sender, receiver: True
    simulation.run_for(10.0)
    assert most_in_window(simulation) <= max_in_window(3.0)


@pytest.mark.parametrize('seed', range(4))
def test_a_limit_is_kept_while_instances_restart_and_freeze(seed: int) -> None:
    simulation = simulate(SHAPES[12]._replace(seed=seed), 3.0)
    simulation.run_for(BOUND_FROM_S)
    model = simulation.model
    for number, name in enumerate(('r0-z0-0', 'r0-z1-0', 'r1-z0-0', 'r0-z0-1')):
        model.instance_by_name[name].runs = False
        simulation.run_for(1.0 + seed)
        if number % 2:
            model.resume(name)
        else:
            model.start(name)
    simulation.run_for(OBSERVED_S)
    assert most_in_window(simulation) <= max_in_window(3.0)


def test_a_limit_is_kept_and_used_after_all_relays_are_lost() -> None:
    simulation = simulate(SHAPES[72], 3.0)
    simulation.run_for(BOUND_FROM_S)
    relays = {
        name
        for name, instance in simulation.model.instance_by_name.items()
        if instance.report_receiver.subscribers(simulation.model.now)
    }
    for name in relays:
        simulation.model.instance_by_name[name].runs = False
    simulation.run_for(DETECTED_AFTER_S + OBSERVED_S)
    assert most_in_window(simulation) <= max_in_window(3.0)
    # The part of the lost instances stays unused: they may go on sending.
    reachable = 1 - len(relays) / 72
    used = used_fraction(simulation, 3.0, since_s=BOUND_FROM_S + DETECTED_AFTER_S)
    assert used >= MIN_USED_FRACTION * reachable


def test_full_traffic_is_back_a_few_seconds_after_a_limit_ends() -> None:
    ends_at_s = 12.0

    def header_values(at_s: float) -> list[bytes]:
        return [b'2'] if NAMED_AT_S <= at_s < ends_at_s else []

    simulation = EndpointLimitSimulation(
        model=FleetModel(shape=SHAPES[12]),
        limits=[ModelLimit(ENDPOINT, header_values)],
        per_s=300.0,
    )
    simulation.run_for(30.0)
    usual_per_s = simulation.count(ENDPOINT, 0.0, NAMED_AT_S) / NAMED_AT_S
    assert simulation.count(ENDPOINT, ends_at_s + 6.0, 30.0) >= 0.8 * usual_per_s * (
        30.0 - ends_at_s - 6.0
    )
    per_second = [simulation.count(ENDPOINT, at, at + 1.0) for at in range(12, 30)]
    assert max(per_second) <= 2 * usual_per_s + 5


def test_a_limit_that_changes_is_followed() -> None:
    """Lower limits apply at once, higher ones are used after a few seconds."""

    def header_values(at_s: float) -> list[bytes]:
        return [b'8' if at_s < 10.0 else b'1.5' if at_s < 22.0 else b'6']

    simulation = EndpointLimitSimulation(
        model=FleetModel(shape=SHAPES[12]),
        limits=[ModelLimit(ENDPOINT, header_values)],
        per_s=500.0,
    )
    simulation.run_for(40.0)
    bounds = ((4.0, 10.0 - 4.0, 8.0), (14.0, 22.0 - 4.0, 1.5), (26.0, 36.0, 6.0))
    for since_s, until_s, limit_per_s in bounds:
        most = simulation.most_in_window(ENDPOINT, BOUND_WINDOW_S, since_s=since_s, until_s=until_s)
        assert most <= max_in_window(limit_per_s)
    assert simulation.count(ENDPOINT, 28.0, 40.0) >= MIN_USED_FRACTION * 6.0 * 12.0
