"""Joining and leaving the membership of entry instances.

Each node writes a row ``members/{name}`` when it starts, when it leaves and
occasionally in between. The rows only tell a starting node which peers to contact.
Liveness is decided by the roster's probes within a second or two and without the
table, so a killed instance is removed from look-ups also while the table service is
down.
"""

import logging
import time

import anyio

from plantainloft_core.lookup import Member
from plantainloft_core.outcomes import Unreachable
from plantainloft_core.roster import MemberEvent, Status
from plantainloft_core.table_client import TableClient
from plantainloft_node.peering import GossipService, Links
from plantainloft_node.peering.messages import unpack_events

__all__ = ['Membership']

log = logging.getLogger(__name__)

MEMBER_ROW_PREFIX = 'members/'
RENEWALS_PER_LEASE = 3
JOIN_TIMEOUT_S = 1.0
JOIN_RETRY_S = 1.0


class Membership:
    """Adds this node to the rosters of its peers, and removes it on shutdown."""

    def __init__(
        self,
        *,
        client: TableClient,
        gossip: GossipService,
        links: Links,
        seeds: tuple[str, ...],
        lease_s: float,
        leave_s: float,
    ) -> None:
        self._client = client
        self._gossip = gossip
        self._links = links
        self._seeds = seeds
        self._lease_s = lease_s
        self._leave_s = leave_s

    async def run(self) -> None:
        """Join, then renew this node's row several times per lease."""
        while not (await self._read_rows() or await self._fetch_roster_from_seeds()):
            await anyio.sleep(JOIN_RETRY_S)
        while True:
            await self._write_row()
            self._gossip.wake()
            await anyio.sleep(self._lease_s / RENEWALS_PER_LEASE)
            await self._read_rows()

    async def leave(self) -> None:
        """Announce that this node is leaving and wait until the peers know.

        Callers must be directed to other nodes before this one stops accepting
        requests. The announcement reaches every peer in the next gossip rounds; after
        ``leave_s`` no look-up returns this node.
        """
        self._gossip.roster.leave()
        self._gossip.wake()
        log.info('Membership: %s is leaving.', self._gossip.roster.me.name)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write_row)
            await anyio.sleep(self._leave_s)
            tasks.cancel_scope.cancel()

    async def _write_row(self) -> None:
        row = {
            'member': self._gossip.roster.me._asdict(),
            'expires_at': time.time() + self._lease_s,
        }
        key = MEMBER_ROW_PREFIX + self._gossip.roster.me.name
        await self._client.txn(conditions={}, writes={key: row})

    async def _read_rows(self) -> bool:
        rows = await self._client.scan(MEMBER_ROW_PREFIX)
        if isinstance(rows, Unreachable):
            return False
        now = time.time()
        events = [
            MemberEvent(member=Member(**row.value['member']), status=Status.ALIVE)
            for row in rows
            if row.value['expires_at'] > now
        ]
        self._gossip.roster.merge(events, time.monotonic())
        return True

    async def _fetch_roster_from_seeds(self) -> bool:
        # The table service can be down for a long time. A node that starts during
        # an outage gets the members from a seed peer of its settings; otherwise its
        # look-ups would return only the node itself.
        for address in self._seeds:
            raw_events = await self._links.call(address, 'roster', None, timeout_s=JOIN_TIMEOUT_S)
            if not isinstance(raw_events, Unreachable):
                self._gossip.roster.merge(unpack_events(raw_events), time.monotonic())
                return True
        return False
