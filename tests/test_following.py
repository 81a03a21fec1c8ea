"""Configuration updates on a node: applied in order, never reverted, also from peers."""

from typing import Any

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainloft_core.commits import commit_patch
from plantainloft_core.model import Configuration, parse_configuration
from plantainloft_core.outcomes import Committed, Invalid, Unreachable
from plantainloft_core.patching import apply_committed_patch, apply_patch
from plantainloft_core.store_position import UNKNOWN_ERA, StorePosition
from plantainloft_core.table_client import TableClient
from plantainloft_core.versions import VERSIONS_PER_SNAPSHOT, Change, Snapshot, read_version
from plantainloft_node.config_follower import ConfigFollower
from plantainloft_node.config_sources import ConfigSource
from plantainloft_standins.faults import Faults
from plantainloft_standins.table import TableService

pytestmark = pytest.mark.anyio

DOCUMENT: dict[str, Any] = {
    'regions': {'ankara': {'capacity': 10, 'zones': ['ankara-a', 'ankara-b']}},
    'services': {'s': {}},
    'endpoints': {
        f'e{index}': {'service': 's', 'zone': 'ankara-a', 'address': 'http://e', 'slots': 4}
        for index in range(4)
    },
    'client_blocks': {f'b{index}': {'zone': 'ankara-a'} for index in range(4)},
}
INITIAL_PATCH = [
    {'op': 'add', 'path': f'/{name}', 'value': part} for name, part in DOCUMENT.items()
]
ZONES = st.sampled_from(['ankara-a', 'ankara-b', 'nowhere'])
OPERATIONS = st.one_of(
    st.builds(
        lambda index, zone: {'op': 'add', 'path': f'/client_blocks/b{index}/zone', 'value': zone},
        st.integers(0, 5),
        ZONES,
    ),
    st.builds(
        lambda index, zone: {
            'op': 'add',
            'path': f'/endpoints/n{index}',
            'value': {'service': 's', 'zone': zone, 'address': 'http://n', 'slots': 1},
        },
        st.integers(0, 2),
        ZONES,
    ),
    st.builds(lambda index: {'op': 'remove', 'path': f'/endpoints/e{index}'}, st.integers(0, 5)),
    st.builds(
        lambda index: {'op': 'move', 'from': f'/endpoints/e{index}', 'path': '/endpoints/moved'},
        st.integers(0, 3),
    ),
    st.just({'op': 'add', 'path': '/services/s/slo_ms', 'value': 80}),
)


class _StubPeer(ConfigSource):
    """A peer that returns fixed changes and a fixed snapshot, valid or not."""

    def __init__(self, *, changes: list[Change], snapshot: Snapshot) -> None:
        self._changes = changes
        self._snapshot = snapshot

    async def changes(self, *, after: int, up_to: int) -> list[Change]:
        return self._changes

    async def snapshot(self, number: int) -> Snapshot:
        return self._snapshot


@given(st.lists(OPERATIONS, min_size=1, max_size=5))
def test_incremental_patch_equals_full_validation(patch: list[dict[str, Any]]) -> None:
    config = parse_configuration(DOCUMENT, version=1)
    assert isinstance(config, Configuration)
    before = repr(DOCUMENT)
    fully_validated = apply_patch(DOCUMENT, patch, version=2)
    incremental = apply_committed_patch(DOCUMENT, config, patch)
    assert repr(DOCUMENT) == before
    if isinstance(fully_validated, Invalid):
        assert isinstance(incremental, Invalid)
    else:
        assert incremental == fully_validated


async def _commit(
    table_client: TableClient, *, base_version: int, patch: list[dict[str, Any]]
) -> object:
    return await commit_patch(
        table_client,
        base_version=base_version,
        patch=patch,
        author='t',
        change_id=f'c{base_version}',
    )


def _follower(table_client: TableClient) -> ConfigFollower:
    return ConfigFollower(client=table_client, poll_s=0.01, node_count=lambda: 1)


async def test_outdated_or_incomplete_peer_never_reverts_a_node(table_client: TableClient) -> None:
    """A node must not revert to an earlier configuration.

    It would if it trusted a peer to deliver the version that it announced. The peer here
    announces version 9 to a node at version 2, but returns the document of version 1
    and changes with a gap.
    """
    assert await _commit(table_client, base_version=0, patch=INITIAL_PATCH) == Committed(version=1)
    second = [{'op': 'add', 'path': '/client_blocks/b9', 'value': {'zone': 'ankara-b'}}]
    assert await _commit(table_client, base_version=1, patch=second) == Committed(version=2)
    follower = _follower(table_client)
    await follower.poll_once()
    change_after_gap = Change(number=9, patch=second, author='x', change_id='x', committed_at=0)
    follower.note_available_version(
        StorePosition(UNKNOWN_ERA, 9),
        _StubPeer(changes=[change_after_gap], snapshot=Snapshot(number=1, document=DOCUMENT)),
    )
    await follower._fetch_announced()
    assert follower.config.version == 2
    assert 'b9' in follower.config.client_blocks_by_name


async def test_node_takes_configuration_from_a_peer_while_the_table_is_down(
    table_client: TableClient, table: TableService
) -> None:
    """A node that restarts during a table outage must not refuse all traffic.

    It would if the table service were its only source of configuration. The table is
    down here, the node starts without configuration and a peer announces version 7.
    """
    table.faults = Faults(mode='down')
    follower = _follower(table_client)
    peer = _StubPeer(changes=[], snapshot=Snapshot(number=7, document=DOCUMENT))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        follower.note_available_version(StorePosition(UNKNOWN_ERA, 7), peer)
        with anyio.fail_after(5):
            while follower.config.version != 7:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


async def test_many_versions_are_read_through_a_snapshot(
    table_client: TableClient, table: TableService
) -> None:
    """A node that joins must not replay the whole history of changes.

    It must read a snapshot if there is one, and work without it. There are 60 versions
    here with one snapshot at version 50, which the object store then loses.
    """
    await _commit(table_client, base_version=0, patch=INITIAL_PATCH)
    for number in range(1, VERSIONS_PER_SNAPSHOT + 10):
        patch = [{'op': 'add', 'path': f'/client_blocks/n{number}', 'value': {'zone': 'ankara-a'}}]
        assert await _commit(table_client, base_version=number, patch=patch) == Committed(
            version=number + 1
        )
    reads_before = table.reads
    through_snapshot = await read_version(table_client, VERSIONS_PER_SNAPSHOT + 10)
    # The change that the snapshot belongs to, the snapshot, and ten changes.
    assert table.reads - reads_before == 12
    table.objects_by_key.clear()
    replayed = await read_version(table_client, VERSIONS_PER_SNAPSHOT + 10)
    assert not isinstance(replayed, Unreachable | Invalid)
    assert replayed == through_snapshot
