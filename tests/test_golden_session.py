"""A complete session in separate processes, compared with a recorded transcript.

The table service, twelve endpoints and six entry instances run as processes with
version 1 of the configuration. Callers look up instances and send requests, a
request retried with its idempotency key runs once, and two operators commit
concurrently.
"""

import anyio
import httpx
from syrupy.assertion import SnapshotAssertion

from plantainloft_core.commits import commit_patch
from plantainloft_core.outcomes import Committed, Conflict
from plantainloft_core.table_client import TableClient
from plantainloft_core.versions import read_head
from plantainloft_standins.cluster import Cluster, wait_for_version

BLOCKS = ('block-istanbul-a', 'block-ankara-b', 'block-izmir-a')


def _names_by_url(cluster: Cluster) -> dict[str, str]:
    return {url: name for name, url in cluster.entries_by_name.items()}


def _lookups(cluster: Cluster) -> list[dict[str, object]]:
    entry_url = next(iter(cluster.entries_by_name.values()))
    names = _names_by_url(cluster)
    lookups = []
    for block in BLOCKS:
        answer = httpx.get(f'{entry_url}/v1/lookup', params={'client_block': block}).json()
        lookups.append(
            {
                'block': block,
                'version': answer['version'],
                'entry_instances': [names[url] for url in answer['entry_instances']],
                'ttl_s': answer['ttl_s'],
            }
        )
    return lookups


def _request(
    entry: str, method: str, service: str, body: str, key: str | None
) -> dict[str, object]:
    headers = {'idempotency-key': key} if key else {}
    response = httpx.request(
        method,
        f'{entry}/v1/forward/{service}/item',
        content=body,
        headers=headers,
    )
    answer = response.json()
    return {
        'call': f'{method} {service}',
        'status': response.status_code,
        'outcome': response.headers.get('x-plantainloft-outcome'),
        'endpoint': response.headers.get('x-plantainloft-endpoint'),
        'whole': answer.get('echo') == body if response.status_code == httpx.codes.OK else None,
    }


def _commit_concurrently(cluster: Cluster) -> list[str]:
    async def commit_both() -> list[str]:
        client = TableClient(base_url=cluster.table_url, timeout_s=2.0)
        results: list[object] = []

        async def submit(name: str) -> None:
            patch = [
                {
                    'op': 'replace',
                    'path': '/services/case-desk/shift_cap',
                    'value': 0.1,
                }
            ]
            results.append(
                await commit_patch(client, base_version=1, patch=patch, author=name, change_id=name)
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(submit, 'ayse')
            tasks.start_soon(submit, 'mehmet')
        head = await read_head(client)
        await client.close()
        outcome_names = sorted(type(result).__name__ for result in results)
        assert all(isinstance(result, Committed | Conflict) for result in results)
        return [*outcome_names, f'head {head}']

    return anyio.run(commit_both)


def test_whole_session(karaduman: Cluster, snapshot: SnapshotAssertion) -> None:
    transcript: dict[str, object] = {'lookups': _lookups(karaduman)}
    entry = karaduman.entries_by_name['entry-istanbul-a-0']
    calls = [
        _request(entry, 'GET', 'case-desk', 'claim file 42', None),
        _request(entry, 'POST', 'case-desk', 'hearing notice 7', 'notice-7'),
        _request(entry, 'POST', 'settlements', 'settlement 9', 'settlement-9'),
    ]
    other_entry = karaduman.entries_by_name['entry-ankara-a-0']
    calls.append(_request(other_entry, 'POST', 'settlements', 'settlement 9', 'settlement-9'))
    transcript['calls'] = calls
    runs = httpx.get(f'{karaduman.endpoints_by_name["settlements-istanbul-a-0"]}/executions').json()
    transcript['settlement_runs'] = runs['runs_by_key']
    transcript['race'] = _commit_concurrently(karaduman)
    for url in karaduman.entries_by_name.values():
        wait_for_version(url, 2)
    transcript['versions'] = sorted(
        {
            httpx.get(f'{url}/v1/status').json()['version']
            for url in karaduman.entries_by_name.values()
        },
    )
    assert transcript == snapshot
