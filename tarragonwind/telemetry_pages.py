"""Render the metrics in the Prometheus text format."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING

from tarragonwind.telemetry import Telemetry

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry


class MetricsPage:
    """Collect and render the metrics on each scrape.

    Its libraries are imported at the first scrape, or at once if metrics are exported as well.

    Parameters
    ----------
    telemetry : Telemetry
        Metrics of the host.
    """

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry
        self._registry: CollectorRegistry | None = None
        if telemetry.has_readers:
            self._open()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        registry = self._open()
        self._telemetry.flush()
        text: bytes = importlib.import_module("prometheus_client").generate_latest(registry)
        return text

    def _open(self) -> CollectorRegistry:
        """Attach a reader to the telemetry, once, and return its registry."""
        if self._registry is None:
            self._registry = importlib.import_module("prometheus_client").CollectorRegistry()
            exporter = importlib.import_module("opentelemetry.exporter.prometheus")
            reader = exporter.PrometheusMetricReader(registry=self._registry)
            self._telemetry.attach_readers([reader])
        return self._registry
