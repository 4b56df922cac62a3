"""Render the metrics in the Prometheus text format."""

from __future__ import annotations

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics.export import MetricReader
from prometheus_client import CollectorRegistry, generate_latest


class MetricsPage:
    """Collect and render the metrics on each scrape.

    Attributes
    ----------
    reader : MetricReader
        Metric reader to pass to `create_telemetry`.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self.reader: MetricReader = PrometheusMetricReader(registry=self._registry)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
