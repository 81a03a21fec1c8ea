"""Choice of the peers that are asked for connections to endpoints."""

import random
from collections import Counter

import pytest

from plantainloft_node.fleet.reports import FleetMember
from plantainloft_node.tunnels.admission import MAX_TUNNELS, allowed_priority, is_admitted
from plantainloft_node.tunnels.frames import OpenResult
from plantainloft_node.tunnels.peer_selection import (
    MAX_FAILED_ASKS_PER_S,
    MAX_PEERS_ASKED,
    PeerSelector,
)


def make_member(name: str, zone: str, region: str) -> FleetMember:
    return FleetMember(name, 1, region, zone, f'{name}:1', f'{name}:2')


LOCAL = make_member('local', 'a1', 'a')
IN_ZONE = [make_member(f'zone-{number}', 'a1', 'a') for number in range(4)]
IN_REGION = [make_member(f'region-{number}', 'a2', 'a') for number in range(4)]
ELSEWHERE = [make_member(f'far-{number}', 'b1', 'b') for number in range(4)]
PEERS = [*ELSEWHERE, *IN_REGION, *IN_ZONE]


@pytest.fixture
def selector() -> PeerSelector:
    return PeerSelector(local_member=LOCAL, rng=random.Random(1))


def select(
    selector: PeerSelector,
    peers: list[FleetMember] = PEERS,
    *,
    regions: frozenset[str] = frozenset(),
    tunnels_by_name: dict[str, int] | None = None,
    now: float = 1.0,
) -> list[str]:
    selected = selector.select(
        peers, allowed_regions=regions, tunnels_by_name=tunnels_by_name or {}, now=now
    )
    return [member.name for member in selected]


def test_the_nearest_peers_come_first(selector: PeerSelector) -> None:
    prefixes = [name.partition('-')[0] for name in select(selector)]
    assert prefixes == ['zone', 'region', 'far']
    without_zone = select(selector, [*ELSEWHERE, *IN_REGION])
    assert [name.partition('-')[0] for name in without_zone][:2] == ['region', 'far']
    assert len(select(selector, ELSEWHERE)) == MAX_PEERS_ASKED


def test_requests_pass_through_allowed_regions_only(selector: PeerSelector) -> None:
    """Failure: a body was sent to a region that its route does not allow."""
    names = select(selector, regions=frozenset('b'))
    assert names
    assert all(name.startswith('far-') for name in names)
    assert not select(selector, IN_ZONE, regions=frozenset('b'))


def test_instances_spread_over_equally_near_peers() -> None:
    """Failure: instances that lost their links together chose the same peer."""
    first = Counter(
        select(PeerSelector(local_member=LOCAL, rng=random.Random(seed)))[0] for seed in range(400)
    )
    assert max(first.values()) < 400 * 0.4
    assert len(first) == len(IN_ZONE)


def test_the_less_used_peers_come_first(selector: PeerSelector) -> None:
    used = {member.name: 5 for member in IN_ZONE[:2]}
    firsts = {select(selector, tunnels_by_name=used)[0] for _ in range(50)}
    assert firsts == {member.name for member in IN_ZONE[2:]}


def test_a_few_peers_with_links_do_not_carry_a_whole_zone(selector: PeerSelector) -> None:
    """Failure: the last instance of a zone with links got the load of all others."""
    for member in IN_ZONE[1:]:
        selector.record_result(member.name, OpenResult.NO_LINK, 1.0)
    firsts = {select(selector, now=1.5)[0] for _ in range(200)}
    assert firsts & {member.name for member in IN_REGION}


def test_a_peer_without_links_is_left_out_for_a_while(selector: PeerSelector) -> None:
    selector.record_result('zone-0', OpenResult.NO_LINK, 1.0)
    assert all('zone-0' not in select(selector, now=1.9) for _ in range(50))
    assert any('zone-0' in select(selector, now=2.1) for _ in range(50))


def test_the_only_peer_is_asked_again_if_it_could_not_tell(selector: PeerSelector) -> None:
    """Failure: one endpoint that nobody reached made an instance refuse requests for others."""
    only = IN_ZONE[:1]
    selector.record_result(only[0].name, OpenResult.UNCERTAIN, 1.0)
    assert select(selector, only, now=1.1) == [only[0].name]
    selector.record_result(only[0].name, OpenResult.NO_LINK, 1.2)
    assert not select(selector, only, now=1.3)


def test_where_nobody_has_links_few_requests_are_passed_around(selector: PeerSelector) -> None:
    """Failure: with all links of a fleet lost, each request asked several peers."""
    asked = 0
    for step in range(1000):
        now = 10.0 + step * 0.01
        for name in select(selector, now=now):
            selector.record_asked(now)
            selector.record_result(name, OpenResult.NO_LINK, now)
            asked += 1
    assert asked <= 10 * MAX_FAILED_ASKS_PER_S + MAX_FAILED_ASKS_PER_S


def test_a_peer_that_opened_a_connection_is_asked_while_others_fail(
    selector: PeerSelector,
) -> None:
    """Failure: failed requests to many peers kept an instance from asking the few good ones."""
    selector.record_result('zone-2', OpenResult.OPENED, 1.0)
    for number in range(100):
        selector.record_asked(1.1)
        selector.record_result(f'far-{number}', None, 1.1)
    assert select(selector, now=1.2)[0] == 'zone-2'


def test_low_priorities_are_refused_first() -> None:
    """Failure: with few instances left, all priorities were refused alike."""
    assert [allowed_priority(delay_s) for delay_s in (0.0, 0.2, 0.3, 1.0)] == [2, 1, 0, -1]
    admitted = [
        [is_admitted(priority, open_tunnels=count, loop_delay_s=0.0) for priority in (0, 1, 2, 7)]
        for count in (0, int(MAX_TUNNELS * 0.8), int(MAX_TUNNELS * 0.9), MAX_TUNNELS)
    ]
    assert admitted == [
        [True, True, True, True],
        [True, True, False, False],
        [True, False, False, False],
        [False, False, False, False],
    ]
