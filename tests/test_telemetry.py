"""Test metrics, spans, trace context propagation and exports, also to a dead collector."""

import http.server
import json
import random
import socket
import subprocess
import sys
import threading
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from opentelemetry.sdk.metrics.export import (
    ConsoleMetricExporter,
    InMemoryMetricReader,
    MetricExportResult,
)
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from tarragonwind.settings import HostSettings, TelemetrySettings
from tarragonwind.telemetry import assemble_telemetry, create_telemetry
from tarragonwind.telemetry_exporters import ExporterPair, create_exporters
from tarragonwind.telemetry_instruments import MAX_BUFFERED_DURATIONS, RECORDS_PER_FLUSH
from tarragonwind.telemetry_pages import MetricsPage
from tarragonwind.telemetry_traces import (
    MAX_CALLER_TRACES_PER_S,
    SpanName,
    TraceSampler,
    extract_context,
    inject_context,
)

HOST = HostSettings(name="a1", data_centre="etna")
TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736"
SAMPLED = [(b"Traceparent", f"00-{TRACE_ID}-00f067aa0ba902b7-01".encode())]
UNSAMPLED = [(b"traceparent", f"00-{TRACE_ID}-00f067aa0ba902b7-00".encode())]


class DiscardingMetricExporter(ConsoleMetricExporter):
    def export(self, *args, **kwargs):
        return MetricExportResult.SUCCESS


@pytest.fixture
def traced():
    spans, reader = InMemorySpanExporter(), InMemoryMetricReader()
    cfg = TelemetrySettings(trace_fraction=1.0)
    pair = ExporterPair(spans, DiscardingMetricExporter())
    telemetry = assemble_telemetry(cfg, HOST, [pair], [reader], random.Random(1), time.monotonic)
    yield telemetry, spans, reader
    telemetry.close()


def finished_spans(telemetry, spans):
    telemetry._tracers.force_flush()
    return {span.name: span for span in spans.get_finished_spans()}


def read_points(reader):
    points = {}
    for resource in reader.get_metrics_data().resource_metrics:
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                points[metric.name] = list(metric.data.data_points)
    return points


def test_instrument_values_reach_a_reader(traced):
    telemetry, _, reader = traced
    telemetry.requests.add(1, 0, "answered", "")
    telemetry.requests.add(2, 3, "refused", "shed")
    for _ in range(RECORDS_PER_FLUSH):
        telemetry.wait.record(0.25, 0)
    telemetry.wait.record(0.25, 0)
    telemetry.catalogue_number.set(7)
    telemetry.store_calls.add(1, "watch")
    points = read_points(reader)
    found = {
        tuple(point.attributes.values()): point.value for point in points["tarragonwind.requests"]
    }
    assert found == {(0, "answered", ""): 1, (3, "refused", "shed"): 2}
    assert points["tarragonwind.wait"][0].count == RECORDS_PER_FLUSH
    telemetry.wait.flush()
    assert read_points(reader)["tarragonwind.wait"][0].sum == 0.25 * (RECORDS_PER_FLUSH + 1)
    assert points["tarragonwind.catalogue.number"][0].value == 7
    assert dict(points["tarragonwind.store.calls"][0].attributes) == {"call": "watch"}
    assert telemetry.requests.total() == 3


def test_spans_are_nested_under_the_caller_span(traced):
    telemetry, spans, _ = traced
    trace = telemetry.start_request(SAMPLED)
    trace.start_span(SpanName.WAIT)
    trace.start_span(SpanName.OWNER)
    trace.end_span(SpanName.OWNER)
    trace.end_span(SpanName.WAIT)
    trace.start_span(SpanName.DISPATCH)
    upstream = extract_context(trace.headers())
    trace.start_span(SpanName.FIRST_TOKEN)
    trace.end_span(SpanName.FIRST_TOKEN)
    trace.start_span(SpanName.STREAM)
    trace.finish("answered")
    trace.finish("twice")
    found = finished_spans(telemetry, spans)
    assert set(found) == {member.value for member in SpanName}
    caller = found["caller"]
    assert f"{caller.parent.span_id:016x}" == "00f067aa0ba902b7"
    assert all(f"{span.context.trace_id:032x}" == TRACE_ID for span in found.values())
    parents = {"wait": "caller", "owner": "wait", "dispatch": "caller"}
    parents |= {"first_token": "dispatch", "stream": "dispatch"}
    for name, parent in parents.items():
        assert found[name].parent.span_id == found[parent].context.span_id
    assert upstream.span_id == found["dispatch"].context.span_id
    assert caller.attributes["outcome"] == "answered"
    assert trace.trace_id == TRACE_ID


def test_an_unsampled_trace_is_propagated_but_not_recorded(traced):
    telemetry, spans, _ = traced
    trace = telemetry.start_request([*UNSAMPLED, (b"tracestate", b"a=1")])
    trace.start_span(SpanName.DISPATCH)
    assert dict(trace.headers()) == {**dict(UNSAMPLED), b"tracestate": b"a=1"}
    trace.finish("answered")
    assert finished_spans(telemetry, spans) == {}


@pytest.mark.parametrize(
    "headers",
    [
        [],
        [(b"traceparent", b"")],
        [(b"traceparent", b"00-" + b"0" * 32 + b"-00f067aa0ba902b7-01")],
        [(b"traceparent", b"ff" + SAMPLED[0][1][2:])],
        [(b"traceparent", SAMPLED[0][1] + b"\xff")],
        [(b"traceparent", b"x" * 100_000)],
        SAMPLED + UNSAMPLED,
    ],
)
def test_a_malformed_trace_context_is_ignored(headers):
    assert extract_context(headers) is None


@settings(derandomize=True)
@given(st.lists(st.tuples(st.sampled_from([b"traceparent", b"tracestate", b"x"]), st.binary())))
def test_arbitrary_header_fields_raise_no_error(headers):
    context = extract_context(headers)
    if context is not None:
        assert inject_context(context)


def test_the_fraction_and_rate_of_sampled_requests_are_bounded():
    clock = [0.0]
    sampler = TraceSampler(0.1, random.Random(5), lambda: clock[0])
    assert 60 < sum(sampler.should_sample(None) for _ in range(1_000)) < 140
    sampled = extract_context(SAMPLED)
    assert sum(sampler.should_sample(sampled) for _ in range(1_000)) == MAX_CALLER_TRACES_PER_S
    clock[0] = 0.5
    assert sum(sampler.should_sample(sampled) for _ in range(1_000)) == MAX_CALLER_TRACES_PER_S / 2
    assert not sampler.should_sample(extract_context(UNSAMPLED))


def test_nothing_is_traced_without_an_exporter():
    telemetry = create_telemetry(TelemetrySettings(), HOST, random.Random(1), time.monotonic)
    trace = telemetry.start_request(SAMPLED)
    assert not trace.is_recording
    assert dict(trace.headers()) == {b"traceparent": SAMPLED[0][1]}
    telemetry.close()


def test_settings_enable_both_exporters():
    cfg = TelemetrySettings(otlp_endpoint="http://127.0.0.1:4318/", console=True)
    pairs = create_exporters(cfg)
    assert len(pairs) == 2
    assert pairs[0].spans._endpoint == "http://127.0.0.1:4318/v1/traces"
    assert create_exporters(TelemetrySettings()) == []


def test_the_console_exporter_writes_one_line_for_each_object(capsys):
    cfg = TelemetrySettings(console=True, trace_fraction=1.0)
    telemetry = create_telemetry(cfg, HOST, random.Random(1), time.monotonic)
    telemetry.live_hosts.set(2)
    telemetry.start_request([]).finish("answered")
    telemetry.close()
    docs = [json.loads(line) for line in capsys.readouterr().out.splitlines() if line]
    assert {doc.get("name", "metrics") for doc in docs} == {"caller", "metrics"}


class Collector(http.server.BaseHTTPRequestHandler):
    """Record the paths of received POST requests."""

    paths = []

    def do_POST(self):
        self.rfile.read(int(self.headers["Content-Length"]))
        self.paths.append(self.path)
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_args):
        pass


def test_spans_and_metrics_reach_a_collector():
    Collector.paths = []
    with http.server.ThreadingHTTPServer(("127.0.0.1", 0), Collector) as server:
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        endpoint = f"http://127.0.0.1:{server.server_port}"
        cfg = TelemetrySettings(otlp_endpoint=endpoint, trace_fraction=1.0)
        telemetry = create_telemetry(cfg, HOST, random.Random(1), time.monotonic)
        telemetry.live_hosts.set(1)
        telemetry.start_request([]).finish("answered")
        telemetry.close()
        server.shutdown()
        thread.join(10)
    assert set(Collector.paths) == {"/v1/traces", "/v1/metrics"}


def test_the_span_queue_is_bounded_if_the_collector_never_answers():
    with socket.create_server(("127.0.0.1", 0), backlog=1) as dead:
        endpoint = f"http://127.0.0.1:{dead.getsockname()[1]}"
        cfg = TelemetrySettings(
            otlp_endpoint=endpoint,
            trace_fraction=1.0,
            export_period_s=0.1,
            export_timeout_s=0.1,
            max_queued_spans=64,
        )
        telemetry = create_telemetry(cfg, HOST, random.Random(1), time.monotonic)
        for _ in range(5_000):
            telemetry.start_request([]).finish("answered")
        processor = telemetry._tracers._active_span_processor._span_processors[0]
        assert len(processor._batch_processor._queue) <= 64
        telemetry.close()


def test_a_first_scrape_shows_what_was_counted_before_it():
    telemetry = create_telemetry(TelemetrySettings(), HOST, random.Random(1), time.monotonic)
    page = MetricsPage(telemetry)
    telemetry.sheds.add(3, 1)
    for _ in range(RECORDS_PER_FLUSH + 5):
        telemetry.wait.record(0.25, 0)
    lines = page.render().decode().splitlines()
    assert any(line.startswith("tarragonwind_sheds") and line.endswith(" 3.0") for line in lines)
    counts = [line for line in lines if line.startswith("tarragonwind_wait_seconds_count")]
    assert [float(line.rsplit(" ", 1)[1]) for line in counts] == [RECORDS_PER_FLUSH + 5]
    telemetry.wait.record(0.25, 0)
    assert f"{RECORDS_PER_FLUSH + 6}.0" in page.render().decode()
    telemetry.close()


def test_durations_without_a_reader_take_bounded_memory():
    telemetry = create_telemetry(TelemetrySettings(), HOST, random.Random(1), time.monotonic)
    for number in range(MAX_BUFFERED_DURATIONS + 10):
        telemetry.wait.record(float(number), 0)
    assert len(telemetry.wait._buffer) == MAX_BUFFERED_DURATIONS


def test_a_daemon_starts_without_libraries_that_only_a_scrape_needs():
    code = (
        "import sys; from tarragonwind import platform_start; platform_start.import_daemon(); "
        "print([name for name in sys.modules "
        "if name.startswith(('prometheus', 'opentelemetry.sdk'))])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"
