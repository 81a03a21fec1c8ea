"""Runs one entry instance as a process, from start to graceful shutdown."""

import logging
from collections.abc import Callable

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
from plantainloft_node.entry.interfaces import start_interfaces
from plantainloft_node.entry.lifecycle import Lifecycle
from plantainloft_node.entry.listeners import Listeners
from plantainloft_node.entry.metrics_report import MetricsReport
from plantainloft_node.entry.periodic_updates import PeriodicUpdates
from plantainloft_node.entry.process_signals import receive_signals
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
        self._lifecycle = Lifecycle(listeners=self._listeners, pipeline=self.pipeline)
        self.report.limiter = self.pipeline.limiter
        self.report.endpoint_limiter = self.pipeline.placement.endpoint_limiter

    def ready(self) -> bool:
        """Return whether callers may be directed to this instance."""
        return not self._lifecycle.is_stopping and self._is_configured()

    async def run(self) -> None:
        """Serve until SIGTERM, then shut down gracefully."""
        settings = self._settings
        location = {'zone': settings.zone, 'region': settings.region}
        self._lifecycle.start(location)
        with receive_signals() as signals:
            async with anyio.create_task_group() as tasks:
                heartbeats = self._start_background_tasks(tasks)
                start_interfaces(
                    settings=lambda: self._settings,
                    ready=self.ready,
                    listeners=self._listeners,
                    pipeline=self.pipeline,
                    members=self.members,
                    quarantine=self.quarantine,
                    report=self.report,
                    tasks=tasks,
                )
                tasks.start_soon(self._log_when_ready)
                requested_at = await signals.wait_for_stop(on_reload=self._reload)
                tasks.start_soon(signals.log_ignored)
                await self._lifecycle.stop(
                    self._settings, requested_at=requested_at, heartbeats=heartbeats
                )
                tasks.cancel_scope.cancel()
        self._lifecycle.end()

    def _is_configured(self) -> bool:
        return self.replicated_state.routing_state.route_table.version > 0

    async def _log_when_ready(self) -> None:
        while not self._is_configured():
            await anyio.sleep(UPDATE_INTERVAL_S)
        version = self.replicated_state.routing_state.route_table.version
        self._lifecycle.mark_ready({'version': version})

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

    def _announce_soon(self) -> None:
        if self._heartbeats is not None:
            self._heartbeats.request_round()

    def _own_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            member=self.members.local_member,
            ready=self.ready(),
            draining=self._lifecycle.is_stopping,
            position_by_table=self.replicated_state.current_positions(),
            era=self.replicated_state.store.eras.current,
            holds_rows=bool(self.replicated_state.updates.held_rows),
            rate_by_service=self.pipeline.dispatcher.demand.rate_by_service,
            polls_store=self.replicated_state.polls_successfully(),
            store_available_for_s=self.replicated_state.store_available_for_s(anyio.current_time()),
            usage_by_organisation=self.pipeline.limiter.usage_report(anyio.current_time()),
            capacity=self.pipeline.capacity.reported(),
        )

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
