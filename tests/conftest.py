"""Shared fixtures: an in-process table service and a small deployment."""

from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import httpx
import hypothesis
import pytest
from entry_fixtures import RawEndpoint
from platform_standin import (
    ENDPOINT_TABLE,
    OPERATOR,
    EntryDeployment,
    EntryProcessHandle,
    StoreDoor,
    answer_all,
    config,
    endpoint_row,
    running_store,
)

from plantainloft_core.table_client import TableClient
from plantainloft_standins.cluster import Cluster, bring_up
from plantainloft_standins.deployments import DEPLOYMENTS, Deployment, ServicePlan
from plantainloft_standins.table import TableService, make_app

pytest_plugins = ['known_red', 'pytester']

# The same examples every run: a verdict must not change by luck.
hypothesis.settings.register_profile('same', derandomize=True, deadline=None)
hypothesis.settings.load_profile('same')


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


@pytest.fixture
def table() -> TableService:
    return TableService()


@pytest.fixture
async def client(table: TableService) -> AsyncIterator[TableClient]:
    transport = httpx.ASGITransport(app=make_app(table))
    table_client = TableClient(base_url='http://table', timeout_s=1.0, transport=transport)
    yield table_client
    await table_client.close()


@pytest.fixture(scope='module')
def karaduman(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    work_dir: Path = tmp_path_factory.mktemp('karaduman')
    cluster = bring_up(DEPLOYMENTS['karaduman'], work_dir=work_dir)
    yield cluster
    cluster.processes.stop_all()


TINY = Deployment(
    name='tiny',
    regions=('ankara', 'izmir'),
    services=(ServicePlan(name='case-desk', per_zone=1, slots=4, service_ms=200, slo_ms=1000),),
    region_capacity=40,
)


@pytest.fixture
def tiny(tmp_path: Path) -> Iterator[Cluster]:
    """Two regions, four endpoints of 200 ms, four entry instances."""
    cluster = bring_up(TINY, work_dir=tmp_path)
    yield cluster
    cluster.processes.stop_all()


@pytest.fixture
def handles(tmp_path: Path) -> Iterator[list[EntryProcessHandle]]:
    started: list[EntryProcessHandle] = []
    yield started
    for handle in started:
        handle.kill()


@pytest.fixture
async def deployment(
    handles: list[EntryProcessHandle], tmp_path: Path
) -> AsyncIterator[EntryDeployment]:
    async with running_store() as (store, tasks):
        endpoints = [RawEndpoint(script=answer_all), RawEndpoint(script=answer_all)]
        for endpoint, service in zip(endpoints, ('desk', 'other'), strict=True):
            await tasks.start(lambda *, task_status, one=endpoint: one.run(task_status=task_status))
            store.put(
                ENDPOINT_TABLE, f'i-{service}', endpoint_row(endpoint.address, service=service)
            )
        store.put(OPERATOR, 'config', config(3))
        doors = [StoreDoor(store=store) for _ in range(2)]
        for number, door in enumerate(doors, start=1):
            await tasks.start(lambda *, task_status, one=door: one.serve(task_status=task_status))
            handles.append(
                EntryProcessHandle(
                    number=number, store=door.address, work_dir=tmp_path, seeds='127.0.9.1:7801'
                )
            )
        for handle in handles:
            handle.start()
        for handle in handles:
            await handle.until_ready()
        yield EntryDeployment(store, doors, endpoints, handles)
