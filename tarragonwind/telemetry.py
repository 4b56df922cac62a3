"""Set up OpenTelemetry metrics and request traces for a daemon."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Sequence

from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader, PeriodicExportingMetricReader
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.sampling import ALWAYS_ON

from tarragonwind.core.entries import TIER_COUNT
from tarragonwind.settings import HostSettings, TelemetrySettings
from tarragonwind.telemetry_exporters import ExporterPair, create_exporters
from tarragonwind.telemetry_instruments import InstrumentFactory, InstrumentKind
from tarragonwind.telemetry_traces import HeaderPairs, RequestTrace, TraceSampler, extract_context

SERVICE_NAME = "tarragonwind"
SPAN_EXPORT_PERIOD_S = 1.0
MAX_SPANS_PER_EXPORT = 256


class Telemetry:
    """Provide the daemon's instruments and start request traces.

    Parameters
    ----------
    meters : MeterProvider
        Meter provider of the SDK.
    tracers : TracerProvider or None
        Tracer provider of the SDK; None disables tracing.
    sampler : TraceSampler
        Decides which requests are recorded.

    Attributes
    ----------
    requests : MetricSeries
        Ended requests by tier, outcome and error kind (empty without an error).
    wait, first_byte, duration : TierHistogram
        Seconds from arrival to permit, to the first byte and to the end, by tier.
    goodput : MetricSeries
        Requests with a complete response in time and a status below 500, by tier.
    sheds : MetricSeries
        Requests shed, by tier.
    wasted_prefill : MetricSeries
        Prompt tokens prefilled for responses that no caller received.
    store_calls : MetricSeries
        Calls to the key-value service by name; a long-polling watch counts as one call.
    control_sent, control_received : MetricSeries
        Bytes sent to and received from other daemons, by message class.
    moves : MetricSeries
        Moves by state.
    catalogue_number, live_hosts, permits : MetricSeries
        Catalogue number in force, number of live daemons, number of permits held.
    """

    def __init__(
        self, meters: MeterProvider, tracers: TracerProvider | None, sampler: TraceSampler
    ) -> None:
        self._meters = meters
        self._tracers = tracers
        self._tracer = tracers.get_tracer(SERVICE_NAME) if tracers else None
        self._sampler = sampler
        factory = InstrumentFactory(meters.get_meter(SERVICE_NAME))
        counter, gauge = InstrumentKind.COUNTER, InstrumentKind.GAUGE
        self.requests = factory.create(
            counter, "requests", "{request}", "Ended requests", "tier", "outcome", "kind"
        )
        self.wait = factory.create_histogram("wait", "Time from arrival to permit", TIER_COUNT)
        self.first_byte = factory.create_histogram(
            "first_byte", "Time from arrival to the first byte of the answer", TIER_COUNT
        )
        self.duration = factory.create_histogram(
            "duration", "Time from arrival to the end of the request", TIER_COUNT
        )
        self.goodput = factory.create(
            counter, "goodput", "{request}", "Requests answered whole and in time", "tier"
        )
        self.sheds = factory.create(counter, "sheds", "{request}", "Requests shed", "tier")
        self.wasted_prefill = factory.create(
            counter, "wasted_prefill", "{token}", "Prompt tokens prefilled for nobody"
        )
        self.store_calls = factory.create(
            counter, "store.calls", "{call}", "Calls to the key-value service", "call"
        )
        self.control_sent = factory.create(
            counter, "control.sent", "By", "Bytes sent to other daemons", "message"
        )
        self.control_received = factory.create(
            counter, "control.received", "By", "Bytes received from other daemons", "message"
        )
        self.moves = factory.create(gauge, "moves", "{move}", "Moves by state", "state")
        self.catalogue_number = factory.create(
            gauge, "catalogue.number", "{change}", "Catalogue number in force"
        )
        self.live_hosts = factory.create(gauge, "hosts.live", "{host}", "Live daemons")
        self.permits = factory.create(gauge, "permits", "{permit}", "Permits held")

    def start_request(self, headers: HeaderPairs) -> RequestTrace:
        """Start the trace of a request, continuing the trace context in its header fields."""
        parent = extract_context(headers)
        sampled = self._tracer is not None and self._sampler.should_sample(parent)
        return RequestTrace(self._tracer if sampled else None, parent)

    def flush(self) -> None:
        """Pass the buffered histogram values to the SDK."""
        for histogram in (self.wait, self.first_byte, self.duration):
            histogram.flush()

    def close(self) -> None:
        """Export queued data and stop the SDK's threads; call this after the loop has stopped."""
        self.flush()
        self._meters.shutdown()
        if self._tracers is not None:
            self._tracers.shutdown()


def create_telemetry(
    cfg: TelemetrySettings,
    host: HostSettings,
    rng: random.Random,
    now: Callable[[], float],
    readers: Sequence[MetricReader] = (),
) -> Telemetry:
    """Create the telemetry with the exporters enabled in the settings.

    Without an exporter, instruments still count but only `readers` see them, and nothing is traced.
    """
    return assemble_telemetry(cfg, host, create_exporters(cfg), list(readers), rng, now)


def create_unexported_telemetry() -> Telemetry:
    """Create telemetry that counts but exports nothing, for components used without a daemon."""
    host = HostSettings(name="none", data_centre="none")
    return create_telemetry(TelemetrySettings(), host, random.Random(0), time.monotonic)


def assemble_telemetry(
    cfg: TelemetrySettings,
    host: HostSettings,
    pairs: list[ExporterPair],
    readers: list[MetricReader],
    rng: random.Random,
    now: Callable[[], float],
) -> Telemetry:
    """Create telemetry from the given exporters and additional metric readers."""
    resource = Resource(
        {
            "service.name": SERVICE_NAME,
            "service.instance.id": host.name,
            "tarragonwind.data_centre": host.data_centre,
        }
    )
    periodic = [
        PeriodicExportingMetricReader(
            pair.metrics,
            export_interval_millis=cfg.export_period_s * 1_000,
            export_timeout_millis=cfg.export_timeout_s * 1_000,
        )
        for pair in pairs
    ]
    meters = MeterProvider(
        [*periodic, *readers],
        resource,
        exemplar_filter=AlwaysOffExemplarFilter(),
        shutdown_on_exit=False,
    )
    tracers = _create_tracers(cfg, resource, pairs) if pairs else None
    return Telemetry(meters, tracers, TraceSampler(cfg.trace_fraction, rng, now))


def _create_tracers(
    cfg: TelemetrySettings, resource: Resource, pairs: list[ExporterPair]
) -> TracerProvider:
    tracers = TracerProvider(ALWAYS_ON, resource, shutdown_on_exit=False)
    for pair in pairs:
        tracers.add_span_processor(_create_processor(cfg, pair))
    return tracers


def _create_processor(cfg: TelemetrySettings, pair: ExporterPair) -> SpanProcessor:
    return BatchSpanProcessor(
        pair.spans,
        max_queue_size=cfg.max_queued_spans,
        schedule_delay_millis=SPAN_EXPORT_PERIOD_S * 1_000,
        max_export_batch_size=min(MAX_SPANS_PER_EXPORT, cfg.max_queued_spans),
        export_timeout_millis=cfg.export_timeout_s * 1_000,
    )
