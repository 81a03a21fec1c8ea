"""Look-ups per second per core, and the latency that a node adds.

Run: ``.venv/bin/python bench/forwarding.py``. Starts the karaduman deployment on
loopback, sends look-ups to one entry instance and reads its CPU time from /proc.
Then sends requests one at a time, directly to an endpoint and through the entry
instance, and prints p50 and p99 of both in ms.
"""

import tempfile
import time
from pathlib import Path

import httpx
from hdrh.histogram import HdrHistogram
from processes import cpu_seconds

from plantainloft_standins.cluster import start_cluster
from plantainloft_standins.deployments import DEPLOYMENTS

LOOKUPS = 3000
REQUESTS = 1000
US_PER_S = 1_000_000
MAX_US = 10 * US_PER_S


def measure_latency(http: httpx.Client, url: str, *, count: int) -> HdrHistogram:
    """Send ``count`` GET requests one at a time; return a histogram of latencies."""
    histogram = HdrHistogram(1, MAX_US, 3)
    for _ in range(count):
        started = time.perf_counter()
        http.get(url).raise_for_status()
        histogram.record_value(max(1, int((time.perf_counter() - started) * US_PER_S)))
    return histogram


def report(name: str, histogram: HdrHistogram) -> None:
    """Print p50 and p99 of ``histogram`` in ms."""
    p50 = histogram.get_value_at_percentile(50) / 1000
    p99 = histogram.get_value_at_percentile(99) / 1000
    print(f'{name} p50_ms={p50:.2f} p99_ms={p99:.2f}')


def main() -> None:
    """Start the deployment, measure, and stop it."""
    cluster = start_cluster(DEPLOYMENTS['karaduman'], work_dir=Path(tempfile.mkdtemp()))
    try:
        entry = cluster.entries_by_name['entry-istanbul-a-0']
        pid = cluster.processes.by_name['entry-istanbul-a-0'].pid
        endpoint = cluster.endpoints_by_name['case-desk-istanbul-a-0']
        with httpx.Client() as http:
            cpu_before = cpu_seconds(pid)
            started = time.perf_counter()
            measure_latency(http, f'{entry}/v1/lookup?client_block=block-istanbul-a', count=LOOKUPS)
            wall_s = time.perf_counter() - started
            cpu_s = cpu_seconds(pid) - cpu_before
            print(
                f'lookups={LOOKUPS} node_cpu_s={cpu_s:.2f} wall_s={wall_s:.2f} '
                f'lookups_per_core_s={LOOKUPS / cpu_s:.0f}'
            )
            report('direct', measure_latency(http, f'{endpoint}/work/x', count=REQUESTS))
            report(
                'through_node',
                measure_latency(http, f'{entry}/v1/forward/case-desk/x', count=REQUESTS),
            )
    finally:
        cluster.processes.stop_all()


if __name__ == '__main__':
    main()
