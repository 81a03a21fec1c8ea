"""Parts of fleet-wide limits that a process could use again after a restart."""

import pytest

from plantainloft_node.placement.cold_rate_limit import (
    ColdRateLimiter,
    cold_limit_sharers,
    cold_share,
)

NOW = 1000.0
INSTANCES = {f'e{number}': 'ankara' for number in range(12)}
MAX_COLD_RATE = 21.5


def send_to_cold_endpoint(instance: str, now: float, *, uptime_s: float) -> int:
    """Send all that a process of this uptime may send; return how many requests that are."""
    limiter = ColdRateLimiter()
    share = cold_share(
        max_rate=MAX_COLD_RATE,
        instance=instance,
        region_by_instance=cold_limit_sharers(INSTANCES, uptime_s=uptime_s),
        endpoint_id='x',
        region='ankara',
    )
    sent = 0
    while limiter.allows(now, share=share):
        limiter.record_sent(now)
        sent += 1
    return sent


@pytest.mark.parametrize('down_s', [0.1, 0.5])
def test_instances_that_start_again_keep_the_limit_of_a_cold_endpoint(down_s: float) -> None:
    """Failure: processes that had forgotten what they sent gave a cold endpoint twice as much."""
    before = sum(send_to_cold_endpoint(name, NOW, uptime_s=60.0) for name in INSTANCES)
    after = sum(send_to_cold_endpoint(name, NOW + down_s, uptime_s=0.3) for name in INSTANCES)
    assert before > 0
    assert before + after <= MAX_COLD_RATE


def test_cold_endpoints_get_requests_a_window_after_a_start() -> None:
    assert sum(send_to_cold_endpoint(name, NOW, uptime_s=1.2) for name in INSTANCES) > 0
