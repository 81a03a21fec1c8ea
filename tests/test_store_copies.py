"""Entry processes whose store returns from an older copy."""

import subprocess
import sys
from pathlib import Path

import anyio
import msgpack
import pytest
from platform_standin import (
    ENDPOINT_TABLE,
    OPERATOR_TABLE,
    EntryDeployment,
    StoreStandin,
    endpoint_document,
    make_configuration,
    running_store,
    send_request_and_count,
    wait_until_equal,
)

from plantainloft_core.store_eras import StoreReturn
from plantainloft_node.entry.instance_registry import InstanceRegistry
from plantainloft_node.entry.replicated_state import ReplicatedState
from plantainloft_node.fleet.membership import FleetMember, FleetMembership, Heartbeat
from plantainloft_node.replica.fenced_writer import FencedWriter
from plantainloft_node.replica.store_rows import (
    FENCES,
    INSTANCES,
    ConditionFailed,
    RowBatch,
    RowWrite,
)
from plantainloft_platform.store import PlatformStore

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


async def lose_configuration(deployment: EntryDeployment) -> None:
    """Return from a copy that lacks configuration 5, which nobody writes again."""
    copy = deployment.store.take_copy()
    deployment.store.put(OPERATOR_TABLE, 'config', make_configuration(5, service='other'))
    for entry in deployment.entry_processes:
        await wait_until_equal(
            lambda entry=entry: send_request_and_count(deployment, entry), (0, 1)
        )
    deployment.store.return_from_copy(copy)
    for entry in deployment.entry_processes:
        await wait_until_equal(lambda entry=entry: entry.held_rows(), ['config'])


async def test_a_configuration_that_the_store_has_lost_stays_in_force_and_is_listed(
    entry_deployment: EntryDeployment,
) -> None:
    """Failure: instances would go back to the configuration of the copy without a word."""
    first, second = entry_deployment.entry_processes
    await lose_configuration(entry_deployment)
    for entry in (first, second):
        assert await send_request_and_count(entry_deployment, entry) == (0, 1)
    seen = await first.store_return()
    assert seen['era'] == 2 and seen['returns'] == 1 and seen['copy_age_s'] > 0
    command = [str(Path(sys.executable).with_name('plantainctl')), 'store-returns']
    nodes = [f'--nodes=http://{one.metrics_address}' for one in (first, second)]
    listed = await anyio.run_process([*command, *nodes], stderr=subprocess.STDOUT)
    assert b'config 2 of 2 when written again' in b' '.join(listed.stdout.split())
    entry_deployment.store.put(OPERATOR_TABLE, 'config', make_configuration(5, service='other'))
    for entry in (first, second):
        await wait_until_equal(lambda entry=entry: entry.held_rows(), [])
    assert (await first.store_return())['rows_written_again'] == 1


async def test_an_instance_that_starts_after_a_return_gets_held_rows_from_its_peers(
    entry_deployment: EntryDeployment,
) -> None:
    """Failure: it would serve by the configuration of the copy, the others by a later one."""
    second = entry_deployment.entry_processes[1]
    await lose_configuration(entry_deployment)
    second.kill()
    second._log_file = second.log_path.open('wb')
    second.start()
    await second.wait_until_ready()
    await wait_until_equal(lambda: send_request_and_count(entry_deployment, second), (0, 1))
    assert await second.held_rows() == ['config']


async def register(store: PlatformStore, name: str) -> None:
    await store.write([RowWrite(INSTANCES, name, msgpack.packb([name]))])


async def test_a_condition_of_an_earlier_era_does_not_hold_for_a_version_given_out_again() -> None:
    """Failure: the row of a registered instance is removed by accident."""
    async with running_store() as (standin, _):
        store = PlatformStore(address=standin.address)
        copy = standin.take_copy()
        await register(store, 'e2')
        listed = await store.list_rows(INSTANCES)
        assert isinstance(listed, RowBatch)
        standin.return_from_copy(copy)
        await register(store, 'e2')
        read = await store.read_row(INSTANCES, 'e2')
        assert read == listed.rows[0]._replace(position=read.position)
        assert read.position.version == listed.rows[0].position.version
        writer = FencedWriter(store=store, owner='e1')
        assert await writer.remove_row(listed.rows[0]) == ConditionFailed()
        assert (await store.read_row(INSTANCES, 'e2')).content is not None


async def test_a_conditional_write_that_is_performed_in_the_next_era_does_nothing() -> None:
    """Failure: a call without an answer is performed after the store has returned."""
    async with running_store() as (standin, _):
        store = PlatformStore(address=standin.address)
        copy = standin.take_copy()
        await register(store, 'e2')
        row = await store.read_row(INSTANCES, 'e2')
        await store.write([RowWrite(FENCES, 'fence', b'')])
        fence = await store.read_row(FENCES, 'fence')
        standin.return_from_copy(copy)
        await register(store, 'e2')
        late_call = [RowWrite(INSTANCES, 'e2', None), RowWrite(FENCES, 'fence', None)]
        assert await store.write(late_call, unchanged=(row, fence)) == ConditionFailed()
        assert (await store.read_row(INSTANCES, 'e2')).content is not None


async def test_a_relay_registers_its_zone_again_after_a_return() -> None:
    """Failure: instances are missing from the list for half a minute, or ten."""
    local, peer = (
        FleetMember(name, 1, 'ankara', 'ank-a', f'{name}:80', f'{name}:90') for name in ('e1', 'e2')
    )
    async with running_store() as (standin, tasks):
        store = PlatformStore(address=standin.address)
        copy = standin.take_copy()
        members = FleetMembership(local_member=local)
        instances = InstanceRegistry(members=members, store=store)

        async def receive_heartbeats() -> None:
            while True:
                members.record_heartbeat(Heartbeat(peer, True, False, {}, {}), anyio.current_time())
                await anyio.sleep(0.5)

        tasks.start_soon(receive_heartbeats)
        tasks.start_soon(instances.run)

        async def registered() -> int:
            return sum(1 for table, _ in standin.rows if table == 'entries')

        await wait_until_equal(registered, 2)
        standin.return_from_copy(copy)
        assert await registered() == 0
        instances.read_again_soon()
        await wait_until_equal(registered, 2, timeout_s=5.0)


async def test_a_store_in_an_earlier_era_than_reported_gets_few_calls() -> None:
    """Failure: a wrong report of an era makes instances list the tables without a pause."""
    async with running_store() as (standin, tasks):
        store = PlatformStore(address=standin.address)
        state = ReplicatedState(store=store, region_by_zone={}, long_poll_wait_s=lambda: 4.0)
        store.eras.record_peer_report(StoreReturn(9, anyio.current_time()))
        for poller in state.pollers.values():
            tasks.start_soon(poller.run)
        await anyio.sleep(1.5)
        assert 0 < len(standin.operations) <= 4
