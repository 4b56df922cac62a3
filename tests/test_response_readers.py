"""Test that whoever reads answers takes none that is broken: the store, watches, reports, tools."""

import pytest

from tarragonwind.adapters.http_clients import HttpClient
from tarragonwind.adapters.loops import create_loop
from tarragonwind.errors import StoreError
from tarragonwind.platform.stores import PlatformStore
from tarragonwind.ports import Address, Compare, HttpError, HttpRequest, Put
from tarragonwind.tools.operator_clients import ResponseLost, exchange, parse_response
from tests.support import run_until
from tests.test_response_endings import Ending, EndingUpstream

ANSWER = b'{"key":"k","value":"dg==","revision":3,"created":3,"lease":0,"at":3,"events":[]}'
SIZED = b"Content-Length: %d\r\n\r\n" % len(ANSWER) + ANSWER
CHUNK = b"%x\r\n" % len(ANSWER) + ANSWER + b"\r\n0\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
BROKEN = {
    "status-000": (b"HTTP/1.1 000 OK\r\n" + SIZED, Ending.CLOSE),
    "status-600": (b"HTTP/1.1 600 OK\r\n" + SIZED, Ending.CLOSE),
    "status-404-of-another-protocol": (b"RTSP/1.1 404 No\r\n" + SIZED, Ending.CLOSE),
    "other-protocol": (b"RTSP/1.1 200 OK\r\n" + SIZED, Ending.CLOSE),
    "control-in-reason": (b"HTTP/1.1 200 O\x00K\r\n" + SIZED, Ending.CLOSE),
    "blank-in-name": (OK + b"A B: 1\r\n" + SIZED, Ending.CLOSE),
    "control-in-name": (OK + b"A\x01B: 1\r\n" + SIZED, Ending.CLOSE),
    "coded": (OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n" + CHUNK, Ending.CLOSE),
    "interim-body": (b"HTTP/1.1 199 OK\r\n" + SIZED, Ending.CLOSE),
    "reset": (OK + b"\r\n" + ANSWER, Ending.RESET),
    "short": (OK + SIZED[:-1], Ending.CLOSE),
    "chunks-without-end": (OK + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNK[:-5], Ending.CLOSE),
}


@pytest.fixture(params=BROKEN)
def address(request):
    upstream = EndingUpstream(BROKEN[request.param])
    yield Address("127.0.0.1", upstream.port)
    upstream.close()


def await_result(loop, future):
    run_until(loop, future.done)
    return future.result()


def create_store(loop, address):
    return PlatformStore(HttpClient(loop), address, 1.0, lambda kind: None, loop.timers)


def test_a_fetched_answer(address):
    """Checks, reports and events of upstreams, orders to them and the host list are fetched."""
    loop = create_loop()
    with pytest.raises(HttpError) as caught:
        await_result(loop, HttpClient(loop).fetch(address, HttpRequest("GET", "/report"), 1.0))
    assert caught.value.sent


def test_a_streamed_answer(address):
    loop = create_loop()
    ends = []
    HttpClient(loop).stream(address, HttpRequest("GET", "/"), lambda data: None, ends.append)
    run_until(loop, lambda: bool(ends))
    assert ends != ["ended"]


def test_a_read_of_the_store(address):
    loop = create_loop()
    with pytest.raises(StoreError):
        await_result(loop, create_store(loop, address).get("k"))


def test_a_write_to_the_store_may_have_been_applied(address):
    loop = create_loop()
    store = create_store(loop, address)
    with pytest.raises(StoreError) as caught:
        await_result(loop, store.commit([Compare("k", 3)], [Put("k", b"v")]))
    assert caught.value.maybe_applied


def test_a_watch_of_the_store(address):
    loop = create_loop()
    ends, events = [], []
    create_store(loop, address).watch("k", 1, events.append, ends.append)
    run_until(loop, lambda: bool(ends))
    assert not events


def test_an_answer_of_the_operator_api(address):
    with pytest.raises(ResponseLost):
        parse_response(exchange(address, "GET", "/", b"", "token"), dict)
