"""Tell streams that stall inside an event from slow ones that are sound."""

import http.client
import json
import socket
import threading
import time

import pytest

from tests.test_gateways import AUTH, GatewayHarness, chat

IDLE_TIMEOUT_S = 0.4
BYTE_INTERVAL_S = 0.05
LIMIT_S = 3.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENT = b"data: word\n\n"


class SlowUpstream:
    """Send parts of a stream with a pause after each, then its end."""

    def __init__(self, parts, interval_s):
        self.parts, self.interval_s = parts, interval_s
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.port = self._sock.getsockname()[1]
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        conn, _ = self._sock.accept()
        conn.recv(65536)
        try:
            conn.sendall(HEAD)
            for part in self.parts:
                conn.sendall(b"%x\r\n%b\r\n" % (len(part), part))
                time.sleep(self.interval_s)
            conn.sendall(b"0\r\n\r\n")
        except OSError:
            pass
        conn.close()


def read_stream(parts, interval_s):
    """Return the body and how it ended: ``whole`` or ``cut``; fail if it does not end."""
    upstream = SlowUpstream(parts, interval_s)
    harness = GatewayHarness(upstream.port)
    harness.gateway.context.times.idle_timeout_s = IDLE_TIMEOUT_S
    address = harness.gateway.address
    conn = http.client.HTTPConnection("127.0.0.1", address.port, timeout=LIMIT_S)
    body = b""
    begin = time.monotonic()
    try:
        conn.request("POST", "/v1/chat/completions", json.dumps(chat(stream=True)), AUTH)
        answer = conn.getresponse()
        while part := answer.read1():
            body += part
            assert time.monotonic() - begin < LIMIT_S, "the stream does not end"
        return body, "whole"
    except (http.client.IncompleteRead, ConnectionResetError):
        return body, "cut"
    finally:
        conn.close()
        harness.close()


@pytest.mark.parametrize("start", [b"", EVENT, b"data: word\r\n\r\n"], ids=["none", "lf", "crlf"])
def test_a_stream_that_stalls_inside_an_event_is_ended_though_bytes_come(start):
    dribble = [b"x"] * int(2 * LIMIT_S / BYTE_INTERVAL_S)
    body, end = read_stream([start + b"data: ", *dribble], BYTE_INTERVAL_S)
    assert end == "cut"
    assert body.startswith(start)


@pytest.mark.parametrize(
    "parts",
    [
        [EVENT] * 5,
        [b"data: a", b"\n\n"] * 5,
        [b"data: a\r\n\r\ndata", b": b\r\n\r\ndata: ", b"c\r\n\r\n"] * 2,
        [b": ping\n\n"] * 5,
    ],
    ids=["events", "halves", "ends-inside", "comments"],
)
def test_a_slow_stream_whose_events_arrive_whole_is_not_cut(parts):
    assert read_stream(parts, 0.4 * IDLE_TIMEOUT_S) == (b"".join(parts), "whole")
