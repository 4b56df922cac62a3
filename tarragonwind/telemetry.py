"""Measure the daemon with OpenTelemetry: typed instruments and a trace a request."""

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
    """Hold every instrument and start traces.

    Parameters
    ----------
    meters : MeterProvider
        Metrics of the SDK.
    tracers : TracerProvider or None
        Traces of the SDK; None records none.
    sampler : TraceChooser
        Chooses which requests are recorded.

    Attributes
    ----------
    requests : CounterSeries
        Ended requests by tier, outcome and kind of error (empty when answered).
    wait, first_byte, duration : TierHistogram
        Seconds from arrival to permit, to the first byte and to the end, by tier.
    goodput : CounterSeries
        Requests answered whole and in time, by tier.
    sheds : CounterSeries
        Requests shed, by tier.
    wasted_prefill : CounterSeries
        Prompt tokens that were prefilled for answers nobody took.
    store_calls : CounterSeries
        Calls to the key-value service by name; a waiting watch is one call.
    control_sent, control_received : CounterSeries
        Bytes between daemons by message.
    moves : CounterSeries
        Moves by state.
    catalogue_number, live_hosts, permits : CounterSeries
        Number in force, live daemons, permits held.
    """

    def __init__(
        self, meters: MeterProvider, tracers: TracerProvider | None, sampler: TraceSampler
    ) -> None:
        self._meters = meters
        self._tracers = tracers
        self._tracer = tracers.get_tracer(SERVICE_NAME) if tracers else None
        self._sampler = sampler
        table = InstrumentFactory(meters.get_meter(SERVICE_NAME))
        counter, gauge = InstrumentKind.COUNTER, InstrumentKind.GAUGE
        self.requests = table.create(
            counter, "requests", "{request}", "Ended requests", "tier", "outcome", "kind"
        )
        self.wait = table.create_histogram("wait", "Time from arrival to permit", TIER_COUNT)
        self.first_byte = table.create_histogram(
            "first_byte", "Time from arrival to the first byte of the answer", TIER_COUNT
        )
        self.duration = table.create_histogram(
            "duration", "Time from arrival to the end of the request", TIER_COUNT
        )
        self.goodput = table.create(
            counter, "goodput", "{request}", "Requests answered whole and in time", "tier"
        )
        self.sheds = table.create(counter, "sheds", "{request}", "Requests shed", "tier")
        self.wasted_prefill = table.create(
            counter, "wasted_prefill", "{token}", "Prompt tokens prefilled for nobody"
        )
        self.store_calls = table.create(
            counter, "store.calls", "{call}", "Calls to the key-value service", "call"
        )
        self.control_sent = table.create(
            counter, "control.sent", "By", "Bytes sent to other daemons", "message"
        )
        self.control_received = table.create(
            counter, "control.received", "By", "Bytes received from other daemons", "message"
        )
        self.moves = table.create(gauge, "moves", "{move}", "Moves by state", "state")
        self.catalogue_number = table.create(
            gauge, "catalogue.number", "{change}", "Catalogue number in force"
        )
        self.live_hosts = table.create(gauge, "hosts.live", "{host}", "Live daemons")
        self.permits = table.create(gauge, "permits", "{permit}", "Permits held")

    def start_request(self, headers: HeaderPairs) -> RequestTrace:
        """Start the trace of a caller's request from its header fields."""
        parent = extract_context(headers)
        recorded = self._tracer is not None and self._sampler.should_sample(parent)
        return RequestTrace(self._tracer if recorded else None, parent)

    def flush(self) -> None:
        """Hand what the histograms hold to the SDK."""
        for histogram in (self.wait, self.first_byte, self.duration):
            histogram.flush()

    def close(self) -> None:
        """Export what is queued and end the SDK's threads; call it after the loop has ended."""
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
    """Return the telemetry that the settings ask for.

    Without a destination, instruments count and nothing is exported or traced.
    """
    return assemble_telemetry(cfg, host, create_exporters(cfg), list(readers), rng, now)


def create_unexported_telemetry() -> Telemetry:
    """Return telemetry that counts and sends nothing, for parts that run without a daemon."""
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
    """Return telemetry over given exporters and further metric readers."""
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
