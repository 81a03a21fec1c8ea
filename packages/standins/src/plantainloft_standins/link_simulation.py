"""Simulation of instances that lose their links to endpoints, in virtual time.

Runs the production code that watches links, chooses peers, opens connections and sends
requests. Connections, endpoints and the network between them are simulated: links work,
are reset, fall silent, or refuse new connections only, by instance and zone.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from itertools import cycle, islice
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from plantainloft_core.discovery import EndpointRecord
from plantainloft_node.endpoint_signals.signals import EndpointSignals
from plantainloft_node.engine.attempts import Answered, AttemptOutcome, Failed
from plantainloft_node.engine.connection_pool import ConnectionPool
from plantainloft_node.engine.header_names import HeaderNames
from plantainloft_node.engine.sender import EndpointRequest, Sender
from plantainloft_node.engine.upstream_connection import (
    TunnelPath,
    UpstreamConnection,
    UpstreamRequest,
)
from plantainloft_node.fleet.reports import FleetMember
from plantainloft_node.links.monitor import LinkMonitor
from plantainloft_node.links.prober import LinkProber
from plantainloft_node.placement.endpoints import EndpointRegistry, EndpointState
from plantainloft_node.tunnels.admission import is_admitted
from plantainloft_node.tunnels.frames import OpenResult
from plantainloft_standins.link_connections import (
    LinkMode,
    ModelConnection,
    ModelConnector,
    ModelTunnels,
    SimulatedFleet,
    SimulatedInstance,
)
from plantainloft_standins.virtual_clock import run_in_virtual_time

__all__ = ['Cut', 'EndpointOutage', 'LinkMode', 'LinkResult', 'LinkScenario', 'simulate_links']

SERVICE = 'desk'
REQUEST_TIMEOUT_S = 1.5
MAX_ATTEMPTS = 3
_NO_REQUEST = UpstreamRequest(b'GET', b'/', [], b'', body_complete=True)


class Cut(NamedTuple):
    """The links of ``instances`` to ``zones`` (all if empty) are lost for a time."""

    instances: frozenset[int]
    start_s: float
    end_s: float
    mode: LinkMode
    zones: frozenset[str] = frozenset()


class EndpointOutage(NamedTuple):
    """The endpoints with these numbers end; ``dark`` ones let connections hang."""

    endpoints: frozenset[int]
    start_s: float
    end_s: float
    dark: bool = False


class LinkScenario(NamedTuple):
    """Size of the fleet, its load and what fails."""

    seed: int
    instances: int = 12
    endpoints: int = 24
    regions: int = 3
    zones_per_region: int = 2
    requests_per_s: float = 20.0
    duration_s: float = 12.0
    cuts: tuple[Cut, ...] = ()
    outages: tuple[EndpointOutage, ...] = ()


class FirstTry(NamedTuple):
    """A request of a caller: where and when it came, whether it was answered, and how soon."""

    instance: int
    at: float
    served: bool
    took_s: float


class LinkResult(NamedTuple):
    """What callers got, and what instances did.

    ``lost_at_by_instance`` has the times at which an instance first noticed lost links,
    ``ejected_at_end`` the endpoints that are ejected at the end, by instance.
    ``requests_by_peer`` counts the connections that each instance opened for others.
    """

    first_tries: list[FirstTry]
    lost_at_by_instance: dict[int, list[float]]
    ejected_at_end: dict[int, int]
    peer_asks: int
    requests_by_peer: Counter[str]
    most_runs: int

    def served_share(self, instances: Iterable[int], since: float, until: float) -> float:
        """Return the share (0..1) of first tries at ``instances`` that were answered."""
        wanted = frozenset(instances)
        served = [
            one.served
            for one in self.first_tries
            if one.instance in wanted and since <= one.at < until
        ]
        return sum(served) / len(served)


class _Instance(SimulatedInstance):
    """One entry instance: its links, connections and requests."""

    def __init__(self, *, model: '_Model', number: int, zone: str, region: str) -> None:
        name = f'e{number}'
        self.number = number
        self.member = FleetMember(name, 1, region, zone, f'{name}:1', f'{name}:2')
        self._model = model
        self.registry = EndpointRegistry(region_by_zone=model.region_by_zone)
        for record in model.records:
            self.registry.add_or_update(record, 0.0)
        self.lost_at: list[float] = []
        self.links = LinkMonitor(on_change=self._record_change)
        self.connector = ModelConnector(
            model=model,
            owner=self,
            links=self.links,
            id_header=b'',
            tunnels=ModelTunnels(model=model, owner=self),
            endpoint_registry=self.registry,
            on_signals=_ignore_signals,
        )
        self._sender = Sender(names=HeaderNames(), pool=ConnectionPool(), connector=self.connector)
        self.prober = LinkProber(
            links=self.links, connector=self.connector, endpoint_registry=self.registry
        )
        self._served = 0

    async def run(self, tasks: TaskGroup) -> None:
        """Send requests at random times until cancelled."""
        tasks.start_soon(self.prober.run)
        rate = self._model.scenario.requests_per_s
        while True:
            await anyio.sleep(self._model.rng.expovariate(rate))
            tasks.start_soon(self._serve_caller)

    async def serve(self, state: EndpointState, priority: int) -> OpenResult:
        """Open a connection for a peer, as the production server does."""
        if not is_admitted(priority, open_tunnels=self._served, loop_delay_s=0.0):
            return OpenResult.BUSY
        own_state = self.registry.by_id[state.record.id]
        if self.links.is_lost(own_state.record.zone):
            return OpenResult.NO_LINK
        started_at = anyio.current_time()
        connection = await self.connector.connect_directly(own_state)
        if isinstance(connection, UpstreamConnection):
            await connection.close()
            return OpenResult.OPENED
        is_sound = await self.connector.is_own_path_sound(own_state, since=started_at)
        return OpenResult.UNREACHABLE if is_sound else OpenResult.UNCERTAIN

    async def _serve_caller(self) -> None:
        at = anyio.current_time()
        target = self._model.next_request_path()
        served = False
        with anyio.move_on_after(REQUEST_TIMEOUT_S):
            served = await self._try_endpoints(target)
        self._model.first_tries.append(FirstTry(self.number, at, served, anyio.current_time() - at))

    async def _try_endpoints(self, target: bytes) -> bool:
        is_idempotent = self._model.is_idempotent(target)
        request = EndpointRequest(
            request=_NO_REQUEST._replace(target=target),
            streamed_body=None,
            may_repeat=is_idempotent,
            priority=len(target) % 3,
        )
        for _ in range(MAX_ATTEMPTS):
            now = anyio.current_time()
            usable = [one for one in self.registry.by_id.values() if one.health.is_usable(now)]
            if not usable:
                return False
            outcome: AttemptOutcome = await self._sender.send(
                self._model.rng.choice(usable), request
            )
            if isinstance(outcome, Answered):
                return True
            if isinstance(outcome, Failed) and not is_idempotent:
                return False
        return False

    def _record_change(self, zones: frozenset[str]) -> None:
        self.registry.forget_failures(zones)
        if any(self.links.is_lost(zone) for zone in zones):
            self.lost_at.append(anyio.current_time())


class _Model(SimulatedFleet):
    """The fleet, its endpoints and the state of the links between them."""

    def __init__(self, *, scenario: LinkScenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.region_by_zone = {
            f'r{region}-{zone}': f'r{region}'
            for region in range(scenario.regions)
            for zone in range(scenario.zones_per_region)
        }
        self.records = [
            EndpointRecord(str(number), SERVICE, f'ep{number}:1', zone, 100, False, 0.0)
            for number, zone in enumerate(self._zones(scenario.endpoints))
        ]
        self.open_connections: set[ModelConnection] = set()
        self.runs: Counter[bytes] = Counter()
        self.requests_by_peer: Counter[str] = Counter()
        self.peer_asks = 0
        self.first_tries: list[FirstTry] = []
        self._mode_by_link: dict[tuple[int, str], LinkMode] = {}
        self._outage_by_endpoint: dict[int, EndpointOutage] = {}
        self._request_count = 0
        self.instances: list[_Instance] = []
        for number, zone in enumerate(self._zones(scenario.instances)):
            self.instances.append(
                _Instance(model=self, number=number, zone=zone, region=self.region_by_zone[zone])
            )
        self.instance_by_name = {one.member.name: one for one in self.instances}

    def mode(self, instance: int, zone: str) -> LinkMode | None:
        """Return the mode of a link; ``None`` while it works."""
        return self._mode_by_link.get((instance, zone))

    async def accepts(self, instance: int, state: EndpointState) -> bool:
        """Return whether a connection opens; waits if it hangs."""
        mode = self.mode(instance, state.record.zone)
        outage = self._outage_by_endpoint.get(int(state.record.id))
        if mode in {LinkMode.SILENT, LinkMode.HANG_NEW} or (outage is not None and outage.dark):
            await anyio.sleep_forever()
        return mode is None and outage is None

    def next_request_path(self) -> bytes:
        """Return the path that identifies the next request."""
        self._request_count += 1
        return str(self._request_count).encode()

    def is_idempotent(self, target: bytes) -> bool:
        """Return whether a request may run more than once; every second one may."""
        return int(target) % 2 == 0

    async def run(self) -> LinkResult:
        """Run the scenario."""
        async with anyio.create_task_group() as tasks:
            for instance in self.instances:
                tasks.start_soon(instance.run, tasks)
            for cut in self.scenario.cuts:
                tasks.start_soon(self._play_cut, cut)
            for outage in self.scenario.outages:
                tasks.start_soon(self._play_outage, outage)
            await anyio.sleep(self.scenario.duration_s)
            tasks.cancel_scope.cancel()
        return self._result()

    async def _play_cut(self, cut: Cut) -> None:
        links = [
            (instance, zone)
            for instance in cut.instances
            for zone in (cut.zones or self.region_by_zone)
        ]
        await anyio.sleep(cut.start_s)
        self._mode_by_link.update(dict.fromkeys(links, cut.mode))
        if cut.mode is LinkMode.RESET:
            self._break(one for one in self.open_connections if one.link in links)
        await anyio.sleep(cut.end_s - cut.start_s)
        for link in links:
            self._mode_by_link.pop(link, None)

    async def _play_outage(self, outage: EndpointOutage) -> None:
        await anyio.sleep(outage.start_s)
        self._outage_by_endpoint.update(dict.fromkeys(outage.endpoints, outage))
        self._break(one for one in self.open_connections if one.endpoint_number in outage.endpoints)
        await anyio.sleep(outage.end_s - outage.start_s)
        for endpoint in outage.endpoints:
            self._outage_by_endpoint.pop(endpoint, None)

    def _break(self, connections: Iterable[ModelConnection]) -> None:
        for connection in tuple(connections):
            connection.broken.set()

    def _zones(self, count: int) -> list[str]:
        return list(islice(cycle(self.region_by_zone), count))

    def _result(self) -> LinkResult:
        now = self.scenario.duration_s
        ejected: Mapping[int, int] = {
            one.number: sum(
                not state.health.is_usable(now) for state in one.registry.by_id.values()
            )
            for one in self.instances
        }
        lost_at: dict[int, list[float]] = defaultdict(list)
        for one in self.instances:
            if one.lost_at:
                lost_at[one.number] = one.lost_at
        once_only = [runs for target, runs in self.runs.items() if not self.is_idempotent(target)]
        return LinkResult(
            first_tries=self.first_tries,
            lost_at_by_instance=dict(lost_at),
            ejected_at_end=dict(ejected),
            peer_asks=self.peer_asks,
            requests_by_peer=self.requests_by_peer,
            most_runs=max(once_only, default=0),
        )


def _ignore_signals(path: TunnelPath, state: EndpointState, signals: EndpointSignals) -> None:
    """Serve as the listener of announcements, of which there are none."""


def simulate_links(scenario: LinkScenario) -> LinkResult:
    """Run ``scenario`` in virtual time."""

    async def run() -> LinkResult:
        return await _Model(scenario=scenario).run()

    return run_in_virtual_time(run)
