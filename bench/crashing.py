"""A repeated request that crashes endpoints, beside background requests.

    .venv/bin/python bench/crashing.py [SECONDS]

Starts six entry instances (`plantainloft_node`) and six endpoints on loopback. Prints how
many endpoints the fatal request crashed, how many of them later than
``PROPAGATION_S`` after the third crash, and the fraction of background requests that
were served.
"""

import itertools
import sys
import tempfile
import time
from pathlib import Path

import anyio
import httpx

from plantainloft_standins.cluster import Cluster, start_cluster
from plantainloft_standins.deployments import Deployment, ServicePlan

DEFAULT_DURATION_S = 30.0
FATAL_INTERVAL_S = 0.125
BACKGROUND_INTERVAL_S = 0.005
RESTART_DELAY_S = 3.0
PROPAGATION_S = 4.0
THIRD_CRASH_INDEX = 2
FATAL_PATH = 'fatal'
DEPLOYMENT = Deployment(
    name='crashing',
    regions=('ankara', 'izmir', 'istanbul'),
    services=(
        ServicePlan(
            name='case-desk',
            per_zone=1,
            slots=8,
            service_ms=50,
            slo_ms=1000,
            fatal_path=FATAL_PATH,
        ),
    ),
    region_capacity=80,
)


class CrashLoad:
    """Sends both kinds of requests and restarts crashed endpoints."""

    def __init__(self, *, cluster: Cluster, client: httpx.AsyncClient) -> None:
        self._cluster = cluster
        self._client = client
        self._entries = itertools.cycle(cluster.entries_by_name.values())
        self._down_since: dict[str, float] = {}
        self.crashes: list[float] = []
        self.background_total = 0
        self.served = 0

    async def send_request(self, path: str) -> None:
        try:
            url = f'{next(self._entries)}/v1/forward/case-desk/{path}'
            answer = await self._client.get(url, timeout=5.0)
        except httpx.HTTPError:
            answer = None
        if path != FATAL_PATH:
            self.background_total += 1
            self.served += answer is not None and answer.status_code == httpx.codes.OK

    async def send(self, path: str, *, interval_s: float, seconds: float) -> None:
        async with anyio.create_task_group() as tasks:
            started_at = anyio.current_time()
            for number in range(round(seconds / interval_s)):
                await anyio.sleep_until(started_at + number * interval_s)
                tasks.start_soon(self.send_request, path or f'item{number}')

    async def restart_crashed(self) -> None:
        processes = self._cluster.processes
        while True:
            now = time.monotonic()
            for name in self._cluster.endpoints_by_name:
                if processes.by_name[name].poll() is None:
                    self._down_since.pop(name, None)
                elif name not in self._down_since:
                    self._down_since[name] = now
                    self.crashes.append(now)
                elif now - self._down_since[name] >= RESTART_DELAY_S:
                    processes.respawn(name)
            await anyio.sleep(0.02)


async def run_load(cluster: Cluster, seconds: float) -> CrashLoad:
    limits = httpx.Limits(max_connections=1000)
    async with httpx.AsyncClient(limits=limits) as client, anyio.create_task_group() as tasks:
        load = CrashLoad(cluster=cluster, client=client)
        tasks.start_soon(load.restart_crashed)
        async with anyio.create_task_group() as senders:
            senders.start_soon(
                lambda: load.send(FATAL_PATH, interval_s=FATAL_INTERVAL_S, seconds=seconds)
            )
            senders.start_soon(
                lambda: load.send('', interval_s=BACKGROUND_INTERVAL_S, seconds=seconds)
            )
        tasks.cancel_scope.cancel()
    return load


def main() -> None:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_DURATION_S
    with tempfile.TemporaryDirectory() as work_dir:
        cluster = start_cluster(DEPLOYMENT, work_dir=Path(work_dir))
        try:
            load = anyio.run(run_load, cluster, seconds)
        finally:
            cluster.processes.stop_all()
    crashes = load.crashes
    late_crashes = [
        at for at in crashes[THIRD_CRASH_INDEX:] if at > crashes[THIRD_CRASH_INDEX] + PROPAGATION_S
    ]
    print(
        f'endpoints crashed: {len(crashes)}, '
        f'later than {PROPAGATION_S:g} s after the third: {len(late_crashes)}'
    )
    print(
        f'background requests served: {load.served / max(1, load.background_total):.3f} '
        f'of {load.background_total}'
    )


if __name__ == '__main__':
    main()
