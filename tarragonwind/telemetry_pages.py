"""Render the metrics as text for monitoring that reads pages."""

from __future__ import annotations

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics.export import MetricReader
from prometheus_client import CollectorRegistry, generate_latest


class MetricsPage:
    """Collect the metrics each time that the page is read.

    Attributes
    ----------
    reader : MetricReader
        Reader to create the telemetry with.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self.reader: MetricReader = PrometheusMetricReader(registry=self._registry)

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self._registry)
