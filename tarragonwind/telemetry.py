"""Set up OpenTelemetry metrics and request traces for a daemon."""

from __future__ import annotations

import importlib
import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from tarragonwind.core.entries import TIER_COUNT
from tarragonwind.settings import HostSettings, TelemetrySettings
from tarragonwind.telemetry_instruments import InstrumentKind, Instruments
from tarragonwind.telemetry_traces import HeaderPairs, RequestTrace, TraceSampler, extract_context

if TYPE_CHECKING:
    from opentelemetry.sdk.metrics import MeterProvider
    from opentelemetry.sdk.metrics.export import MetricReader
    from opentelemetry.sdk.trace import TracerProvider

    from tarragonwind.telemetry_exporters import ExporterPair

SDK_MODULE = "tarragonwind.telemetry_providers"
"""Module that imports the SDK; it is imported by the first reader or exporter."""
SERVICE_NAME = "tarragonwind"


class Telemetry:
    """Provide the daemon's instruments and start request traces.

    Parameters
    ----------
    cfg : TelemetrySettings
        Settings of the export.
    host : HostSettings
        Host that the metrics describe.
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
    evacuated : MetricSeries
        Number of evacuated data centres.
    withheld : MetricSeries
        Dispatches that were not sent, as the upstream had gone out of use or was outside the homes
        of the request: its grant was outdated (``grant``), or its connection opened too late
        (``connection``).
    conditions, returned_permits, engine_memory : MetricSeries
        Cold upstreams and brittle pools, permits returned because of them, and the part of an
        engine's memory that is granted.
    prefix_tokens : MetricSeries
        Prompt tokens that engines were expected to keep when their requests were granted.
    prefix_waits : MetricSeries
        Requests that waited for an engine which keeps their prompt, by outcome: granted at it
        (``met``) or not (``given_up``).
    memory_decisions : MetricSeries
        Decisions for lack of memory: bodies that waited, requests refused, connections shed and
        connections refused.
    loop_busy, loop_longest_round : MetricSeries
        Fraction of the last second in which the event loop handled events, and its longest time
        between two polls.
    local_shares : MetricSeries
        Times at which the owner of a pool was silent, so that this host used its local share.
    memory_held, memory_size, memory_waiting : MetricSeries
        Bytes that connections hold and may hold, and requests whose body waits for memory.
    """

    def __init__(
        self,
        cfg: TelemetrySettings,
        host: HostSettings,
        tracers: TracerProvider | None,
        sampler: TraceSampler,
    ) -> None:
        self._cfg = cfg
        self._host = host
        self._providers: list[MeterProvider] = []
        self._tracers = tracers
        self._tracer = tracers.get_tracer(SERVICE_NAME) if tracers else None
        self._sampler = sampler
        self._instruments = Instruments()
        factory = self._instruments
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
        self.memory_decisions = factory.create(
            counter, "memory.decisions", "{decision}", "Decisions for lack of memory", "decision"
        )
        self.memory_held = factory.create(
            gauge, "memory.held", "By", "Memory that connections hold by account"
        )
        self.memory_size = factory.create(
            gauge, "memory.size", "By", "Memory that connections may hold"
        )
        self.memory_waiting = factory.create(
            gauge, "memory.waiting", "{request}", "Requests whose body waits for memory"
        )
        self.permits = factory.create(gauge, "permits", "{permit}", "Permits held")
        self.evacuated = factory.create(
            gauge, "data_centres.evacuated", "{data_centre}", "Evacuated data centres"
        )
        self.withheld = factory.create(
            counter, "dispatches.withheld", "{dispatch}", "Dispatches not sent in the end", "why"
        )
        self.conditions = factory.create(
            gauge, "conditions", "{condition}", "Cold upstreams and brittle pools", "condition"
        )
        self.returned_permits = factory.create(
            counter, "permits.returned", "{permit}", "Permits returned to keep strict limits"
        )
        self.prefix_tokens = factory.create(
            counter, "prefix.tokens", "{token}", "Prompt tokens of grants expected to be kept"
        )
        self.prefix_waits = factory.create(
            counter, "prefix.waits", "{request}", "Ended waits for an engine's prefix", "outcome"
        )
        self.loop_busy = factory.create(
            gauge, "loop.busy", "1", "Fraction of the time in which the event loop is busy"
        )
        self.loop_longest_round = factory.create(
            gauge, "loop.longest_round", "s", "Longest time between two polls of the last second"
        )
        self.local_shares = factory.create(
            counter, "permits.local_shares", "{share}", "Local shares begun for silent owners"
        )
        self.engine_memory = factory.create(
            gauge, "engine.memory", "1", "Largest part of an engine's memory granted", "pool"
        )

    @property
    def has_readers(self) -> bool:
        """Return whether any reader or exporter is attached."""
        return bool(self._providers)

    def attach_readers(self, readers: list[MetricReader]) -> None:
        """Let readers of the SDK collect the metrics, with the durations buffered until now."""
        provider = load_sdk().create_meters(self._host, readers)
        self._instruments.attach(provider.get_meter(SERVICE_NAME))
        self._providers.append(provider)

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
        for provider in self._providers:
            provider.shutdown()
        if self._tracers is not None:
            self._tracers.shutdown()


def load_sdk() -> Any:
    """Import the module that creates providers of the SDK."""
    return importlib.import_module(SDK_MODULE)


def create_telemetry(
    cfg: TelemetrySettings,
    host: HostSettings,
    rng: random.Random,
    now: Callable[[], float],
) -> Telemetry:
    """Create the telemetry with the exporters enabled in the settings.

    Without an exporter, instruments still count for readers attached later; nothing is traced.
    """
    if not (cfg.otlp_endpoint or cfg.console):
        return Telemetry(cfg, host, None, TraceSampler(cfg.trace_fraction, rng, now))
    exporters = importlib.import_module("tarragonwind.telemetry_exporters")
    return assemble_telemetry(cfg, host, exporters.create_exporters(cfg), [], rng, now)


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
    sdk = load_sdk()
    tracers = sdk.create_tracers(cfg, host, pairs) if pairs else None
    telemetry = Telemetry(cfg, host, tracers, TraceSampler(cfg.trace_fraction, rng, now))
    telemetry.attach_readers([*sdk.create_periodic_readers(cfg, pairs), *readers])
    return telemetry
