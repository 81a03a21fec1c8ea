"""One request that crashes endpoints, again and again, beside other requests.

    .venv/bin/python bench/crashing.py [SECONDS]

Six entry instances of the product's own interface and six endpoints as processes
on loopback. Prints how often the fatal request reached an endpoint, how often
later than the time of contact after its third crash, and the part of the other
requests that were served.
"""

import itertools
import sys
import tempfile
import time
from pathlib import Path

import anyio
import httpx

from plantainloft_standins.cluster import Cluster, bring_up
from plantainloft_standins.deployments import Deployment, ServicePlan

DEFAULT_S = 30.0
FATAL_EVERY_S = 0.125
OTHERS_EVERY_S = 0.005
DOWN_S = 3.0
CONTACT_S = 4.0
THIRD = 2
FATAL = 'fatal'
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
            fatal_path=FATAL,
        ),
    ),
    region_capacity=80,
)


class Play:
    """Sends both kinds of requests and starts endpoints that ended again."""

    def __init__(self, *, cluster: Cluster, client: httpx.AsyncClient) -> None:
        self._cluster = cluster
        self._client = client
        self._entries = itertools.cycle(cluster.entries_by_name.values())
        self._down_since: dict[str, float] = {}
        self.crashes: list[float] = []
        self.others = 0
        self.served = 0

    async def ask(self, path: str) -> None:
        try:
            url = f'{next(self._entries)}/v1/forward/case-desk/{path}'
            answer = await self._client.get(url, timeout=5.0)
        except httpx.HTTPError:
            answer = None
        if path != FATAL:
            self.others += 1
            self.served += answer is not None and answer.status_code == httpx.codes.OK

    async def send(self, path: str, *, every_s: float, seconds: float) -> None:
        async with anyio.create_task_group() as tasks:
            begin = anyio.current_time()
            for number in range(round(seconds / every_s)):
                await anyio.sleep_until(begin + number * every_s)
                tasks.start_soon(self.ask, path or f'item{number}')

    async def revive(self) -> None:
        processes = self._cluster.processes
        while True:
            now = time.monotonic()
            for name in self._cluster.endpoints_by_name:
                if processes.by_name[name].poll() is None:
                    self._down_since.pop(name, None)
                elif name not in self._down_since:
                    self._down_since[name] = now
                    self.crashes.append(now)
                elif now - self._down_since[name] >= DOWN_S:
                    processes.spawn_again(name)
            await anyio.sleep(0.02)


async def play(cluster: Cluster, seconds: float) -> Play:
    limits = httpx.Limits(max_connections=1000)
    async with httpx.AsyncClient(limits=limits) as client, anyio.create_task_group() as tasks:
        played = Play(cluster=cluster, client=client)
        tasks.start_soon(played.revive)
        async with anyio.create_task_group() as sending:
            sending.start_soon(lambda: played.send(FATAL, every_s=FATAL_EVERY_S, seconds=seconds))
            sending.start_soon(lambda: played.send('', every_s=OTHERS_EVERY_S, seconds=seconds))
        tasks.cancel_scope.cancel()
    return played


def main() -> None:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_S
    with tempfile.TemporaryDirectory() as work_dir:
        cluster = bring_up(DEPLOYMENT, work_dir=Path(work_dir))
        try:
            played = anyio.run(play, cluster, seconds)
        finally:
            cluster.processes.stop_all()
    crashes = played.crashes
    late = [at for at in crashes[THIRD:] if at > crashes[THIRD] + CONTACT_S]
    print(
        f'endpoints ended: {len(crashes)}, later than {CONTACT_S:g} s after the third: {len(late)}'
    )
    print(f'others served: {played.served / max(1, played.others):.3f} of {played.others}')


if __name__ == '__main__':
    main()
