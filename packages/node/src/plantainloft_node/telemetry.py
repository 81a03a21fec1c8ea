"""Export OpenTelemetry metrics, if enabled in the settings."""

from opentelemetry import metrics
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import ConsoleMetricExporter, PeriodicExportingMetricReader

__all__ = ['setup_metrics']

MS_PER_S = 1000


def setup_metrics(*, interval_s: float) -> None:
    """Write all metrics to standard output every ``interval_s`` (0: never).

    Instances have no disk and no sidecar collector; the platform collects their
    standard output.
    """
    if interval_s:
        reader = PeriodicExportingMetricReader(
            ConsoleMetricExporter(), export_interval_millis=interval_s * MS_PER_S
        )
        metrics.set_meter_provider(MeterProvider(metric_readers=[reader]))
