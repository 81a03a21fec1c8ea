"""Entry processes that lose their links to the endpoints serve callers all the same."""

import time
from pathlib import Path

import anyio
import pytest
from cuttable_entry import HANG_NEW, REFUSE_NEW, RESET, SILENT
from partitioned_fleet import INSTANCES, partitioned_fleet
from platform_standin import EntryProcessHandle

from plantainloft_ctl.commands.endpoint_links import EndpointLinks
from plantainloft_ctl.request_timeline import explain_request, parse_log_lines

REQUESTS_PER_S = 120.0
WARM_UP_S = 4.0
CUT = (2, 5)
# From this long after the cut, an instance has noticed it.
DETECTION_S = 1.0
OBSERVED_S = 4.0
# Share of the requests at instances with links that instances without must serve.
MIN_RELATIVE_SHARE = 2 / 3


@pytest.mark.anyio
@pytest.mark.parametrize('mode', [RESET, SILENT, REFUSE_NEW, HANG_NEW])
async def test_instances_without_links_to_endpoints_serve_their_callers(
    entry_processes: list[EntryProcessHandle], tmp_path: Path, mode: str
) -> None:
    """Failure: every request at an instance whose links to all endpoints are lost is refused."""
    async with partitioned_fleet(entry_processes, tmp_path) as (fleet, tasks):
        tasks.start_soon(fleet.send_requests, REQUESTS_PER_S)
        await anyio.sleep(WARM_UP_S)
        fleet.cut(CUT, mode)
        since = time.monotonic() + DETECTION_S
        await anyio.sleep(DETECTION_S + OBSERVED_S)
        until = since + OBSERVED_S - 1.5
        others = [entry for entry in range(INSTANCES) if entry not in CUT]
        served_elsewhere = fleet.served_share(others, since, until)
        assert served_elsewhere == 1.0
        assert fleet.served_share(CUT, since, until) >= MIN_RELATIVE_SHARE * served_elsewhere


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('mode', 'cut_off'), [(RESET, CUT), (SILENT, CUT), (RESET, tuple(range(INSTANCES)))]
)
async def test_cut_instances_report_no_crash_of_sound_endpoints(
    entry_processes: list[EntryProcessHandle],
    tmp_path: Path,
    mode: str,
    cut_off: tuple[int, ...],
) -> None:
    """Failure: connections lost with the own links were reported as crashes of endpoints."""
    async with partitioned_fleet(entry_processes, tmp_path) as (fleet, tasks):
        tasks.start_soon(fleet.send_requests, REQUESTS_PER_S)
        await anyio.sleep(WARM_UP_S)
        # Long enough that requests are under way at the cut on a busy machine, too.
        fleet.run_time_s = 1.0
        for entry in cut_off:
            tasks.start_soon(fleet.send_at_once, entry, 20)
        await anyio.sleep(fleet.run_time_s / 2)
        fleet.cut(cut_off, mode)
        await anyio.sleep(OBSERVED_S)
        checks = [
            record
            for handle in entry_processes
            for record in handle.log_records()
            if record['kind'] == 'crash_check'
        ]
        assert checks
        assert not [record for record in checks if record['ended']]


@pytest.mark.anyio
async def test_operators_see_who_is_cut_off_and_through_whom_a_request_went(
    entry_processes: list[EntryProcessHandle],
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    async with partitioned_fleet(entry_processes, tmp_path, instances=3) as (fleet, tasks):
        tasks.start_soon(fleet.send_requests, REQUESTS_PER_S)
        await anyio.sleep(WARM_UP_S)
        fleet.cut((1,), RESET)
        await anyio.sleep(DETECTION_S + 1.0)
        nodes = [f'http://{handle.metrics_address}' for handle in entry_processes]
        await anyio.to_thread.run_sync(EndpointLinks(nodes=nodes))
        table = capsys.readouterr().out.splitlines()
        assert table[1].startswith(nodes[1])
        assert 'ank-a' in table[1]
        assert not any('ank-a' in line for line in table[2:])
        texts = [handle.log_path.read_text() for handle in entry_processes]
        lines = parse_log_lines(texts)
        answered = [
            line for line in lines if line['kind'] == 'answered' and line['instance'] == 'e2'
        ]
        through_peer = [line for line in answered if 'via' in line]
        assert through_peer
        timeline = explain_request(str(through_peer[0]['request']), lines)
        peer = through_peer[0]['via']
        assert any(line.startswith('+') and f' {peer} ' in line for line in timeline)
        assert any('Links: endpoints of ank-a' in line for line in timeline)
