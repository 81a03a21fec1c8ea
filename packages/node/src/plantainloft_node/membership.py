"""Membership of entry instances through leases in the table service.

Each node renews a row ``members/{name}`` carrying a lease expiry; the
members are the rows whose lease has not lapsed. A killed node stops
renewing and drops out when its lease lapses; a stopping node marks
itself leaving first, so look-ups stop naming it at once.
"""

import logging
import time
from typing import Any

import anyio

from plantainloft_core.lookup import Member
from plantainloft_core.outcomes import Unreachable
from plantainloft_core.table_client import TableClient

__all__ = ['Membership']

log = logging.getLogger(__name__)

PREFIX = 'members/'
RENEWALS_PER_LEASE = 3
LEAVE_MARGIN = 1.5


class Membership:
    """Keeps this node's lease and the list of live members."""

    def __init__(
        self,
        *,
        client: TableClient,
        name: str,
        zone: str,
        address: str,
        lease_s: float,
    ) -> None:
        self.members_by_name: dict[str, Member] = {}
        self.generation = 0
        self._client = client
        self._me = Member(name=name, zone=zone, address=address, leaving=False)
        self._lease_s = lease_s

    def live(self) -> list[Member]:
        """Return the members known live, this node always among them."""
        members = dict(self.members_by_name)
        members.setdefault(self._me.name, self._me)
        return list(members.values())

    async def renew(self) -> None:
        """Write this node's lease row and read everyone's."""
        await self._client.txn(conditions={}, writes={PREFIX + self._me.name: self._row()})
        rows = await self._client.scan(PREFIX)
        if isinstance(rows, Unreachable):
            # Keep the last list: a table outage is not a reason to drop
            # every member; leases are judged again once it answers.
            return
        now = time.time()
        members = {
            row.value['name']: _member(row.value) for row in rows if row.value['expires_at'] > now
        }
        if members != self.members_by_name:
            self.members_by_name = members
            self.generation += 1

    async def leave(self) -> None:
        """Mark this node leaving, then wait until the others have read it.

        Callers must be steered away before the node stops accepting:
        the others re-read membership once per renewal period, so after
        one period (and a little) no look-up names this node any more.
        """
        self._me = self._me._replace(leaving=True)
        self.generation += 1
        await self._client.txn(conditions={}, writes={PREFIX + self._me.name: self._row()})
        log.info('Membership: %s is leaving.', self._me.name)
        await anyio.sleep(self._lease_s / RENEWALS_PER_LEASE * LEAVE_MARGIN)

    async def run(self) -> None:
        """Renew the lease a few times per lease period, forever."""
        while True:
            await self.renew()
            await anyio.sleep(self._lease_s / RENEWALS_PER_LEASE)

    def _row(self) -> dict[str, Any]:
        return {
            'name': self._me.name,
            'zone': self._me.zone,
            'address': self._me.address,
            'leaving': self._me.leaving,
            'expires_at': time.time() + self._lease_s,
        }


def _member(value: dict[str, Any]) -> Member:
    return Member(
        name=value['name'],
        zone=value['zone'],
        address=value['address'],
        leaving=value['leaving'],
    )
