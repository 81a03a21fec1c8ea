"""Registration of instances in the store, and malformed answers of peers."""

import anyio
import msgpack
import pytest
from platform_standin import SETTINGS_TEMPLATE, running_store

from plantainloft_core.outcomes import Invalid
from plantainloft_core.store_position import UNKNOWN_ERA, StorePosition
from plantainloft_node.entry.component_parameters import local_member
from plantainloft_node.entry.instance_registry import InstanceRegistry
from plantainloft_node.entry.peer_calls import PeerCalls
from plantainloft_node.entry.replicated_state import ReplicatedState
from plantainloft_node.entry.row_replication import RowReplication
from plantainloft_node.entry.settings import EntrySettings, parse_entry_settings
from plantainloft_node.fleet.membership import (
    REPLACED_AFTER_S,
    FleetMember,
    FleetMembership,
    Heartbeat,
)
from plantainloft_node.placement.rendezvous import rendezvous_score
from plantainloft_node.replica.fenced_writer import FencedWriter
from plantainloft_node.replica.store_rows import INSTANCES, ConditionFailed, RowBatch, RowWrite
from plantainloft_node.streams.connections import PeerConnections
from plantainloft_platform.store import PlatformStore

pytestmark = pytest.mark.anyio


def member(name: str, *, incarnation: int = 1) -> FleetMember:
    return FleetMember(name, incarnation, 'ankara', 'ank-a', f'{name}:80', f'{name}:90')


def entry_settings(store: str) -> EntrySettings:
    ports = (7901, 7902, 7903, 7904)
    text = SETTINGS_TEMPLATE.format(
        name='e1', host='127.0.9.77', ports=ports, store=store, seeds=''
    )
    settings = parse_entry_settings(text)
    assert not isinstance(settings, Invalid)
    return settings


async def listed_names(store: PlatformStore) -> list[str]:
    listed = await store.list_rows(INSTANCES)
    assert isinstance(listed, RowBatch)
    return sorted(msgpack.unpackb(row.content or b'')[0] for row in listed.rows)


async def register(store: PlatformStore, registered: FleetMember) -> None:
    content = msgpack.packb(list(registered))
    await store.write([RowWrite(INSTANCES, registered.caller_address, content)])


@pytest.mark.parametrize('delegates', [False, True])
@pytest.mark.parametrize('answer', [{'rows': [['only a table']], 'members': 3}, ['no', 'table']])
async def test_a_malformed_answer_does_not_end_the_process(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    delegates: bool,
    answer: object,
) -> None:
    """Regression test: instances crashed during a rolling upgrade.

    A peer of another version answers a call for rows in a format that this
    version cannot parse. The exception left its task and ended the process.
    """

    async def malformed_answer(*args: object, **kwargs: object) -> object:
        return answer

    monkeypatch.setattr(PeerConnections, 'call', malformed_answer)
    async with running_store() as (standin, tasks):
        settings = entry_settings(standin.address)
        replicated_state = ReplicatedState(
            store=PlatformStore(address=standin.address),
            region_by_zone=settings.region_by_zone,
            long_poll_wait_s=lambda: 4.0,
            delegates_polling=lambda: delegates,
        )
        row_replication = RowReplication(
            calls=PeerCalls(settings=settings, tasks=tasks),
            members=FleetMembership(local_member=local_member(settings)),
            replicated_state=replicated_state,
            tasks=tasks,
        )
        row_replication.on_heartbeat(
            Heartbeat(member('e2'), True, False, {'endpoints': StorePosition(UNKNOWN_ERA, 9)}, {})
        )
        with anyio.fail_after(5):
            while not any(getattr(record, 'kind', '') == 'bad_news' for record in caplog.records):
                await anyio.sleep(0.05)


async def test_a_row_that_changed_meanwhile_is_not_removed() -> None:
    """Regression test: an instance that had just restarted was missing from the list.

    A peer removes the row of the former start while the instance writes a new one.
    """
    async with running_store() as (standin, _):
        store = PlatformStore(address=standin.address)
        await register(store, member('e2'))
        listed = await store.list_rows(INSTANCES)
        assert isinstance(listed, RowBatch)
        await register(store, member('e2', incarnation=2))
        writer = FencedWriter(store=store, owner='e1')
        assert await writer.remove_row(listed.rows[0]) == ConditionFailed()
        assert await listed_names(store) == ['e2']


async def test_instances_long_gone_are_deregistered_and_live_ones_registered_again() -> None:
    """Regression test: the list of instances grew with every replaced machine.

    Nothing removed the rows of instances that never came back. In this test one
    instance is long gone and one has sent a heartbeat recently. The local instance
    is not listed, as after a partition so long that its peers deregistered it.
    """
    async with running_store() as (standin, tasks):
        settings = entry_settings(standin.address)
        store = PlatformStore(address=standin.address)
        members = FleetMembership(local_member=local_member(settings))
        now = anyio.current_time()
        # The name of the instance that is gone decides which live instance deregisters
        # it. Choose a name for which that is the local instance.
        gone = next(
            name
            for name in map(str, range(9))
            if rendezvous_score(name, 'e1') > rendezvous_score(name, 'e2')
        )
        members.record_heartbeat(
            Heartbeat(member(gone), True, False, {}, {}), now - REPLACED_AFTER_S - 1
        )
        members.record_heartbeat(Heartbeat(member('e2'), True, False, {}, {}), now)
        for name in (gone, 'e2'):
            await register(store, member(name))
        tasks.start_soon(InstanceRegistry(members=members, store=store).run)
        with anyio.fail_after(10):
            while await listed_names(store) != ['e1', 'e2']:
                await anyio.sleep(0.05)
        assert gone not in {peer.name for peer in members.peers()}
