"""Test that hosts of different protocol levels exchange only what both can read."""

import random
import socket
from dataclasses import dataclass

import msgpack
import pytest
from loguru import logger

from tarragonwind.adapters.peer_handshakes import (
    LEVEL_FLAG,
    PeerIdentity,
    check_hello,
    create_hello,
    pack_start_id,
    unpack_start_id,
)
from tarragonwind.adapters.peer_levels import MAX_UNKNOWN_LOGGED
from tarragonwind.messages import (
    FIRST_LEVEL,
    OWN_LEVEL,
    Message,
    MessageError,
    added_field,
    build_message,
    message,
    pack_message,
)
from tarragonwind.ports import Address

from .peer_helpers import TOKEN, Bench, exchange_addresses

SOME_ADDRESS = Address("127.0.0.1", 1)


@message(9_101)
@dataclass(slots=True)
class OldMessage(Message):
    number: int
    text: str = added_field(2, "none")


@message(9_102, level=2)
@dataclass(slots=True)
class NewMessage(Message):
    number: int


@pytest.fixture
def bench():
    bench = Bench()
    yield bench
    bench.close()


@pytest.fixture
def log_lines():
    lines = []
    sink = logger.add(lines.append)
    yield lines
    logger.remove(sink)


def record(transport):
    got = []
    transport.subscribe(OldMessage, lambda sender, msg: got.append(msg))
    transport.subscribe(NewMessage, lambda sender, msg: got.append(msg))
    return got


def connect_raw(transport, level=OWN_LEVEL):
    sock = socket.create_connection((transport.address.host, transport.address.port))
    identity = PeerIdentity("raw", "etna", 9, SOME_ADDRESS, level)
    sock.sendall(pack_message(create_hello(identity, TOKEN)))
    return sock


def test_a_first_level_handshake_is_what_the_previous_build_sends():
    """That build takes exactly seven fields and version 1, and checks the proof over them."""
    start_id = random.Random(1).getrandbits(63)
    hello = create_hello(PeerIdentity("a", "etna", start_id, SOME_ADDRESS), TOKEN)
    values = msgpack.unpackb(pack_message(hello))
    assert len(values) == 8
    assert values[:6] == [1, 1, "a", "etna", start_id, "127.0.0.1"]


@pytest.mark.parametrize("level", [2, 3, 32_767])
def test_an_announced_level_leaves_the_handshake_in_the_form_of_the_previous_build(level):
    identity = PeerIdentity("a", "etna", 5, SOME_ADDRESS, level)
    values = msgpack.unpackb(pack_message(create_hello(identity, TOKEN)))
    assert len(values) == 8 and values[1] == 1
    assert LEVEL_FLAG <= values[4] < 1 << 64
    assert check_hello(build_message(values), TOKEN) == identity


def test_no_start_id_of_the_previous_build_announces_a_level():
    rng = random.Random(2)
    for start_id in [0, 1, LEVEL_FLAG - 1, *(rng.getrandbits(63) for _ in range(1000))]:
        assert unpack_start_id(pack_start_id(start_id, FIRST_LEVEL)) == (start_id, FIRST_LEVEL)


def test_a_changed_level_breaks_the_proof():
    hello = create_hello(PeerIdentity("a", "etna", 5, SOME_ADDRESS, 2), TOKEN)
    hello.start_id = pack_start_id(5, 3)
    with pytest.raises(MessageError, match="wrong proof"):
        check_hello(hello, TOKEN)


def test_a_level_is_known_after_the_handshake_and_forgotten_with_the_host(bench):
    a, b, old = bench.peers("a"), bench.peers("b"), bench.peers("old", level=1)
    exchange_addresses(a, b, old)
    assert a.supports("a", 2) and not a.supports("b", 2)
    assert a.send("b", OldMessage(1)) and a.send("old", OldMessage(1))
    bench.wait(lambda: sorted(a.connected()) == ["b", "old"], "connections")
    assert a.supports("b", 2) and not a.supports("b", OWN_LEVEL + 1)
    assert a.supports("old", 1) and not a.supports("old", 2)
    a.drop("b")
    assert not a.supports("b", 2)


def test_a_failed_second_connection_leaves_the_level_of_a_connected_host(bench):
    """No handshake would follow that tells it again."""
    a, b = bench.peers("a"), bench.peers("b")
    exchange_addresses(a, b)
    a.send("b", OldMessage(1))
    bench.wait(lambda: a.supports("b", 2), "level 2")
    lost = []
    a.subscribe_lost(lost.append)
    a._open(SOME_ADDRESS, "b")
    bench.wait(lambda: lost == ["b"], "failed connection")
    assert a.supports("b", 2)


def test_a_host_that_returns_with_the_previous_build_loses_its_level(bench):
    a, b = bench.peers("a"), bench.peers("b")
    exchange_addresses(a, b)
    a.send("b", OldMessage(1))
    bench.wait(lambda: a.supports("b", 2), "level 2")
    b.stop()
    bench.wait(lambda: not a.supports("b", 2), "level forgotten")
    returned = bench.peers("b", start_id=2, level=1)
    returned.connect_to(a.address)
    bench.wait(lambda: a.connected() == ["b"], "second run connected")
    assert not a.supports("b", 2)


def test_a_new_message_reaches_only_hosts_of_its_level(bench):
    a, b, old = bench.peers("a"), bench.peers("b"), bench.peers("old", level=1)
    exchange_addresses(a, b, old)
    got, got_old = record(b), record(old)
    # Queued before the handshakes: the level is not known yet.
    for host in ("b", "old"):
        assert a.send(host, NewMessage(1))
        assert a.send(host, OldMessage(2))
    bench.wait(lambda: len(got) == 2 and len(got_old) == 1, "first messages")
    assert a.send("b", NewMessage(3)) and not a.send("old", NewMessage(3))
    a.send("old", OldMessage(4))
    bench.wait(lambda: len(got) == 3 and len(got_old) == 2, "later messages")
    assert got == [NewMessage(1), OldMessage(2), NewMessage(3)]
    assert got_old == [OldMessage(2), OldMessage(4)]
    assert a.levels.unsupported_messages == 2
    assert "unknown" not in b.traffic and old.levels.unknown_messages == 0


def test_new_messages_queued_on_a_dropped_connection_stay_away_from_an_old_host(bench):
    """Both hosts connect at once; one connection gives way and its messages move to the other."""
    a, z = bench.peers("a", level=1), bench.peers("z")
    exchange_addresses(a, z)
    got = record(a)
    a.send("z", OldMessage(1))
    z.send("a", NewMessage(2))
    z.send("a", OldMessage(3))
    bench.wait(lambda: got == [OldMessage(3)], "the old message")
    assert z.levels.unsupported_messages == 1 and a.levels.unknown_messages == 0


def test_an_added_field_is_sent_only_to_hosts_that_know_it(bench):
    a, b = bench.peers("a"), bench.peers("b")
    sock = connect_raw(a, level=1)
    bench.wait(lambda: a.connected() == ["raw"], "handshake")
    a.send("raw", OldMessage(1, "text"))
    exchange_addresses(a, b)
    got = record(b)
    a.send("b", OldMessage(1))
    bench.wait(lambda: len(got) == 1, "first message")
    a.send("b", OldMessage(2, "text"))
    bench.wait(lambda: len(got) == 2, "second message")
    assert got[1] == OldMessage(2, "text")
    unpacker = msgpack.Unpacker()
    unpacker.feed(sock.recv(4096))
    sock.close()
    assert list(unpacker)[1:] == [[9_101, 1]]


def test_missing_added_fields_have_defaults_and_additional_values_are_ignored():
    assert build_message([9_101, 7]) == OldMessage(7, "none")
    assert build_message([9_101, 7, "text", "of a later level"]) == OldMessage(7, "text")
    with pytest.raises(MessageError, match="at least 1"):
        build_message([9_101])


def test_added_fields_must_be_last():
    with pytest.raises(ValueError, match="must be last"):

        @message(9_103)
        @dataclass(slots=True)
        class Misplaced(Message):
            text: str = added_field(2, "")
            number: int = 0


def test_unknown_messages_are_skipped_and_logged_a_bounded_number_of_times(bench, log_lines):
    """A later build's message must neither end the connection nor fill the log."""
    a = bench.peers("a")
    got = record(a)
    sock = connect_raw(a)
    for number in range(100):
        sock.sendall(msgpack.packb([20_000 + number, ["nested"], {"a": 1}]) * 3)
    sock.sendall(msgpack.packb([9_102, 5]))
    bench.wait(lambda: got == [NewMessage(5)], "the known message")
    assert a.levels.unknown_messages == a.traffic["unknown"].received_messages == 300
    assert a.conn_count() == 1
    logged = [line for line in log_lines if "event=peer_message_unknown" in line]
    assert len(logged) == MAX_UNKNOWN_LOGGED
    sock.close()
