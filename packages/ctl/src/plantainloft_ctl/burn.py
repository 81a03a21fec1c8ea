"""The error-budget burn report: how fast each service consumes its budget.

A request is good if it was served within the latency objective of its
service. Burn rate = (share of bad requests) / (1 - objective). A rate of 1.0
consumes the error budget exactly over the objective's window; a higher rate
consumes it sooner.
"""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

__all__ = ['BurnRow', 'compute_burn_rates', 'format_burn']

GOOD_SHARE_OBJECTIVE = 0.999


class BurnRow(NamedTuple):
    """The burn rate of one service, over all nodes queried.

    ``late`` requests were served after the service's latency objective;
    ``bad`` requests were late or not served at all. ``p50_ms`` and ``p99_ms``
    are the highest of any node.
    """

    service: str
    requests: int
    bad: int
    late: int
    burn_rate: float
    p50_ms: float
    p99_ms: float


def compute_burn_rates(
    statuses: Sequence[Mapping[str, Any]], *, objective: float = GOOD_SHARE_OBJECTIVE
) -> list[BurnRow]:
    """Aggregate node statuses into one row per service, sorted by service name."""
    totals: dict[str, list[float]] = {}
    for status in statuses:
        for service, stats in status['stats'].items():
            counts = stats['counts_by_outcome']
            total = sum(counts.values())
            late = stats.get('late', 0)
            row = totals.setdefault(service, [0, 0, 0, 0.0, 0.0])
            row[0] += total
            row[1] += total - counts.get('served', 0) + late
            row[2] += late
            row[3] = max(row[3], stats['p50_ms'])
            row[4] = max(row[4], stats['p99_ms'])
    rows = []
    for service, (total, bad, late, p50, p99) in sorted(totals.items()):
        bad_share = bad / total if total else 0.0
        rows.append(
            BurnRow(
                service=service,
                requests=int(total),
                bad=int(bad),
                late=int(late),
                burn_rate=bad_share / (1 - objective),
                p50_ms=p50,
                p99_ms=p99,
            )
        )
    return rows


def format_burn(rows: list[BurnRow]) -> str:
    """Format ``rows`` as a fixed-width text table."""
    lines = [
        f'{"service":<16}{"requests":>10}{"bad":>8}{"late":>8}{"burn":>8}{"p50 ms":>9}{"p99 ms":>9}'
    ]
    lines.extend(
        f'{row.service:<16}{row.requests:>10}{row.bad:>8}{row.late:>8}{row.burn_rate:>8.2f}'
        f'{row.p50_ms:>9.2f}{row.p99_ms:>9.2f}'
        for row in rows
    )
    return '\n'.join(lines)
