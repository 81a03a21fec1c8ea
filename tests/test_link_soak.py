"""A short, seeded run of the soak of links, signals and restarts."""

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
