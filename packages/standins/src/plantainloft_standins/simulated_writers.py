"""What writes to the simulated store: an operator and endpoints.

After a return of the store from a copy they write again what it lacks, as on the platform.
"""

import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from plantainloft_node.replica.store_rows import DECLARATIONS, ENDPOINTS
from plantainloft_standins.simulated_rows import CONFIG_KEY
from plantainloft_standins.simulated_store import ModelStore

__all__ = ['EVACUATED_ZONE', 'ConfirmedChange', 'SimulatedEndpoint', 'SimulatedWriters']

ENDPOINT_COUNT = 24
# The zone of all endpoints.
EVACUATED_ZONE = 'a'
EVACUATION_KEY = f'evacuate/{EVACUATED_ZONE}'
# Operators and endpoints write again within this time of the return.
REWRITE_S = (0.1, 1.5)
# The platform removes the row of an endpoint that is silent for this long.
ROW_LIFETIME_S = 4.5
ENDPOINT_WRITE_INTERVAL_S = 0.2
# From the announcement of an endpoint that leaves to the removal of its row.
LEAVING_S = 2.0
RETRY_S = 0.1


class ConfirmedChange(NamedTuple):
    """A change and when it was confirmed; ``content`` is ``None`` for a removal."""

    at: float
    content: bytes | None


class SimulatedEndpoint:
    """A registered endpoint, which writes its own row."""

    def __init__(self, *, number: int) -> None:
        self.id = f'i{number}'
        self.seq = 1
        self.left_at: float | None = None
        self.is_removed = False

    def content(self) -> bytes | None:
        """Return the row that the endpoint wants to have; ``None`` if none."""
        if self.is_removed:
            return None
        state = b'ready' if self.left_at is None else b'draining'
        return b'%s %d' % (state, self.seq)


class SimulatedWriters:
    """An operator that declares configurations and evacuations, and endpoints."""

    def __init__(self, *, store: ModelStore, rng: random.Random, config_bytes: int) -> None:
        self._store = store
        self._rng = rng
        self._config_bytes = config_bytes
        self._declared_by_key: dict[str, bytes | None] = {CONFIG_KEY: None, EVACUATION_KEY: None}
        # Rows of endpoints that have ended, which the copy had.
        self._expires_at_by_id: dict[str, float] = {}
        self.endpoints = [SimulatedEndpoint(number=number) for number in range(ENDPOINT_COUNT)]
        self.configurations: list[ConfirmedChange] = []
        self.evacuations: list[ConfirmedChange] = []

    def write_all(self) -> None:
        """Write the first configuration and the rows of all endpoints."""
        for endpoint in self.endpoints:
            self._write_endpoint(endpoint)
        self.declare()

    def declare(self) -> None:
        """Declare the next version of the configuration."""
        version = b'%d' % (len(self.configurations) + 1)
        self._put(CONFIG_KEY, b'%s %s' % (version, b'x' * self._config_bytes))
        self.configurations.append(ConfirmedChange(anyio.current_time(), version))

    def start_rewriting(self, tasks: TaskGroup) -> None:
        """Write again what the store lacks, each row after a time of its own."""
        rewrites: list[Callable[[], None]] = [self._declare_again]
        rewrites += [partial(self._write_endpoint_again, one) for one in self.endpoints]
        for rewrite in rewrites:
            at = anyio.current_time() + self._rng.uniform(*REWRITE_S)
            tasks.start_soon(self._call_when_served, at, rewrite)

    async def declare_every(self, interval_s: float) -> None:
        """Declare configurations while the store is served, until cancelled."""
        while True:
            await anyio.sleep(interval_s)
            if not _is_away(self._store):
                self.declare()

    async def write_heartbeats(self) -> None:
        """Write rows of endpoints, and remove expired ones, until cancelled."""
        while True:
            await anyio.sleep(ENDPOINT_WRITE_INTERVAL_S)
            if not _is_away(self._store):
                self._write_heartbeat(self._rng.choice(self.endpoints))
                self._remove_expired(anyio.current_time())

    async def leave(self, endpoint: SimulatedEndpoint, at: float) -> None:
        """Announce at ``at`` that ``endpoint`` leaves, and remove its row later."""
        await self._call_when_served(at, partial(self._announce_leaving, endpoint))
        await anyio.sleep(LEAVING_S)
        endpoint.is_removed = True
        now = anyio.current_time()
        await self._call_when_served(now, partial(self._write_endpoint, endpoint))

    async def set_evacuated(self, at: float, evacuated: bool) -> None:
        """Evacuate the zone of all endpoints at ``at``, or take it back."""
        await self._call_when_served(at, partial(self._declare_evacuation, evacuated))

    async def _call_when_served(self, at: float, callback: Callable[[], None]) -> None:
        await anyio.sleep_until(at)
        while _is_away(self._store):
            await anyio.sleep(RETRY_S)
        callback()

    def _declare_evacuation(self, evacuated: bool) -> None:
        content = b'1' if evacuated else None
        self._put(EVACUATION_KEY, content)
        self.evacuations.append(ConfirmedChange(anyio.current_time(), content))

    def _declare_again(self) -> None:
        for key, content in self._declared_by_key.items():
            if self._store.content_of(DECLARATIONS, key) != content:
                self._put(key, content)

    def _put(self, key: str, content: bytes | None) -> None:
        self._declared_by_key[key] = content
        if content is None:
            self._store.remove(DECLARATIONS, key)
        else:
            self._store.put(DECLARATIONS, key, content=content)

    def _announce_leaving(self, endpoint: SimulatedEndpoint) -> None:
        endpoint.left_at = anyio.current_time()
        endpoint.seq += 1
        self._write_endpoint(endpoint)

    def _write_heartbeat(self, endpoint: SimulatedEndpoint) -> None:
        if not endpoint.is_removed:
            endpoint.seq += 1
            self._write_endpoint(endpoint)

    def _write_endpoint(self, endpoint: SimulatedEndpoint) -> None:
        content = endpoint.content()
        if content is None:
            self._store.remove(ENDPOINTS, endpoint.id)
        else:
            self._store.put(ENDPOINTS, endpoint.id, content=content)

    def _write_endpoint_again(self, endpoint: SimulatedEndpoint) -> None:
        if self._store.content_of(ENDPOINTS, endpoint.id) == endpoint.content():
            return
        if endpoint.is_removed:
            # Its process has ended; the platform removes the row when it has expired.
            self._expires_at_by_id[endpoint.id] = anyio.current_time() + ROW_LIFETIME_S
        else:
            self._write_endpoint(endpoint)

    def _remove_expired(self, now: float) -> None:
        expired = [one for one, expires_at in self._expires_at_by_id.items() if expires_at <= now]
        for endpoint_id in expired:
            self._expires_at_by_id.pop(endpoint_id)
            self._store.remove(ENDPOINTS, endpoint_id)


def _is_away(store: ModelStore) -> bool:
    return store.outage_for('', anyio.current_time()) is not None
