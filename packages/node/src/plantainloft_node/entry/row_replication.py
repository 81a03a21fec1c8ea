"""Replication of rows between entry instances.

Heartbeats carry the newest row versions that an instance has. An instance that
lags behind requests the missing rows from the sender. It thus stays up to date
while the store rejects its calls, has lost its change history or is down when
the instance starts.
"""

import logging
from collections.abc import Iterable, Sequence
from typing import Any

import anyio
from anyio.abc import TaskGroup

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.entry.peer_calls import PeerCalls
from plantainloft_node.entry.replicated_state import ReplicatedState
from plantainloft_node.fleet.membership import FleetMember, FleetMembership, Heartbeat
from plantainloft_node.fleet.relay_selection import zone_relays
from plantainloft_node.fleet.report_receiver import UpdateHint
from plantainloft_node.replica.row_replica import RowReplica
from plantainloft_node.replica.store_rows import DECLARATIONS, ENDPOINTS, RowBatch, StoreRow

__all__ = ['MEMBERS_CALL', 'ROWS_CALL', 'SMALL_ROWS_CALL', 'RowReplication']

log = logging.getLogger(__name__)

# An instance's own poll usually returns a change within a few milliseconds; only
# rows that are still missing after this delay are requested from a peer.
PEER_FETCH_DELAY_S = 0.35
# A large configuration takes longer to read from the store.
LARGE_FETCH_DELAY_S = 2.0
# A peer that is unreachable or hangs does not answer; after this time another
# peer may be asked.
FETCH_RETRY_AFTER_S = 0.8
ROWS_CALL = 'news'
SMALL_ROWS_CALL = 'small_news'
# Larger tables would delay all answers queued behind them: a relay has no more
# bandwidth than any other instance, and many instances call it at once. Instances
# that delegate their polling read such tables from the store.
MAX_SMALL_TABLE_BYTES = 16_000
MEMBERS_CALL = 'members'
_MALFORMED = (KeyError, TypeError, ValueError, AttributeError)


class RowReplication:
    """Requests missing rows from peers and answers their requests."""

    def __init__(
        self,
        *,
        calls: PeerCalls,
        members: FleetMembership,
        replicated_state: ReplicatedState,
        tasks: TaskGroup,
    ) -> None:
        self._calls = calls
        self._members = members
        self._replicated_state = replicated_state
        self._rows = replicated_state.rows
        self._routing_state = replicated_state.routing_state
        self._pollers = replicated_state.pollers
        self._tasks = tasks
        self._fetches_in_progress = 0
        self._large_fetch_scheduled = False
        self._last_fetch_at = 0.0

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Request the rows that are missing here from the sender of a heartbeat."""
        self.on_update_hint(UpdateHint(heartbeat.member, heartbeat.newest_version_by_table, ()))

    def on_update_hint(self, hint: UpdateHint) -> None:
        """Request rows and instances that are missing here from a peer that has them."""
        now = anyio.current_time()
        if hint.relay_heartbeat is not None:
            self._record_peer_uptime(hint.member, hint.relay_heartbeat.store_available_for_s, now)
        is_waiting = self._fetches_in_progress and now - self._last_fetch_at < FETCH_RETRY_AFTER_S
        if not is_waiting and (
            _lacks_rows(self._rows, hint) or _lacks_members(self._members, hint)
        ):
            self._fetches_in_progress += 1
            self._last_fetch_at = now
            self._tasks.start_soon(self._fetch_missing, hint)

    async def answer_rows_call(self, newest_version_by_table: Any) -> Any:
        """Answer a call for the rows newer than those that a peer has."""
        return self._rows_answer(newest_version_by_table, left_out=())

    async def answer_small_rows_call(self, newest_version_by_table: Any) -> Any:
        """Answer like ``answer_rows_call``, but only name large tables, without their rows."""
        size_by_table: dict[str, int] = {}
        for row in self._rows.rows_newer_than(newest_version_by_table):
            size = len(row.content or b'')
            size_by_table[row.table] = size_by_table.get(row.table, 0) + size
        large = [table for table, size in size_by_table.items() if size > MAX_SMALL_TABLE_BYTES]
        return self._rows_answer(newest_version_by_table, left_out=large)

    async def answer_members_call(self, _: Any) -> Any:
        """Answer a call for the instances that count for shared limits, including this one."""
        peers = self._members.peers_sharing_limits(anyio.current_time())
        return [list(member) for member in (*peers, self._members.local_member)]

    def _rows_answer(
        self, newest_version_by_table: dict[str, int], *, left_out: Sequence[str]
    ) -> dict[str, Any]:
        full_tables = [
            table
            for table in self._rows.tables_needing_full_sync(newest_version_by_table)
            if table not in left_out
        ]
        known = {
            table: version
            for table, version in newest_version_by_table.items()
            if table not in full_tables
        }
        rows = [row for row in self._rows.rows_newer_than(known) if row.table not in left_out]
        return {
            'rows': [list(row) for row in rows],
            'whole': {table: self._rows.newest_version_by_table[table] for table in full_tables},
            'left_out': left_out,
            'store_served_s': self._replicated_state.store_available_for_s(anyio.current_time()),
        }

    async def _fetch_missing(self, hint: UpdateHint) -> None:
        if not (
            self._replicated_state.delegates_polling() and _lacks_table(self._rows, hint, ENDPOINTS)
        ):
            await anyio.sleep(PEER_FETCH_DELAY_S)
        if _lacks_rows(self._rows, hint):
            await self._fetch_rows(hint.member)
        if _lacks_members(self._members, hint):
            await self._fetch_members(hint.member)
        self._fetches_in_progress -= 1

    def _record_peer_uptime(
        self, member: FleetMember, available_for_s: float | None, now: float
    ) -> None:
        zone = self._members.registry.by_zone()[self._members.local_member.zone]
        if self._members.local_member not in zone_relays(zone, self._members, now):
            self._routing_state.store_availability.record_peer_uptime(
                member.name, available_for_s, now
            )

    async def _fetch_rows(self, member: FleetMember) -> None:
        if not self._replicated_state.delegates_polling():
            await self._fetch_all_rows(member)
            return
        answer = await self._calls.call(member, SMALL_ROWS_CALL, self._rows.newest_version_by_table)
        if isinstance(answer, Unreachable):
            self._poll_store((ENDPOINTS,))
            return
        left_out = self._apply_answer(member, answer)
        self._poll_store(left_out)
        if DECLARATIONS in left_out and not self._large_fetch_scheduled:
            self._large_fetch_scheduled = True
            self._tasks.start_soon(self._fetch_large_later, member)

    async def _fetch_large_later(self, member: FleetMember) -> None:
        """Request a large configuration from a peer if this instance's own poll does not return it.

        Usually the poll is about to return it, but an unresponsive store may never
        answer the poll.
        """
        version = self._rows.newest_version_by_table.get(DECLARATIONS)
        await anyio.sleep(LARGE_FETCH_DELAY_S)
        if self._rows.newest_version_by_table.get(DECLARATIONS) == version:
            await self._fetch_all_rows(member)
        self._large_fetch_scheduled = False

    async def _fetch_all_rows(self, member: FleetMember) -> None:
        answer = await self._calls.call(member, ROWS_CALL, self._rows.newest_version_by_table)
        if not isinstance(answer, Unreachable):
            self._apply_answer(member, answer)

    def _apply_answer(self, member: FleetMember, answer: Any) -> tuple[str, ...]:
        """Apply the rows of an answer; return the tables that it leaves out."""
        try:
            fresh, left_out = self._parse_answer(answer)
        except _MALFORMED as exc:
            _log_malformed(member, exc)
            return ()
        now = anyio.current_time()
        self._record_peer_uptime(member, answer.get('store_served_s'), now)
        self._routing_state.apply_rows(fresh, now, source=member.name)
        changed = {row.table for row in fresh}
        for table in changed:
            self._pollers[table].restart_poll()
        return left_out

    def _poll_store(self, tables: Iterable[str]) -> None:
        """Poll the store once for tables that peers do not send."""
        for table in tables:
            poller = self._pollers.get(table)
            if poller is not None:
                poller.poll_now()

    async def _fetch_members(self, member: FleetMember) -> None:
        answer = await self._calls.call(member, MEMBERS_CALL, None)
        if isinstance(answer, Unreachable):
            return
        try:
            members = [FleetMember(*raw) for raw in answer]
        except _MALFORMED as exc:
            _log_malformed(member, exc)
            return
        now = anyio.current_time()
        for one in members:
            self._members.add_member(one, now)
        self._members.has_member_list = True

    def _parse_answer(self, answer: Any) -> tuple[list[StoreRow], tuple[str, ...]]:
        left_out = tuple(str(table) for table in answer.get('left_out', ()))
        rows = [StoreRow(*row) for row in answer['rows']]
        return self._merge(rows, answer.get('whole', {})), left_out

    def _merge(self, rows: list[StoreRow], version_by_full_table: dict[str, int]) -> list[StoreRow]:
        fresh = self._rows.merge(row for row in rows if row.table not in version_by_full_table)
        for table, version in version_by_full_table.items():
            listing = RowBatch(tuple(row for row in rows if row.table == table), version)
            fresh += self._rows.merge_listing(table, listing)
        return fresh


def _lacks_rows(rows: RowReplica, hint: UpdateHint) -> bool:
    return any(_lacks_table(rows, hint, table) for table in hint.newest_version_by_table)


def _lacks_table(rows: RowReplica, hint: UpdateHint, table: str) -> bool:
    return hint.newest_version_by_table.get(table, 0) > rows.newest_version_by_table.get(table, 0)


def _lacks_members(members: FleetMembership, hint: UpdateHint) -> bool:
    return any(members.registry.name_of(key) is None for key in hint.member_keys)


def _log_malformed(member: FleetMember, exc: Exception) -> None:
    # During a rolling upgrade a peer may run another version. If the exception
    # left its task, it would end the process.
    log.warning(
        'Fleet: malformed answer from %s.',
        member.name,
        extra={'kind': 'bad_news', 'fields': {'problem': f'{type(exc).__name__}: {exc}'}},
    )
