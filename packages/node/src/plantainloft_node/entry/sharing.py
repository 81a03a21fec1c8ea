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
from plantainloft_node.entry.peer_calls import PeerCalls
from plantainloft_node.fleet.intake import Hint
from plantainloft_node.fleet.members import Beat, FleetMember, MemberBook
from plantainloft_node.replica.news import News, NewsRow

__all__ = ['NEWS_CALL', 'NewsSharing']

log = logging.getLogger(__name__)

# The own poll of the store usually brings a change within a few
# milliseconds; only what is still missing after this is asked of a peer.
LAG_S = 0.35
NEWS_CALL = 'news'
_MALFORMED = (KeyError, TypeError, ValueError, AttributeError)


class NewsSharing:
    """Asks peers for rows and answers theirs."""

    def __init__(
        self,
        *,
        calls: PeerCalls,
        members: MemberBook,
        observation: Observation,
        tasks: TaskGroup,
    ) -> None:
        self._calls = calls
        self._members = members
        self._rows = observation.rows
        self._beliefs = observation.beliefs
        self._followers = observation.followers
        self._tasks = tasks
        self._asking = False

    def on_beat(self, beat: Beat) -> None:
        """Look whether the sender knows rows that are missing here."""
        self.on_hint(Hint(beat.member, beat.newest_by_table, ()))

    def on_hint(self, hint: Hint) -> None:
        """Look whether a peer knows rows or instances that are missing here."""
        if not self._asking and self._lacks(hint):
            self._asking = True
            self._tasks.start_soon(self._catch_up, hint)

    async def tell(self, newest_by_table: Any) -> Any:
        """Return the rows newer than those that a peer knows."""
        counted = self._members.counted(anyio.current_time())
        whole = self._rows.cut_off(newest_by_table)
        known = {table: version for table, version in newest_by_table.items() if table not in whole}
        return {
            'rows': [list(row) for row in self._rows.since(known)],
            'whole': {table: self._rows.newest_by_table[table] for table in whole},
            'members': [list(member) for member in (*counted, self._members.me)],
        }

    def _lacks(self, hint: Hint) -> bool:
        mine = self._rows.newest_by_table
        if any(version > mine.get(table, 0) for table, version in hint.newest_by_table.items()):
            return True
        return not all(self._members.known.name_of(key) is not None for key in hint.keys)

    async def _catch_up(self, hint: Hint) -> None:
        await anyio.sleep(LAG_S)
        if self._lacks(hint):
            await self._ask(hint.member)
        self._asking = False

    async def _ask(self, member: FleetMember) -> None:
        answer = await self._calls.call(member, NEWS_CALL, self._rows.newest_by_table)
        if isinstance(answer, Unreachable):
            return
        try:
            fresh, others = self._read_news(answer)
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
        self._beliefs.take(fresh, now, source=member.name)
        for other in others:
            self._members.learn(other, now)
        self._members.listed = True
        changed = {row.table for row in fresh}
        for table in changed:
            self._followers[table].poke()

    def _read_news(self, answer: Any) -> tuple[list[NewsRow], list[FleetMember]]:
        rows = [NewsRow(*row) for row in answer['rows']]
        members = [FleetMember(*raw) for raw in answer['members']]
        return self._merge(rows, answer.get('whole', {})), members

    def _merge(self, rows: list[NewsRow], whole: dict[str, int]) -> list[NewsRow]:
        fresh = self._rows.merge(row for row in rows if row.table not in whole)
        for table, version in whole.items():
            listing = News(tuple(row for row in rows if row.table == table), version)
            fresh += self._rows.merge_listing(table, listing)
        return fresh
