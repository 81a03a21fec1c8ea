"""When each part of a stop ends."""

import pytest

from plantainloft_node.engine.stop_times import stop_times


@pytest.mark.parametrize('grace_s', [0.5, 1.0, 3.0, 6.0, 30.0])
@pytest.mark.parametrize('lookup_ttl_s', [0.1, 1.0, 5.0, 60.0])
def test_everything_ends_within_the_grace_period(grace_s: float, lookup_ttl_s: float) -> None:
    """Guards against a process that is killed while it waits for callers."""
    times = stop_times(requested_at=100.0, grace_s=grace_s, lookup_ttl_s=lookup_ttl_s)
    assert 100.0 < times.lookups_expire_at <= times.ends_at < 100.0 + grace_s
    assert times.ends_at < times.writes_end_at < 100.0 + grace_s
    # Requests that are sent early and cut must have reached the last sixth.
    assert times.ends_at >= 100.0 + grace_s * 5 / 6


def test_callers_with_cached_look_ups_are_waited_for() -> None:
    times = stop_times(requested_at=100.0, grace_s=6.0, lookup_ttl_s=1.0)
    assert (times.lookups_expire_at, times.ends_at) == (103.0, 105.3)
    assert times.writes_end_at == pytest.approx(105.65)
