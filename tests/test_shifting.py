"""The shift cap limits how much of a service's traffic moves per window."""

import collections

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plantainloft_core.commits import commit_patch
from plantainloft_core.outcomes import Committed, Invalid
from plantainloft_core.table_client import TableClient
from plantainloft_core.target_split import RegionLoad, target_shares
from plantainloft_core.traffic_split import SHIFT_WINDOW_S, TrafficSplit

REGIONS = ('ankara', 'istanbul', 'izmir')
REQUESTS_PER_S = 40
WINDOW_REQUESTS = int(SHIFT_WINDOW_S * REQUESTS_PER_S)
IDLE_REGION = RegionLoad(usable_slots=20.0, free_slots=20.0, refused_share=0.0)


def _moved_share(before: list[str], after: list[str]) -> float:
    """Return the share of requests that changed region between two windows."""
    old, new = collections.Counter(before), collections.Counter(after)
    return sum(max(0, old[region] - new[region]) for region in old) / len(before)


def _largest_move(sent: list[str]) -> float:
    starts = range(0, len(sent) - 2 * WINDOW_REQUESTS + 1, REQUESTS_PER_S // 4)
    return max(
        _moved_share(
            sent[at : at + WINDOW_REQUESTS], sent[at + WINDOW_REQUESTS : at + 2 * WINDOW_REQUESTS]
        )
        for at in starts
    )


@settings(max_examples=30)
@given(
    cap=st.sampled_from([0.05, 0.15, 0.2, 0.5]),
    lost_by_period=st.lists(st.sets(st.sampled_from(REGIONS), max_size=2), min_size=3, max_size=6),
    full_share=st.sampled_from([0.0, 0.4]),
)
def test_no_two_windows_differ_by_more_than_the_cap(
    cap: float, lost_by_period: list[set[str]], full_share: float
) -> None:
    """Guards against a failover that moves all traffic onto cold caches.

    Regions fail and recover every few seconds, and the home region is full at
    times, so that requests spill. The cap would be exceeded if moves, moves
    back and spilled requests were not counted together.
    """
    split = TrafficSplit(shares_by_region={'ankara': 1.0})
    sent: list[str] = []
    for period in range(24):
        lost_regions = lost_by_period[period % len(lost_by_period)]
        full_region = RegionLoad(usable_slots=20.0, free_slots=0.0, refused_share=full_share)
        loads_by_region = {region: IDLE_REGION for region in REGIONS if region not in lost_regions}
        if full_share and 'ankara' in loads_by_region:
            loads_by_region['ankara'] = full_region
        for step in range(4 * REQUESTS_PER_S):
            now = 100.0 + period * 4 + step / REQUESTS_PER_S
            if step % (REQUESTS_PER_S // 2) == 0:
                target = target_shares(
                    split.shares_by_region, loads_by_region, home_region='ankara'
                )
                split.move_towards(target, cap=cap, now=now)
            region = split.next_region(now)
            assert region is not None
            if (
                region in lost_regions
                and loads_by_region
                and split.try_acquire_spillover(cap=cap, now=now)
            ):
                region = next(iter(loads_by_region))
            sent.append(region)
    # Rounding adds up to one request per region on either side of the boundary.
    assert _largest_move(sent) <= cap + 2 * len(REGIONS) / WINDOW_REQUESTS


def test_shares_always_add_up_to_one() -> None:
    shares = target_shares(
        {'ankara': 0.5, 'izmir': 0.5},
        {'ankara': IDLE_REGION, 'istanbul': IDLE_REGION},
        home_region='ankara',
    )
    assert abs(sum(shares.values()) - 1.0) < 1e-9
    assert 'izmir' not in shares or shares['izmir'] == 0


@pytest.mark.anyio
async def test_drain_in_many_small_patches_is_limited_by_the_cap(table_client: TableClient) -> None:
    """Guards against draining a region in many small patches within a second.

    Each patch displaces less than the cap, but all of them together displace
    far more within one shift window. Comparing a patch only with the version
    just before it would let them all pass.
    """
    zones = {'ankara': 'ankara-a', 'izmir': 'izmir-a'}
    document = {
        'regions': {name: {'capacity': 99, 'zones': [zone]} for name, zone in zones.items()},
        'services': {'s': {'shift_cap': 0.1}},
        'endpoints': {
            f'{name}-{index}': {'service': 's', 'zone': zone, 'address': 'http://e', 'slots': 4}
            for name, zone in zones.items()
            for index in range(10)
        },
    }
    first = [{'op': 'add', 'path': f'/{name}', 'value': part} for name, part in document.items()]
    outcomes: list[object] = []
    patches = [first] + [
        [{'op': 'add', 'path': f'/endpoints/izmir-{index}/state', 'value': 'draining'}]
        for index in range(6)
    ]
    for base_version, patch in enumerate(patches):
        outcomes.append(
            await commit_patch(
                table_client,
                base_version=base_version,
                patch=patch,
                author='t',
                change_id=f'c{base_version}',
            )
        )
    assert [type(outcome) for outcome in outcomes[:5]] == [Committed] * 5
    refused = outcomes[5]
    assert isinstance(refused, Invalid)
    assert refused.problems == (
        'services.s: would move 14% of its traffic between regions at once, '
        'its shift cap is 10%; drain in steps',
    )
