"""Endpoint loads: the endpoints' own delayed reports and this node's counts."""

import itertools
import logging
import time
from collections.abc import Callable
from typing import Any

import anyio
import httpx
from anyio.abc import TaskGroup

from plantainloft_core.model import Configuration, Endpoint
from plantainloft_core.steering import (
    SLOW_START_S,
    EndpointLoad,
    free_slots,
    has_fresh_report,
    usable_slots,
)

__all__ = ['EndpointLoadTracker', 'region_headroom']

log = logging.getLogger(__name__)

REMOTE_POLL_PERIODS = 2
_OK = 200


def _ignore_incarnation(name: str, incarnation: str) -> None:
    """Do nothing."""


class EndpointLoadTracker:
    """Tracks the load of each endpoint as seen by this node."""

    def __init__(
        self,
        *,
        http: httpx.AsyncClient,
        poll_s: float,
        on_incarnation: Callable[[str, str], None] = _ignore_incarnation,
    ) -> None:
        """Set up the tracker.

        ``on_incarnation`` is called with the name of an endpoint and the incarnation that
        its load report names.
        """
        self._on_incarnation = on_incarnation
        self.own_inflight_by_endpoint: dict[str, int] = {}
        self.reports_by_endpoint: dict[str, tuple[int, float]] = {}
        self.first_seen_by_endpoint: dict[str, float] = {}
        self.draining: set[str] = set()
        self._wake_event = anyio.Event()
        self._first_version: int | None = None
        self._http = http
        self._poll_s = poll_s

    def own_inflight_by_region(self, config: Configuration) -> dict[str, int]:
        """Return the number of requests that this node has in flight, by region."""
        by_region: dict[str, int] = {}
        for name, count in self.own_inflight_by_endpoint.items():
            endpoint = config.endpoints_by_name.get(name)
            if endpoint is not None and count:
                by_region[endpoint.region] = by_region.get(endpoint.region, 0) + count
        return by_region

    def loads_of_service(self, config: Configuration, service: str) -> dict[str, EndpointLoad]:
        """Return the current loads of the endpoints of ``service``."""
        now = time.monotonic()
        if self._first_version is None:
            self._first_version = config.version
        # Slow start applies only to endpoints added to the configuration later.
        # Endpoints in the first version this node saw are already warm. If a
        # restarted node ramped them up, it would refuse most traffic for its first
        # seconds ('no headroom' refusals although every endpoint is idle).
        start = now - SLOW_START_S if config.version == self._first_version else now
        loads = {}
        for endpoint in config.endpoints_by_service.get(service, ()):
            name = endpoint.name
            first_seen = self.first_seen_by_endpoint.setdefault(name, start)
            report = self.reports_by_endpoint.get(name)
            loads[name] = EndpointLoad(
                local_inflight=self.own_inflight_by_endpoint.get(name, 0),
                reported_inflight=None if report is None else report[0],
                report_age_s=0.0 if report is None else now - report[1],
                in_service_s=now - first_seen,
                draining=name in self.draining,
            )
        return loads

    def record_started(self, name: str) -> None:
        """Count a request sent to endpoint ``name``."""
        self.own_inflight_by_endpoint[name] = self.own_inflight_by_endpoint.get(name, 0) + 1

    def record_finished(self, name: str) -> None:
        """Stop counting a request to endpoint ``name`` that ended."""
        self.own_inflight_by_endpoint[name] -= 1

    def note_draining(self, name: str) -> None:
        """Mark endpoint ``name`` as draining, as reported by the endpoint itself.

        The endpoint reports draining before the operator's list of endpoints is
        updated. Without this, requests would be sent to it and refused until then.
        """
        if name not in self.draining:
            self.draining.add(name)
            log.info('Loads: endpoint %s is draining.', name)

    def wake(self) -> None:
        """Poll now, since the configuration changed and may have new endpoints."""
        self._wake_event.set()

    async def run(self, current: Callable[[], Configuration], *, home_region: str) -> None:
        """Poll the endpoints indefinitely.

        Endpoints outside ``home_region`` are polled every second period. Polls are
        spread over the period, since polling all endpoints at once delays the requests
        being forwarded. Endpoints that have not reported yet are polled immediately:
        until they report they get one request at a time, which caused refusals in the
        first second of a restarted node.
        """
        async with anyio.create_task_group() as tasks:
            for period in itertools.count():
                self._wake_event = anyio.Event()
                await self._poll_all(
                    tasks,
                    self._endpoints_to_poll(current(), home_region=home_region, period=period),
                )

    async def _poll_all(self, tasks: TaskGroup, due: list[Endpoint]) -> None:
        gap_s = self._poll_s / (len(due) + 1)
        for endpoint in due:
            tasks.start_soon(self._poll_one, endpoint.name, endpoint.address)
            if endpoint.name in self.reports_by_endpoint:
                await self._pause(gap_s)
        await self._pause(gap_s)

    def _endpoints_to_poll(
        self, config: Configuration, *, home_region: str, period: int
    ) -> list[Endpoint]:
        new = []
        known = []
        for index, endpoint in enumerate(config.endpoints_by_name.values()):
            if endpoint.name not in self.reports_by_endpoint:
                new.append(endpoint)
            elif endpoint.region == home_region or (index + period) % REMOTE_POLL_PERIODS == 0:
                known.append(endpoint)
        return new + known

    async def _pause(self, seconds: float) -> None:
        with anyio.move_on_after(seconds):
            await self._wake_event.wait()

    async def _poll_one(self, name: str, address: str) -> None:
        # After a failed poll the previous report ages. The policy treats an old
        # report as unknown load, never as low load.
        try:
            response = await self._http.get(f'{address}/load', timeout=self._poll_s)
        except httpx.HTTPError:
            return
        if response.status_code == _OK:
            self._note_report(name, response.json())

    def _note_report(self, name: str, report: dict[str, Any]) -> None:
        self.reports_by_endpoint[name] = (int(report['inflight']), time.monotonic())
        incarnation = report.get('incarnation')
        if incarnation is not None:
            self._on_incarnation(name, str(incarnation))
        if report.get('draining'):
            self.note_draining(name)
        else:
            self.draining.discard(name)


def region_headroom(config: Configuration, loads: EndpointLoadTracker) -> dict[str, float]:
    """Return the free share (0..1) of usable slots in each region.

    Endpoints whose load is unknown count as having no free slots.
    """
    slots = dict.fromkeys(config.regions_by_name, 0.0)
    free = dict.fromkeys(config.regions_by_name, 0.0)
    for service, endpoints in config.endpoints_by_service.items():
        load_by_endpoint = loads.loads_of_service(config, service)
        for endpoint in endpoints:
            load = load_by_endpoint[endpoint.name]
            slots[endpoint.region] += usable_slots(endpoint, load)
            if has_fresh_report(load):
                free[endpoint.region] += max(0.0, free_slots(endpoint, load))
    return {name: round(free[name] / total, 3) for name, total in slots.items() if total}
