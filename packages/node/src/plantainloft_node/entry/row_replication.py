"""Replication of rows between entry instances: requests for missing rows.

Heartbeats carry the newest row versions that an instance has. An instance that
lags behind requests the missing rows from the sender. It thus stays up to date
while the store rejects its calls, has lost its change history or is down when
the instance starts. After the store has returned from a copy, answers also have the
rows that the sender holds in place of the store's.
"""

import logging
from collections.abc import Iterable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.entry.missing_rows import MissingRows
from plantainloft_node.entry.peer_calls import PeerCalls
from plantainloft_node.entry.replicated_state import ReplicatedState
from plantainloft_node.entry.row_exchange import (
    pack_request,
    unpack_answer,
)
from plantainloft_node.fleet.membership import FleetMember, FleetMembership, Heartbeat
from plantainloft_node.fleet.relay_selection import zone_relays
from plantainloft_node.fleet.report_receiver import UpdateHint
from plantainloft_node.replica.store_rows import DECLARATIONS, ENDPOINTS

__all__ = ['MEMBERS_CALL', 'ROWS_CALL', 'SMALL_ROWS_CALL', 'RowReplication']

log = logging.getLogger(__name__)

# A large table that a relay would have to send whole is first left to this instance's own poll.
LARGE_FETCH_DELAY_S = 0.8
# A peer that is unreachable or hangs does not answer; after this time without progress
# another peer may be asked.
FETCH_RETRY_AFTER_S = 0.8
ROWS_CALL = 'news'
SMALL_ROWS_CALL = 'small_news'
MEMBERS_CALL = 'members'
_MALFORMED = (KeyError, TypeError, ValueError, AttributeError)


class RowReplication:
    """Requests missing rows from peers; ``RowAnswers`` answers such requests."""

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
        self._updates = replicated_state.updates
        self._eras = replicated_state.store.eras
        self._routing_state = replicated_state.routing_state
        self._missing = MissingRows(replicated_state=replicated_state)
        self._pollers = replicated_state.pollers
        self._tasks = tasks
        self._fetches_in_progress = 0
        self._large_fetch_scheduled = False
        self._last_progress_at = 0.0

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Request the rows that are missing here from the sender of a heartbeat."""
        hint = UpdateHint(
            heartbeat.member, heartbeat.position_by_table, (), holds_rows=heartbeat.holds_rows
        )
        self.on_update_hint(hint)

    def on_update_hint(self, hint: UpdateHint) -> None:
        """Request rows and instances that are missing here from a peer that has them."""
        now = anyio.current_time()
        for table, position in hint.position_by_table.items():
            if self._missing.lacks_table(hint, table):
                self._updates.lag.record_announcement(
                    table, position, peer=hint.member.name, now=now
                )
        if hint.relay_heartbeat is not None:
            self._record_peer_uptime(hint.member, hint.relay_heartbeat.store_available_for_s, now)
        is_waiting = (
            self._fetches_in_progress and now - self._last_progress_at < FETCH_RETRY_AFTER_S
        )
        if not is_waiting and (
            self._missing.lacks_rows(hint)
            or self._missing.lacks_held_rows(hint)
            or _lacks_members(self._members, hint)
        ):
            self._fetches_in_progress += 1
            self._last_progress_at = now
            self._tasks.start_soon(self._fetch_missing, hint)

    async def _fetch_missing(self, hint: UpdateHint) -> None:
        await anyio.sleep(self._missing.own_poll_time_s(hint))
        if self._missing.lacks_rows(hint) or self._missing.lacks_held_rows(hint):
            await self._fetch_rows(hint.member)
        if _lacks_members(self._members, hint):
            await self._fetch_members(hint.member)
        self._fetches_in_progress -= 1

    def _record_progress(self) -> None:
        self._last_progress_at = anyio.current_time()

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
        answer = await self._calls.call(
            member, SMALL_ROWS_CALL, self._request(), on_progress=self._record_progress
        )
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
        position = self._rows.position_by_table.get(DECLARATIONS)
        await anyio.sleep(LARGE_FETCH_DELAY_S)
        if self._rows.position_by_table.get(DECLARATIONS) == position:
            await self._fetch_all_rows(member)
        self._large_fetch_scheduled = False

    async def _fetch_all_rows(self, member: FleetMember) -> None:
        answer = await self._calls.call(
            member, ROWS_CALL, self._request(), on_progress=self._record_progress
        )
        if not isinstance(answer, Unreachable):
            self._apply_answer(member, answer)

    def _request(self) -> dict[str, Any]:
        return pack_request(
            self._rows.position_by_table,
            era=self._eras.current,
            known_digests=self._rows.recent_contents.digests(),
        )

    def _apply_answer(self, member: FleetMember, raw_answer: Any) -> tuple[str, ...]:
        """Apply the rows of an answer; return the tables that it leaves out."""
        now = anyio.current_time()
        try:
            answer = unpack_answer(
                raw_answer,
                now,
                default_era=self._missing.era_of_other_builds(),
                decode_content=self._rows.recent_contents.decode,
            )
        except _MALFORMED as exc:
            _log_malformed(member, exc)
            return ()
        self._record_peer_uptime(member, answer.store_available_for_s, now)
        if answer.era < self._eras.current:
            return ()
        if answer.last_return is None:
            self._eras.record_answer(answer.era, None, now)
        else:
            self._eras.record_peer_report(answer.last_return)
        changed = {
            row.table
            for row in self._updates.apply_changes(answer.changed, now, source=member.name)
        }
        for table, listing in answer.listing_by_table.items():
            if self._updates.apply_listing(
                table, listing, now, source=member.name, held_by_peer=answer.held
            ):
                changed.add(table)
        self._updates.apply_held(answer.held, answer.last_return, now, source=member.name)
        self._missing.record_held_source(member.name)
        for table, poller in self._pollers.items():
            if table in changed:
                poller.restart_poll()
        return answer.left_out

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
