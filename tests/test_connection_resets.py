"""Test that a connection which was reset never ends as one that was closed in an orderly way."""

import fcntl
import socket
import termios

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.fleets import wait_until
from tarragonwind.adapters.connections import (
    CLOSED_BY_PEER,
    RESET_ON_CLOSE,
    ConnectionEvents,
    open_connection,
)
from tarragonwind.adapters.loops import create_loop
from tarragonwind.adapters.tunnels import BUFFERED_BYTES, TunnelEnd
from tarragonwind.ports import Address
from tests.support import run_until

LOOPBACK = "127.0.0.1"
LARGE = b"u" * 4_000_000


class Recorder(ConnectionEvents):
    """Record what a connection reports."""

    def __init__(self):
        self.connected = False
        self.received = b""
        self.reasons = []
        self.input_ends = 0

    def on_connected(self):
        self.connected = True

    def on_data(self, data):
        self.received += data

    def on_input_ended(self):
        self.input_ends += 1
        return False

    def on_closed(self, reason):
        self.reasons.append(reason)


class Pair:
    """Hold a connection, its events and the socket of its other side."""

    def __init__(self, loop, listener):
        self.loop = loop
        self.events = Recorder()
        self.conn = open_connection(loop, Address(LOOPBACK, listener.getsockname()[1]), self.events)
        self.peer, _ = listener.accept()
        run_until(loop, lambda: self.events.connected)

    def poll(self):
        """Let the connection handle what its socket reports now, as the loop does."""
        if not self.conn.closed:
            poller = self.loop.poller._poller
            for fileno, events in poller.poll(0.01):
                if fileno == self.conn._fileno:
                    self.conn.on_ready(events)

    def poll_to_the_end(self):
        """Poll until the connection has ended."""
        for _ in range(2_000):
            if self.conn.closed:
                return
            self.poll()
        raise AssertionError("the connection has not ended")

    def count_unread(self):
        """Return the number of bytes that have arrived and were not read."""
        size = fcntl.ioctl(self.conn.sock, termios.FIONREAD, b"\0" * 4)
        return int.from_bytes(size, "little")

    def reset(self):
        """Let the other side reset the connection; loopback delivers that at once."""
        self.peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.peer.close()


@pytest.fixture(scope="module")
def loop():
    return create_loop()


@pytest.fixture(scope="module")
def listener():
    with socket.create_server((LOOPBACK, 0)) as listener:
        yield listener


STEPS = {
    "write": lambda pair: pair.conn.write(b"piece of a request"),
    "write-much": lambda pair: pair.conn.write(LARGE),
    "poll": Pair.poll,
    "look": lambda pair: pair.conn.closed or pair.conn.has_input(),
    "pause": lambda pair: pair.conn.closed or pair.conn.pause_reading(detect_close=False),
    "pause-and-detect": lambda pair: pair.conn.closed or pair.conn.pause_reading(),
    "resume": lambda pair: pair.conn.closed or pair.conn.resume_reading(),
    "mark": lambda pair: pair.conn.closed or pair.conn.mark_acked(),
}
ORDERS = st.lists(st.sampled_from(sorted(STEPS)), max_size=5)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(before=ORDERS, after=ORDERS, sent=st.sampled_from([0, 10, 200_000]))
def test_a_reset_is_an_error_in_any_order_of_writes_reads_and_polls(
    loop, listener, before, after, sent
):
    pair = Pair(loop, listener)
    try:
        pair.peer.setblocking(False)
        for step in before:
            STEPS[step](pair)
        if sent:
            pair.peer.send(b"r" * sent)
        pair.reset()
        for step in after:
            STEPS[step](pair)
        pair.poll_to_the_end()
    finally:
        pair.conn.close()
    assert len(pair.events.reasons) == 1
    assert CLOSED_BY_PEER not in pair.events.reasons
    assert not pair.events.input_ends
    assert not pair.conn.peer_closed_unread


@settings(max_examples=200, deadline=None, derandomize=True)
@given(before=ORDERS, after=ORDERS, sent=st.sampled_from([0, 10, 200_000]))
def test_an_orderly_close_stays_one_in_any_order_of_reads_and_polls(
    loop, listener, before, after, sent
):
    """Nothing is written here, since writing to a closed connection makes its peer reset it."""
    pair = Pair(loop, listener)
    try:
        pair.peer.setblocking(False)
        for step in [each for each in before if not each.startswith("write")]:
            STEPS[step](pair)
        if sent:
            sent = pair.peer.send(b"r" * sent)
        pair.peer.shutdown(socket.SHUT_WR)
        for step in [each for each in after if not each.startswith("write")]:
            STEPS[step](pair)
        if not pair.conn.closed:
            pair.conn.resume_reading()
        pair.poll_to_the_end()
    finally:
        pair.conn.close()
        pair.peer.close()
    assert pair.events.reasons == [CLOSED_BY_PEER]


@pytest.mark.parametrize("writes", [0, 1, 2])
@pytest.mark.parametrize("size", [1_000, 60_000, 200_000])
def test_bytes_before_a_reset_are_read(loop, listener, size, writes):
    """An early answer that is whole by its length is received before its connection's error."""
    pair = Pair(loop, listener)
    pair.conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * size)
    pair.peer.sendall(b"r" * size)
    wait_until(lambda: pair.count_unread() == size, "the bytes")
    pair.reset()
    for _ in range(writes):
        pair.conn.write(b"piece")
    pair.poll_to_the_end()
    assert pair.events.received == b"r" * size
    assert pair.events.reasons != [CLOSED_BY_PEER]


def test_a_kept_connection_that_was_reset_is_not_called_unread(loop, listener):
    """A reset may hide that the request was read: it must not be sent again."""
    pair = Pair(loop, listener)
    pair.conn.write(b"first request")
    pair.peer.recv(100)
    wait_until(lambda: pair.conn._acked_bytes() > 1, "the acknowledgement")
    pair.conn.mark_acked()
    pair.reset()
    pair.conn.write(b"second request")
    pair.poll_to_the_end()
    assert not pair.conn.peer_closed_unread


class TunnelPair:
    """Join two connections as the ends of a tunnel: to the other host, and to the upstream."""

    def __init__(self, loop, listener):
        self.near, self.far = Pair(loop, listener), Pair(loop, listener)
        near_end, far_end = (TunnelEnd(each.conn, lambda: None) for each in self.pairs)
        near_end.other, far_end.other = far_end, near_end
        self.near.conn.events, self.far.conn.events = near_end, far_end
        for pair in self.pairs:
            pair.conn.high_water_bytes = BUFFERED_BYTES
            pair.peer.setblocking(False)
        self.near.conn.reset_unless_finished()
        self.reset_seen = False

    @property
    def pairs(self):
        return self.near, self.far

    def send_piece(self):
        """Pass a piece of an upload on."""
        try:
            self.near.peer.send(b"u" * 100_000)
        except BlockingIOError:
            pass
        except ConnectionError:
            # This call has taken the error that a read would meet.
            self.reset_seen = True
        self.near.poll()

    def close(self):
        for pair in self.pairs:
            pair.conn.close()
            pair.peer.close()


TUNNEL_STEPS = {
    "piece": TunnelPair.send_piece,
    "near": lambda tunnel: tunnel.near.poll(),
    "far": lambda tunnel: tunnel.far.poll(),
    "look": lambda tunnel: tunnel.far.conn.closed or tunnel.far.conn.has_input(),
}
TUNNEL_ORDERS = st.lists(st.sampled_from(sorted(TUNNEL_STEPS)), max_size=6)


def read_to_the_end(sock):
    """Return what a socket receives, and whether its connection was closed in an orderly way."""
    received = b""
    sock.settimeout(5.0)
    try:
        while data := sock.recv(65_536):
            received += data
    except ConnectionResetError:
        return received, False
    return received, True


@settings(max_examples=200, deadline=None, derandomize=True)
@given(before=TUNNEL_ORDERS, after=TUNNEL_ORDERS, sent=st.sampled_from([0, 10, 30_000]))
def test_a_reset_passes_through_a_tunnel_as_one(loop, listener, before, after, sent):
    tunnel = TunnelPair(loop, listener)
    try:
        for step in before:
            TUNNEL_STEPS[step](tunnel)
        tunnel.far.peer.send(b"r" * sent)
        tunnel.far.reset()
        for step in after:
            TUNNEL_STEPS[step](tunnel)
        tunnel.far.poll_to_the_end()
        assert tunnel.reset_seen or not read_to_the_end(tunnel.near.peer)[1]
    finally:
        tunnel.close()


def test_an_orderly_close_passes_through_a_tunnel_behind_the_last_bytes(loop, listener):
    tunnel = TunnelPair(loop, listener)
    try:
        tunnel.send_piece()
        tunnel.far.poll()
        tunnel.far.peer.send(b"r" * 30_000)
        tunnel.far.peer.shutdown(socket.SHUT_WR)
        tunnel.far.poll_to_the_end()
        assert read_to_the_end(tunnel.near.peer) == (b"r" * 30_000, True)
    finally:
        tunnel.close()
