"""Runs one entry instance as a process, from start to graceful shutdown."""

import logging
import signal
from collections.abc import AsyncIterator, Callable

import anyio
from anyio.abc import TaskGroup

from plantainloft_core.outcomes import Invalid
from plantainloft_node.engine.header_names import HeaderNames
from plantainloft_node.entry.component_parameters import (
    UPDATE_INTERVAL_S,
    fleet_timings,
    local_member,
)
from plantainloft_node.entry.fleet_tasks import start_fleet_tasks
from plantainloft_node.entry.listeners import Listeners
from plantainloft_node.entry.lookups import LookupHandler, ReadyHandler
from plantainloft_node.entry.metrics_report import MetricsReport
from plantainloft_node.entry.operator_api import OperatorHandler
from plantainloft_node.entry.periodic_updates import PeriodicUpdates
from plantainloft_node.entry.quarantine_table import build_quarantine
from plantainloft_node.entry.replicated_state import ReplicatedState
from plantainloft_node.entry.request_pipeline import build_request_pipeline
from plantainloft_node.entry.settings import EntrySettings
from plantainloft_node.entry.store_polling import PollingPolicy
from plantainloft_node.fleet.heartbeats import HeartbeatExchange
from plantainloft_node.fleet.membership import FleetMembership, Heartbeat
from plantainloft_node.replica.store_rows import TableStore

__all__ = ['EntryProcess']

log = logging.getLogger(__name__)

# Callers cache the answer to a look-up for up to three times its TTL. They may
# still send requests here for that long after draining starts.
LOOKUP_CACHE_TTLS = 3
# Draining ends this long before the grace period does; the rest of it is kept
# free for the requests that came last.
SHUTDOWN_MARGIN_S = 0.7


class EntryProcess:
    """Creates, connects and runs the components of an entry instance."""

    def __init__(
        self,
        *,
        settings: EntrySettings,
        store: TableStore,
        names: HeaderNames,
        load_settings: Callable[[], EntrySettings | Invalid],
    ) -> None:
        """Create all components; ``load_settings`` rereads the settings on reload."""
        self._load_settings = load_settings
        self._settings = settings
        self._draining = False
        self.members = FleetMembership(
            local_member=local_member(settings), timings=fleet_timings(settings)
        )
        self._polling = PollingPolicy(members=self.members)
        self.replicated_state = ReplicatedState(
            store=store,
            region_by_zone=settings.region_by_zone,
            long_poll_wait_s=lambda: self._polling.long_poll_wait_s(anyio.current_time()),
            declarations_wait_s=lambda: self._polling.declarations_wait_s(anyio.current_time()),
            delegates_polling=lambda: self._polling.delegates_polling(anyio.current_time()),
            relisting_delay_s=lambda: self._polling.relisting_delay_s(anyio.current_time()),
        )
        self.report = MetricsReport(replicated_state=self.replicated_state, members=self.members)
        self._heartbeats: HeartbeatExchange | None = None
        self.quarantine = build_quarantine(
            store=store, members=self.members, broadcast=self._announce_soon
        )
        self.pipeline = build_request_pipeline(
            settings=settings,
            names=names,
            replicated_state=self.replicated_state,
            report=self.report,
            quarantine=self.quarantine,
            members=self.members,
        )
        self._listeners = Listeners(traffic=self.pipeline.capacity.traffic)
        self.report.limiter = self.pipeline.limiter
        self.report.endpoint_limiter = self.pipeline.placement.endpoint_limiter

    def ready(self) -> bool:
        """Return whether callers may be directed to this instance."""
        return not self._draining and self.replicated_state.routing_state.route_table.version > 0

    async def run(self) -> None:
        """Serve until SIGTERM, then shut down gracefully."""
        settings = self._settings
        location = {'zone': settings.zone, 'region': settings.region}
        log.info('Entry: starting.', extra={'kind': 'start', 'fields': location})
        # The signal handlers stay installed until the end. If they were removed
        # when shutdown starts, a second SIGTERM or a SIGHUP would have its default
        # effect and end the process at once, with requests still in progress.
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
            async with anyio.create_task_group() as tasks:
                heartbeats = self._start_background_tasks(tasks)
                self._start_listeners(tasks)
                await self._wait_for_stop(signals)
                await self._drain(heartbeats)
                tasks.cancel_scope.cancel()
        log.info('Entry: stopped.', extra={'kind': 'stop'})

    def _start_background_tasks(self, tasks: TaskGroup) -> HeartbeatExchange:
        heartbeats = start_fleet_tasks(
            settings=self._settings,
            members=self.members,
            replicated_state=self.replicated_state,
            own_heartbeat=self._own_heartbeat,
            quarantine=self.quarantine,
            announcements=self.pipeline.endpoint_links.announcements,
            promises=self.pipeline.returns.exchange,
            tasks=tasks,
        )
        self._heartbeats = heartbeats
        updates = PeriodicUpdates(
            replicated_state=self.replicated_state,
            members=self.members,
            pipeline=self.pipeline,
            settings=lambda: self._settings,
        )
        for poller in self.replicated_state.pollers.values():
            tasks.start_soon(poller.run)
        tasks.start_soon(updates.run)
        tasks.start_soon(self.pipeline.crash_detector.run)
        tasks.start_soon(self.quarantine.run)
        tasks.start_soon(self.pipeline.endpoint_links.prober.run)
        return heartbeats

    def _start_listeners(self, tasks: TaskGroup) -> None:
        settings = self._settings
        lookups = LookupHandler(
            members=self.members,
            ready=self.ready,
            ttl_s=lambda: self._settings.lookup_ttl_s,
            capacity=self.pipeline.capacity,
        )
        listen = self._listeners.listen
        tasks.start_soon(listen, settings.caller_address, self.pipeline.forwarding_handler)
        tasks.start_soon(listen, settings.lookup_address, lookups)
        tasks.start_soon(listen, settings.readiness_address, ReadyHandler(ready=self.ready))
        tasks.start_soon(self.pipeline.endpoint_links.server.listen, settings.heartbeat_address)
        if settings.metrics_address:
            operators = OperatorHandler(
                metrics_text=self._metrics,
                quarantine=self.quarantine,
                report=self.report,
                announcements=self.replicated_state.endpoint_registry.announcements,
                links=self.pipeline.endpoint_links.monitor,
                retry_budgets=self.pipeline.dispatcher.retry_budgets,
            )
            tasks.start_soon(listen, settings.metrics_address, operators)

    def _metrics(self) -> str:
        pipeline = self.pipeline
        return self.report.text(
            pipeline.forwarding_handler, pipeline.dispatcher, pipeline.placement
        )

    def _announce_soon(self) -> None:
        if self._heartbeats is not None:
            self._heartbeats.request_round()

    def _own_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            member=self.members.local_member,
            ready=self.ready(),
            draining=self._draining,
            position_by_table=self.replicated_state.current_positions(),
            era=self.replicated_state.store.eras.current,
            holds_rows=bool(self.replicated_state.updates.held_rows),
            rate_by_service=self.pipeline.dispatcher.demand.rate_by_service,
            polls_store=self.replicated_state.polls_successfully(),
            store_available_for_s=self.replicated_state.store_available_for_s(anyio.current_time()),
            usage_by_organisation=self.pipeline.limiter.usage_report(anyio.current_time()),
            capacity=self.pipeline.capacity.reported(),
        )

    async def _wait_for_stop(self, signals: AsyncIterator[signal.Signals]) -> None:
        async for received in signals:
            if received == signal.SIGTERM:
                return
            self._reload()

    def _reload(self) -> None:
        """Reload the settings; keep the current ones if the new ones are invalid."""
        settings = self._load_settings()
        if isinstance(settings, Invalid):
            log.error(
                'Entry: settings not reloaded.',
                extra={'kind': 'reload', 'fields': {'problems': settings.problems}},
            )
            return
        log.info('Entry: settings reloaded.', extra={'kind': 'reload'})
        self._settings = settings
        self.pipeline.apply_settings(settings)
        self.members.timings = fleet_timings(settings)
        logging.getLogger().setLevel(settings.log_level)

    async def _drain(self, heartbeats: HeartbeatExchange) -> None:
        """Direct callers to other instances, and wait for the requests in progress.

        Waits until cached look-ups have expired, then for requests in progress
        until shortly before the end of the grace period.
        """
        started_at = anyio.current_time()
        self._draining = True
        fields = {'open': self.pipeline.forwarding_handler.requests_in_progress}
        log.info('Entry: stopping.', extra={'kind': 'stop', 'fields': fields})
        self._listeners.start_draining()
        await heartbeats.send_round(include_not_due=True)
        await self.pipeline.endpoint_links.server.start_draining()
        lookups_expire_at = started_at + LOOKUP_CACHE_TTLS * self._settings.lookup_ttl_s
        deadline = started_at + self._settings.grace_s - SHUTDOWN_MARGIN_S
        self.pipeline.finish_until(deadline)
        now = started_at
        while now < lookups_expire_at or (self._has_work() and now < deadline):
            await anyio.sleep(UPDATE_INTERVAL_S)
            now = anyio.current_time()
        self._listeners.close_when_idle()

    def _has_work(self) -> bool:
        """Return whether requests are in progress here, or through here."""
        in_progress = self.pipeline.forwarding_handler.requests_in_progress
        return bool(in_progress or self.pipeline.endpoint_links.server.open_tunnels)
