"""Behaviour under failures, compared with recorded transcripts.

Each test runs the tiny deployment as separate processes (table service, four
endpoints, four entry instances) and causes one failure.
"""

import signal
import time

import anyio
import httpx
from syrupy.assertion import SnapshotAssertion

from plantainloft_core.commits import commit_patch
from plantainloft_core.outcomes import Committed, Unreachable
from plantainloft_core.table_client import TableClient
from plantainloft_standins.cluster import Cluster, wait_for_members, wait_for_version

WAIT_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.1
BLOCK = 'block-ankara-a'
TARGET = 'entry-ankara-a-0'
OBSERVER = 'entry-izmir-a-0'


def _looked_up_names(cluster: Cluster) -> list[str]:
    names = {url: name for name, url in cluster.entries_by_name.items()}
    observer = cluster.entries_by_name[OBSERVER]
    answer = httpx.get(f'{observer}/v1/lookup', params={'client_block': BLOCK}).json()
    return [names[url] for url in answer['entry_instances']]


def _wait_until_absent(cluster: Cluster, name: str) -> list[str]:
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    looked_up = _looked_up_names(cluster)
    while name in looked_up and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_S)
        looked_up = _looked_up_names(cluster)
    return looked_up


def _commit(cluster: Cluster, *, base_version: int, patch: list[dict[str, object]]) -> object:
    async def commit() -> object:
        client = TableClient(base_url=cluster.table_url, timeout_s=2.0)
        outcome = await commit_patch(
            client, base_version=base_version, patch=patch, author='t', change_id=f'c{base_version}'
        )
        await client.close()
        return outcome

    return anyio.run(commit)


def _set_fault_mode(cluster: Cluster, mode: str) -> None:
    httpx.post(f'{cluster.table_url}/faults', json={'mode': mode}).raise_for_status()


def _call(entry: str, method: str, key: str | None = None) -> dict[str, object]:
    headers = {'idempotency-key': key} if key else {}
    response = httpx.request(
        method, f'{entry}/v1/forward/case-desk/item', content=b'x', headers=headers, timeout=10
    )
    body = response.json()
    return {
        'status': response.status_code,
        'outcome': body.get('outcome', 'served'),
        'ran': body.get('ran'),
    }


def test_killed_entry_instance_drops_out_of_lookups(
    tiny_deployment: Cluster, snapshot: SnapshotAssertion
) -> None:
    """Symptom: look-ups name an entry instance that is dead.

    An entry instance is killed with SIGKILL while the others keep answering
    look-ups. Guards against members that never expire: the killed instance's lease
    (3 s here) must run out.
    """
    before = _looked_up_names(tiny_deployment)
    tiny_deployment.processes.signal(TARGET, signal.SIGKILL)
    after = _wait_until_absent(tiny_deployment, TARGET)
    assert {'before': before, 'after': after} == snapshot


def test_graceful_stop_cuts_no_request_and_steers_away_first(
    tiny_deployment: Cluster, snapshot: SnapshotAssertion
) -> None:
    """Symptom: requests are cut when an entry instance is stopped for maintenance.

    Eight requests of 200 ms are in flight through one entry instance when it gets
    SIGTERM. Guards against stopping without waiting for requests in flight, and
    without leaving look-ups first.
    """
    entry = tiny_deployment.entries_by_name[TARGET]
    results: list[str] = []

    async def send_load() -> None:
        async with httpx.AsyncClient(timeout=10) as http:

            async def send_one() -> None:
                response = await http.get(f'{entry}/v1/forward/case-desk/item')
                outcome = response.headers.get('x-plantainloft-outcome')
                results.append(f'{response.status_code} {outcome}')

            async with anyio.create_task_group() as tasks:
                for _ in range(8):
                    tasks.start_soon(send_one)
                await anyio.sleep(0.1)
                tiny_deployment.processes.signal(TARGET, signal.SIGTERM)

    anyio.run(send_load)
    exit_status = tiny_deployment.processes.stop(TARGET)
    named_after_stop = TARGET in _looked_up_names(tiny_deployment)
    transcript = {
        'results': sorted(results),
        'exit': exit_status,
        'named_after_stop': named_after_stop,
    }
    assert transcript == snapshot


def test_another_signal_during_a_graceful_stop_cuts_no_request(tiny_deployment: Cluster) -> None:
    """Guards against a second SIGTERM that ends the process with requests in progress."""
    entry = tiny_deployment.entries_by_name[TARGET]
    process = tiny_deployment.processes.by_name[TARGET]
    statuses: list[int] = []

    async def send_until_refused() -> None:
        while process.poll() is None:
            async with httpx.AsyncClient(timeout=10) as http:
                try:
                    response = await http.get(f'{entry}/v1/forward/case-desk/item')
                except httpx.TransportError:
                    # It must not have run, which is checked at the end.
                    continue
                statuses.append(response.status_code)

    async def send_load() -> None:
        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(send_until_refused)
            await anyio.sleep(0.1)
            while process.poll() is None:
                process.send_signal(signal.SIGTERM)
                await anyio.sleep(0.02)

    anyio.run(send_load)
    runs = 0
    for url in tiny_deployment.endpoints_by_name.values():
        runs += sum(httpx.get(f'{url}/executions').json()['runs_by_key'].values())
    assert runs == statuses.count(200)
    assert set(statuses) <= {200, 503}
    assert process.wait() == 0


def test_drained_endpoint_gets_no_new_work(
    tiny_deployment: Cluster, snapshot: SnapshotAssertion
) -> None:
    """Symptom: an endpoint being drained keeps receiving new requests.

    The operator sets one endpoint to draining while requests keep arriving. Guards
    against nodes that don't apply the new version, or still choose a draining
    endpoint.
    """
    drained = 'case-desk-ankara-a-0'
    patch = [{'op': 'add', 'path': f'/endpoints/{drained}/state', 'value': 'draining'}]
    committed = _commit(tiny_deployment, base_version=1, patch=patch)
    started = time.monotonic()
    for url in tiny_deployment.entries_by_name.values():
        wait_for_version(url, 2)
    applied_after_s = time.monotonic() - started
    runs_url = f'{tiny_deployment.endpoints_by_name[drained]}/executions'
    runs_before = sum(httpx.get(runs_url).json()['runs_by_key'].values())
    calls = [_call(tiny_deployment.entries_by_name[TARGET], 'GET') for _ in range(6)]
    runs_after = sum(httpx.get(runs_url).json()['runs_by_key'].values())
    assert applied_after_s < WAIT_TIMEOUT_S
    transcript = {
        'committed': committed,
        'calls': calls,
        'new_runs_on_drained': runs_after - runs_before,
    }
    assert transcript == snapshot


def test_endpoint_that_leaves_on_its_own_gets_no_new_work(
    tiny_deployment: Cluster, snapshot: SnapshotAssertion
) -> None:
    """Symptom: an endpoint that is leaving is sent requests for seconds.

    An endpoint begins to drain without any change of the configuration (its list of
    endpoints lags behind) while callers keep sending through the entry instance of
    the endpoint's zone. Guards against ignoring the draining state that the endpoint
    reports in its load report and in refusals.
    """
    leaving = tiny_deployment.endpoints_by_name['case-desk-ankara-a-0']
    entry = tiny_deployment.entries_by_name[TARGET]
    before = _call(entry, 'GET')
    httpx.post(f'{leaving}/drain')
    after = [_call(entry, 'GET') for _ in range(6)]
    executions = httpx.get(f'{leaving}/executions').json()
    transcript = {
        'before': before,
        'after': after,
        'offered_at_most_once': executions['refused_draining'] <= 1,
        'offered_after_a_second': executions['offered_after_drain_s'] > 1,
    }
    assert transcript == snapshot


def test_table_outage_keeps_serving_and_refuses_truthfully(
    tiny_deployment: Cluster, snapshot: SnapshotAssertion
) -> None:
    """Symptom: a table outage stops traffic or loses configuration.

    The table service goes down, callers send reads and a booking, and an operator
    tries to commit. The table comes back and the operator commits again. Guards
    against treating the outage as an empty configuration, and against reporting a
    booking as failed when it may have run.
    """
    entry = tiny_deployment.entries_by_name[TARGET]
    _set_fault_mode(tiny_deployment, 'down')
    during = {
        'read': _call(entry, 'GET'),
        'booking': _call(entry, 'POST', key='booking-1'),
        'commit': isinstance(_commit(tiny_deployment, base_version=1, patch=[]), Unreachable),
        'version': httpx.get(f'{entry}/v1/status').json()['version'],
    }
    _set_fault_mode(tiny_deployment, 'normal')
    patch = [{'op': 'replace', 'path': '/services/case-desk/slo_ms', 'value': 900}]
    after = {'commit': _commit(tiny_deployment, base_version=1, patch=patch)}
    for url in tiny_deployment.entries_by_name.values():
        wait_for_version(url, 2)
    after['booking'] = _call(entry, 'POST', key='booking-1')
    assert {'during': during, 'after': after} == snapshot


def test_instances_restart_and_die_while_the_table_is_down(
    tiny_deployment: Cluster, snapshot: SnapshotAssertion
) -> None:
    """Symptom: nodes can't restart during an outage of the table, and dead instances
    stay in look-ups until it is over.

    Version 2 is applied, then the table goes down. One entry instance is killed and
    restarted, another one is killed for good. Guards against using the table as the
    only source of configuration and of liveness.
    """
    patch = [{'op': 'replace', 'path': '/services/case-desk/slo_ms', 'value': 900}]
    _commit(tiny_deployment, base_version=1, patch=patch)
    for url in tiny_deployment.entries_by_name.values():
        wait_for_version(url, 2)
    _set_fault_mode(tiny_deployment, 'down')
    restarted = tiny_deployment.entries_by_name[TARGET]
    tiny_deployment.processes.restart(TARGET, ready_url=f'{restarted}/v1/status')
    wait_for_version(restarted, 2)
    killed = 'entry-ankara-b-0'
    tiny_deployment.processes.signal(killed, signal.SIGKILL)
    transcript = {
        'restarted_serves': _call(restarted, 'GET'),
        'named': _wait_until_absent(tiny_deployment, killed),
    }
    wait_for_members(restarted, set(tiny_deployment.entries_by_name) - {killed})
    assert transcript == snapshot


def test_frozen_instance_is_left_out_and_comes_back(
    tiny_deployment: Cluster, snapshot: SnapshotAssertion
) -> None:
    """Symptom: callers are sent to a frozen instance, or an instance that resumed is
    never used again.

    An entry instance is stopped with SIGSTOP until the others consider it dead, and
    then continued. Guards against overlooking that heartbeats stop, and against a dead
    state that the instance can't refute.
    """
    tiny_deployment.processes.signal(TARGET, signal.SIGSTOP)
    while_frozen = _wait_until_absent(tiny_deployment, TARGET)
    tiny_deployment.processes.signal(TARGET, signal.SIGCONT)
    wait_for_members(
        tiny_deployment.entries_by_name[OBSERVER], set(tiny_deployment.entries_by_name)
    )
    wait_for_members(tiny_deployment.entries_by_name[TARGET], set(tiny_deployment.entries_by_name))
    assert {'frozen': while_frozen, 'woken': _looked_up_names(tiny_deployment)} == snapshot


def test_booking_runs_once_when_claim_answers_are_lost(
    tiny_deployment: Cluster, snapshot: SnapshotAssertion
) -> None:
    """Symptom: a booking is charged twice after a retry.

    The table applies every write but loses its answer. A booking is sent through one
    entry instance, and the caller retries through another. Guards against
    treating a claim whose answer was lost as failed, or as another node's.
    """
    _set_fault_mode(tiny_deployment, 'lose_answer')
    first = _call(tiny_deployment.entries_by_name[TARGET], 'POST', key='booking-7')
    retry = _call(tiny_deployment.entries_by_name[OBSERVER], 'POST', key='booking-7')
    _set_fault_mode(tiny_deployment, 'normal')
    runs = 0
    for url in tiny_deployment.endpoints_by_name.values():
        runs += httpx.get(f'{url}/executions').json()['runs_by_key'].get('booking-7', 0)
    assert {'first': first, 'retry': retry, 'runs': runs} == snapshot


def test_commit_in_force_everywhere_without_revert(tiny_deployment: Cluster) -> None:
    outcome = _commit(
        tiny_deployment,
        base_version=1,
        patch=[{'op': 'replace', 'path': '/services/case-desk/slo_ms', 'value': 800}],
    )
    assert outcome == Committed(version=2)
    for url in tiny_deployment.entries_by_name.values():
        wait_for_version(url, 2)
    assert {
        httpx.get(f'{url}/v1/status').json()['version']
        for url in tiny_deployment.entries_by_name.values()
    } == {2}
