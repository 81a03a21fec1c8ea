"""Registration of entry instances in the store, and removal of those long gone."""

import logging
import random

import anyio
import msgpack

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.entry.store_polling import PollingPolicy
from plantainloft_node.fleet.membership import FleetMember, FleetMembership
from plantainloft_node.fleet.relay_selection import zone_relays
from plantainloft_node.placement.rendezvous import rendezvous_score
from plantainloft_node.replica.fenced_writer import FencedWriter
from plantainloft_node.replica.store_rows import (
    INSTANCES,
    RowBatch,
    RowWrite,
    StoreRow,
    TableStore,
)

__all__ = ['InstanceRegistry']

log = logging.getLogger(__name__)

# How often the list is read by instances that poll the store, and by those that
# delegate polling to relays. Running instances are also discovered by their
# heartbeats, so the list need not be read often.
LIST_INTERVAL_S = 30.0
DELEGATED_LIST_INTERVAL_S = 600.0
LIST_RETRY_DELAY_S = 1.0
# After the store has returned from a copy, instances that poll it read the list within this
# time, and write again what it lacks for their availability zone.
LIST_SPREAD_S = 3.0
MAX_ROWS_PER_WRITE = 100


class InstanceRegistry:
    """Keeps this instance registered and deregisters instances that are gone."""

    def __init__(self, *, members: FleetMembership, store: TableStore) -> None:
        self._members = members
        self._store = store
        self._polling = PollingPolicy(members=members)
        self._fenced_writer = FencedWriter(store=store, owner=members.local_member.name)
        self._read_again = anyio.Event()

    def read_again_soon(self) -> None:
        """Read the list again, which has gone back with the store."""
        if not self._polling.delegates_polling(anyio.current_time()):
            self._read_again.set()

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
            with anyio.move_on_after(DELEGATED_LIST_INTERVAL_S if delegates else LIST_INTERVAL_S):
                await self._read_again.wait()
                self._read_again = anyio.Event()
                await anyio.sleep(LIST_SPREAD_S * random.random())

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
        await self._register_zone(row_by_name, now)
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
            await self._fenced_writer.remove_row(row)

    async def _register_zone(self, row_by_name: dict[str, StoreRow], now: float) -> None:
        """As a relay, register the running instances of the zone that the list lacks."""
        local_member = self._members.local_member
        zone = self._members.registry.by_zone()[local_member.zone]
        if local_member not in zone_relays(zone, self._members, now):
            return
        missing = [
            member
            for member in zone
            if member.name not in row_by_name and self._members.is_up(member.name, now)
        ]
        if missing:
            writes = [_row_write(member) for member in missing[:MAX_ROWS_PER_WRITE]]
            await self._store.write(writes)

    async def _register(self) -> None:
        while True:
            outcome = await self._store.write([_row_write(self._members.local_member)])
            if outcome is None:
                return
            await anyio.sleep(LIST_RETRY_DELAY_S)


def _row_write(member: FleetMember) -> RowWrite:
    return RowWrite(INSTANCES, member.caller_address, msgpack.packb(list(member)))


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
