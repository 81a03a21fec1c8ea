"""News between entry instances, for when the store serves some of them.

Beats tell which rows an instance knows. One that lags asks the sender
for what it lacks: while the store refuses this instance, forgets its
history or is down at a start, its peers are the way to the news.
"""

import logging
from typing import Any

import anyio
import msgpack
from anyio.abc import TaskGroup

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.entry.observing import Observation
from plantainloft_node.entry.settings import EntrySettings
from plantainloft_node.fleet.members import Beat, FleetMember, MemberBook
from plantainloft_node.peering.links import Links
from plantainloft_node.peering.listener import serve_peers
from plantainloft_node.peering.messages import Traffic
from plantainloft_node.placing.affinity import score
from plantainloft_node.replica.news import INSTANCES, News, NewsRow

__all__ = ['NewsSharing']

log = logging.getLogger(__name__)

# The own poll of the store usually brings a change within a few
# milliseconds; only what is still missing after this is asked of a peer.
LAG_S = 0.35
CALL_S = 1.5
NEWS_CALL = 'news'
_MALFORMED = (KeyError, TypeError, ValueError, AttributeError)
# The list of instances in the store is read anew this often; those that
# run make themselves known by their beats.
LIST_EVERY_S = 30.0
LIST_RETRY_S = 1.0


class NewsSharing:
    """Asks peers for rows, answers theirs, and keeps the list of instances."""

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
        self._store = observation.store
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
        """Serve peers and keep the list of instances until cancelled."""
        self._tasks.start_soon(self._serve)
        await self._register()
        while True:
            listed = await self._store.list_rows(INSTANCES)
            if isinstance(listed, Unreachable):
                await anyio.sleep(LIST_RETRY_S)
                continue
            await self._take_list(listed)
            await anyio.sleep(LIST_EVERY_S)

    def on_beat(self, beat: Beat) -> None:
        """Look whether the sender knows rows that are missing here."""
        if not self._asking and self._lags(beat):
            self._asking = True
            self._tasks.start_soon(self._catch_up, beat)

    async def _take_list(self, listed: News) -> None:
        now = anyio.current_time()
        row_by_name: dict[str, NewsRow] = {}
        for row in listed.rows:
            member = _member(row)
            if member is not None:
                row_by_name[member.name] = row
                self._members.learn(member, now)
        self._members.listed = True
        if self._members.me.name not in row_by_name:
            # Taken for gone by the others after a long cut.
            await self._register()
        gone = [name for name in row_by_name if self._members.is_gone(name, now)]
        for name in gone:
            await self._strike_off(row_by_name[name], name)
        for name in self._members.forget_gone(now):
            log.info(
                'Fleet: %s is forgotten.',
                name,
                extra={'kind': 'member', 'fields': {'member': name, 'up': False}},
            )

    async def _strike_off(self, row: NewsRow, name: str) -> None:
        # One instance does it, the same for all that know the same others;
        # the row's version keeps it from striking off a new start.
        others = self._members.sharing(anyio.current_time())
        if max(others, key=lambda other: score(name, other)) == self._members.me.name:
            await self._store.remove_row(row)

    def _lags(self, beat: Beat) -> bool:
        mine = self._rows.newest_by_table
        return any(version > mine.get(table, 0) for table, version in beat.newest_by_table.items())

    async def _catch_up(self, beat: Beat) -> None:
        await anyio.sleep(LAG_S)
        if self._lags(beat):
            await self._ask(beat.member)
        self._asking = False

    async def _ask(self, member: FleetMember) -> None:
        answer = await self._links.call(
            self._call_address(member),
            NEWS_CALL,
            self._rows.newest_by_table,
            timeout_s=CALL_S,
        )
        if isinstance(answer, Unreachable):
            log.info(
                'Fleet: no news from %s.',
                member.name,
                extra={'kind': 'news', 'fields': {'reason': answer.reason}},
            )
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

    def _call_address(self, member: FleetMember) -> str:
        host = member.front.rpartition(':')[0]
        return f'{host}:{self._settings.control.rpartition(":")[2]}'

    async def _serve(self) -> None:
        await serve_peers(self._settings.control, {NEWS_CALL: self._tell}, traffic=self._traffic)

    async def _tell(self, newest_by_table: Any) -> Any:
        counted = self._members.counted(anyio.current_time())
        whole = self._rows.cut_off(newest_by_table)
        known = {table: version for table, version in newest_by_table.items() if table not in whole}
        return {
            'rows': [list(row) for row in self._rows.since(known)],
            'whole': {table: self._rows.newest_by_table[table] for table in whole},
            'members': [list(member) for member in (*counted, self._members.me)],
        }

    async def _register(self) -> None:
        content: bytes = msgpack.packb(list(self._members.me))
        while True:
            outcome = await self._store.put_row(INSTANCES, self._members.me.front, content)
            if outcome is None:
                return
            await anyio.sleep(LIST_RETRY_S)


def _member(row: NewsRow) -> FleetMember | None:
    if row.content is None:
        return None
    try:
        return FleetMember(*msgpack.unpackb(row.content))
    except (ValueError, TypeError, msgpack.UnpackException):
        log.warning('Fleet: row %s is no instance.', row.key, extra={'kind': 'bad_row'})
        return None
