"""Entry processes together keep the request limit that an endpoint names."""

import time
from pathlib import Path

import anyio
import pytest
from limited_endpoints import CONTACT_S, limited_fleet
from platform_standin import EntryProcessHandle

INSTANCES = 8
REQUESTS_PER_S = 160.0
LIMIT_PER_S = 3.0
# What the users allow in 4 s beyond a limit of 3 a second: one and a half times
# 12 requests, and 5 more.
MAX_IN_WINDOW = 23
# Share of the limit that should be used while there is demand.
MIN_USED_FRACTION = 0.8
OBSERVED_S = 10.0


@pytest.mark.anyio
async def test_all_instances_together_keep_the_limit_that_an_endpoint_names(
    entry_processes: list[EntryProcessHandle], tmp_path: Path
) -> None:
    """Failure: no instance read the limit, and the endpoint got nine times as much."""
    async with limited_fleet(entry_processes, tmp_path, instances=INSTANCES) as (fleet, tasks):
        tasks.start_soon(fleet.send_requests, REQUESTS_PER_S)
        await anyio.sleep(6.0)
        limited = fleet.endpoints[0]
        limited.header = b'Server-Limit: %g\r\n' % LIMIT_PER_S
        since = time.monotonic() + CONTACT_S
        await anyio.sleep(CONTACT_S + OBSERVED_S)
        assert limited.most_in_window(since) <= MAX_IN_WINDOW
        used = limited.count(since, since + OBSERVED_S)
        assert used >= MIN_USED_FRACTION * LIMIT_PER_S * OBSERVED_S
        assert set(fleet.statuses) == {200}
