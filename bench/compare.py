"""The headroom steering policy compared with the nearest-endpoint baseline.

Run: ``.venv/bin/python bench/compare.py [karaduman|spotterline ...]``.
Runs each deployment (12 entry instances, about 40 endpoints) with each policy
under a steady load in which one region's callers send twice as much as the
others. One endpoint begins to drain on its own and another one is killed.
Prints latency per service, the lowest sampled headroom of any region (free
slots over slots), how long the draining endpoint was still sent requests, and
how many requests were refused, lost (neither answered nor refused nor reported
as unknown), run twice or answered with a wrong body. Then prints the largest
fraction of a service's requests that changed region between two adjacent 10 s
windows.
"""

import collections
import random
import signal
import sys
import tempfile
import time
import uuid
from pathlib import Path
from typing import Any, NamedTuple

import anyio
import httpx
from hdrh.histogram import HdrHistogram

from plantainloft_standins.cluster import Cluster, start_cluster
from plantainloft_standins.deployments import FULL_DEPLOYMENTS, Deployment

DURATION_S = 30
RATE_PER_S = 45
WINDOW_S = 10
DRAIN_AT_S = 8
KILL_AT_S = 16
SAMPLE_INTERVAL_S = 1.0
US_PER_S = 1_000_000
POST_FRACTION = 0.3


class Sent(NamedTuple):
    """One request: when it was sent, and its outcome."""

    at: float
    service: str
    outcome: str
    region: str
    seconds: float
    body_intact: bool


class PolicyRun:
    """One policy on one deployment."""

    def __init__(self, *, cluster: Cluster, deployment: Deployment) -> None:
        self.cluster = cluster
        self.deployment = deployment
        self.sent: list[Sent] = []
        self.min_headroom = 1.0
        self.keys: set[str] = set()
        self.started = time.monotonic()

    async def drive(self) -> None:
        """Send the load, cause the failures and sample headroom."""
        limits = httpx.Limits(max_connections=400)
        async with httpx.AsyncClient(timeout=10, limits=limits) as http:
            entries_by_zone = await self._look_up_entries(http)
            self.started = time.monotonic()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._cause_failures, http)
                tasks.start_soon(self._sample_headroom, http)
                await self._send_load(http, entries_by_zone)
                tasks.cancel_scope.cancel()

    async def _look_up_entries(self, http: httpx.AsyncClient) -> dict[str, list[str]]:
        entry_url = next(iter(self.cluster.entries_by_name.values()))
        entries_by_zone = {}
        for region in self.deployment.regions:
            for zone in self.deployment.zones(region):
                query = {'client_block': f'block-{zone}'}
                answer = await http.get(f'{entry_url}/v1/lookup', params=query)
                entries_by_zone[zone] = answer.json()['entry_instances'][:2]
        return entries_by_zone

    async def _send_load(
        self, http: httpx.AsyncClient, entries_by_zone: dict[str, list[str]]
    ) -> None:
        rng = random.Random(11)
        zones = list(entries_by_zone)
        weighted_zones = zones[:2] * 2 + zones[2:]
        services = [plan.name for plan in self.deployment.services]
        weights = [plan.per_zone for plan in self.deployment.services]
        async with anyio.create_task_group() as tasks:
            for index in range(DURATION_S * RATE_PER_S):
                await anyio.sleep(max(0, self.started + index / RATE_PER_S - time.monotonic()))
                entry = rng.choice(entries_by_zone[rng.choice(weighted_zones)])
                service = rng.choices(services, weights)[0]
                post = rng.random() < POST_FRACTION
                tasks.start_soon(self._send_request, http, entry, service, post, f'body-{index}')

    async def _send_request(
        self, http: httpx.AsyncClient, entry: str, service: str, post: bool, body: str
    ) -> None:
        at = time.monotonic() - self.started
        key = uuid.uuid4().hex
        headers = {'idempotency-key': key} if post else {}
        method = 'POST' if post else 'GET'
        url = f'{entry}/v1/forward/{service}/item'
        try:
            answer = await http.request(method, url, content=body, headers=headers)
        except httpx.HTTPError:
            self.sent.append(Sent(at, service, 'lost', '', 0.0, False))
            return
        outcome = answer.headers.get('x-plantainloft-outcome', 'lost')
        endpoint = answer.headers.get('x-plantainloft-endpoint', '')
        region = self._region_of(endpoint) if endpoint else ''
        body_intact = outcome != 'served' or answer.json().get('echo') == body
        seconds = time.monotonic() - self.started - at
        self.sent.append(Sent(at, service, outcome, region, seconds, body_intact))

    async def _cause_failures(self, http: httpx.AsyncClient) -> None:
        await anyio.sleep(DRAIN_AT_S)
        await http.post(f'{self.draining_url()}/drain')
        await anyio.sleep(KILL_AT_S - DRAIN_AT_S)
        self.cluster.processes.signal(self.killed_endpoint(), signal.SIGKILL)

    async def _sample_headroom(self, http: httpx.AsyncClient) -> None:
        while True:
            used: collections.Counter[str] = collections.Counter()
            slots: collections.Counter[str] = collections.Counter()
            async with anyio.create_task_group() as tasks:
                for name, url in self.cluster.endpoints_by_name.items():
                    tasks.start_soon(self._add_usage, http, name, url, used, slots)
            for region, total in slots.items():
                self.min_headroom = min(self.min_headroom, 1 - used[region] / total)
            await anyio.sleep(SAMPLE_INTERVAL_S)

    async def _add_usage(
        self,
        http: httpx.AsyncClient,
        name: str,
        url: str,
        used: collections.Counter[str],
        slots: collections.Counter[str],
    ) -> None:
        try:
            executions = (await http.get(f'{url}/executions', timeout=2)).json()
        except httpx.HTTPError:
            return
        region = self._region_of(name)
        used[region] += executions['inflight']
        slots[region] += executions['slots']

    def _region_of(self, endpoint: str) -> str:
        service = next(p.name for p in self.deployment.services if endpoint.startswith(p.name))
        return endpoint.removeprefix(f'{service}-').rsplit('-', 2)[0]

    def draining_url(self) -> str:
        """Return the URL of the endpoint that drains on its own."""
        return next(iter(self.cluster.endpoints_by_name.values()))

    def killed_endpoint(self) -> str:
        """Return the name of the endpoint that is killed."""
        return list(self.cluster.endpoints_by_name)[2]

    def duplicate_runs(self) -> int:
        """Return how many idempotency keys ran more than once."""
        runs: collections.Counter[str] = collections.Counter()
        for name, url in self.cluster.endpoints_by_name.items():
            if name != self.killed_endpoint():
                runs.update(httpx.get(f'{url}/executions', timeout=5).json()['runs_by_key'])
        runs.pop('', None)
        return sum(count > 1 for count in runs.values())


def largest_shift(sent: list[Sent], service: str) -> float:
    """Return the largest fraction that changed region between adjacent windows."""
    served = [one for one in sent if one.service == service and one.region]
    largest = 0.0
    for boundary in range(WINDOW_S, DURATION_S - WINDOW_S + 1):
        before = [one.region for one in served if boundary - WINDOW_S <= one.at < boundary]
        after = [one.region for one in served if boundary <= one.at < boundary + WINDOW_S]
        before_counts, after_counts = collections.Counter(before), collections.Counter(after)
        lost_fractions = (
            before_counts[name] / len(before) - after_counts[name] / len(after)
            for name in before_counts
        )
        largest = max(largest, sum(max(0.0, fraction) for fraction in lost_fractions))
    return largest


def report(policy: str, run: PolicyRun) -> None:
    """Print the results of one run."""
    outcomes = collections.Counter(one.outcome for one in run.sent)
    executions: dict[str, Any] = httpx.get(f'{run.draining_url()}/executions', timeout=5).json()
    print(
        f'{run.deployment.name} {policy}: sent={len(run.sent)} served={outcomes["served"]} '
        f'refused={outcomes["refused"]} unknown={outcomes["unknown"]} lost={outcomes["lost"]} '
        f'run_twice={run.duplicate_runs()} '
        f'wrong_body={sum(not one.body_intact for one in run.sent)} '
        f'least_headroom={run.min_headroom:.2f} '
        f'drain_offered_s={executions["offered_after_drain_s"]:.2f} '
        f'drain_refusals={executions["refused_draining"]}'
    )
    for plan in run.deployment.services:
        latency_histogram = HdrHistogram(1, 60 * US_PER_S, 3)
        for one in run.sent:
            if one.service == plan.name and one.outcome == 'served':
                latency_histogram.record_value(max(1, int(one.seconds * US_PER_S)))
        print(
            f'  {plan.name}: p50_ms={latency_histogram.get_value_at_percentile(50) / 1000:.1f} '
            f'p99_ms={latency_histogram.get_value_at_percentile(99) / 1000:.1f} '
            f'largest_shift_10s={largest_shift(run.sent, plan.name):.3f}'
        )


def main() -> None:
    """Compare both policies on each deployment."""
    for name in sys.argv[1:] or list(FULL_DEPLOYMENTS):
        for policy in ('headroom', 'nearest'):
            deployment = FULL_DEPLOYMENTS[name]
            cluster = start_cluster(
                deployment, work_dir=Path(tempfile.mkdtemp()), entries_per_zone=2, policy=policy
            )
            try:
                run = PolicyRun(cluster=cluster, deployment=deployment)
                anyio.run(run.drive)
                report(policy, run)
            finally:
                cluster.processes.stop_all()


if __name__ == '__main__':
    main()
