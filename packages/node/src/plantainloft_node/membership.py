"""Joining and leaving the membership of entry instances.

Each node writes a row ``members/{name}`` when it starts, when it leaves and
occasionally in between. The rows only tell a starting node which peers to contact.
Liveness is decided by the probes of the membership list, within a second or two
and without the table, so a killed instance is removed from look-ups also while the
table service is down.
"""

import logging
import time

import anyio

from plantainloft_core.lookup import Member
from plantainloft_core.membership_list import MembershipList, MembershipStatus, MemberUpdate
from plantainloft_core.outcomes import Unreachable
from plantainloft_core.table_client import TableClient
from plantainloft_node.peering import GossipService, PeerConnections
from plantainloft_node.peering.messages import unpack_updates

__all__ = ['Membership', 'max_running_members']

log = logging.getLogger(__name__)

MEMBER_ROW_PREFIX = 'members/'
RENEWALS_PER_LEASE = 3
JOIN_TIMEOUT_S = 1.0
JOIN_RETRY_S = 1.0


class Membership:
    """Adds this node to the membership lists of its peers, and removes it on shutdown."""

    def __init__(
        self,
        *,
        client: TableClient,
        gossip: GossipService,
        peer_connections: PeerConnections,
        seeds: tuple[str, ...],
        lease_s: float,
        leave_s: float,
    ) -> None:
        self._client = client
        self._gossip = gossip
        self._peer_connections = peer_connections
        self._seeds = seeds
        self._lease_s = lease_s
        # Whether the members were read since this node started.
        self.has_joined = False
        self._leave_s = leave_s

    async def run(self) -> None:
        """Join, then renew this node's row several times per lease."""
        while not (await self._read_rows() or await self._fetch_members_from_seeds()):
            await anyio.sleep(JOIN_RETRY_S)
        self.has_joined = True
        while True:
            await self._write_row()
            # Nodes that start together have all read before any of them wrote. The one
            # that writes last now reads the rows of the others.
            await self._read_rows()
            self._gossip.wake()
            await anyio.sleep(self._lease_s / RENEWALS_PER_LEASE)

    async def leave(self) -> None:
        """Announce that this node is leaving and wait until the peers know.

        Callers must be directed to other nodes before this one stops accepting
        requests. The announcement reaches every peer in the next gossip rounds; after
        ``leave_s`` no look-up returns this node.
        """
        self._gossip.membership_list.announce_leaving()
        self._gossip.wake()
        log.info('Membership: %s is leaving.', self._gossip.membership_list.local_member.name)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write_row)
            await anyio.sleep(self._leave_s)
            tasks.cancel_scope.cancel()

    async def _write_row(self) -> None:
        row = {
            'member': self._gossip.membership_list.local_member._asdict(),
            'expires_at': time.time() + self._lease_s,
        }
        key = MEMBER_ROW_PREFIX + self._gossip.membership_list.local_member.name
        await self._client.commit_transaction(conditions={}, writes={key: row})

    async def _read_rows(self) -> bool:
        rows = await self._client.scan(MEMBER_ROW_PREFIX)
        if isinstance(rows, Unreachable):
            return False
        now = time.time()
        updates = [
            MemberUpdate(member=Member(**row.value['member']), status=MembershipStatus.ALIVE)
            for row in rows
            if row.value['expires_at'] > now
        ]
        self._gossip.membership_list.apply_updates(updates, time.monotonic())
        return True

    async def _fetch_members_from_seeds(self) -> bool:
        # The table service can be down for a long time. A node that starts during
        # an outage gets the members from a seed peer of its settings; otherwise its
        # look-ups would return only the node itself.
        for address in self._seeds:
            raw_updates = await self._peer_connections.call(
                address, 'roster', None, timeout_s=JOIN_TIMEOUT_S
            )
            if not isinstance(raw_updates, Unreachable):
                self._gossip.membership_list.apply_updates(
                    unpack_updates(raw_updates), time.monotonic()
                )
                return True
        return False


def max_running_members(members: MembershipList) -> int:
    """Return how many members may be running, this node included.

    A member that is dead here may be running behind a network partition, unless it has
    announced that it leaves.
    """
    return sum(
        update.status != MembershipStatus.DEAD or not update.member.leaving
        for update in members.all_updates()
    )
