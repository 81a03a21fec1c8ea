"""Short, seeded runs of the soak of links, signals, restarts and failing endpoints."""

from pathlib import Path

import pytest
from link_soak import run_soak
from platform_standin import EntryProcessHandle


@pytest.mark.anyio
@pytest.mark.parametrize('seed', [1, 2])
async def test_overlapping_cuts_and_restarts_break_no_promise(
    entry_processes: list[EntryProcessHandle], tmp_path: Path, seed: int
) -> None:
    result = await run_soak(seed, tmp_path, entry_processes, duration_s=15.0)
    assert not result.run_twice
    assert not result.false_refusals
    assert not result.spoiled
    assert not result.defects
    assert result.served_at_end == 1.0


@pytest.mark.anyio
@pytest.mark.parametrize('seed', [3, 4])
async def test_failing_endpoints_get_no_more_retries_than_allowed(
    entry_processes: list[EntryProcessHandle], tmp_path: Path, seed: int
) -> None:
    result = await run_soak(seed, tmp_path, entry_processes, duration_s=15.0, endpoints_fail=True)
    assert result.worst_retries.excess <= 0
    assert not result.run_twice
    assert not result.false_refusals
    assert not result.spoiled
    assert not result.defects
    assert result.served_at_end == 1.0
