"""Stores that are away for a moment, with and without a copy, in virtual time."""

import random

import pytest

from plantainloft_standins.simulated_store import FailureMode, Outage
from plantainloft_standins.store_return_simulation import (
    StoreReturnScenario,
    simulate_store_returns,
)


@pytest.mark.parametrize('duration_s', [0.7, 1.5])
@pytest.mark.parametrize('seed', [0, 3])
def test_a_change_after_a_silent_absence_is_in_force_in_time(seed: int, duration_s: float) -> None:
    """Failure: a change ended all polls, and the next ones were lost together."""
    start_s = 8.0 + 2.0 * random.Random(seed).random()
    outage = Outage(start_s, start_s + duration_s, FailureMode.SILENT)
    result = simulate_store_returns(
        StoreReturnScenario(seed=seed, outages=(outage,), config_interval_s=0.4, duration_s=20.0)
    )
    assert result.breaches == []
