"""Export OpenTelemetry metrics, where the settings ask for it."""

from opentelemetry import metrics
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import ConsoleMetricExporter, PeriodicExportingMetricReader

__all__ = ['setup_metrics']

MS = 1000


def setup_metrics(*, every_s: float) -> None:
    """Write all metrics to standard output every ``every_s`` (0: never).

    Instances have no disk and no collector beside them; the platform
    gathers standard output.
    """
    if every_s:
        reader = PeriodicExportingMetricReader(
            ConsoleMetricExporter(), export_interval_millis=every_s * MS
        )
        metrics.set_meter_provider(MeterProvider(metric_readers=[reader]))
