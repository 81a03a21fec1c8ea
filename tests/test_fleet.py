"""Tests of fleet membership, by heartbeats and listings."""

from plantainloft_node.entry.lookups import front_addresses
from plantainloft_node.fleet.members import GONE_AFTER_S, Beat, FleetMember, MemberBook
from plantainloft_node.placing.cold import cold_share

NOW = 1000.0


def member(name: str, *, incarnation: int = 1, region: str = 'ankara') -> FleetMember:
    return FleetMember(name, incarnation, region, 'a', f'{name}:80', f'{name}:90')


def beat(name: str, *, leaving: bool = False, incarnation: int = 1) -> Beat:
    return Beat(member(name, incarnation=incarnation), True, leaving, {}, {})


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
    book = MemberBook(me=member('e1'))
    sharing_before_listing = book.sharing(NOW)
    assert cold_share_of_e1(sharing_before_listing) == 0
    for number in range(12):
        book.learn(member(f'e{number}'), NOW)
    book.listed = True
    assert len(book.sharing(NOW)) == 12
    assert cold_share_of_e1(book.sharing(NOW)) <= 2


def test_a_partitioned_instance_shares_limits_but_one_that_left_does_not() -> None:
    book = MemberBook(me=member('e1'))
    book.listed = True
    book.hear(beat('e2'), NOW)
    book.hear(beat('e3', leaving=True), NOW)
    assert tuple(book.sharing(NOW + 5)) == ('e1', 'e2')


def test_only_instances_that_are_up_and_not_leaving_serve() -> None:
    book = MemberBook(me=member('e1'))
    book.hear(beat('e2'), NOW)
    book.hear(beat('e3', leaving=True), NOW)
    assert [one.name for one in book.serving(NOW + 1)] == ['e2']
    assert book.serving(NOW + 3) == []


def test_a_heartbeat_of_an_earlier_incarnation_is_ignored() -> None:
    book = MemberBook(me=member('e1'))
    book.hear(beat('e2', incarnation=2, leaving=False), NOW)
    book.hear(beat('e2', incarnation=1, leaving=True), NOW)
    assert [one.name for one in book.serving(NOW)] == ['e2']


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
    book = MemberBook(me=member('e1'))
    book.hear(beat('e2', incarnation=9), NOW)
    book.hear(beat('e2', incarnation=6), NOW + 0.5)
    assert book.serving(NOW + 0.5)[0].incarnation == 9
    book.hear(beat('e2', incarnation=6), NOW + 2.5)
    assert book.serving(NOW + 2.5)[0].incarnation == 6


def test_replaced_instances_are_removed() -> None:
    """Guards against heartbeats to thousands of addresses that are no longer used."""
    book = MemberBook(me=member('e1'))
    book.learn(member('e2'), NOW)
    book.hear(beat('e3'), NOW)
    book.hear(beat('e4'), NOW)
    book.hear(beat('e4'), NOW + GONE_AFTER_S - 10)
    assert book.forget_gone(NOW + GONE_AFTER_S - 1) == []
    assert sorted(book.forget_gone(NOW + GONE_AFTER_S)) == ['e2', 'e3']
    assert [one.name for one in book.everyone()] == ['e4']
    assert not book.is_gone('e2', NOW + GONE_AFTER_S)
