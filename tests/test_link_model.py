"""Instances that lose their links to endpoints, in the model of many instances."""

import pytest

from plantainloft_node.tunnels.peer_selection import MAX_FAILED_ASKS_PER_S
from plantainloft_standins.link_simulation import (
    REQUEST_TIMEOUT_S,
    Cut,
    EndpointOutage,
    LinkMode,
    LinkResult,
    LinkScenario,
    simulate_links,
)

CUT_AT_S = 4.0
# An instance has noticed lost links, or their return, this long after it.
DETECTION_S = 1.0
RETURN_S = 2.0
CONTACT_S = 4.0
# The least that instances without links serve, as a share of what the others serve.
MIN_RELATIVE_SHARE = 2 / 3
SIZES = [8, 12, 72, 195]


def few(instances: int) -> frozenset[int]:
    return frozenset(range(0, instances, 6))


def play(instances: int, *cuts: Cut, **options: object) -> LinkResult:
    rate = 20.0 if instances <= 12 else 6.0
    defaults = {'requests_per_s': rate, 'endpoints': max(24, instances // 2), 'duration_s': 12.0}
    scenario = LinkScenario(seed=instances, instances=instances, cuts=cuts)
    return simulate_links(scenario._replace(**{**defaults, **options}))  # type: ignore[arg-type]


def cut(
    instances: frozenset[int], mode: LinkMode, *, end_s: float = 20.0, **options: object
) -> Cut:
    return Cut(instances, CUT_AT_S, end_s, mode, **options)  # type: ignore[arg-type]


def relative_share(result: LinkResult, instances: int, cut_off: frozenset[int]) -> float:
    others = frozenset(range(instances)) - cut_off
    since, until = CUT_AT_S + DETECTION_S, 10.0
    return result.served_share(cut_off, since, until) / result.served_share(others, since, until)


def seconds_to_detect(result: LinkResult) -> list[float]:
    """Return how long after its first request each instance noticed its lost links."""
    seconds = []
    for number, lost_at in result.lost_at_by_instance.items():
        requests_at = [one.at for one in result.first_tries if one.instance == number]
        seconds.append(lost_at[0] - min(at for at in requests_at if at >= CUT_AT_S))
    return seconds


@pytest.mark.parametrize('mode', list(LinkMode))
@pytest.mark.parametrize('instances', SIZES)
def test_a_few_instances_without_links_serve_their_callers(instances: int, mode: LinkMode) -> None:
    """Failure: instances without links refused every request."""
    cut_off = few(instances)
    result = play(instances, cut(cut_off, mode))
    assert relative_share(result, instances, cut_off) >= MIN_RELATIVE_SHARE
    others = frozenset(range(instances)) - cut_off
    assert result.served_share(others, 0.0, 10.0) >= 0.99
    assert result.most_runs <= 1
    assert result.lost_at_by_instance.keys() <= cut_off
    if mode in {LinkMode.RESET, LinkMode.SILENT}:
        assert result.lost_at_by_instance.keys() == cut_off
        assert max(seconds_to_detect(result)) <= DETECTION_S


@pytest.mark.parametrize('mode', [LinkMode.RESET, LinkMode.SILENT])
@pytest.mark.parametrize('instances', [12, 72])
def test_a_whole_zone_without_links_is_served_through_others(
    instances: int, mode: LinkMode
) -> None:
    cut_off = frozenset(range(0, instances, 6))
    result = play(instances, cut(cut_off, mode))
    assert relative_share(result, instances, cut_off) >= MIN_RELATIVE_SHARE


@pytest.mark.parametrize('mode', [LinkMode.RESET, LinkMode.SILENT])
def test_ten_of_twelve_without_links_are_served_through_two(mode: LinkMode) -> None:
    """Failure: with few instances left, callers of the others were refused."""
    cut_off = frozenset(range(10))
    result = play(12, cut(cut_off, mode))
    assert relative_share(result, 12, cut_off) >= MIN_RELATIVE_SHARE
    assert set(result.requests_by_peer) <= {'e10', 'e11'}
    busiest = max(result.requests_by_peer.values())
    assert busiest <= 0.75 * result.requests_by_peer.total()


@pytest.mark.parametrize('mode', [LinkMode.RESET, LinkMode.SILENT])
def test_links_lost_to_some_zones_only(mode: LinkMode) -> None:
    """Failure: links to some zones were lost, and endpoints there ejected one by one."""
    cut_off = few(12)
    zones = frozenset(('r0-0', 'r1-1'))
    result = play(12, cut(cut_off, mode, zones=zones))
    assert relative_share(result, 12, cut_off) >= 0.9


def test_links_that_are_lost_one_after_the_other_and_flap() -> None:
    """Failure: an instance went back to links that were lost again."""
    cuts = [
        Cut(
            frozenset((number,)),
            CUT_AT_S + 0.7 * number + again,
            CUT_AT_S + 0.7 * number + again + 0.6,
            mode,
        )
        for number in range(4)
        for again, mode in ((0.0, LinkMode.RESET), (1.2, LinkMode.SILENT), (2.4, LinkMode.RESET))
    ]
    result = play(12, *cuts)
    cut_off = frozenset(range(4))
    assert relative_share(result, 12, cut_off) >= MIN_RELATIVE_SHARE
    assert result.most_runs <= 1


@pytest.mark.parametrize('instances', [12, 72])
def test_nobody_reaches_anything(instances: int) -> None:
    """Failure: instances without links asked each other for each request."""
    everybody = frozenset(range(instances))
    result = play(instances, cut(everybody, LinkMode.RESET, end_s=8.0))
    since, until = CUT_AT_S + DETECTION_S, 8.0 - REQUEST_TIMEOUT_S
    during = [one for one in result.first_tries if since <= one.at < until]
    assert not any(one.served for one in during)
    assert max(one.took_s for one in during) <= 1.0
    assert sorted(one.took_s for one in during)[len(during) // 2] <= 0.1
    failed_asks = result.peer_asks - result.requests_by_peer.total()
    assert failed_asks <= instances * MAX_FAILED_ASKS_PER_S * (8.0 - CUT_AT_S + 2)
    assert result.served_share(everybody, 8.0 + RETURN_S, 11.5) >= 0.99


@pytest.mark.parametrize('mode', list(LinkMode))
def test_instances_return_to_their_own_links_within_two_seconds(mode: LinkMode) -> None:
    """Failure: endpoints stayed ejected after the links were back, or peers were used on."""
    cut_off = few(12)
    result = play(12, cut(cut_off, mode, end_s=8.0), duration_s=16.0)
    assert result.served_share(cut_off, 8.0 + RETURN_S, 14.0) >= 0.99
    assert not any(result.ejected_at_end.values())
    assert result.most_runs <= 1


@pytest.mark.parametrize('dark', [False, True])
def test_endpoints_that_end_are_no_lost_links(dark: bool) -> None:
    """Failure: a release, a lost zone or a lost region looked like lost links."""
    zone = EndpointOutage(frozenset(range(0, 24, 6)), 3.0, 6.0, dark)
    region = EndpointOutage(frozenset((*range(1, 24, 6), *range(4, 24, 6))), 7.0, 9.0, dark)
    release = [
        EndpointOutage(frozenset((number,)), 3.0 + number * 0.3, 4.0 + number * 0.3, dark)
        for number in (2, 3, 5, 8, 9, 11)
    ]
    result = play(12, outages=(zone, region, *release))
    assert not result.lost_at_by_instance
    assert result.served_share(range(12), 0.0, 11.0) >= 0.9


def test_no_link_counts_as_lost_on_a_calm_day() -> None:
    """Failure: slow requests looked like lost links."""
    for instances in SIZES:
        result = play(instances, requests_per_s=2.0)
        assert not result.lost_at_by_instance
        assert not result.peer_asks


def test_a_start_without_links_is_noticed() -> None:
    """Failure: an instance that had never reached an endpoint took it for gone."""
    cut_off = few(12)
    result = play(12, Cut(cut_off, 0.0, 20.0, LinkMode.SILENT))
    assert result.served_share(cut_off, DETECTION_S, 10.0) >= MIN_RELATIVE_SHARE
