"""Configuration of the own interface when the table returns from an older copy."""

from typing import Any

import anyio
import pytest

from plantainloft_core.commits import commit_patch
from plantainloft_core.outcomes import Committed, Conflict, Unreachable
from plantainloft_core.store_position import StorePosition
from plantainloft_core.table_client import TableClient
from plantainloft_core.versions import Change, Snapshot, read_change, read_head
from plantainloft_node.config_follower import ConfigFollower
from plantainloft_node.config_return_listing import list_node_return
from plantainloft_node.config_sources import ConfigSource
from plantainloft_standins.table import TableService

pytestmark = pytest.mark.anyio

REGIONS = {'ankara': {'capacity': 10, 'zones': ['ankara-a']}}
FIRST_PATCH = [
    {'op': 'add', 'path': '/regions', 'value': REGIONS},
    {'op': 'add', 'path': '/services', 'value': {}},
]


def service_patch(name: str) -> list[dict[str, Any]]:
    return [{'op': 'add', 'path': f'/services/{name}', 'value': {}}]


async def commit(client: TableClient, name: str, *, against: int) -> object:
    patch = service_patch(name) if against else FIRST_PATCH
    return await commit_patch(
        client, base_version=against, patch=patch, author=name, change_id=f'id-{name}'
    )


def follower_of(client: TableClient) -> ConfigFollower:
    return ConfigFollower(client=client, poll_s=0.01, node_count=lambda: 1)


def services(follower: ConfigFollower) -> set[str]:
    return set(follower.config.services_by_name)


@pytest.fixture
async def follower(table: TableService, table_client: TableClient) -> ConfigFollower:
    """A node at version 4; the table has kept a copy of version 2."""
    created = follower_of(table_client)
    for number, name in enumerate(('first', 'kept', 'lost', 'also-lost')):
        if number == 2:
            table.take_copy()
        assert await commit(table_client, name, against=number) == Committed(version=number + 1)
        await created.poll_once()
    assert services(created) == {'kept', 'lost', 'also-lost'}
    return created


async def test_commits_that_the_table_has_lost_stay_in_force_and_are_committed_again(
    follower: ConfigFollower, table: TableService, table_client: TableClient
) -> None:
    """Failure: an operator's acknowledged patch is gone without a word."""
    table.return_from_copy()
    assert await follower.poll_once()
    assert services(follower) == {'kept', 'lost', 'also-lost'}
    listed = list_node_return(follower, anyio.current_time())
    assert [held['version'] for held in listed['rows_held']] == [3, 4]
    with anyio.fail_after(5):
        while await read_head(table_client) != 4:
            await anyio.sleep(0.05)
            await follower.poll_once()
    restored = await read_change(table_client, 4)
    assert isinstance(restored, Change)
    assert (restored.author, restored.change_id) == ('also-lost', 'id-also-lost')
    await follower.poll_once()
    listed = list_node_return(follower, anyio.current_time())
    assert listed['rows_held'] == [] and listed['rows_written_again'] == 2
    assert follower.position() == StorePosition(2, 4)


@pytest.mark.parametrize('further_commits', [0, 1, 3])
async def test_commits_on_the_copy_replace_the_lost_ones_which_are_listed(
    follower: ConfigFollower, table: TableService, table_client: TableClient, further_commits: int
) -> None:
    """Failure: a number that was given out again passes for the version in force."""
    table.return_from_copy()
    names = [f'other-{number}' for number in range(1 + further_commits)]
    for number, name in enumerate(names, start=2):
        assert await commit(table_client, name, against=number) == Committed(version=number + 1)
    assert await follower.poll_once()
    assert services(follower) == {'kept', *names}
    assert follower.position() == StorePosition(2, 3 + further_commits)
    assert list_node_return(follower, anyio.current_time())['rows_given_up'] == 2
    assert [change.author for change in follower.reconciler.lost] == ['lost', 'also-lost']


async def test_a_commit_on_a_version_of_an_earlier_era_is_rejected(
    follower: ConfigFollower, table: TableService, table_client: TableClient
) -> None:
    """Failure: a patch is applied to another configuration with the same number."""
    other = TableClient(
        base_url='http://table', timeout_s=1.0, transport=table_client._http._transport
    )
    original = other.commit_transaction
    calls = 0

    async def return_before_commit(**transaction: Any) -> Any:
        nonlocal calls
        calls += 1
        if calls == 2:
            table.return_from_copy()
            for number, name in ((2, 'other'), (3, 'another')):
                await commit(table_client, name, against=number)
        return await original(**transaction)

    other.commit_transaction = return_before_commit  # type: ignore[method-assign]
    outcome = await commit(other, 'late', against=4)
    assert isinstance(outcome, Unreachable | Conflict)
    assert await read_head(table_client) == 4
    newest = await read_change(table_client, 4)
    assert isinstance(newest, Change) and newest.author == 'another'


class PeerOfAnotherEra(ConfigSource):
    """A peer whose changes belong to another line; it must not be asked."""

    async def changes(self, *, after: int, up_to: int) -> list[Change]:
        raise AssertionError('changes of another era')

    async def snapshot(self, number: int) -> Snapshot:
        raise AssertionError('a configuration of another era')


async def test_changes_of_peers_in_another_era_are_not_mixed_in(
    follower: ConfigFollower, table: TableService
) -> None:
    """Failure: changes of one line are applied to a configuration of the other."""
    table.return_from_copy()
    for position in (StorePosition(2, 9), StorePosition(0, 9)):
        follower.note_available_version(position, PeerOfAnotherEra())
        await follower._fetch_announced()
    assert follower.position() == StorePosition(1, 4)


async def test_a_snapshot_of_a_lost_version_is_not_read_for_the_same_number(
    follower: ConfigFollower,
    table: TableService,
    table_client: TableClient,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: a node that starts gets the document of a lost version and patches on it."""
    for module in ('versions', 'commits'):
        monkeypatch.setattr(f'plantainloft_core.{module}.VERSIONS_PER_SNAPSHOT', 5)
    assert await commit(table_client, 'snapshot', against=4) == Committed(version=5)
    objects = dict(table.objects_by_key)
    assert objects
    table.return_from_copy()
    for number, name in enumerate(('a', 'b', 'c', 'd'), start=2):
        assert await commit(table_client, name, against=number) == Committed(version=number + 1)
    table.objects_by_key = objects
    started = follower_of(table_client)
    assert await started.poll_once()
    assert services(started) == {'kept', 'a', 'b', 'c', 'd'}
