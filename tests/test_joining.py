"""How nodes of the product's own interface come to know each other when they start."""

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from plantainloft_core.lookup import Member
from plantainloft_core.membership_list import MembershipList
from plantainloft_core.table_client import TableClient
from plantainloft_node.membership import Membership

pytestmark = pytest.mark.anyio

NODE_COUNT = 3


class SlowlyReadTable:
    """The table service as seen by nodes of which none writes before all have read once."""

    def __init__(self, *, client: TableClient) -> None:
        self.commit_transaction = client.commit_transaction
        self._client = client
        self._reads = 0
        self._all_have_read = anyio.Event()

    async def scan(self, prefix: str) -> Any:
        rows = await self._client.scan(prefix)
        self._reads += 1
        if self._reads == NODE_COUNT:
            self._all_have_read.set()
        await self._all_have_read.wait()
        return rows


def make_membership(table: SlowlyReadTable, number: int) -> Membership:
    member = Member(
        name=f'n{number}',
        zone='z',
        address=f'http://n{number}',
        leaving=False,
        peer_address=f'n{number}:1',
        incarnation=1,
    )
    gossip = SimpleNamespace(
        membership_list=MembershipList(local_member=member, suspicion_timeout_s=1.0),
        wake=lambda: None,
    )
    return Membership(
        client=table,  # type: ignore[arg-type]
        gossip=gossip,  # type: ignore[arg-type]
        peer_connections=None,  # type: ignore[arg-type]
        seeds=(),
        lease_s=60.0,
        leave_s=1.0,
    )


async def test_nodes_that_start_at_the_same_moment_know_of_each_other(
    table_client: TableClient,
) -> None:
    """Guards against a node that nobody knows until its row is renewed, 20 s after its start."""
    table = SlowlyReadTable(client=table_client)
    nodes = [make_membership(table, number) for number in range(NODE_COUNT)]
    async with anyio.create_task_group() as tasks:
        for node in nodes:
            tasks.start_soon(node.run)
        await anyio.sleep(1.0)
        tasks.cancel_scope.cancel()
    # The one that has written last; gossip brings the others what it knows.
    known = [len(node._gossip.membership_list.all_updates()) for node in nodes]
    assert max(known) == NODE_COUNT
