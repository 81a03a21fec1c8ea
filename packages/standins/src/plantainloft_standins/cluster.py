"""Starts a whole deployment on loopback as separate processes.

Starts the table service and the endpoints, commits version 1 of the configuration,
then starts the entry instances and waits until each has applied version 1 and sees
all others.
"""

import time
from pathlib import Path
from typing import NamedTuple

import anyio
import httpx

from plantainloft_core.commits import commit_patch
from plantainloft_core.outcomes import Committed
from plantainloft_core.table_client import TableClient
from plantainloft_standins.deployments import (
    Deployment,
    initial_patch,
    planned_endpoints,
)
from plantainloft_standins.processes import Processes, free_port

__all__ = ['Cluster', 'start_cluster']

WAIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
TABLE_TIMEOUT_S = 2.0
SEED_COUNT = 3


class Cluster:
    """Processes and URLs of a running deployment, by process name."""

    def __init__(self, *, processes: Processes, table_url: str) -> None:
        self.processes = processes
        self.table_url = table_url
        self.entries_by_name: dict[str, str] = {}
        self.endpoints_by_name: dict[str, str] = {}


class EntryPlan(NamedTuple):
    """Where one entry instance runs."""

    name: str
    region: str
    zone: str


def _node_ini(
    plan: EntryPlan, *, port: int, peer_port: int, seeds: list[str], table_url: str, policy: str
) -> str:
    address = f'127.0.0.1:{port}'
    return '\n'.join(
        (
            '[node]',
            f'name = {plan.name}',
            f'region = {plan.region}',
            f'zone = {plan.zone}',
            f'listen = {address}',
            f'advertise = http://{address}',
            '[platform]',
            f'table_url = {table_url}',
            '[steering]',
            f'policy = {policy}',
            '[peers]',
            f'listen = 127.0.0.1:{peer_port}',
            f'seeds = {",".join(seeds)}',
            '',
        )
    )


def _commit_version_one(table_url: str, patch: list[dict[str, object]]) -> None:
    async def commit() -> None:
        client = TableClient(base_url=table_url, timeout_s=TABLE_TIMEOUT_S)
        outcome = await commit_patch(
            client,
            base_version=0,
            patch=patch,
            author='bring-up',
            change_id='bring-up-1',
        )
        await client.close()
        if not isinstance(outcome, Committed):
            raise RuntimeError(f'version 1 was not committed: {outcome}')

    anyio.run(commit)


def wait_for_version(url: str, version: int) -> None:
    """Wait until the entry instance at ``url`` has applied ``version`` or a later one."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline:
        if httpx.get(f'{url}/v1/status', timeout=1.0).json()['version'] >= version:
            return
        time.sleep(POLL_INTERVAL_S)
    raise RuntimeError(f'{url} did not apply version {version} within {WAIT_TIMEOUT_S:g} s')


def wait_for_members(url: str, names: set[str]) -> None:
    """Wait until the entry instance at ``url`` lists all of ``names`` as members."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline:
        if set(httpx.get(f'{url}/v1/status', timeout=1.0).json()['members']) >= names:
            return
        time.sleep(POLL_INTERVAL_S)
    raise RuntimeError(f'{url} did not list all of {sorted(names)} within {WAIT_TIMEOUT_S:g} s')


def _start_endpoints(cluster: Cluster, deployment: Deployment) -> None:
    for name, plan in planned_endpoints(deployment):
        port = free_port()
        cluster.processes.spawn(
            name,
            [
                'plantainloft_standins',
                'endpoint',
                '--name',
                name,
                '--bind',
                f'127.0.0.1:{port}',
                '--slots',
                str(plan.slots),
                '--service-ms',
                str(plan.service_ms),
                '--fatal-path',
                plan.fatal_path,
            ],
        )
        cluster.endpoints_by_name[name] = f'http://127.0.0.1:{port}'
    for name, url in cluster.endpoints_by_name.items():
        cluster.processes.wait_ready(name, f'{url}/load')


def _start_entries(
    cluster: Cluster,
    deployment: Deployment,
    *,
    work_dir: Path,
    entries_per_zone: int,
    policy: str,
) -> None:
    zones = [(region, zone) for region in deployment.regions for zone in deployment.zones(region)]
    plans = [
        EntryPlan(name=f'entry-{zone}-{index}', region=region, zone=zone)
        for region, zone in zones
        for index in range(entries_per_zone)
    ]
    peer_ports = [free_port() for _ in plans]
    seeds = [f'127.0.0.1:{peer_port}' for peer_port in peer_ports[:SEED_COUNT]]
    for entry, peer_port in zip(plans, peer_ports, strict=True):
        port = free_port()
        ini = work_dir / f'{entry.name}.ini'
        text = _node_ini(
            entry,
            port=port,
            peer_port=peer_port,
            seeds=seeds,
            table_url=cluster.table_url,
            policy=policy,
        )
        ini.write_text(text, encoding='utf-8')
        cluster.processes.spawn(entry.name, ['plantainloft_node', 'run', '--settings', str(ini)])
        cluster.entries_by_name[entry.name] = f'http://127.0.0.1:{port}'
    for name, url in cluster.entries_by_name.items():
        cluster.processes.wait_ready(name, f'{url}/v1/status')
    for url in cluster.entries_by_name.values():
        wait_for_version(url, 1)
        wait_for_members(url, set(cluster.entries_by_name))


def _start_processes(
    cluster: Cluster, deployment: Deployment, *, work_dir: Path, entries_per_zone: int, policy: str
) -> None:
    cluster.processes.start(
        'table',
        ['plantainloft_standins', 'table', '--bind', cluster.table_url.removeprefix('http://')],
        ready_url=f'{cluster.table_url}/stats',
    )
    _start_endpoints(cluster, deployment)
    patch = initial_patch(
        deployment,
        endpoint_addresses=cluster.endpoints_by_name,
        entries_per_zone=entries_per_zone,
    )
    _commit_version_one(cluster.table_url, patch)
    _start_entries(
        cluster, deployment, work_dir=work_dir, entries_per_zone=entries_per_zone, policy=policy
    )


def start_cluster(
    deployment: Deployment,
    *,
    work_dir: Path,
    entries_per_zone: int = 1,
    policy: str = 'headroom',
) -> Cluster:
    """Start ``deployment``; the caller stops it with ``processes.stop_all``."""
    processes = Processes(log_dir=work_dir)
    table_address = f'127.0.0.1:{free_port()}'
    cluster = Cluster(processes=processes, table_url=f'http://{table_address}')
    try:
        _start_processes(
            cluster, deployment, work_dir=work_dir, entries_per_zone=entries_per_zone, policy=policy
        )
    except Exception:
        # Don't leave a partial deployment running: it would slow down whatever is
        # started next.
        processes.stop_all()
        raise
    return cluster
