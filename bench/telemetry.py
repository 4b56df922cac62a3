"""Measure the CPU time of telemetry per request and the effect of exports on event-loop latency.

Run with ``python -m bench.telemetry [--json FILE]``; it uses only loopback and exits by itself.
"""

from __future__ import annotations

import argparse
import collections
import contextlib
import gc
import http.server
import io
import json
import random
import socket
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass

from opentelemetry.exporter.otlp.proto.common.trace_encoder import encode_spans
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor

from tarragonwind.adapters.loops import create_loop
from tarragonwind.logs import configure_logs
from tarragonwind.settings import HostSettings, LogLevel, LogSettings, TelemetrySettings
from tarragonwind.telemetry import Telemetry, create_telemetry, create_unexported_telemetry
from tarragonwind.telemetry_providers import MAX_SPANS_PER_EXPORT
from tarragonwind.telemetry_traces import SpanName

HOST = HostSettings(name="bench", data_centre="loopback")
COST_REQUESTS = 20_000
COST_ROUNDS = 5
COLD_REQUESTS = 2_000
TICK_PERIOD_S = 0.001
"""Period of the timer whose delay is measured, in seconds."""
TICK_RUN_S = 6.0
"""Duration of one latency measurement, in seconds."""
EXPORT_PERIOD_S = 0.05
"""Time between two exports from the loop, in seconds, so that one batch holds all new spans."""
REQUESTS_PER_TICK = 1
CollectorFactory = Callable[[], contextlib.AbstractContextManager[str]]

BASE_HEADERS = [
    (b"host", b"entry"),
    (b"accept-encoding", b"identity"),
    (b"content-type", b"application/json"),
    (b"content-length", b"100"),
    (b"authorization", b"Bearer token"),
]
UNSAMPLED = [(b"traceparent", b"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00")]
SAMPLED = [(b"traceparent", b"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01")]


@dataclass(frozen=True, slots=True)
class CostRow:
    """Hold the CPU time of one request's telemetry, in microseconds."""

    case: str
    per_request_us: float


@dataclass(frozen=True, slots=True)
class LoopLatencyRow:
    """Hold the delays of a periodic timer of the event loop, in milliseconds.

    Attributes
    ----------
    case : str
        Telemetry configuration and collector.
    median_late_ms, p999_late_ms, longest_late_ms : float
        Median, 99.9th percentile and maximum of the delay.
    requests : int
        Number of requests whose telemetry was recorded meanwhile.
    """

    case: str
    median_late_ms: float
    p999_late_ms: float
    longest_late_ms: float
    requests: int


def record_request(telemetry: Telemetry, headers: list[tuple[bytes, bytes]]) -> None:
    """Make the telemetry calls that the gateway makes for one answered request."""
    trace = telemetry.start_request(headers)
    trace.start_span(SpanName.WAIT)
    trace.start_span(SpanName.OWNER)
    trace.end_span(SpanName.OWNER)
    trace.end_span(SpanName.WAIT)
    telemetry.wait.record(0.01, 1)
    trace.start_span(SpanName.DISPATCH)
    trace.start_span(SpanName.FIRST_TOKEN)
    trace.headers()
    trace.end_span(SpanName.FIRST_TOKEN)
    trace.start_span(SpanName.STREAM)
    trace.finish("answered")
    telemetry.requests.add(1, 1, "answered", "")
    telemetry.goodput.add(1, 1)


def measure_cost(case: str, cfg: TelemetrySettings, headers: list[tuple[bytes, bytes]]) -> CostRow:
    """Return the CPU time per request, as the minimum over `COST_ROUNDS` rounds."""
    telemetry = create_telemetry(cfg, HOST, random.Random(1), time.monotonic)
    best = float("inf")
    for _ in range(COST_ROUNDS):
        started = time.thread_time()
        for _ in range(COST_REQUESTS):
            record_request(telemetry, headers)
        best = min(best, time.thread_time() - started)
    telemetry.close()
    return CostRow(case, round(best / COST_REQUESTS * 1e6, 2))


def measure_cold_cost() -> CostRow:
    """Return the time per request when the CPU caches are filled with other data before each."""
    telemetry = create_unexported_telemetry()
    buffers = [bytearray(200_000) for _ in range(20)]
    total_s = 0.0
    for _ in range(COLD_REQUESTS):
        for buffer in buffers:
            buffer[::64] = bytes(len(buffer) // 64)
        started = time.perf_counter()
        record_request(telemetry, BASE_HEADERS)
        total_s += time.perf_counter() - started
    telemetry.close()
    return CostRow("no destination, cold caches", round(total_s / COLD_REQUESTS * 1e6, 2))


def measure_costs() -> list[CostRow]:
    """Measure the cost of a request in each telemetry configuration; the collector responds."""
    disabled = TelemetrySettings()
    with responding_collector() as endpoint:
        metrics_only = TelemetrySettings(otlp_endpoint=endpoint, trace_fraction=0.0)
        sampled = TelemetrySettings(otlp_endpoint=endpoint, trace_fraction=0.01)
        all_traces = TelemetrySettings(otlp_endpoint=endpoint, trace_fraction=1.0)
        return [
            measure_cold_cost(),
            measure_cost("no destination", disabled, BASE_HEADERS),
            measure_cost(
                "no destination, caller's context passed on", disabled, BASE_HEADERS + UNSAMPLED
            ),
            measure_cost("metrics only", metrics_only, BASE_HEADERS),
            measure_cost("1% recorded (default)", sampled, BASE_HEADERS),
            measure_cost(
                "caller's own traces, at most 20/s recorded", sampled, BASE_HEADERS + SAMPLED
            ),
            measure_cost("every request recorded", all_traces, BASE_HEADERS),
        ]


class Collector(http.server.BaseHTTPRequestHandler):
    """Accept every export request and answer it at once with status 200."""

    def do_POST(self) -> None:
        """Read the request body and answer."""
        self.rfile.read(int(self.headers["Content-Length"]))
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_args: object) -> None:
        """Suppress the request log."""


@contextlib.contextmanager
def responding_collector() -> Iterator[str]:
    """Run a `Collector` in a thread and yield its URL."""
    with http.server.ThreadingHTTPServer(("127.0.0.1", 0), Collector) as server:
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        try:
            yield f"http://127.0.0.1:{server.server_port}"
        finally:
            server.shutdown()
            thread.join()


@contextlib.contextmanager
def silent_collector() -> Iterator[str]:
    """Yield the URL of a server that accepts connections and never answers."""
    with socket.create_server(("127.0.0.1", 0), backlog=8) as server:
        yield f"http://127.0.0.1:{server.getsockname()[1]}"


@contextlib.contextmanager
def refusing_collector() -> Iterator[str]:
    """Yield the URL of a port that refuses connections."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield f"http://127.0.0.1:{sock.getsockname()[1]}"


class LoopExporter(SpanProcessor):
    """Encode and send spans from the event loop.

    This is the rejected alternative to the SDK's exporter thread, kept for the comparison.

    Parameters
    ----------
    endpoint : str
        URL of the collector, as ``http://HOST:PORT``.
    """

    def __init__(self, endpoint: str) -> None:
        self._queue: collections.deque[ReadableSpan] = collections.deque(maxlen=2_048)
        host, _, port = endpoint.removeprefix("http://").partition(":")
        self._sock = socket.create_connection((host, int(port)), 5)
        self._sock.setblocking(False)

    def on_end(self, span: ReadableSpan) -> None:
        """Queue an ended span; the oldest is dropped when the queue is full."""
        self._queue.append(span)

    def export(self) -> None:
        """Encode one batch and send as much of it as the socket accepts without blocking."""
        count = min(len(self._queue), MAX_SPANS_PER_EXPORT)
        batch = [self._queue.popleft() for _ in range(count)]
        payload = encode_spans(batch).SerializeToString()
        with contextlib.suppress(OSError):
            self._sock.send(payload)

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


def measure_loop_latency(case: str, cfg: TelemetrySettings, endpoint: str = "") -> LoopLatencyRow:
    """Run the loop with a periodic timer for `TICK_RUN_S` and return the timer's delays.

    Parameters
    ----------
    case : str
        Label of the result.
    cfg : TelemetrySettings
        Settings of the telemetry.
    endpoint : str
        URL of a collector to which the spans are exported from the loop. If empty, the SDK's
        thread exports them according to `cfg`.
    """
    telemetry = create_telemetry(cfg, HOST, random.Random(1), time.monotonic)
    loop_exporter = _attach_loop_exporter(telemetry, endpoint) if endpoint else None
    loop = create_loop()
    delays_s: list[float] = []
    due = [time.monotonic() + TICK_PERIOD_S]

    def tick() -> None:
        now = loop.timers.now()
        delays_s.append(max(0.0, now - due[0]))
        for _ in range(REQUESTS_PER_TICK):
            record_request(telemetry, BASE_HEADERS)
        due[0] = max(due[0] + TICK_PERIOD_S, now)
        loop.timers.call_later(due[0] - loop.timers.now(), tick)

    loop.timers.call_later(TICK_PERIOD_S, tick)
    if loop_exporter is not None:
        loop.timers.call_every(EXPORT_PERIOD_S, loop_exporter.export)
    loop.timers.call_later(TICK_RUN_S, loop.stop)
    loop.run()
    if loop_exporter is not None:
        loop_exporter.close()
    telemetry.close()
    delays_s.sort()
    return LoopLatencyRow(
        case,
        round(delays_s[len(delays_s) // 2] * 1e3, 3),
        round(delays_s[int(len(delays_s) * 0.999)] * 1e3, 3),
        round(delays_s[-1] * 1e3, 3),
        len(delays_s) * REQUESTS_PER_TICK,
    )


def _attach_loop_exporter(telemetry: Telemetry, endpoint: str) -> LoopExporter:
    exporter = LoopExporter(endpoint)
    assert telemetry._tracers is not None
    telemetry._tracers._active_span_processor._span_processors = (exporter,)
    return exporter


def measure_all_loop_latencies() -> list[LoopLatencyRow]:
    """Measure the loop latency in each case at a thousand requests per second.

    Cases named "frozen" run after ``gc.freeze()``, which exempts all existing objects from garbage
    collection.
    """
    rows = [measure_loop_latency("no destination", TelemetrySettings())]
    rows.append(_measure_sdk_thread("SDK thread, 1% recorded, silent", 0.01, silent_collector))
    gc.collect()
    gc.freeze()
    rows.append(measure_loop_latency("frozen: no destination", TelemetrySettings()))
    for fraction in (0.01, 1.0):
        share = f"frozen: SDK thread, {fraction:.0%} recorded"
        rows.append(_measure_sdk_thread(f"{share}, live", fraction, responding_collector))
        rows.append(_measure_sdk_thread(f"{share}, silent", fraction, silent_collector))
        rows.append(_measure_sdk_thread(f"{share}, refusing", fraction, refusing_collector))
        with silent_collector() as endpoint:
            case = f"frozen: from the loop, {fraction:.0%} recorded, silent"
            rows.append(measure_loop_latency(case, _settings(endpoint, fraction), endpoint))
    rows.append(measure_loop_latency("frozen: no destination, again", TelemetrySettings()))
    return rows


def _measure_sdk_thread(case: str, fraction: float, collector: CollectorFactory) -> LoopLatencyRow:
    with collector() as endpoint:
        return measure_loop_latency(case, _settings(endpoint, fraction))


def _settings(endpoint: str, fraction: float) -> TelemetrySettings:
    return TelemetrySettings(otlp_endpoint=endpoint, trace_fraction=fraction, export_period_s=1.0)


def main() -> None:
    """Measure costs and loop latency, print both tables and write them to ``--json``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", default="")
    args = parser.parse_args()
    configure_logs(LogSettings(level=LogLevel.ERROR), "bench", io.StringIO())
    costs = measure_costs()
    passes = measure_all_loop_latencies()
    for cost in costs:
        print(f"{cost.case:46} {cost.per_request_us:8.2f} us a request")
    for row in passes:
        print(
            f"{row.case:46} late: median {row.median_late_ms:.3f} ms, "
            f"p99.9 {row.p999_late_ms:.3f} ms, longest {row.longest_late_ms:.3f} ms, "
            f"{row.requests} requests"
        )
    if args.json:
        with open(args.json, "w", encoding="utf-8") as file:
            doc = {
                "costs": [asdict(row) for row in costs],
                "passes": [asdict(row) for row in passes],
            }
            json.dump(doc, file, indent=1)


if __name__ == "__main__":
    main()
