"""Entry processes with slow links that follow a large configuration."""

import json
from pathlib import Path

import pytest
from platform_standin import (
    OPERATOR_TABLE,
    EntryProcessHandle,
    configuration_version,
    make_configuration,
    running_store,
    start_entry_processes,
    wait_until_equal,
)

pytestmark = pytest.mark.anyio

# 0.5 MB as the store sends it.
FURTHER_ROUTES = 1400
IN_FORCE_S = 2.5
FAST = 12_500_000
SLOW = 200_000
# The store sends the configuration to such an instance within ``IN_FORCE_S``.
MODERATE = 400_000


@pytest.mark.parametrize('rates', [(FAST, SLOW, SLOW, SLOW), (MODERATE, MODERATE, MODERATE)])
async def test_changes_of_a_large_configuration_are_in_force_in_time_over_slow_links(
    entry_processes: list[EntryProcessHandle], tmp_path: Path, rates: tuple[int, ...]
) -> None:
    """Guards against links that carry a configuration over and over, and never to its end."""
    for number, rate in enumerate(rates, start=1):
        (tmp_path / f'links-{number}.json').write_text(json.dumps(rate))
    async with running_store() as (store, tasks):
        store.put(OPERATOR_TABLE, 'config', make_configuration(3))
        await start_entry_processes(
            entry_processes,
            store_addresses=[store.address] * len(rates),
            work_dir=tmp_path,
            module='paced_entry_process',
        )
        for version in range(4, 8):
            configuration = make_configuration(
                version, service=f's{version}', further_routes=FURTHER_ROUTES
            )
            store.put(OPERATOR_TABLE, 'config', configuration)
            for entry in entry_processes:
                await wait_until_equal(
                    lambda entry=entry: configuration_version(entry),
                    version,
                    # The first one is new as a whole.
                    timeout_s=20.0 if version == 4 else IN_FORCE_S,
                )
        for handle in entry_processes:
            handle.kill()
        tasks.cancel_scope.cancel()
