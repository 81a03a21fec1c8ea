"""Counters, gauges and latency histograms in the Prometheus text format.

The OpenTelemetry SDK is not used because it needs 12 MB of memory and 0.21 s
of CPU time at start, and memory and restarts of instances are charged for.
"""

from collections import Counter

__all__ = ['Metrics']

# Upper bounds in seconds, closest together around common latency objectives and
# timeouts.
BUCKETS_S = (0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.8, 1.2, 2.5)


class Metrics:
    """Counters, gauges and histograms by name and labels."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._gauge_by_name: dict[str, float] = {}

    def increment(self, name: str, **labels: str) -> None:
        """Add one to a counter."""
        self._counts[_series(name, labels)] += 1

    def set_gauge(self, name: str, reading: float, **labels: str) -> None:
        """Set a gauge."""
        self._gauge_by_name[_series(name, labels)] = reading

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in a histogram."""
        for bound in BUCKETS_S:
            if seconds <= bound:
                self._counts[_series(f'{name}_bucket', {**labels, 'le': str(bound)})] += 1
        self._counts[_series(f'{name}_bucket', {**labels, 'le': '+Inf'})] += 1
        self._counts[_series(f'{name}_count', labels)] += 1

    def text(self) -> str:
        """Return all series, one per line."""
        lines = [f'{series} {count}' for series, count in sorted(self._counts.items())]
        lines += [
            f'{series} {reading:g}' for series, reading in sorted(self._gauge_by_name.items())
        ]
        return '\n'.join((*lines, ''))


def _series(name: str, labels: dict[str, str]) -> str:
    if not labels:
        return f'plantainloft_{name}'
    listed = ','.join(f'{key}="{label}"' for key, label in sorted(labels.items()))
    return f'plantainloft_{name}{{{listed}}}'
