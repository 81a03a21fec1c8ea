"""Per-service outcome counts and latencies, for the error-budget burn report.

Counts are also exported as OpenTelemetry metrics.
"""

from typing import Any

from hdrh.histogram import HdrHistogram
from opentelemetry import metrics

__all__ = ['ServiceStats', 'ServiceStatsRegistry']

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_FIGURES = 3
US_PER_S = 1_000_000
MEDIAN_PERCENTILE = 50
TAIL_PERCENTILE = 99
US_PER_MS = 1000

_meter = metrics.get_meter('plantainloft.node')
_outcomes = _meter.create_counter(
    'plantainloft.requests',
    description='Requests by service and outcome.',
)


class ServiceStats:
    """Outcome counts and latency histogram of one service on this node."""

    def __init__(self) -> None:
        self.counts_by_outcome: dict[str, int] = {}
        self.late = 0
        self.latency = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)

    def snapshot(self) -> dict[str, Any]:
        """Return counts and p50/p99 latency in ms."""
        return {
            'counts_by_outcome': dict(self.counts_by_outcome),
            'late': self.late,
            'p50_ms': self.latency.get_value_at_percentile(MEDIAN_PERCENTILE) / US_PER_MS,
            'p99_ms': self.latency.get_value_at_percentile(TAIL_PERCENTILE) / US_PER_MS,
        }


class ServiceStatsRegistry:
    """Statistics of all services on this node."""

    def __init__(self) -> None:
        self.by_service: dict[str, ServiceStats] = {}

    def record(
        self, service: str, outcome: str, *, seconds: float, latency_objective_s: float
    ) -> None:
        """Count one request of ``service`` that ended as ``outcome``.

        A served request that took longer than ``latency_objective_s`` also counts as late.
        """
        stats = self.by_service.setdefault(service, ServiceStats())
        stats.counts_by_outcome[outcome] = stats.counts_by_outcome.get(outcome, 0) + 1
        if outcome == 'served' and seconds > latency_objective_s:
            stats.late += 1
        stats.latency.record_value(max(1, int(seconds * US_PER_S)))
        _outcomes.add(1, {'service': service, 'outcome': outcome})

    def snapshot(self) -> dict[str, Any]:
        """Return the snapshots of all services, by service name."""
        return {name: stats.snapshot() for name, stats in self.by_service.items()}
