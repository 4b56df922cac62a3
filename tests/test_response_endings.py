"""Test what callers see for each framing of an upstream's response and each way it ends."""

import contextlib
import enum
import http.client
import json
import socket
import struct
import threading
import time

import pytest

from standins.fleets import wait_until
from tarragonwind.core.entries import RouteEntry
from tarragonwind.core.permit_messages import Outcome
from tests.test_gateways import AUTH, GatewayHarness, chat

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
EVENT = b"id: 1\ndata: a\n\n"
MID_EVENT = b"id: 2\nda"
REST = b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
RESET_DELAY_S = 0.2
"""Time in which sent bytes are read before a reset destroys them, in seconds."""


class Ending(enum.Enum):
    """Define how an upstream ends a connection after its last byte."""

    CLOSE = "close"
    RESET = "reset"
    STALL = "stall"


class EndingUpstream:
    """Answer the requests of successive connections with scripted bytes and endings."""

    def __init__(self, *script: tuple[bytes, Ending]) -> None:
        self.requests: list[bytes] = []
        self._script = list(script)
        self._open: list[socket.socket] = []
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.port = self._sock.getsockname()[1]
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        for response, ending in self._script:
            try:
                conn, _ = self._sock.accept()
            except OSError:
                return
            self.requests.append(conn.recv(65_536))
            conn.sendall(response)
            if ending is Ending.STALL:
                self._open.append(conn)
                continue
            if ending is Ending.RESET:
                time.sleep(RESET_DELAY_S)
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            conn.close()

    def close(self) -> None:
        """Close all sockets."""
        for sock in [self._sock, *self._open]:
            sock.close()


@contextlib.contextmanager
def relay_response(*script, **options):
    """Run a gateway before an upstream with a script."""
    upstream = EndingUpstream(*script)
    harness = GatewayHarness(upstream.port, **options)
    try:
        yield harness, upstream
    finally:
        harness.close()
        upstream.close()


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def read_response(harness, version: int) -> tuple[bool, bytes]:
    """Send a request with HTTP/1.0 (10) or 1.1 (11); return whether its response is whole."""
    conn = http.client.HTTPConnection("127.0.0.1", harness.gateway.address.port, timeout=10)
    conn._http_vsn = version
    conn._http_vsn_str = f"HTTP/1.{version - 10}"
    conn.request("POST", "/v1/chat/completions", json.dumps(chat(stream=True)), AUTH)
    try:
        return True, conn.getresponse().read()
    except (http.client.HTTPException, ConnectionError):
        return False, b""


LENGTH = HEAD + b"Content-Length: %d\r\n\r\n" % len(EVENT)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = HEAD + b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"


@pytest.mark.parametrize("version", [10, 11], ids=["http10", "http11"])
@pytest.mark.parametrize(
    ("response", "ending", "whole"),
    [
        pytest.param(LENGTH + EVENT, Ending.CLOSE, True, id="length-whole"),
        pytest.param(LENGTH + EVENT[:9], Ending.CLOSE, False, id="length-short"),
        pytest.param(LENGTH + EVENT[:9], Ending.RESET, False, id="length-reset"),
        pytest.param(CHUNKED + chunk(EVENT) + LAST_CHUNK, Ending.CLOSE, True, id="chunked-whole"),
        pytest.param(CHUNKED + chunk(EVENT), Ending.CLOSE, False, id="chunked-no-last-chunk"),
        pytest.param(CHUNKED + chunk(EVENT)[:-4], Ending.CLOSE, False, id="chunked-in-chunk"),
        pytest.param(CHUNKED + chunk(EVENT), Ending.RESET, False, id="chunked-reset"),
        pytest.param(
            CHUNKED + chunk(EVENT + MID_EVENT) + LAST_CHUNK,
            Ending.CLOSE,
            False,
            id="chunked-mid-event",
        ),
        pytest.param(UNFRAMED + EVENT, Ending.CLOSE, True, id="unframed-whole"),
        pytest.param(UNFRAMED + EVENT, Ending.RESET, False, id="unframed-reset"),
        pytest.param(UNFRAMED + EVENT + MID_EVENT, Ending.CLOSE, False, id="unframed-mid-event"),
        pytest.param(UNFRAMED + MID_EVENT, Ending.CLOSE, False, id="unframed-first-event"),
        pytest.param(UNFRAMED, Ending.CLOSE, False, id="unframed-no-event"),
        pytest.param(UNFRAMED + EVENT + MID_EVENT, Ending.RESET, False, id="unframed-mid-reset"),
        pytest.param(
            UNFRAMED + EVENT.replace(b"\n", b"\r\n"), Ending.CLOSE, True, id="unframed-whole-crlf"
        ),
    ],
)
def test_caller_sees_a_stream_as_whole_only_if_it_is(response, ending, whole, version):
    with relay_response((response, ending)) as (harness, _):
        seen, body = read_response(harness, version)
    assert seen is whole
    if whole:
        assert body.replace(b"\r", b"") == EVENT


def test_interrupted_stream_counts_as_a_failure_of_its_upstream():
    with relay_response((UNFRAMED + EVENT + MID_EVENT, Ending.CLOSE)) as (harness, _):
        read_response(harness, 11)
        wait_until(lambda: harness.scheduler.reports, "the report")
    assert [report.outcome for report in harness.scheduler.reports] == [Outcome.FAILED]


@pytest.mark.parametrize(
    ("response", "ending", "outcome"),
    [
        pytest.param(b"", Ending.RESET, Outcome.CONNECTION_LOST, id="no-head-reset"),
        pytest.param(b"", Ending.CLOSE, Outcome.CONNECTION_LOST, id="no-head-closed"),
        pytest.param(CHUNKED, Ending.RESET, Outcome.CONNECTION_LOST, id="no-event-reset"),
        pytest.param(UNFRAMED, Ending.CLOSE, Outcome.CONNECTION_LOST, id="unframed-no-event"),
        pytest.param(
            CHUNKED + chunk(MID_EVENT), Ending.CLOSE, Outcome.CONNECTION_LOST, id="in-first-event"
        ),
        pytest.param(
            UNFRAMED + MID_EVENT, Ending.CLOSE, Outcome.CONNECTION_LOST, id="unframed-in-first"
        ),
        pytest.param(
            CHUNKED + chunk(EVENT + MID_EVENT), Ending.RESET, Outcome.FAILED, id="in-second-event"
        ),
        pytest.param(
            CHUNKED + chunk(MID_EVENT) + LAST_CHUNK, Ending.CLOSE, Outcome.FAILED, id="last-chunk"
        ),
        pytest.param(b"nonsense\r\n\r\n", Ending.CLOSE, Outcome.FAILED, id="no-http"),
    ],
)
def test_connection_that_ends_before_the_first_event_is_reported_as_lost(response, ending, outcome):
    with relay_response((response, ending)) as (harness, _):
        read_response(harness, 11)
        wait_until(lambda: harness.scheduler.reports, "the report")
    assert [report.outcome for report in harness.scheduler.reports] == [outcome]


def test_stream_without_an_end_is_cut_at_the_time_limit():
    with relay_response((UNFRAMED + EVENT, Ending.STALL)) as (harness, _):
        harness.gateway.context.times.idle_timeout_s = 0.3
        seen, _ = read_response(harness, 11)
    assert not seen


def resumable_route() -> RouteEntry:
    return RouteEntry(
        name="chat",
        owner="o",
        pool="chat",
        tier=1,
        model="m",
        streams=True,
        resumable=True,
        max_attempts=2,
    )


@pytest.mark.parametrize("end", [b"", MID_EVENT], ids=["no-event", "mid-event"])
def test_resumable_stream_that_ends_inside_an_event_goes_on_at_another_upstream(end):
    first = UNFRAMED + (EVENT + end if end else b"")
    rest = REST if end else EVENT + REST
    with relay_response((first, Ending.CLOSE), (UNFRAMED + rest, Ending.CLOSE)) as (harness, _):
        harness.catalogue.routes[0] = resumable_route()
        seen, body = read_response(harness, 11)
    assert (seen, body) == (True, EVENT + REST)


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"], ids=["lf", "crlf"])
def test_stream_with_an_id_that_ends_inside_an_event_is_resumed_at_its_upstream(line_end):
    head = UNFRAMED[:-2] + b"Stream-Id: s1\r\n\r\n"
    first, last = (part.replace(b"\n", line_end) for part in (EVENT + MID_EVENT, REST))
    script = (head + first, Ending.CLOSE), (UNFRAMED + last, Ending.CLOSE)
    with relay_response(*script) as (harness, upstream):
        seen, body = read_response(harness, 11)
    assert (seen, body.replace(b"\r", b"")) == (True, EVENT + REST)
    assert b"GET /v1/streams/s1 " in upstream.requests[1]
    assert b"Last-Event-ID: 1\r\n" in upstream.requests[1]


def test_an_error_page_is_no_rest_of_a_stream_that_is_resumed_at_its_upstream():
    head = UNFRAMED[:-2] + b"Stream-Id: s1\r\n\r\n"
    page = b"HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 5\r\n\r\nerror"
    with relay_response((head + EVENT + MID_EVENT, Ending.CLOSE), (page, Ending.CLOSE)) as (
        harness,
        _,
    ):
        seen, body = read_response(harness, 11)
    assert (seen, body) == (False, b"")


def test_caller_sees_a_reset_when_the_host_dies_in_a_response_without_framing():
    with relay_response((UNFRAMED + EVENT, Ending.STALL)) as (harness, _):
        sock = socket.create_connection(("127.0.0.1", harness.gateway.address.port))
        sock.settimeout(10)
        body = json.dumps(chat(stream=True)).encode()
        head = f"POST /v1/chat/completions HTTP/1.0\r\nAuthorization: {AUTH['Authorization']}\r\n"
        sock.sendall(head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        received = b""
        while not received.endswith(EVENT):
            received += sock.recv(65_536)
        (connection,) = harness.gateway._server._connections
        # The operating system closes the sockets of a process that dies in this way.
        connection._conn.sock.close()
        with pytest.raises(ConnectionResetError):
            sock.recv(65_536)
