"""News between entry instances, for when the store serves some of them.

Beats tell which rows an instance knows. One that lags asks the sender
for what it lacks: while the store refuses this instance, forgets its
history or is down at a start, its peers are the way to the news.
"""

import logging
from typing import Any

import anyio
from anyio.abc import TaskGroup

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.entry.observing import Observation
from plantainloft_node.entry.settings import EntrySettings
from plantainloft_node.fleet.members import Beat, FleetMember, MemberBook
from plantainloft_node.peering.links import Links
from plantainloft_node.peering.listener import serve_peers
from plantainloft_node.peering.messages import Traffic
from plantainloft_node.replica.beliefs import Told
from plantainloft_node.replica.news import ENDPOINTS, News, NewsRow
from plantainloft_node.replica.store_watch import LAPSE_GRACE_S

__all__ = ['NewsSharing']

log = logging.getLogger(__name__)

# The own poll of the store usually brings a change within a few
# milliseconds; only what is still missing after this is asked of a peer.
LAG_S = 0.35
CALL_S = 1.5
NEWS_CALL = 'news'
# Asks which removed rows the peer knows not to have lapsed. No more than so
# many at once: more go together only where they lapsed, and bytes are paid for.
GONE_CALL = 'gone'
MAX_ASKED = 16
_MALFORMED = (KeyError, TypeError, ValueError, AttributeError)


class NewsSharing:
    """Asks peers for rows and answers theirs."""

    def __init__(
        self,
        *,
        settings: EntrySettings,
        members: MemberBook,
        observation: Observation,
        tasks: TaskGroup,
    ) -> None:
        self._settings = settings
        self._members = members
        self._rows = observation.rows
        self._beliefs = observation.beliefs
        self._followers = observation.followers
        self._tasks = tasks
        self._traffic = Traffic()
        self._links = Links(tasks=tasks, traffic=self._traffic)
        self._asking = False

    def seed_peers(self) -> tuple[str, ...]:
        """Return the addresses for beats of the instances in the settings."""
        port = self._settings.peer_port
        hosts = (seed.rpartition(':')[0] for seed in self._settings.seeds)
        return tuple(f'{host}:{port}' for host in hosts)

    async def run(self) -> None:
        """Answer peers until cancelled."""
        handler_by_kind = {NEWS_CALL: self._tell, GONE_CALL: self._tell_gone}
        await serve_peers(self._settings.control, handler_by_kind, traffic=self._traffic)

    def on_beat(self, beat: Beat) -> None:
        """Look whether the sender knows more than is known here."""
        if not self._asking and (self._lags(beat) or self._beliefs.doubted):
            self._asking = True
            self._tasks.start_soon(self._catch_up, beat)

    def _lags(self, beat: Beat) -> bool:
        mine = self._rows.newest_by_table
        return any(version > mine.get(table, 0) for table, version in beat.newest_by_table.items())

    async def _catch_up(self, beat: Beat) -> None:
        await anyio.sleep(LAG_S)
        if self._lags(beat):
            await self._ask(beat.member)
        elif self._beliefs.doubted and self._knows_better(beat.member):
            await self._ask_gone(beat.member)
        self._asking = False

    def _knows_better(self, member: FleetMember) -> bool:
        """Return whether the peer's word on removed rows goes before one's own.

        One from beyond a cut that has just healed saw the rows of this side
        lapse, though their endpoints live and reach this instance.
        """
        return self._members.heard_for_s(member.name, anyio.current_time()) >= LAPSE_GRACE_S

    async def _ask_gone(self, member: FleetMember) -> None:
        asked = dict(list(self._beliefs.doubted.items())[-MAX_ASKED:])
        answer = await self._call(member, GONE_CALL, asked)
        if isinstance(answer, list):
            self._beliefs.settle([key for key in answer if key in asked], source=member.name)

    async def _call(self, member: FleetMember, kind: str, content: Any) -> Any:
        answer = await self._links.call(self._call_address(member), kind, content, timeout_s=CALL_S)
        if isinstance(answer, Unreachable):
            log.info(
                'Fleet: no answer from %s.',
                member.name,
                extra={'kind': 'news', 'fields': {'reason': answer.reason}},
            )
        return answer

    async def _ask(self, member: FleetMember) -> None:
        answer = await self._call(member, NEWS_CALL, self._rows.newest_by_table)
        if isinstance(answer, Unreachable):
            return
        try:
            fresh, others, told = self._read_news(answer, member)
        except _MALFORMED as exc:
            # A peer of another version, during a rolling upgrade. Let out
            # of here, the error would end this process as well.
            log.warning(
                'Fleet: news from %s not understood.',
                member.name,
                extra={'kind': 'bad_news', 'fields': {'problem': f'{type(exc).__name__}: {exc}'}},
            )
            return
        now = anyio.current_time()
        self._beliefs.take(fresh, now, source=member.name, told=told)
        for other in others:
            self._members.learn(other, now)
        self._members.listed = True
        changed = {row.table for row in fresh}
        for table in changed:
            self._followers[table].poke()

    def _read_news(
        self, answer: Any, member: FleetMember
    ) -> tuple[list[NewsRow], list[FleetMember], Told]:
        rows = [NewsRow(*row) for row in answer['rows']]
        members = [FleetMember(*raw) for raw in answer['members']]
        # Peers of an earlier version do not say what they doubt.
        doubted = frozenset(answer.get('doubted', ()))
        fresh = self._merge(rows, answer.get('whole', {}))
        gone: frozenset[str] = frozenset()
        if 'doubted' in answer and self._knows_better(member):
            removed = {row.key for row in fresh if row.table == ENDPOINTS and row.content is None}
            gone = frozenset(removed - doubted)
        return fresh, members, Told(gone=gone, doubted=doubted)

    def _merge(self, rows: list[NewsRow], whole: dict[str, int]) -> list[NewsRow]:
        fresh = self._rows.merge(row for row in rows if row.table not in whole)
        for table, version in whole.items():
            listing = News(tuple(row for row in rows if row.table == table), version)
            fresh += self._rows.merge_listing(table, listing)
        return fresh

    def _call_address(self, member: FleetMember) -> str:
        host = member.front.rpartition(':')[0]
        return f'{host}:{self._settings.control.rpartition(":")[2]}'

    async def _tell(self, newest_by_table: Any) -> Any:
        counted = self._members.counted(anyio.current_time())
        whole = self._rows.cut_off(newest_by_table)
        known = {table: version for table, version in newest_by_table.items() if table not in whole}
        return {
            'rows': [list(row) for row in self._rows.since(known)],
            'whole': {table: self._rows.newest_by_table[table] for table in whole},
            'members': [list(member) for member in (*counted, self._members.me)],
            'doubted': list(self._beliefs.doubted),
        }

    async def _tell_gone(self, asked: Any) -> Any:
        doubted = self._beliefs.doubted
        return [
            key
            for key, version in asked.items()
            if key not in doubted and self._rows.is_removed(ENDPOINTS, key, version)
        ]
