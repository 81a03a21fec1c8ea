"""Shared fixtures: an in-process table service and a small deployment."""

from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import httpx
import hypothesis
import pytest

from plantainloft_core.table_client import TableClient
from plantainloft_standins.cluster import Cluster, bring_up
from plantainloft_standins.deployments import DEPLOYMENTS, Deployment, ServicePlan
from plantainloft_standins.table import TableService, make_app

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
