"""Demo: starts a deployment, sends traffic and reports latency and headroom."""

import logging
import tempfile
from pathlib import Path
from typing import Any

import anyio
import httpx
from hdrh.histogram import HdrHistogram

from plantainloft_ctl.burn import compute_burn_rates, format_burn
from plantainloft_standins.cluster import Cluster, start_cluster
from plantainloft_standins.deployments import DEPLOYMENTS, Deployment
from plantainloft_standins.traffic import Reply, send_requests

Status = dict[str, Any]

__all__ = ['run_demo']

log = logging.getLogger(__name__)

US_PER_S = 1_000_000
MAX_US = 60 * US_PER_S
MEDIAN_PERCENTILE = 50
TAIL_PERCENTILE = 99
US_PER_MS = 1000
SIGNIFICANT_FIGURES = 3
PROGRESS_INTERVAL = 100


def _latency_line(service: str, replies: list[Reply]) -> str:
    histogram = HdrHistogram(1, MAX_US, SIGNIFICANT_FIGURES)
    for reply in replies:
        histogram.record_value(max(1, int(reply.seconds * US_PER_S)))
    p50 = histogram.get_value_at_percentile(MEDIAN_PERCENTILE) / US_PER_MS
    p99 = histogram.get_value_at_percentile(TAIL_PERCENTILE) / US_PER_MS
    intact = 'yes' if all(reply.body_intact for reply in replies) else 'NO'
    return f'{service:<16}{len(replies):>10}{p50:>9.2f}{p99:>9.2f}{intact:>7}'


def _latency_lines(replies: list[Reply]) -> list[str]:
    lines = [f'{"service":<16}{"requests":>10}{"p50 ms":>9}{"p99 ms":>9}{"whole":>7}']
    for service in sorted({reply.service for reply in replies}):
        lines.append(
            _latency_line(service, [reply for reply in replies if reply.service == service])
        )
    return lines


def _headroom_lines(statuses: list[Status]) -> list[str]:
    """Return each region's headroom, the lowest that any entry instance reports."""
    regions = sorted({region for status in statuses for region in status['headroom_by_region']})
    lines = []
    for region in regions:
        min_headroom = min(status['headroom_by_region'].get(region, 0.0) for status in statuses)
        lines.append(f'{region:<16}{min_headroom:>10.0%}')
    return lines


def _send_traffic(
    cluster: Cluster,
    deployment: Deployment,
    *,
    count: int,
    concurrency: int,
) -> tuple[list[Reply], list[Status]]:
    entries = list(cluster.entries_by_name.values())
    blocks = [f'block-{zone}' for region in deployment.regions for zone in deployment.zones(region)]
    services = [plan.name for plan in deployment.services]

    async def send() -> list[Reply]:
        return await send_requests(
            entries,
            services=services,
            blocks=blocks,
            count=count,
            concurrency=concurrency,
            on_reply=log_progress,
        )

    def log_progress(number: int) -> None:
        if number % PROGRESS_INTERVAL == 0:
            log.info('Demo: %d of %d requests answered.', number, count)

    replies = anyio.run(send)
    statuses = [httpx.get(f'{url}/v1/status').json() for url in entries]
    return replies, statuses


def run_demo(deployment_name: str, *, count: int, concurrency: int) -> str:
    """Run the demo of one deployment; return the report as text."""
    deployment = DEPLOYMENTS[deployment_name]
    work_dir = Path(tempfile.mkdtemp(prefix='plantainloft-demo-'))
    log.info('Demo: starting the processes of %s, logs in %s.', deployment.name, work_dir)
    cluster = start_cluster(deployment, work_dir=work_dir, entries_per_zone=2)
    try:
        replies, statuses = _send_traffic(cluster, deployment, count=count, concurrency=concurrency)
    finally:
        log.info('Demo: stopping the processes.')
        cluster.processes.stop_all()
    lines = [
        f'deployment {deployment.name}: {len(cluster.entries_by_name)} entry instances, '
        + f'{len(cluster.endpoints_by_name)} endpoints, logs in {work_dir}',
        '',
        *_latency_lines(replies),
        '',
        f'{"region":<16}{"headroom":>10}',
        *_headroom_lines(statuses),
        '',
        'service-level burn (objective: 99.9 % served):',
        format_burn(compute_burn_rates(statuses)),
    ]
    return '\n'.join(lines)
