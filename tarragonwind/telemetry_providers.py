"""Create providers of the OpenTelemetry SDK for metrics and traces."""

from __future__ import annotations

from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader, PeriodicExportingMetricReader
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.sampling import ALWAYS_ON

from tarragonwind.settings import HostSettings, TelemetrySettings
from tarragonwind.telemetry import SERVICE_NAME
from tarragonwind.telemetry_exporters import ExporterPair

SPAN_EXPORT_PERIOD_S = 1.0
MAX_SPANS_PER_EXPORT = 256


def create_resource(host: HostSettings) -> Resource:
    """Return the attributes that identify a host."""
    return Resource(
        {
            "service.name": SERVICE_NAME,
            "service.instance.id": host.name,
            "tarragonwind.data_centre": host.data_centre,
        }
    )


def create_meters(host: HostSettings, readers: list[MetricReader]) -> MeterProvider:
    """Create the meter provider of a host for some readers."""
    return MeterProvider(
        readers,
        create_resource(host),
        exemplar_filter=AlwaysOffExemplarFilter(),
        shutdown_on_exit=False,
    )


def create_periodic_readers(
    cfg: TelemetrySettings, pairs: list[ExporterPair]
) -> list[MetricReader]:
    """Create the readers that export metrics at intervals."""
    return [
        PeriodicExportingMetricReader(
            pair.metrics,
            export_interval_millis=cfg.export_period_s * 1_000,
            export_timeout_millis=cfg.export_timeout_s * 1_000,
        )
        for pair in pairs
    ]


def create_tracers(
    cfg: TelemetrySettings, host: HostSettings, pairs: list[ExporterPair]
) -> TracerProvider:
    """Create the tracer provider of a host that exports to all destinations."""
    tracers = TracerProvider(ALWAYS_ON, create_resource(host), shutdown_on_exit=False)
    for pair in pairs:
        tracers.add_span_processor(create_processor(cfg, pair))
    return tracers


def create_processor(cfg: TelemetrySettings, pair: ExporterPair) -> SpanProcessor:
    """Create the processor that exports spans in batches."""
    return BatchSpanProcessor(
        pair.spans,
        max_queue_size=cfg.max_queued_spans,
        schedule_delay_millis=SPAN_EXPORT_PERIOD_S * 1_000,
        max_export_batch_size=min(MAX_SPANS_PER_EXPORT, cfg.max_queued_spans),
        export_timeout_millis=cfg.export_timeout_s * 1_000,
    )
