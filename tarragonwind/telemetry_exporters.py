"""Create the exporters of metrics and spans from a registry of named factories."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable

from opentelemetry.sdk.metrics.export import ConsoleMetricExporter, MetricExporter, MetricsData
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.export import ConsoleSpanExporter, SpanExporter

from tarragonwind.records import dataclass
from tarragonwind.settings import TelemetrySettings

TRACE_PATH = "/v1/traces"
METRIC_PATH = "/v1/metrics"


@dataclass(frozen=True, slots=True)
class ExporterPair:
    """Pair the span exporter and the metric exporter of one destination."""

    spans: SpanExporter
    metrics: MetricExporter


ExporterFactory = Callable[[TelemetrySettings], ExporterPair | None]

EXPORTERS: dict[str, ExporterFactory] = {}
"""Factories by name, registered by `exporter`; a factory returns None if disabled by settings."""


def exporter(name: str) -> Callable[[ExporterFactory], ExporterFactory]:
    """Return a decorator that registers an exporter factory under a name."""

    def register(factory: ExporterFactory) -> ExporterFactory:
        EXPORTERS[name] = factory
        return factory

    return register


@exporter("otlp")
def create_otlp(cfg: TelemetrySettings) -> ExporterPair | None:
    """Create exporters to a collector by OTLP over HTTP, or None without an endpoint."""
    if not cfg.otlp_endpoint:
        return None
    # Lazy imports shorten the start of hosts without a collector.
    metrics = importlib.import_module("opentelemetry.exporter.otlp.proto.http.metric_exporter")
    spans = importlib.import_module("opentelemetry.exporter.otlp.proto.http.trace_exporter")
    base = cfg.otlp_endpoint.rstrip("/")
    return ExporterPair(
        spans.OTLPSpanExporter(base + TRACE_PATH, timeout=cfg.export_timeout_s),
        metrics.OTLPMetricExporter(base + METRIC_PATH, timeout=cfg.export_timeout_s),
    )


@exporter("console")
def create_console(cfg: TelemetrySettings) -> ExporterPair | None:
    """Create exporters that write JSON lines to standard output, or None if disabled."""
    if not cfg.console:
        return None
    return ExporterPair(
        ConsoleSpanExporter(out=sys.stdout, formatter=format_span),
        ConsoleMetricExporter(out=sys.stdout, formatter=format_metrics),
    )


def format_span(span: ReadableSpan) -> str:
    """Return a span as one line of JSON."""
    return span.to_json(indent=None) + "\n"


def format_metrics(data: MetricsData) -> str:
    """Return the metrics of one collection as one line of JSON."""
    return data.to_json(indent=None) + "\n"


def create_exporters(cfg: TelemetrySettings) -> list[ExporterPair]:
    """Return the exporters enabled in the settings."""
    pairs = [factory(cfg) for factory in EXPORTERS.values()]
    return [pair for pair in pairs if pair is not None]
