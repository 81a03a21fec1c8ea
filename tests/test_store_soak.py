"""Short, seeded runs of the soaks of a store that returns from copies."""

from pathlib import Path

import pytest
from platform_standin import EntryProcessHandle
from store_soak import run_store_soak


@pytest.mark.anyio
@pytest.mark.parametrize('seed', [1, 2])
async def test_a_store_that_returns_from_copies_breaks_no_promise(
    entry_processes: list[EntryProcessHandle], tmp_path: Path, seed: int
) -> None:
    result = await run_store_soak(seed, tmp_path, entry_processes, duration_s=18.0)
    assert result.returns > 0
    assert not result.outdated
    assert not result.sent_to_left
    assert not result.defects
    assert result.served_at_end == 1.0


@pytest.mark.anyio
# 1,400 and 3,000 routes.
@pytest.mark.parametrize('seed', [5, 11])
async def test_large_configurations_over_slow_links_are_in_force_in_time(
    entry_processes: list[EntryProcessHandle], tmp_path: Path, seed: int
) -> None:
    result = await run_store_soak(seed, tmp_path, entry_processes, duration_s=18.0, is_large=True)
    assert not result.outdated
    assert not result.sent_to_left
    assert not result.defects
    assert result.served_at_end == 1.0
