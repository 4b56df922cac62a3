"""Test with real processes that the spans of a request and the metrics reach a collector."""

import hashlib
import http.server
import json
import threading

import pytest
import yaml
from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import ExportMetricsServiceRequest
from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import ExportTraceServiceRequest

from standins.fleets import LOOPBACK, Fleet, call, wait_until
from tarragonwind.telemetry_traces import SpanName

TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736"
TOKEN = "token-of-the-organisation"
METRICS = {"requests", "wait", "goodput", "store.calls", "catalogue.number", "hosts.live"}


class Collector(http.server.BaseHTTPRequestHandler):
    spans = []
    metrics = set()

    def do_POST(self):
        body = self.rfile.read(int(self.headers["Content-Length"]))
        if self.path == "/v1/traces":
            self._add_spans(body)
        else:
            self._add_metrics(body)
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def _add_spans(self, body):
        for resource in ExportTraceServiceRequest.FromString(body).resource_spans:
            for scope in resource.scope_spans:
                self.spans.extend(scope.spans)

    def _add_metrics(self, body):
        for resource in ExportMetricsServiceRequest.FromString(body).resource_metrics:
            for scope in resource.scope_metrics:
                self.metrics.update(metric.name for metric in scope.metrics)

    def log_message(self, *_args):
        pass


@pytest.fixture
def collector():
    Collector.spans, Collector.metrics = [], set()
    with http.server.ThreadingHTTPServer((LOOPBACK, 0), Collector) as server:
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        yield f"http://{LOOPBACK}:{server.server_port}"
        server.shutdown()
        thread.join(10)


def write_catalogue(path, engine_port):
    common = {"owner": "ana"}
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    upstream = {"pool": "chat", "version": "v1", "host": LOOPBACK, "port": engine_port}
    entries = [
        {"kind": "organisation", "name": "org", "token_sha256": [digest]},
        {"kind": "pool", "name": "chat", "back_end": "engine", "version": "v1"},
        {"kind": "route", "name": "draft", "pool": "chat", "tier": 2, "model": "small"},
        {"kind": "upstream", "name": "e1", "data_centre": "etna", **upstream},
    ]
    path.write_text(yaml.safe_dump([{**entry, **common} for entry in entries]))


@pytest.mark.process
def test_request_spans_and_metrics_reach_the_collector(tmp_path, collector):
    telemetry = {"otlp_endpoint": collector, "export_period_s": 0.5}
    with Fleet(tmp_path, extra_settings={"telemetry": telemetry}) as fleet:
        fleet.start_platform()
        engine = fleet.start_engine("e1")
        fleet.prepare_hosts(["a1"])
        host = fleet.start_host("a1")
        write_catalogue(tmp_path / "catalogue.yaml", engine.port)
        put = fleet.run_cli("catalogue", "put", str(tmp_path / "catalogue.yaml"))
        assert put.returncode == 0, put.stderr
        fleet.wait_ready()
        headers = {
            "Authorization": f"Bearer {TOKEN}",
            "traceparent": f"00-{TRACE_ID}-00f067aa0ba902b7-01",
        }
        message = {"role": "user", "content": "hunter2"}
        body = {"model": "small", "messages": [message], "max_tokens": 5, "stream": True}
        answer = call(host.port, "POST", "/v1/chat/completions", json.dumps(body).encode(), headers)
        assert answer.status == 200
        names = {member.value for member in SpanName}
        wait_until(lambda: names <= {span.name for span in Collector.spans}, "every span")
        expected = {f"tarragonwind.{name}" for name in METRICS}
        wait_until(lambda: expected <= Collector.metrics, "every metric")
        host.terminate()
        assert host.process.wait(20) == 0
    by_name = {span.name: span for span in Collector.spans}
    assert {span.trace_id.hex() for span in Collector.spans} == {TRACE_ID}
    assert by_name["owner"].parent_span_id == by_name["wait"].span_id
    assert by_name["first_token"].parent_span_id == by_name["dispatch"].span_id
    assert by_name["dispatch"].parent_span_id == by_name["caller"].span_id
    log = fleet.log_path("a1").read_text()
    assert "hunter2" not in log
    assert TOKEN not in log
