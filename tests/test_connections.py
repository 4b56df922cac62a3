"""Test that a connection that is closed still delivers what was written to it."""

import socket

import pytest

from tarragonwind.adapters.connections import LINGER_S, Connection, ConnectionEvents
from tarragonwind.adapters.loops import create_loop
from tests.support import run_until

BODY = b"z" * 4_000_000


class Owner(ConnectionEvents):
    """Note how a connection ends."""

    def __init__(self):
        self.finished = 0

    def on_finished(self):
        self.finished += 1


@pytest.fixture
def site():
    loop = create_loop()
    near, far = socket.socketpair()
    near.setblocking(False)
    far.setblocking(False)
    owner = Owner()
    yield loop, Connection(loop, near, owner), far, owner
    far.close()


def read_all(far):
    got = b""
    try:
        while data := far.recv(65_536):
            got += data
    except BlockingIOError:
        return got, False
    return got, True


def test_what_is_unsent_at_the_close_reaches_a_reader_that_comes_late(site):
    loop, conn, far, owner = site
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
    assert owner.finished == 1


def test_a_closed_connection_ends_by_itself_when_the_other_side_stays(site):
    loop, conn, far, owner = site
    conn.write(b"bye")
    conn.close_when_sent()
    run_until(loop, lambda: conn.closed)
    assert read_all(far) == (b"bye", True)
    assert owner.finished == 1
