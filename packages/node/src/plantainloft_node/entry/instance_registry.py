"""Registration of entry instances in the store, and removal of those long gone."""

import logging

import anyio
import msgpack

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.entry.store_polling import PollingPolicy
from plantainloft_node.fleet.membership import FleetMember, FleetMembership
from plantainloft_node.placement.rendezvous import rendezvous_score
from plantainloft_node.replica.store_rows import INSTANCES, RowBatch, StoreRow, TableStore

__all__ = ['InstanceRegistry']

log = logging.getLogger(__name__)

# How often the list is read by instances that poll the store, and by those that
# delegate polling to relays. Running instances are also discovered by their
# heartbeats, so the list need not be read often.
LIST_INTERVAL_S = 30.0
DELEGATED_LIST_INTERVAL_S = 600.0
LIST_RETRY_DELAY_S = 1.0


class InstanceRegistry:
    """Keeps this instance registered and deregisters instances that are gone."""

    def __init__(self, *, members: FleetMembership, store: TableStore) -> None:
        self._members = members
        self._store = store
        self._polling = PollingPolicy(members=members)

    async def run(self) -> None:
        """Register, then read the list at intervals until cancelled."""
        await self._register()
        while True:
            listed = await self._store.list_rows(INSTANCES)
            if isinstance(listed, Unreachable):
                await anyio.sleep(LIST_RETRY_DELAY_S)
                continue
            await self._apply_listing(listed)
            delegates = self._polling.delegates_polling(anyio.current_time())
            await anyio.sleep(DELEGATED_LIST_INTERVAL_S if delegates else LIST_INTERVAL_S)

    async def _apply_listing(self, listed: RowBatch) -> None:
        now = anyio.current_time()
        row_by_name: dict[str, StoreRow] = {}
        for row in listed.rows:
            member = _parse_member(row)
            if member is not None:
                row_by_name[member.name] = row
                self._members.add_member(member, now)
        self._members.has_member_list = True
        if self._members.local_member.name not in row_by_name:
            # After a long network partition its peers may have deregistered it.
            await self._register()
        replaced = [name for name in row_by_name if self._members.is_replaced(name, now)]
        for name in replaced:
            await self._deregister(row_by_name[name], name)
        for name in self._members.remove_replaced(now):
            log.info(
                'Fleet: %s removed after a long silence.',
                name,
                extra={'kind': 'member', 'fields': {'member': name, 'up': False}},
            )

    async def _deregister(self, row: StoreRow, name: str) -> None:
        # One instance does it: all that know the same peers choose the same one.
        # The row is removed only if its version is unchanged, so an instance that
        # has registered again after a restart stays registered.
        candidates = self._members.region_by_limit_sharer(anyio.current_time())
        if (
            max(candidates, key=lambda candidate: rendezvous_score(name, candidate))
            == self._members.local_member.name
        ):
            await self._store.remove_row(row)

    async def _register(self) -> None:
        content: bytes = msgpack.packb(list(self._members.local_member))
        while True:
            outcome = await self._store.put_row(
                INSTANCES, self._members.local_member.caller_address, content
            )
            if outcome is None:
                return
            await anyio.sleep(LIST_RETRY_DELAY_S)


def _parse_member(row: StoreRow) -> FleetMember | None:
    if row.content is None:
        return None
    try:
        return FleetMember(*msgpack.unpackb(row.content))
    except (ValueError, TypeError, msgpack.UnpackException):
        log.warning(
            'Fleet: instance row %s ignored: its content is malformed.',
            row.key,
            extra={'kind': 'bad_row'},
        )
        return None
