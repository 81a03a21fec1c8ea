"""The error-budget burn report: aggregation over nodes and burn rate."""

from pathlib import Path

from plantainloft_ctl.burn import compute_burn_rates, format_burn
from plantainloft_ctl.plot import plot_burn

PNG_MAGIC = b'\x89PNG'


def _status(served: int, refused: int, *, late: int = 0) -> dict[str, object]:
    stats = {
        'counts_by_outcome': {'served': served, 'refused': refused},
        'late': late,
        'p50_ms': 2.0,
        'p99_ms': 9.0,
    }
    return {'stats': {'booking': stats}}


def test_late_requests_consume_the_error_budget() -> None:
    """Guards against a report that counts only unserved requests as bad.

    It showed burn rate 0 for a service that answered every request too late.
    """
    (row,) = compute_burn_rates([_status(1000, 0, late=3)])
    assert (row.bad, round(row.burn_rate, 2)) == (3, 3.0)


def test_the_report_distinguishes_late_from_unserved_requests() -> None:
    """Guards against one combined number for late and unserved requests.

    With 78 of 300 requests bad, an operator could not tell whether they were
    refused or only late.
    """
    rows = compute_burn_rates([_status(95, 5, late=7)])
    assert [(row.bad, row.late) for row in rows] == [(12, 7)]
    heading, line = format_burn(rows).splitlines()
    assert heading.split()[2:4] == ['bad', 'late']
    assert line.split()[2:4] == ['12', '7']


def test_burn_aggregates_nodes_and_writes_a_plot(tmp_path: Path) -> None:
    rows = compute_burn_rates([_status(990, 5), _status(995, 10)])
    assert [(row.requests, row.bad) for row in rows] == [(2000, 15)]
    assert round(rows[0].burn_rate, 2) == 7.5
    assert 'booking' in format_burn(rows)
    plot_burn(rows, tmp_path / 'burn.png')
    assert (tmp_path / 'burn.png').read_bytes()[:4] == PNG_MAGIC
