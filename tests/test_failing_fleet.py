"""Entry processes together keep the allowance of retries to a service."""

from pathlib import Path

import anyio
import pytest
from failing_fleet import failing_fleet
from platform_standin import EntryProcessHandle

INSTANCES = 8
REQUESTS_PER_S = 160.0


@pytest.mark.anyio
async def test_instances_that_start_again_keep_the_allowance_of_retries(
    entry_processes: list[EntryProcessHandle], tmp_path: Path
) -> None:
    """Failure: processes that had forgotten their retries sent as many once more."""
    fleet_context = failing_fleet(entry_processes, tmp_path, instances=INSTANCES, seed=1)
    async with fleet_context as (fleet, tasks):
        tasks.start_soon(fleet.send_requests, REQUESTS_PER_S)
        await anyio.sleep(10.0)
        fleet.turned_away_share = 0.9
        await anyio.sleep(1.5)
        await fleet.restart(fleet.entries)
        await anyio.sleep(9.0)
        assert fleet.ledger.worst_window().excess <= 0
