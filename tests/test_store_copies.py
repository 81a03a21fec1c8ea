"""Entry processes whose store returns from an older copy."""

import anyio
import pytest
from platform_standin import (
    ENDPOINT_TABLE,
    OPERATOR_TABLE,
    EntryDeployment,
    StoreStandin,
    endpoint_document,
    make_configuration,
    send_request_and_count,
    wait_until_equal,
)

pytestmark = pytest.mark.anyio

# Changes bind from RECOVERY_S after a disturbance of the store on; they are in force
# IN_FORCE_S after their confirmation.
RECOVERY_S = 4.0
IN_FORCE_S = 2.5
# Rows that were written since the copy was taken.
LOST_WRITES = 30


def write_unrelated_rows(store: StoreStandin, count: int) -> None:
    """Write the row of an endpoint that serves nobody, as its heartbeats do."""
    for number in range(count):
        document = endpoint_document('127.0.0.1:9', service=f'unused-{number}')
        store.put(ENDPOINT_TABLE, 'i-unused', document)


async def return_from_copy(store: StoreStandin, *, writes_after: int) -> None:
    """Lose the last ``LOST_WRITES`` writes in an absence of a second."""
    copy = store.take_copy()
    write_unrelated_rows(store, LOST_WRITES - 1)
    store.put(OPERATOR_TABLE, 'config', make_configuration(5))
    await anyio.sleep(1.0)
    store.is_unavailable = True
    await anyio.sleep(1.0)
    store.return_from_copy(copy)
    store.is_unavailable = False
    await anyio.sleep(0.5)
    store.put(OPERATOR_TABLE, 'config', make_configuration(5))
    write_unrelated_rows(store, writes_after)


@pytest.mark.parametrize('writes_after', [2, LOST_WRITES + 5])
async def test_a_change_is_in_force_in_time_after_the_store_returned_from_a_copy(
    entry_deployment: EntryDeployment, writes_after: int
) -> None:
    """Failure: polls asked for what came after a version that was given out again."""
    store = entry_deployment.store
    store.put(OPERATOR_TABLE, 'config', make_configuration(4))
    await return_from_copy(store, writes_after=0)
    await anyio.sleep(RECOVERY_S)
    store.put(OPERATOR_TABLE, 'config', make_configuration(6, service='other'))
    write_unrelated_rows(store, writes_after)
    for entry in entry_deployment.entry_processes:
        await wait_until_equal(
            lambda entry=entry: send_request_and_count(entry_deployment, entry),
            (0, 1),
            timeout_s=IN_FORCE_S,
        )
