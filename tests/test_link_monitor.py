"""Decisions on whether an instance has lost its links to the endpoints of a zone."""

import itertools

import pytest

from plantainloft_node.links.isolation import FAILED_CONNECTS, RETRY_AFTER_S
from plantainloft_node.links.monitor import (
    MAX_SILENCE_S,
    MAX_ZONE_SILENCE_S,
    RETURN_RAMP_S,
    LinkMonitor,
)
from plantainloft_node.links.schedule import (
    RECENTLY_REACHED_S,
    RETURN_TEST_INTERVAL_S,
    LinkTestSchedule,
)

ZONES = ('a', 'b', 'c')
ROUNDING_S = 1e-9


@pytest.fixture
def changes() -> list[frozenset[str]]:
    return []


@pytest.fixture
def monitor(changes: list[frozenset[str]]) -> LinkMonitor:
    """Return a monitor that reached each of ``ZONES`` at 0 s."""
    monitor = LinkMonitor(on_change=changes.append)
    for zone in ZONES:
        monitor.record_connected(zone, 0.0)
    return monitor


@pytest.fixture
def schedule(monitor: LinkMonitor) -> LinkTestSchedule:
    return LinkTestSchedule(monitor=monitor)


def lose(monitor: LinkMonitor, zone: str, at: float) -> None:
    for endpoint in ('x', 'y'):
        monitor.record_connect_failed(zone, at)
        monitor.record_reached_by_peer(zone, f'{endpoint}-{zone}', at, zone_size=4)


def test_failed_connections_alone_are_no_lost_links(
    monitor: LinkMonitor, changes: list[frozenset[str]]
) -> None:
    """Failure: a lost region, a release or a crash of all endpoints looked like a partition."""
    for number in range(100):
        monitor.record_connect_failed('a', 0.5 + number * 0.01)
        monitor.record_received('b', 0.5 + number * 0.01)
    assert not monitor.is_lost('a')
    assert not changes


def test_one_endpoint_that_only_a_peer_reaches_is_not_enough(monitor: LinkMonitor) -> None:
    """Failure: an endpoint that resets connections over its cap looked like a partition."""
    for at in (1.0, 1.1, 1.2):
        monitor.record_reached_by_peer('a', 'x', at, zone_size=4)
    assert not monitor.is_lost('a')


def test_connections_that_open_in_between_show_that_links_work(monitor: LinkMonitor) -> None:
    """Failure: connections that time out in an overload looked like a partition."""
    for number in range(20):
        monitor.record_reached_by_peer('a', f'x{number}', 1.0 + number * 0.1, zone_size=40)
        monitor.record_connected('a', 1.05 + number * 0.1)
    assert not monitor.is_lost('a')


def test_old_evidence_does_not_add_up(monitor: LinkMonitor) -> None:
    """Failure: single lost packets, seconds apart, looked like a partition."""
    for number in range(10):
        monitor.record_reached_by_peer('a', f'x{number}', 10.0 + number * 3.5, zone_size=40)
    assert not monitor.is_lost('a')


def test_two_endpoints_that_only_peers_reach_mean_lost_links_to_their_zone(
    monitor: LinkMonitor, changes: list[frozenset[str]]
) -> None:
    lose(monitor, 'a', 1.0)
    assert [zone for zone in ZONES if monitor.is_lost(zone)] == ['a']
    assert changes == [frozenset('a')]


def test_endpoints_of_several_zones_mean_that_all_links_are_lost(monitor: LinkMonitor) -> None:
    """Failure: a quiet instance found out about each zone by a request that failed."""
    monitor.record_reached_by_peer('a', 'x', 1.0, zone_size=40)
    monitor.record_reached_by_peer('b', 'y', 1.1, zone_size=40)
    assert not any(monitor.is_lost(zone) for zone in ZONES)
    monitor.record_reached_by_peer('b', 'z', 1.2, zone_size=40)
    assert all(monitor.is_lost(zone) for zone in ZONES)


def test_a_zone_of_one_endpoint_can_be_lost(monitor: LinkMonitor) -> None:
    monitor.record_reached_by_peer('a', 'x', 1.0, zone_size=1)
    assert monitor.is_lost('a')


def test_two_connections_in_a_row_end_the_loss(
    monitor: LinkMonitor, changes: list[frozenset[str]]
) -> None:
    """Failure: flapping links counted as back at the first connection that opened."""
    lose(monitor, 'a', 1.0)
    monitor.record_connected('a', 2.0)
    monitor.record_connect_failed('a', 2.1)
    monitor.record_connected('a', 2.2)
    assert monitor.is_lost('a')
    monitor.record_connected('a', 2.3)
    assert not monitor.is_lost('a')
    assert changes == [frozenset('a'), frozenset('a')]


def test_open_connections_are_used_while_they_deliver(monitor: LinkMonitor) -> None:
    """Failure: connections that lived on while new ones were refused were given up."""
    lose(monitor, 'a', 1.0)
    assert not monitor.may_use_open_connection('a')
    monitor.record_received('a', 1.1)
    assert monitor.may_use_open_connection('a')


def test_requests_on_silent_connections_are_abandoned(monitor: LinkMonitor) -> None:
    """Failure: requests sent just before a silent cut waited until their deadlines."""
    abandoned: list[float] = []
    monitor.record_received('a', 0.9)
    monitor.record_sent('a', 1.0, abandon=lambda: abandoned.append(1.0))
    answered = monitor.record_sent('b', 1.0, abandon=lambda: abandoned.append(-1.0))
    lose(monitor, 'a', 1.2)
    monitor.abandon_silent(1.3)
    assert not abandoned
    monitor.abandon_silent(1.0 + MAX_SILENCE_S + 0.1)
    assert abandoned == [1.0]
    monitor.record_ended(answered)


def test_nothing_is_abandoned_while_open_connections_deliver(monitor: LinkMonitor) -> None:
    """Failure: slow requests on connections that lived on were repeated."""
    abandoned: list[float] = []
    monitor.record_sent('a', 1.0, abandon=lambda: abandoned.append(1.0))
    lose(monitor, 'a', 1.2)
    monitor.record_received('a', 1.3)
    monitor.abandon_silent(9.0)
    assert not abandoned


def test_silence_from_all_zones_is_tested_within_a_second(
    monitor: LinkMonitor, schedule: LinkTestSchedule
) -> None:
    """Failure: a silent cut was noticed only when connections timed out, after 3 s."""
    for number in range(30):
        monitor.record_received(ZONES[number % 3], 2.0 + number * 0.02)
    cut_at = 2.6
    for number in range(12):
        monitor.record_sent(ZONES[number % 3], cut_at + number * 0.02)
    times = (cut_at + number * 0.1 for number in itertools.count())
    tested_at = next(at for at in times if schedule.zones_due(at))
    assert tested_at - cut_at <= MAX_SILENCE_S + 0.1 + ROUNDING_S


def test_a_quiet_instance_tests_its_links_when_a_request_gets_no_answer(
    monitor: LinkMonitor,
    schedule: LinkTestSchedule,
) -> None:
    """Failure: an instance with a request every few seconds did not notice a silent cut."""
    for number in range(5):
        monitor.record_received('a', 3.0 * number)
    monitor.record_sent('a', 20.0)
    times = (20.0 + number * 0.1 for number in itertools.count())
    tested_at = next(at for at in times if schedule.zones_due(at))
    assert tested_at - 20.0 <= MAX_SILENCE_S + 0.1 + ROUNDING_S


def test_a_slow_request_among_others_causes_no_test(
    monitor: LinkMonitor, schedule: LinkTestSchedule
) -> None:
    """Failure: each slow request opened connections to other endpoints."""
    monitor.record_sent('a', 1.0)
    for number in range(1000):
        at = 1.0 + number * 0.02
        monitor.record_received(ZONES[number % 3], at)
        assert not schedule.zones_due(at)


def test_a_zone_that_alone_falls_silent_is_tested(
    monitor: LinkMonitor, schedule: LinkTestSchedule
) -> None:
    """Failure: lost links to one of several zones were noticed by connections only."""
    monitor.record_received('a', 1.0)
    monitor.record_sent('a', 1.0)
    tested: list[str] = []
    for number in range(100):
        at = 1.0 + number * 0.02
        monitor.record_received('b', at)
        tested += schedule.zones_due(at)
    assert set(tested) == {'a'}
    assert MAX_ZONE_SILENCE_S < 2.98 - 1.0


def test_lost_links_are_tested_at_intervals_only(
    monitor: LinkMonitor, schedule: LinkTestSchedule
) -> None:
    """Failure: cut instances flooded the endpoints with connections at their return."""
    lose(monitor, 'a', 1.0)
    seconds = 20
    tests = 0
    for number in range(seconds * 10):
        at = 1.0 + number * 0.1
        tested = schedule.zones_due(at)
        tests += tested.count('a')
        for zone in set(tested) - {'a'}:
            monitor.record_connected(zone, at)
            assert at == 1.0
    assert 0 < tests <= seconds / RETURN_TEST_INTERVAL_S + 1


def test_connections_through_peers_are_given_up_step_by_step(monitor: LinkMonitor) -> None:
    """Failure: at the return all connections were replaced at the same moment."""
    assert monitor.detour_share('a', 0.5) == 0.0
    lose(monitor, 'a', 1.0)
    assert monitor.detour_share('a', 9.0) == 1.0
    monitor.record_connected('a', 10.0)
    monitor.record_connected('a', 10.0)
    assert monitor.detour_share('a', 10.0 + RETURN_RAMP_S / 2) == pytest.approx(0.5)
    assert monitor.detour_share('a', 10.0 + RETURN_RAMP_S) == 0.0


def test_the_end_of_an_isolation_clears_all_zones(
    monitor: LinkMonitor, schedule: LinkTestSchedule, changes: list[frozenset[str]]
) -> None:
    """Failure: endpoints stayed ejected for seconds after all links had returned."""
    for number in range(FAILED_CONNECTS):
        monitor.record_connect_failed(ZONES[number % 3], RECENTLY_REACHED_S + 1.0)
    assert set(schedule.zones_due(5.0)) == set(ZONES)
    monitor.record_connected('b', 6.0)
    assert changes == [frozenset(ZONES)]


def test_own_path_is_sound_only_if_something_newer_shows_it(monitor: LinkMonitor) -> None:
    """Failure: a cut instance reported that sound endpoints had crashed."""
    monitor.record_connected('a', 1.0)
    assert monitor.vouches_for('a', 0.9)
    assert not monitor.vouches_for('a', 1.0)
    monitor.record_received('a', 2.0)
    assert not monitor.vouches_for('a', 1.5)
    lose(monitor, 'a', 2.0)
    assert not monitor.vouches_for('a', 0.9)


def test_an_isolated_instance_tries_again_without_a_test(monitor: LinkMonitor) -> None:
    """Failure: with no endpoint to test, an instance refused requests for good."""
    for number in range(FAILED_CONNECTS):
        monitor.record_connect_failed(ZONES[number % 3], 5.0)
    assert monitor.reaches_nothing(5.1)
    assert not monitor.reaches_nothing(5.1 + RETRY_AFTER_S)
    monitor.record_connect_failed('a', 6.0)
    assert monitor.reaches_nothing(6.1)
