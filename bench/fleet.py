"""Cost of the control plane as the number of entry instances grows.

Run: ``.venv/bin/python bench/fleet.py [NODES ...]`` (12, 48, 96). Starts the
table stand-in and that many entry instances as processes, without endpoints, and
lets them settle. Prints CPU share, memory and peer bytes per node and table calls
per second while idle. Then prints, from the nodes' logs, how long commits took to
be applied on every node, and how long it took until every node had noticed that an
instance was killed.
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

from plantainloft_core.commits import commit_patch
from plantainloft_core.outcomes import Committed
from plantainloft_core.table_client import TableClient
from plantainloft_standins.cluster import Cluster, start_cluster
from plantainloft_standins.deployments import Deployment

SETTLE_TIME_S = 8.0
IDLE_WINDOW_S = 15.0
COMMIT_COUNT = 5
FLEET = Deployment(name='fleet', regions=('ankara', 'izmir'), services=(), region_capacity=100)


def peer_bytes(cluster: Cluster) -> int:
    """Return the total of peer bytes sent and received by the first node."""
    url = next(iter(cluster.entries_by_name.values()))
    counters = httpx.get(f'{url}/v1/status', timeout=5).json()['peer_bytes']
    return int(counters['sent'] + counters['received'])


def table_calls(cluster: Cluster) -> dict[str, int]:
    """Return the total numbers of reads and writes of the table."""
    counters: dict[str, int] = httpx.get(f'{cluster.table_url}/stats', timeout=5).json()
    return counters


def measure_idle_cost(cluster: Cluster) -> None:
    """Print the cost per node and the table calls per second while idle."""
    pids = [cluster.processes.by_name[name].pid for name in cluster.entries_by_name]
    before = [cpu_seconds(pid) for pid in pids]
    bytes_before = peer_bytes(cluster)
    calls_before = table_calls(cluster)
    time.sleep(IDLE_WINDOW_S)
    cpu_shares = [
        (cpu_seconds(pid) - cpu_before) / IDLE_WINDOW_S
        for pid, cpu_before in zip(pids, before, strict=True)
    ]
    calls = table_calls(cluster)
    print(
        f'nodes={len(pids)} cpu_share_median={statistics.median(cpu_shares):.4f} '
        f'cpu_share_max={max(cpu_shares):.4f} '
        f'resident_mb={statistics.median(resident_mb(pid) for pid in pids):.0f} '
        f'peer_bytes_per_s={(peer_bytes(cluster) - bytes_before) / IDLE_WINDOW_S:.0f} '
        f'table_reads_per_s={(calls["reads"] - calls_before["reads"]) / IDLE_WINDOW_S:.1f} '
        f'table_writes_per_s={(calls["writes"] - calls_before["writes"]) / IDLE_WINDOW_S:.2f}'
    )


def commit(cluster: Cluster, base_version: int) -> None:
    """Commit one more client block."""

    async def commit_block() -> None:
        client = TableClient(base_url=cluster.table_url, timeout_s=5)
        block = {
            'op': 'add',
            'path': f'/client_blocks/c{base_version}',
            'value': {'zone': 'izmir-a'},
        }
        outcome = await commit_patch(
            client,
            base_version=base_version,
            patch=[block],
            author='bench',
            change_id=f'c{base_version}',
        )
        await client.close()
        if not isinstance(outcome, Committed):
            raise SystemExit(f'commit against version {base_version} failed: {outcome}')

    anyio.run(commit_block)


def log_times(work_dir: Path, message: str) -> list[float]:
    """Return when each entry instance first logged ``message`` (Unix time)."""
    line_pattern = re.compile(r'^(\S+ \S+),(\d+) \S+ ' + re.escape(message))
    times = []
    for log_file in work_dir.glob('entry-*.log'):
        for line in log_file.read_text(encoding='utf-8').splitlines():
            found = line_pattern.match(line)
            if found:
                at = datetime.datetime.strptime(found[1], '%Y-%m-%d %H:%M:%S')
                times.append(at.timestamp() + int(found[2]) / 1000)
                break
    return times


def measure_propagation(cluster: Cluster, work_dir: Path) -> None:
    """Print how long commits and a killed instance take to reach every node."""
    nodes = len(cluster.entries_by_name)
    latencies_s = []
    for base_version in range(1, COMMIT_COUNT + 1):
        started = time.time()
        commit(cluster, base_version)
        time.sleep(4)
        times = log_times(work_dir, f'Config: version {base_version + 1} in force.')
        if len(times) != nodes:
            print(f'version {base_version + 1} in force on {len(times)} of {nodes} nodes only')
        latencies_s.append(max(times) - started)
    print(
        f'nodes={nodes} commits={COMMIT_COUNT} in_force_everywhere_s '
        f'median={statistics.median(latencies_s):.2f} worst={max(latencies_s):.2f}'
    )
    killed = next(iter(cluster.entries_by_name))
    started = time.time()
    cluster.processes.signal(killed, signal.SIGKILL)
    time.sleep(6)
    suspected = log_times(work_dir, f'Membership: {killed} is suspect.')
    dead = log_times(work_dir, f'Membership: {killed} is dead.')
    noticed = suspected if len(suspected) >= len(dead) else dead
    print(
        f'nodes={nodes} killed instance noticed by {len(noticed)} of {nodes - 1} others, '
        f'first after {min(noticed) - started:.2f} s, last after {max(noticed) - started:.2f} s'
    )


def main() -> None:
    """Measure each fleet size in turn."""
    for nodes in [int(word) for word in sys.argv[1:]] or [12, 48, 96]:
        work_dir = Path(tempfile.mkdtemp())
        cluster = start_cluster(FLEET, work_dir=work_dir, entries_per_zone=nodes // 4)
        try:
            time.sleep(SETTLE_TIME_S)
            measure_idle_cost(cluster)
            measure_propagation(cluster, work_dir)
        finally:
            cluster.processes.stop_all()


if __name__ == '__main__':
    main()
