"""Tests of fleet membership, by heartbeats and listings."""

from plantainloft_node.entry.lookups import front_addresses
from plantainloft_node.fleet.demand import max_running_instances
from plantainloft_node.fleet.membership import (
    REPLACED_AFTER_S,
    FleetMember,
    FleetMembership,
    Heartbeat,
)
from plantainloft_node.placement.cold_rate_limit import cold_share

NOW = 1000.0


def member(name: str, *, incarnation: int = 1, region: str = 'ankara') -> FleetMember:
    return FleetMember(name, incarnation, region, 'a', f'{name}:80', f'{name}:90')


def heartbeat(name: str, *, draining: bool = False, incarnation: int = 1) -> Heartbeat:
    return Heartbeat(member(name, incarnation=incarnation), True, draining, {}, {})


def cold_share_of_e1(region_by_instance: dict[str, str]) -> int:
    return cold_share(
        max_rate=21.5,
        instance='e1',
        region_by_instance=region_by_instance,
        endpoint_id='x',
        region='ankara',
    )


def test_a_restarted_instance_uses_only_its_share_of_the_cold_limits() -> None:
    """Guards against cold endpoints that get 33 requests a second instead of 21.

    All instances lose power and restart. Each knows of no others yet and, if it
    assumes that it is alone, uses the whole limit.
    """
    members = FleetMembership(local_member=member('e1'))
    sharing_before_listing = members.region_by_limit_sharer(NOW)
    assert cold_share_of_e1(sharing_before_listing) == 0
    for number in range(12):
        members.add_member(member(f'e{number}'), NOW)
    members.has_member_list = True
    assert len(members.region_by_limit_sharer(NOW)) == 12
    assert cold_share_of_e1(members.region_by_limit_sharer(NOW)) <= 2


def test_a_partitioned_instance_shares_limits_but_one_that_left_does_not() -> None:
    members = FleetMembership(local_member=member('e1'))
    members.has_member_list = True
    members.record_heartbeat(heartbeat('e2'), NOW)
    members.record_heartbeat(heartbeat('e3', draining=True), NOW)
    assert tuple(members.region_by_limit_sharer(NOW + 5)) == ('e1', 'e2')


def test_only_instances_that_are_up_and_not_leaving_serve() -> None:
    members = FleetMembership(local_member=member('e1'))
    members.record_heartbeat(heartbeat('e2'), NOW)
    members.record_heartbeat(heartbeat('e3', draining=True), NOW)
    assert [one.name for one in members.serving_peers(NOW + 1)] == ['e2']
    assert members.serving_peers(NOW + 3) == []


def test_a_heartbeat_of_an_earlier_incarnation_is_ignored() -> None:
    members = FleetMembership(local_member=member('e1'))
    members.record_heartbeat(heartbeat('e2', incarnation=2, draining=False), NOW)
    members.record_heartbeat(heartbeat('e2', incarnation=1, draining=True), NOW)
    assert [one.name for one in members.serving_peers(NOW)] == ['e2']


def test_callers_are_given_instances_of_their_zone_then_region_then_all() -> None:
    def at(name: str, zone: str, region: str) -> FleetMember:
        return member(name, region=region)._replace(zone=zone)

    serving = [at('a1', 'a', 'ankara'), at('a2', 'a', 'ankara'), at('b1', 'b', 'ankara')]
    serving.append(at('c1', 'c', 'izmir'))
    assert front_addresses(serving, region='ankara', zone='a') == ['a1:80', 'a2:80']
    assert front_addresses(serving, region='ankara', zone='b') == ['b1:80', 'a1:80', 'a2:80']
    assert len(front_addresses(serving, region='istanbul', zone='x')) == 4


def test_an_instance_restarted_with_its_clock_set_back_is_up_again() -> None:
    """Guards against an instance that is up but missing from all look-ups.

    Its clock is set back by some seconds, and it is killed and restarts. Its
    incarnation, which is its start time, is then smaller than the one its peers
    know, so they reject its heartbeats as late ones.
    """
    members = FleetMembership(local_member=member('e1'))
    members.record_heartbeat(heartbeat('e2', incarnation=9), NOW)
    members.record_heartbeat(heartbeat('e2', incarnation=6), NOW + 0.5)
    assert members.serving_peers(NOW + 0.5)[0].incarnation == 9
    members.record_heartbeat(heartbeat('e2', incarnation=6), NOW + 2.5)
    assert members.serving_peers(NOW + 2.5)[0].incarnation == 6


def test_replaced_instances_are_removed() -> None:
    """Guards against heartbeats to thousands of addresses that are no longer used."""
    members = FleetMembership(local_member=member('e1'))
    members.add_member(member('e2'), NOW)
    members.record_heartbeat(heartbeat('e3'), NOW)
    members.record_heartbeat(heartbeat('e4'), NOW)
    members.record_heartbeat(heartbeat('e4'), NOW + REPLACED_AFTER_S - 10)
    assert members.remove_replaced(NOW + REPLACED_AFTER_S - 1) == []
    assert sorted(members.remove_replaced(NOW + REPLACED_AFTER_S)) == ['e2', 'e3']
    assert [one.name for one in members.peers()] == ['e4']
    assert not members.is_replaced('e2', NOW + REPLACED_AFTER_S)


def test_a_silent_instance_may_be_running_until_it_has_shut_down() -> None:
    """Failure: both sides of a long partition divided fixed retries among themselves only."""
    members = FleetMembership(local_member=member('e1'))
    assert not max_running_instances(members, 0.0)
    members.has_member_list = True
    for name in ('e2', 'e3'):
        members.record_heartbeat(heartbeat(name), 1.0)
    members.record_heartbeat(heartbeat('e4', draining=True), 1.0)
    assert max_running_instances(members, 1.5) == 4
    assert max_running_instances(members, 300.0) == 3
