"""Test that closing a connection still delivers the bytes written before."""

import socket

import pytest

from tarragonwind.adapters.connections import LINGER_S, Connection, ConnectionEvents
from tarragonwind.adapters.loops import create_loop
from tests.support import run_until

BODY = b"z" * 4_000_000


class FinishCounter(ConnectionEvents):
    """Count calls of `on_finished`."""

    def __init__(self):
        self.finished = 0

    def on_finished(self):
        self.finished += 1


@pytest.fixture
def connection_pair():
    loop = create_loop()
    near, far = socket.socketpair()
    near.setblocking(False)
    far.setblocking(False)
    events = FinishCounter()
    yield loop, Connection(loop, near, events), far, events
    far.close()


def read_all(far):
    got = b""
    try:
        while data := far.recv(65_536):
            got += data
    except BlockingIOError:
        return got, False
    return got, True


def test_bytes_unsent_at_close_reach_a_late_reader(connection_pair):
    loop, conn, far, events = connection_pair
    conn.write(BODY)
    conn.close_when_sent()
    assert conn.unsent
    late = []
    loop.timers.call_later(LINGER_S * 1.5, lambda: late.append(True))
    run_until(loop, lambda: bool(late))
    got = bytearray()
    ended = []

    def read():
        data, at_end = read_all(far)
        got.extend(data)
        if at_end:
            ended.append(True)

    loop.timers.call_every(0.005, read)
    run_until(loop, lambda: bool(ended))
    assert bytes(got) == BODY
    far.close()
    run_until(loop, lambda: conn.closed)
    assert events.finished == 1


def test_closing_connection_ends_even_if_the_peer_does_not_close(connection_pair):
    loop, conn, far, events = connection_pair
    conn.write(b"bye")
    conn.close_when_sent()
    run_until(loop, lambda: conn.closed)
    assert read_all(far) == (b"bye", True)
    assert events.finished == 1
