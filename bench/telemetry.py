"""Measure what telemetry costs a request, and what an export does to the loop's longest pass.

Run with ``python -m bench.telemetry [--json FILE]``; it talks to loopback only and ends by itself.
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
from tarragonwind.telemetry import (
    MAX_SPANS_PER_EXPORT,
    Telemetry,
    create_telemetry,
    create_unexported_telemetry,
)
from tarragonwind.telemetry_traces import SpanName

HOST = HostSettings(name="bench", data_centre="loopback")
COST_REQUESTS = 20_000
COST_ROUNDS = 5
COLD_REQUESTS = 2_000
PASS_PERIOD_S = 0.001
PASS_RUN_S = 6.0
EXPORT_PERIOD_S = 0.05
"""Time between two exports from the loop; a batch at a time carries every request's spans."""
REQUESTS_PER_PASS = 1
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
    """Hold the processor time of one request's telemetry."""

    case: str
    per_request_us: float


@dataclass(frozen=True, slots=True)
class PassRow:
    """Hold how late the loop's passes were, in milliseconds."""

    case: str
    median_late_ms: float
    p999_late_ms: float
    longest_late_ms: float
    requests: int


def follow_request(telemetry: Telemetry, headers: list[tuple[bytes, bytes]]) -> None:
    """Make the calls that the gateway makes for one answered request."""
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
    """Return the least processor time a request over some rounds."""
    telemetry = create_telemetry(cfg, HOST, random.Random(1), time.monotonic)
    best = float("inf")
    for _ in range(COST_ROUNDS):
        started = time.thread_time()
        for _ in range(COST_REQUESTS):
            follow_request(telemetry, headers)
        best = min(best, time.thread_time() - started)
    telemetry.close()
    return CostRow(case, round(best / COST_REQUESTS * 1e6, 2))


def measure_cold_cost() -> CostRow:
    """Return the processor time of a request that finds the processor's caches full of others."""
    telemetry = create_unexported_telemetry()
    others = [bytearray(200_000) for _ in range(20)]
    spent = 0.0
    for _ in range(COLD_REQUESTS):
        for other in others:
            other[::64] = bytes(len(other) // 64)
        started = time.perf_counter()
        follow_request(telemetry, BASE_HEADERS)
        spent += time.perf_counter() - started
    telemetry.close()
    return CostRow("no destination, cold caches", round(spent / COLD_REQUESTS * 1e6, 2))


def measure_costs() -> list[CostRow]:
    """Return the cost of a request by case; the collector is alive."""
    off = TelemetrySettings()
    with live_collector() as endpoint:
        none = TelemetrySettings(otlp_endpoint=endpoint, trace_fraction=0.0)
        some = TelemetrySettings(otlp_endpoint=endpoint, trace_fraction=0.01)
        every = TelemetrySettings(otlp_endpoint=endpoint, trace_fraction=1.0)
        return [
            measure_cold_cost(),
            measure_cost("no destination", off, BASE_HEADERS),
            measure_cost(
                "no destination, caller's context passed on", off, BASE_HEADERS + UNSAMPLED
            ),
            measure_cost("metrics only", none, BASE_HEADERS),
            measure_cost("1% recorded (default)", some, BASE_HEADERS),
            measure_cost(
                "caller's own traces, at most 20/s recorded", some, BASE_HEADERS + SAMPLED
            ),
            measure_cost("every request recorded", every, BASE_HEADERS),
        ]


class Collector(http.server.BaseHTTPRequestHandler):
    """Take every export and answer at once."""

    def do_POST(self) -> None:
        """Read the export."""
        self.rfile.read(int(self.headers["Content-Length"]))
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_args: object) -> None:
        """Say nothing."""


@contextlib.contextmanager
def live_collector() -> Iterator[str]:
    """Run a collector in a thread and give its address."""
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
    """Give an address that takes connections and never answers."""
    with socket.create_server(("127.0.0.1", 0), backlog=8) as dead:
        yield f"http://127.0.0.1:{dead.getsockname()[1]}"


@contextlib.contextmanager
def refusing_collector() -> Iterator[str]:
    """Give an address that nobody listens on."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield f"http://127.0.0.1:{bound.getsockname()[1]}"


class LoopExporter(SpanProcessor):
    """Encode and send spans from the loop, the way that was weighed and left."""

    def __init__(self, endpoint: str) -> None:
        self._queue: collections.deque[ReadableSpan] = collections.deque(maxlen=2_048)
        host, _, port = endpoint.removeprefix("http://").partition(":")
        self._sock = socket.create_connection((host, int(port)), 5)
        self._sock.setblocking(False)

    def on_end(self, span: ReadableSpan) -> None:
        """Queue an ended span."""
        self._queue.append(span)

    def export(self) -> None:
        """Encode one batch and send what the socket takes."""
        count = min(len(self._queue), MAX_SPANS_PER_EXPORT)
        batch = [self._queue.popleft() for _ in range(count)]
        payload = encode_spans(batch).SerializeToString()
        with contextlib.suppress(OSError):
            self._sock.send(payload)

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


def measure_passes(case: str, cfg: TelemetrySettings, endpoint: str = "") -> PassRow:
    """Run the loop for some seconds and return how late its timer was.

    With `endpoint`, spans are exported from the loop; otherwise as the settings say.
    """
    telemetry = create_telemetry(cfg, HOST, random.Random(1), time.monotonic)
    loop_exporter = _attach_loop_exporter(telemetry, endpoint) if endpoint else None
    loop = create_loop()
    lateness: list[float] = []
    due = [time.monotonic() + PASS_PERIOD_S]

    def run_pass() -> None:
        now = loop.timers.now()
        lateness.append(max(0.0, now - due[0]))
        for _ in range(REQUESTS_PER_PASS):
            follow_request(telemetry, BASE_HEADERS)
        due[0] = max(due[0] + PASS_PERIOD_S, now)
        loop.timers.call_later(due[0] - loop.timers.now(), run_pass)

    loop.timers.call_later(PASS_PERIOD_S, run_pass)
    if loop_exporter is not None:
        loop.timers.call_every(EXPORT_PERIOD_S, loop_exporter.export)
    loop.timers.call_later(PASS_RUN_S, loop.stop)
    loop.run()
    if loop_exporter is not None:
        loop_exporter.close()
    telemetry.close()
    lateness.sort()
    return PassRow(
        case,
        round(lateness[len(lateness) // 2] * 1e3, 3),
        round(lateness[int(len(lateness) * 0.999)] * 1e3, 3),
        round(lateness[-1] * 1e3, 3),
        len(lateness) * REQUESTS_PER_PASS,
    )


def _attach_loop_exporter(telemetry: Telemetry, endpoint: str) -> LoopExporter:
    exporter = LoopExporter(endpoint)
    assert telemetry._tracers is not None
    telemetry._tracers._active_span_processor._span_processors = (exporter,)
    return exporter


def measure_all_passes() -> list[PassRow]:
    """Return the lateness of the loop by case, with a thousand requests a second."""
    rows = [measure_passes("no destination", TelemetrySettings())]
    rows.append(_measure_thread("SDK thread, 1% recorded, silent", 0.01, silent_collector))
    gc.collect()
    gc.freeze()
    rows.append(measure_passes("frozen: no destination", TelemetrySettings()))
    for fraction in (0.01, 1.0):
        share = f"frozen: SDK thread, {fraction:.0%} recorded"
        rows.append(_measure_thread(f"{share}, live", fraction, live_collector))
        rows.append(_measure_thread(f"{share}, silent", fraction, silent_collector))
        rows.append(_measure_thread(f"{share}, refusing", fraction, refusing_collector))
        with silent_collector() as endpoint:
            case = f"frozen: from the loop, {fraction:.0%} recorded, silent"
            rows.append(measure_passes(case, _settings(endpoint, fraction), endpoint))
    rows.append(measure_passes("frozen: no destination, again", TelemetrySettings()))
    return rows


def _measure_thread(case: str, fraction: float, collector: CollectorFactory) -> PassRow:
    with collector() as endpoint:
        return measure_passes(case, _settings(endpoint, fraction))


def _settings(endpoint: str, fraction: float) -> TelemetrySettings:
    return TelemetrySettings(otlp_endpoint=endpoint, trace_fraction=fraction, export_period_s=1.0)


def main() -> None:
    """Print both tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", default="")
    args = parser.parse_args()
    configure_logs(LogSettings(level=LogLevel.ERROR), "bench", io.StringIO())
    costs = measure_costs()
    passes = measure_all_passes()
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
