"""The life of an entry process, from its start to its end without losing requests."""

import logging
from collections import Counter
from collections.abc import Mapping
from enum import Enum
from functools import partial

import anyio

from plantainloft_node.engine.stop_times import StopTimes, stop_times
from plantainloft_node.entry.component_parameters import UPDATE_INTERVAL_S
from plantainloft_node.entry.listeners import Listeners
from plantainloft_node.entry.request_pipeline import RequestPipeline
from plantainloft_node.entry.settings import EntrySettings
from plantainloft_node.fleet.heartbeats import HeartbeatExchange

__all__ = ['Lifecycle', 'Phase']

log = logging.getLogger(__name__)

# How often the last connections are checked.
CHECK_INTERVAL_S = 0.02


class Phase(Enum):
    """What the process does with callers."""

    # It has no configuration and refuses all requests.
    STARTING = 'starting'
    READY = 'ready'
    # Callers are directed elsewhere; what can be finished is served.
    DRAINING = 'draining'
    # No connection is accepted; open requests are finished.
    STOPPING = 'stopping'
    STOPPED = 'stopped'


class Lifecycle:
    """The phase of the process; each change is logged."""

    def __init__(self, *, listeners: Listeners, pipeline: RequestPipeline) -> None:
        self.phase = Phase.STARTING
        self._listeners = listeners
        self._pipeline = pipeline
        self._handler = pipeline.forwarding_handler
        self._tunnels = pipeline.endpoint_links.server
        self._count_before_stop: Counter[str] = Counter()

    @property
    def is_stopping(self) -> bool:
        """Whether the process has been asked to stop."""
        return self.phase not in {Phase.STARTING, Phase.READY}

    def start(self, fields: Mapping[str, object]) -> None:
        """Log the start of the process."""
        _log_phase(self.phase, 'start', fields)

    def mark_ready(self, fields: Mapping[str, object]) -> None:
        """Enter ``READY``, unless the process has been asked to stop before."""
        if self.phase is Phase.STARTING:
            self._enter(Phase.READY, 'ready', fields)

    async def stop(
        self, settings: EntrySettings, *, requested_at: float, heartbeats: HeartbeatExchange
    ) -> None:
        """Direct callers to other instances, and wait for the requests in progress.

        Returns when nothing is in progress any more, or when what is open is to be cut. The
        grace period began at ``requested_at`` (monotonic).
        """
        times = stop_times(
            requested_at=requested_at,
            grace_s=settings.grace_s,
            lookup_ttl_s=settings.lookup_ttl_s,
        )
        self._count_before_stop = Counter(self._handler.count_by_outcome)
        now = anyio.current_time()
        fields = {
            **self._open(),
            'ends_in_s': round(times.ends_at - now, 2),
            'delay_s': round(now - requested_at, 2),
        }
        self._enter(Phase.DRAINING, 'stop', fields)
        self._pipeline.start_stopping(
            ends_at=times.ends_at, estimates_until=times.lookups_expire_at
        )
        self._listeners.start_draining()
        with anyio.move_on_at(times.ends_at):
            await self._drain(times, heartbeats)
        self._enter(Phase.STOPPING, 'stop', self._open())
        await self._listeners.stop()
        with anyio.move_on_at(times.ends_at):
            while self._has_work() or self._listeners.open_connections:
                await anyio.sleep(CHECK_INTERVAL_S)

    def end(self) -> None:
        """Enter ``STOPPED``; logs how the requests since the start of the stop ended."""
        count = self._handler.count_by_outcome - self._count_before_stop
        ended = {
            'finished': count['finished'],
            'refused': count['refused'],
            'caller_left': count['caller_left'],
            'cut': count['aborted'],
        }
        self._enter(Phase.STOPPED, 'stop', ended)

    async def _drain(self, times: StopTimes, heartbeats: HeartbeatExchange) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(partial(heartbeats.send_round, include_not_due=True))
            tasks.start_soon(self._tunnels.start_draining)
        await anyio.sleep_until(times.lookups_expire_at)
        while self._has_work():
            await anyio.sleep(UPDATE_INTERVAL_S)

    def _open(self) -> dict[str, object]:
        return {
            'open': self._handler.requests_in_progress,
            'open_tunnels': self._tunnels.open_tunnels,
        }

    def _has_work(self) -> bool:
        """Return whether requests are in progress here, or through here."""
        return bool(self._handler.requests_in_progress or self._tunnels.open_tunnels)

    def _enter(self, phase: Phase, kind: str, fields: Mapping[str, object]) -> None:
        self.phase = phase
        _log_phase(phase, kind, fields)


def _log_phase(phase: Phase, kind: str, fields: Mapping[str, object]) -> None:
    log.info('Entry: %s.', phase.value, extra={'kind': kind, 'fields': dict(fields)})
