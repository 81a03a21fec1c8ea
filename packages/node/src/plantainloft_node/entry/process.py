"""Run one entry instance as a process, from start to graceful stop."""

import logging
import signal
import time

import anyio
from anyio.abc import SocketStream

from plantainloft_node.engine.callers import CallerConnection, Handler
from plantainloft_node.engine.dialect import HeaderNames
from plantainloft_node.engine.front import Front, RetryTerms
from plantainloft_node.engine.pool import LinkPool
from plantainloft_node.engine.sender import Sender
from plantainloft_node.entry.lookups import LookupHandler, ReadyHandler
from plantainloft_node.entry.metrics import Metrics
from plantainloft_node.entry.settings import EntrySettings
from plantainloft_node.entry.sharing import NewsSharing
from plantainloft_node.fleet.beats import BeatExchange
from plantainloft_node.fleet.members import Beat, FleetMember, MemberBook
from plantainloft_node.placing.demand import RegionDemand, demand_by_region
from plantainloft_node.placing.endpoints import EndpointBook
from plantainloft_node.placing.placement import Placement, PlacementTerms
from plantainloft_node.replica.beliefs import Beliefs
from plantainloft_node.replica.follower import TableFollower
from plantainloft_node.replica.news import DECLARATIONS, ENDPOINTS, NewsStore
from plantainloft_node.replica.rows import RowCopy

__all__ = ['EntryProcess']

log = logging.getLogger(__name__)

MS = 1000.0
TICK_S = 0.25
# Callers keep a look-up for up to three times its time to live. For that
# long after leaving begins they may still send requests here.
CACHED_LOOKUPS = 3
# Kept free at the end of the grace for requests that came last.
STOP_MARGIN_S = 0.7


class EntryProcess:
    """All parts of an entry instance."""

    def __init__(self, *, settings: EntrySettings, store: NewsStore, names: HeaderNames) -> None:
        self._settings = settings
        self._store = store
        self._leaving = False
        self._connections: set[CallerConnection] = set()
        self.metrics = Metrics()
        self.book = EndpointBook(region_by_zone=settings.region_by_zone)
        self.beliefs = Beliefs(book=self.book, decode=store.decode)
        self.rows = RowCopy()
        me = FleetMember(
            name=settings.name,
            incarnation=int(time.time() * MS),
            region=settings.region,
            zone=settings.zone,
            front=settings.front,
            peer=settings.peer,
        )
        self.members = MemberBook(me=me)
        self.placement = Placement(
            terms=PlacementTerms(
                region=settings.region,
                instance=settings.name,
                cold_over=settings.cold_over,
                cold_slack=settings.cold_slack,
            ),
            book=self.book,
        )
        self.pool = LinkPool()
        self.front = Front(
            names=names,
            placement=self.placement,
            sender=Sender(names=names, pool=self.pool),
            retries=RetryTerms(
                ratio=settings.retry_ratio,
                extra=settings.retry_extra,
                window_s=settings.retry_window_s,
            ),
            table=lambda: self.beliefs.table,
            observe=self._observe,
        )
        self.followers = {
            table: TableFollower(table=table, store=store, rows=self.rows, beliefs=self.beliefs)
            for table in (DECLARATIONS, ENDPOINTS)
        }

    def ready(self) -> bool:
        """Return whether callers may be sent here."""
        return not self._leaving and self.beliefs.table.version > 0

    async def run(self) -> None:
        """Serve until SIGTERM, then stop gracefully."""
        settings = self._settings
        log.info('Entry: starting.', extra={'kind': 'start', 'fields': {'zone': settings.zone}})
        async with anyio.create_task_group() as tasks:
            sharing = NewsSharing(
                settings=settings,
                members=self.members,
                rows=self.rows,
                beliefs=self.beliefs,
                followers=self.followers,
                store=self._store,
                tasks=tasks,
            )
            beats = BeatExchange(
                members=self.members,
                state=self._beat,
                on_beat=sharing.on_beat,
                seeds=sharing.seed_peers(),
            )
            for follower in self.followers.values():
                tasks.start_soon(follower.run)
            tasks.start_soon(beats.run)
            tasks.start_soon(sharing.run)
            tasks.start_soon(self._tick)
            lookups = LookupHandler(
                members=self.members, ready=self.ready, ttl_s=lambda: settings.lookup_ttl_s
            )
            tasks.start_soon(self._listen, settings.front, self.front)
            tasks.start_soon(self._listen, settings.directory, lookups)
            tasks.start_soon(self._listen, settings.ready, ReadyHandler(ready=self.ready))
            await self._wait_for_stop()
            await self._drain(beats)
            tasks.cancel_scope.cancel()
        log.info('Entry: stopped.', extra={'kind': 'stop'})

    def _beat(self) -> Beat:
        return Beat(
            member=self.members.me,
            ready=self.ready(),
            leaving=self._leaving,
            newest_by_table=self.rows.newest_by_table,
            rate_by_service=self.front.demand.rate_by_service,
        )

    def _observe(self, route: str, outcome: str, seconds: float) -> None:
        self.metrics.add('requests', route=route, outcome=outcome)
        self.metrics.observe('request_seconds', seconds, route=route)

    async def _tick(self) -> None:
        while True:
            now = anyio.current_time()
            self.beliefs.tick(now)
            self.placement.instances = self.members.sharing(now)
            self._weigh_regions(now)
            await anyio.sleep(TICK_S)

    def _weigh_regions(self, now: float) -> None:
        meter = self.front.demand
        meter.tick(TICK_S)
        mine = RegionDemand(self._settings.region, meter.rate_by_service)
        others = [
            RegionDemand(beat.member.region, beat.rate_by_service)
            for beat in self.members.beats(now)
        ]
        self.placement.update_regions(demand_by_region([mine, *others]))

    async def _listen(self, address: str, handler: Handler) -> None:
        host, _, port = address.rpartition(':')
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=1024
        )

        async def serve(stream: SocketStream) -> None:
            connection = CallerConnection(stream=stream, handler=handler, clock=anyio.current_time)
            connection.closing = self._leaving
            self._connections.add(connection)
            try:
                await connection.run()
            except Exception:
                # One caller's connection must not end the others.
                log.exception('Entry: a connection failed.', extra={'kind': 'defect'})
            finally:
                self._connections.discard(connection)

        await listener.serve(serve)

    async def _wait_for_stop(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            async for received in signals:
                if received == signal.SIGTERM:
                    return
                log.info('Entry: reload asked for.', extra={'kind': 'reload'})

    async def _drain(self, beats: BeatExchange) -> None:
        """Lead callers away, then end when nothing is under way."""
        began = anyio.current_time()
        self._leaving = True
        log.info(
            'Entry: stopping.', extra={'kind': 'stop', 'fields': {'open': self.front.in_progress}}
        )
        await beats.send_round()
        for connection in self._connections:
            # The answer to its next request ends it.
            connection.closing = True
        quiet_at = began + CACHED_LOOKUPS * self._settings.lookup_ttl_s
        end_at = began + self._settings.grace_s - STOP_MARGIN_S
        while anyio.current_time() < end_at:
            await anyio.sleep(TICK_S)
            if anyio.current_time() >= quiet_at and not self.front.in_progress:
                break
        for connection in list(self._connections):
            connection.close_idle()
