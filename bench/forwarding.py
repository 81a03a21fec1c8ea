"""Look-ups per second per core, and the latency a node adds.

Run: ``.venv/bin/python bench/forwarding.py``. Brings up the karaduman
deployment on loopback, then from this process: sends look-ups to one
entry instance and reads that process's processor time from /proc, and
times requests sent straight to an endpoint against the same requests
through the entry instance, one at a time. Prints p50 and p99 in ms.
"""

import tempfile
import time
from pathlib import Path

import httpx
from hdrh.histogram import HdrHistogram
from processes import cpu_seconds

from plantainloft_standins.cluster import bring_up
from plantainloft_standins.deployments import DEPLOYMENTS

LOOKUPS = 3000
REQUESTS = 1000
US = 1_000_000
MAX_US = 10 * US


def timed(http: httpx.Client, url: str, *, count: int) -> HdrHistogram:
    """Send ``count`` GETs to ``url`` one at a time; return latencies."""
    histogram = HdrHistogram(1, MAX_US, 3)
    for _ in range(count):
        started = time.perf_counter()
        http.get(url).raise_for_status()
        histogram.record_value(max(1, int((time.perf_counter() - started) * US)))
    return histogram


def report(name: str, histogram: HdrHistogram) -> None:
    """Print p50 and p99 of ``histogram`` in ms."""
    p50 = histogram.get_value_at_percentile(50) / 1000
    p99 = histogram.get_value_at_percentile(99) / 1000
    print(f'{name} p50_ms={p50:.2f} p99_ms={p99:.2f}')


def main() -> None:
    """Bring up, measure, tear down."""
    cluster = bring_up(DEPLOYMENTS['karaduman'], work_dir=Path(tempfile.mkdtemp()))
    try:
        entry = cluster.entries_by_name['entry-istanbul-a-0']
        pid = cluster.processes.by_name['entry-istanbul-a-0'].pid
        endpoint = cluster.endpoints_by_name['case-desk-istanbul-a-0']
        with httpx.Client() as http:
            before = cpu_seconds(pid)
            started = time.perf_counter()
            timed(http, f'{entry}/v1/lookup?client_block=block-istanbul-a', count=LOOKUPS)
            wall = time.perf_counter() - started
            used = cpu_seconds(pid) - before
            print(
                f'lookups={LOOKUPS} node_cpu_s={used:.2f} wall_s={wall:.2f} '
                f'lookups_per_core_s={LOOKUPS / used:.0f}'
            )
            report('direct', timed(http, f'{endpoint}/work/x', count=REQUESTS))
            report('through_node', timed(http, f'{entry}/v1/forward/case-desk/x', count=REQUESTS))
    finally:
        cluster.processes.stop_all()


if __name__ == '__main__':
    main()
