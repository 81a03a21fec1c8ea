"""What the control plane costs as the number of entry instances grows.

Run: ``.venv/bin/python bench/fleet.py [NODES ...]`` (12, 48, 96). Starts the
table stand-in and that many entry instances as processes (no endpoints:
control only), lets them settle, then prints for an idle window the
processor share, memory and peer bytes per node and the table's calls a
second; then, from the nodes' own logs, how long each of several commits
took to be in force on every node, and how long a killed instance was
still believed alive by the last node.
"""

import datetime
import re
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path

import anyio
import httpx
from processes import cpu_seconds, resident_mb

from plantainloft_core.committing import commit_patch
from plantainloft_core.outcomes import Committed
from plantainloft_core.table_client import TableClient
from plantainloft_standins.cluster import Cluster, bring_up
from plantainloft_standins.deployments import Deployment

SETTLE_S = 8.0
WINDOW_S = 15.0
COMMITS = 5
FLEET = Deployment(name='fleet', regions=('ankara', 'izmir'), services=(), region_capacity=100)


def peer_bytes(cluster: Cluster) -> int:
    """Return bytes sent and received by the first node so far."""
    url = next(iter(cluster.entries_by_name.values()))
    counted = httpx.get(f'{url}/v1/status', timeout=5).json()['peer_bytes']
    return int(counted['sent'] + counted['received'])


def table_calls(cluster: Cluster) -> dict[str, int]:
    """Return the table's reads and writes so far."""
    counted: dict[str, int] = httpx.get(f'{cluster.table_url}/stats', timeout=5).json()
    return counted


def idle_cost(cluster: Cluster) -> None:
    """Print what one node and the table spend while nothing happens."""
    pids = [cluster.processes.by_name[name].pid for name in cluster.entries_by_name]
    before = [cpu_seconds(pid) for pid in pids]
    bytes_before = peer_bytes(cluster)
    calls_before = table_calls(cluster)
    time.sleep(WINDOW_S)
    shares = [(cpu_seconds(pid) - was) / WINDOW_S for pid, was in zip(pids, before, strict=True)]
    calls = table_calls(cluster)
    print(
        f'nodes={len(pids)} cpu_share_median={statistics.median(shares):.4f} '
        f'cpu_share_max={max(shares):.4f} '
        f'resident_mb={statistics.median(resident_mb(pid) for pid in pids):.0f} '
        f'peer_bytes_per_s={(peer_bytes(cluster) - bytes_before) / WINDOW_S:.0f} '
        f'table_reads_per_s={(calls["reads"] - calls_before["reads"]) / WINDOW_S:.1f} '
        f'table_writes_per_s={(calls["writes"] - calls_before["writes"]) / WINDOW_S:.2f}'
    )


def commit(cluster: Cluster, against: int) -> None:
    """Commit one more client block."""

    async def work() -> None:
        client = TableClient(base_url=cluster.table_url, timeout_s=5)
        block = {'op': 'add', 'path': f'/client_blocks/c{against}', 'value': {'zone': 'izmir-a'}}
        outcome = await commit_patch(
            client, against=against, patch=[block], author='bench', change_id=f'c{against}'
        )
        await client.close()
        if not isinstance(outcome, Committed):
            raise SystemExit(f'not committed: {outcome}')

    anyio.run(work)


def log_times(work_dir: Path, sentence: str) -> list[float]:
    """Return when each entry instance first logged ``sentence`` (Unix time)."""
    stamp = re.compile(r'^(\S+ \S+),(\d+) \S+ ' + re.escape(sentence))
    times = []
    for log_file in work_dir.glob('entry-*.log'):
        for line in log_file.read_text(encoding='utf-8').splitlines():
            found = stamp.match(line)
            if found:
                at = datetime.datetime.strptime(found[1], '%Y-%m-%d %H:%M:%S')
                times.append(at.timestamp() + int(found[2]) / 1000)
                break
    return times


def spread(cluster: Cluster, work_dir: Path) -> None:
    """Print how long commits and a death take to be known everywhere."""
    nodes = len(cluster.entries_by_name)
    lasts = []
    for against in range(1, COMMITS + 1):
        started = time.time()
        commit(cluster, against)
        time.sleep(4)
        times = log_times(work_dir, f'Config: version {against + 1} in force.')
        if len(times) != nodes:
            print(f'version {against + 1} in force on {len(times)} of {nodes} nodes only')
        lasts.append(max(times) - started)
    print(
        f'nodes={nodes} commits={COMMITS} in_force_everywhere_s '
        f'median={statistics.median(lasts):.2f} worst={max(lasts):.2f}'
    )
    victim = next(iter(cluster.entries_by_name))
    started = time.time()
    cluster.processes.signal(victim, signal.SIGKILL)
    time.sleep(6)
    suspected = log_times(work_dir, f'Membership: {victim} is suspect.')
    dead = log_times(work_dir, f'Membership: {victim} is dead.')
    known = suspected if len(suspected) >= len(dead) else dead
    print(
        f'nodes={nodes} killed: out of look-ups on {len(known)} of {nodes - 1} others, '
        f'first after {min(known) - started:.2f} s, last after {max(known) - started:.2f} s'
    )


def main() -> None:
    """Measure each fleet size in turn."""
    for nodes in [int(word) for word in sys.argv[1:]] or [12, 48, 96]:
        work_dir = Path(tempfile.mkdtemp())
        cluster = bring_up(FLEET, work_dir=work_dir, entries_per_zone=nodes // 4)
        try:
            time.sleep(SETTLE_S)
            idle_cost(cluster)
            spread(cluster, work_dir)
        finally:
            cluster.processes.stop_all()


if __name__ == '__main__':
    main()
