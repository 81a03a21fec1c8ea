"""Short, seeded runs of the soak of stops."""

from pathlib import Path

import pytest
from platform_standin import EntryProcessHandle
from stop_soak import run_soak


@pytest.mark.anyio
@pytest.mark.parametrize('seed', [1, 2])
async def test_overlapping_stops_reloads_and_changes_lose_no_request(
    entry_processes: list[EntryProcessHandle], tmp_path: Path, seed: int
) -> None:
    result = await run_soak(seed, tmp_path, entry_processes, duration_s=15.0)
    assert not result.lost
    assert not result.held
    assert not result.replaced
    assert not result.run_twice
    assert not result.false_refusals
    assert not result.defects
    assert not result.overrun
    assert set(result.exit_codes) == {0}
    assert result.statuses[200]
