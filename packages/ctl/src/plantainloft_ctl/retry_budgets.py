"""Aggregate the use of retry budgets as reported by several instances."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from plantainloft_ctl.tables import format_table

__all__ = ['RetryBudgetRow', 'aggregate_retry_budgets', 'format_retry_budget_table']

# The use of one service's budget as reported by an instance.
RetryBudgetEntry = Mapping[str, Any]

HEADINGS = ('service', 'requests', 'retries', 'allowed', 'left', 'sent', 'withheld', 'divided by')


class RetryBudgetRow(NamedTuple):
    """The use of one service's budget over the instances queried.

    ``requests``, ``retries`` and ``allowed`` are of the last window, ``left`` may be sent
    now, ``sent`` and ``withheld`` count since the processes started. ``divided_by`` are
    the numbers of instances among which they divide fixed retries, 0 where it is unknown.
    """

    service: str
    requests: int
    retries: int
    allowed: float
    left: int
    sent: int
    withheld: int
    divided_by: tuple[int, ...]


def aggregate_retry_budgets(
    listings: Iterable[Sequence[RetryBudgetEntry]],
) -> list[RetryBudgetRow]:
    """Return one row per service, sorted by its name."""
    entries_by_service: dict[str, list[RetryBudgetEntry]] = {}
    for listing in listings:
        for entry in listing:
            entries_by_service.setdefault(entry['service'], []).append(entry)
    return [_row(service, entries) for service, entries in sorted(entries_by_service.items())]


def format_retry_budget_table(rows: Sequence[RetryBudgetRow]) -> list[str]:
    """Format ``rows`` as table lines."""
    return format_table(HEADINGS, [_cells(row) for row in rows])


def _row(service: str, entries: Sequence[RetryBudgetEntry]) -> RetryBudgetRow:
    def total(field: str) -> Any:
        return sum(entry[field] for entry in entries)

    return RetryBudgetRow(
        service=service,
        requests=total('requests'),
        retries=total('retries'),
        allowed=total('allowed'),
        left=total('remaining'),
        sent=total('sent'),
        withheld=total('withheld'),
        divided_by=tuple(sorted({entry['instances'] for entry in entries})),
    )


def _cells(row: RetryBudgetRow) -> list[str]:
    return [
        row.service,
        str(row.requests),
        str(row.retries),
        f'{row.allowed:.1f}',
        str(row.left),
        str(row.sent),
        str(row.withheld),
        ' or '.join(str(count) if count else 'unknown' for count in row.divided_by),
    ]
