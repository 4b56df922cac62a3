"""Test the request parser on arbitrary input, and the server's timeouts and idle close."""

import socket
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.fleets import wait_until
from tarragonwind.adapters.connection_times import FIRST_REQUEST_S
from tarragonwind.adapters.http_requests import HttpLimits
from tarragonwind.adapters.http_servers import HttpServer
from tarragonwind.adapters.request_parsers import MAX_HEADER_FIELDS, RequestParser
from tarragonwind.errors import ErrorKind, RequestError
from tarragonwind.ports import Address
from tests.support import LoopRunner

LIMITS = HttpLimits(max_head_bytes=2_000, max_body_bytes=3_000)

BODIES = st.binary(max_size=400)
NAMES = st.from_regex(r"[A-Za-z][A-Za-z0-9-]{0,15}", fullmatch=True).map(lambda name: f"X-{name}")
VALUES = st.from_regex(r"[!-~]([ -~]{0,30}[!-~])?", fullmatch=True)


@st.composite
def requests(draw):
    """Draw a valid request: method, target, body and encoded bytes."""
    method = draw(st.sampled_from(["GET", "POST", "PUT", "DELETE"]))
    target = "/" + draw(st.from_regex(r"[a-z0-9/._~-]{0,30}", fullmatch=True))
    body = draw(BODIES)
    lines = [f"{method} {target} HTTP/1.1", "Host: a"]
    for name in draw(st.lists(NAMES, max_size=4)):
        lines.append(f"{name}: {draw(VALUES)}")
    if draw(st.booleans()):
        lines.append("Transfer-Encoding: chunked")
        parts = b"".join(b"%x\r\n%b\r\n" % (1, body[i : i + 1]) for i in range(len(body)))
        tail = parts + b"0\r\n\r\n"
    else:
        lines.append(f"Content-Length: {len(body)}")
        tail = body
    return method, target, body, "\r\n".join(lines).encode() + b"\r\n\r\n" + tail


def take_requests(parser):
    """Take the requests that a parser has read, which are parsed one at a time."""
    found = []
    while parser.ready or parser.held is not None:
        assert len(parser.ready) <= 1
        if parser.ready:
            req = parser.ready.popleft()
            found.append((req.method, req.target, req.body))
            assert parser.advance() is None
        else:
            assert parser.accept_body() is None
    return found


@settings(max_examples=150, derandomize=True, deadline=None)
@given(
    st.lists(requests(), min_size=1, max_size=4),
    st.lists(st.integers(1, 60), min_size=1),
    st.booleans(),
)
def test_requests_are_parsed_alike_from_any_chunks(sent, sizes, holds_bodies):
    data = b"".join(request[3] for request in sent)
    parser = RequestParser(LIMITS, holds_bodies)
    position = 0
    found = []
    for turn in range(len(data)):
        size = sizes[turn % len(sizes)]
        assert parser.feed(data[position : position + size]) is None
        found += take_requests(parser)
        position += size
        if position >= len(data):
            break
    assert found == [request[:3] for request in sent]


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.binary(max_size=300), max_size=20), st.booleans())
def test_arbitrary_bytes_keep_the_parser_within_its_limits(chunks, valid_start):
    parser = RequestParser(LIMITS)
    if valid_start:
        parser.feed(b"POST / HTTP/1.1\r\nHost: a\r\n")
    error = None
    for chunk in chunks:
        before = len(parser.ready)
        now = parser.feed(chunk)
        assert error is None or (now is error and len(parser.ready) == before)
        error = now
    assert all(len(req.body) <= LIMITS.max_body_bytes for req in parser.ready)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(requests(), st.data())
def test_request_with_one_changed_byte_is_parsed_or_refused(sent, data):
    raw = bytearray(sent[3])
    index = data.draw(st.integers(0, len(raw) - 1))
    raw[index] = data.draw(st.integers(0, 255))
    parser = RequestParser(LIMITS)
    error = parser.feed(bytes(raw))
    assert error is None or error.kind in (
        ErrorKind.BAD_REQUEST,
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.HEADERS_TOO_LARGE,
        ErrorKind.METHOD_REFUSED,
    )


def test_input_behind_a_request_is_left_unparsed():
    parser = RequestParser(LIMITS)
    assert parser.feed(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 3_000) is None
    assert len(parser.ready) == 1
    assert parser.unparsed == 2_999 * 27


def test_a_head_with_too_many_fields_is_refused():
    parser = RequestParser(HttpLimits())
    fields = b"".join(b"x%d: 1\r\n" % number for number in range(MAX_HEADER_FIELDS))
    error = parser.feed(b"GET / HTTP/1.1\r\nHost: a\r\n" + fields + b"\r\n")
    assert error is not None and error.kind is ErrorKind.HEADERS_TOO_LARGE


CHUNKED_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize("line", [b"bb9\r\n", b"ffffffff\r\n", b"fff;name=value\r\n"])
@pytest.mark.parametrize("split", [0, 1, 3, 4])
def test_an_announced_chunk_over_the_limit_is_refused_before_it_comes(line, split):
    parser = RequestParser(LIMITS)
    parser.feed(CHUNKED_HEAD + line[:split])
    assert parser.feed(line[split:]).kind is ErrorKind.BODY_TOO_LARGE


@pytest.mark.parametrize("trailer", [b"X: 10\r\n\r\n", b"ffffffff: ffffffff\r\n\r\n"])
@pytest.mark.parametrize("size", [1, 3, 100])
def test_trailer_fields_are_dropped_and_not_taken_for_a_chunk(trailer, size):
    parser = RequestParser(LIMITS)
    data = CHUNKED_HEAD + b"2;a=b\r\nok\r\n0\r\n" + trailer
    for begin in range(0, len(data), size):
        assert parser.feed(data[begin : begin + size]) is None
    assert parser.ready[0].body == b"ok"
    assert [name for name, _ in parser.ready[0].headers] == [b"Host", b"Transfer-Encoding"]


def test_endless_framing_of_a_body_is_refused():
    parser = RequestParser(LIMITS)
    parser.feed(CHUNKED_HEAD + b"1;")
    assert any(parser.feed(b"x" * 1_000) for _ in range(100))


@pytest.fixture
def server():
    runner = LoopRunner()
    limits = HttpLimits(head_timeout_s=0.2, body_timeout_s=0.2, idle_timeout_s=5.0)

    def answer(exchange, *error):
        exchange.answer(error[0].kind is ErrorKind.REQUEST_TOO_SLOW and 408 or 400, [], b"")

    one = HttpServer(
        runner.loop,
        Address("127.0.0.1", 0),
        limits,
        lambda exchange: exchange.answer(200, [], b"ok"),
        answer,
    )
    runner.start()
    yield one
    runner.stop()


@pytest.mark.parametrize(
    "partial_request",
    [
        b"GET / HTTP/1.1\r\nHost: a\r\nX: ",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nx",
    ],
)
def test_slow_request_times_out_while_bytes_keep_arriving(server, partial_request):
    sock = socket.create_connection(("127.0.0.1", server.address.port))
    sock.sendall(partial_request)
    sock.settimeout(0.02)
    got = b""
    deadline = time.monotonic() + 10
    while not got and time.monotonic() < deadline:
        try:
            sock.sendall(b"x")
            got = sock.recv(4_096)
        except TimeoutError:
            continue
    assert got.startswith(b"HTTP/1.1 408")


@pytest.mark.parametrize(
    ("partial_request", "status"),
    [
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nx", 400),
        (CHUNKED_HEAD + b"5\r\nab", 400),
        (b"GET / HTT", 400),
    ],
)
def test_a_request_cut_short_by_the_close_of_one_side_is_refused_at_once(
    server, partial_request, status
):
    sock = socket.create_connection(("127.0.0.1", server.address.port))
    sock.settimeout(0.15)
    sock.sendall(partial_request)
    sock.shutdown(socket.SHUT_WR)
    assert sock.recv(4_096).startswith(b"HTTP/1.1 %d " % status)


def test_a_request_is_refused_by_its_head_before_its_body_comes(server):
    server.check_head = lambda request: RequestError(ErrorKind.UNKNOWN_ROUTE, request.target)
    sock = socket.create_connection(("127.0.0.1", server.address.port))
    sock.settimeout(0.15)
    sock.sendall(b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n")
    assert sock.recv(4_096).startswith(b"HTTP/1.1 400 ")


def test_connection_serves_further_requests_after_a_response(server):
    sock = socket.create_connection(("127.0.0.1", server.address.port))
    sock.settimeout(10)
    for _ in range(3):
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        got = b""
        while not got.endswith(b"ok"):
            got += sock.recv(4_096)
        assert got.startswith(b"HTTP/1.1 200")


class PendingExchanges:
    """Collect exchanges for the test to answer later."""

    def __init__(self) -> None:
        self.exchanges = []

    def add(self, exchange) -> None:
        self.exchanges.append(exchange)


def test_close_idle_keeps_connections_with_a_request_in_progress():
    runner = LoopRunner()
    pending = PendingExchanges()
    address = Address("127.0.0.1", 0)
    server = HttpServer(runner.loop, address, LIMITS, pending.add, lambda *_: None)
    runner.start()
    idle = socket.create_connection(("127.0.0.1", server.address.port))
    busy = socket.create_connection(("127.0.0.1", server.address.port))
    busy.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    wait_until(
        lambda: pending.exchanges and server.connection_count == 2, "both connections are open"
    )
    time.sleep(FIRST_REQUEST_S)
    assert runner.call(server.close_idle) == 0
    idle.settimeout(5)
    assert idle.recv(100) == b""
    runner.call(lambda: pending.exchanges[0].answer(200, [], b"ok"))
    busy.settimeout(5)
    assert busy.recv(1000).endswith(b"ok")
    runner.stop()


@pytest.fixture
def idle_connection():
    runner = LoopRunner()
    pending = PendingExchanges()
    address = Address("127.0.0.1", 0)
    server = HttpServer(runner.loop, address, LIMITS, pending.add, lambda *_: None)
    runner.start()
    caller = socket.create_connection(("127.0.0.1", server.address.port))
    caller.settimeout(5)
    wait_until(lambda: server.connection_count == 1, "the connection is open")
    time.sleep(FIRST_REQUEST_S)
    yield runner, server, caller, pending
    runner.stop()


def test_a_request_that_was_received_before_its_idle_connection_is_closed_is_read(idle_connection):
    runner, server, caller, pending = idle_connection

    def send_and_close_idle() -> int:
        caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        return server.close_idle()

    assert runner.call(send_and_close_idle) == 1
    wait_until(lambda: pending.exchanges, "the request is read")
    runner.call(lambda: pending.exchanges[0].answer(200, [], b"ok"))
    assert caller.recv(1000).endswith(b"ok")
    assert runner.call(server.close_idle) == 0


def test_a_request_that_crosses_the_close_of_its_idle_connection_is_not_read(idle_connection):
    runner, server, caller, pending = idle_connection

    def close_idle_and_send() -> None:
        server.close_idle()
        caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")

    runner.call(close_idle_and_send)
    with pytest.raises(ConnectionResetError):
        if caller.recv(100) == b"":
            raise ConnectionResetError
    assert not pending.exchanges
