"""The product's own interface keeps the request limits that endpoints name."""

import itertools
import time
from collections.abc import Iterator
from pathlib import Path

import anyio
import httpx
import pytest

from plantainloft_standins.cluster import Cluster, start_cluster
from plantainloft_standins.deployments import Deployment, ServicePlan

# Eight entry instances in front of four endpoints.
EIGHT = Deployment(
    name='eight',
    regions=('ankara', 'izmir'),
    services=(ServicePlan(name='case-desk', per_zone=1, slots=20, service_ms=20, slo_ms=1000),),
    region_capacity=200,
)
LIMIT_PER_S = 3.0
REQUESTS_PER_S = 80.0
CONTACT_S = 4.0
BOUND_WINDOW_S = 4.0
MAX_IN_WINDOW = 23
MIN_USED_FRACTION = 0.8
OBSERVED_S = 10.0


@pytest.fixture
def eight_instances(tmp_path: Path) -> Iterator[Cluster]:
    cluster = start_cluster(EIGHT, work_dir=tmp_path, entries_per_zone=2)
    yield cluster
    cluster.processes.stop_all()


async def send_requests(cluster: Cluster, *, seconds: float) -> list[httpx.Response]:
    """Send requests to each instance in turn and return the responses."""
    responses: list[httpx.Response] = []
    urls = itertools.cycle(cluster.entries_by_name.values())

    async def send(url: str, number: int) -> None:
        responses.append(await client.get(f'{url}/v1/forward/case-desk/{number}'))

    async with httpx.AsyncClient(timeout=10) as client, anyio.create_task_group() as tasks:
        end_at = time.monotonic() + seconds
        for number in itertools.count():
            if time.monotonic() >= end_at:
                break
            tasks.start_soon(send, next(urls), number)
            await anyio.sleep(1 / REQUESTS_PER_S)
    return responses


def arrivals_s_ago(cluster: Cluster, endpoint: str) -> list[float]:
    url = cluster.endpoints_by_name[endpoint]
    return sorted(httpx.get(f'{url}/executions').json()['arrived_s_ago'], reverse=True)


@pytest.mark.anyio
async def test_all_nodes_together_keep_the_limit_that_an_endpoint_names(
    eight_instances: Cluster,
) -> None:
    cluster = eight_instances
    limited = next(name for name in cluster.endpoints_by_name)
    await send_requests(cluster, seconds=3.0)
    usual = len(arrivals_s_ago(cluster, limited))
    url = cluster.endpoints_by_name[limited]
    httpx.post(f'{url}/limit', params={'per_s': f'{LIMIT_PER_S:g}'})
    responses = await send_requests(cluster, seconds=CONTACT_S + OBSERVED_S)
    assert usual > 3 * LIMIT_PER_S * 3.0
    bound = [ago for ago in arrivals_s_ago(cluster, limited) if ago <= OBSERVED_S]
    most = max(sum(start - BOUND_WINDOW_S < ago <= start for ago in bound) for start in bound)
    assert most <= MAX_IN_WINDOW
    assert len(bound) >= MIN_USED_FRACTION * LIMIT_PER_S * OBSERVED_S
    assert {response.status_code for response in responses} == {200}
    limits = [response.headers.get_list('x-request-limit') for response in responses]
    assert ['3'] in limits and [] in limits
