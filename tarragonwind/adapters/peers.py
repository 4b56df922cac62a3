"""Implement the message transport between daemons over TCP connections opened on demand."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from loguru import logger

from tarragonwind.adapters.loops import Loop
from tarragonwind.adapters.peer_conns import READ_BYTES, ConnHandler, PeerConn, PeerListener
from tarragonwind.adapters.peer_handshakes import Hello, PeerIdentity, check_hello, create_hello
from tarragonwind.adapters.peer_levels import PeerLevels
from tarragonwind.adapters.peer_settings import PeerSettings, TrafficCounters
from tarragonwind.adapters.peer_transports import PeerTransport
from tarragonwind.messages import (
    FIRST_LEVEL,
    MAX_MESSAGE_BYTES,
    Message,
    MessageError,
    level_of,
    pack_message,
)
from tarragonwind.ports import Address, Timer

CONNECT_TIMEOUT_S = 2.0
"""Maximum time from the creation of a connection to the completed handshake, in seconds."""
RETRY_DELAY_S = 0.2
"""Time after a failed connection attempt during which `send` fails immediately, in seconds."""
FINISH_TIMEOUT_S = 5.0
"""Maximum time from a `Goodbye` to the close of the connection, in seconds."""
SWEEP_PERIOD_S = 1.0
"""Interval between checks for idle and timed-out connections, in seconds."""
MAX_UNAUTHENTICATED_CONNS = 64
"""Maximum number of accepted connections without a handshake; the oldest is closed first."""
MAX_SENT_BYTES = MAX_MESSAGE_BYTES - READ_BYTES
"""Maximum size of a sent message; the receiver's buffer must hold it plus one more read."""
UNKNOWN_TRAFFIC = "unknown"
"""Name under which messages with unknown numbers are counted."""
_LOCAL_CLOSE_REASONS = ("replaced", "dropped", "stopped", "peer_restarted", "yielded")


class TcpPeers(PeerTransport, ConnHandler):
    """Exchange messages with other daemons, over at most one connection per direction.

    A daemon sends to a peer over one connection until that breaks. On the first message over
    another connection of the same peer, the receiver closes the previous one, so that a delayed
    message of a broken connection is never delivered after a newer one.

    Parameters
    ----------
    loop : Loop
        Event loop that runs the connections.
    cfg : PeerSettings
        Settings of the transport.

    Attributes
    ----------
    address : Address
        Address that peers connect to.
    identity : PeerIdentity
        Identity of this daemon.
    traffic : dict of str to TrafficCounters
        Counters by message class name.
    levels : PeerLevels
        Protocol levels of the hosts that have been connected.
    """

    def __init__(self, loop: Loop, cfg: PeerSettings) -> None:
        self._loop = loop
        self._cfg = cfg
        self._listener = PeerListener(loop, cfg.listen, self._on_accept)
        self.address = cfg.advertise or self._listener.address
        self.identity = PeerIdentity(
            cfg.name, cfg.data_centre, cfg.start_id, self.address, cfg.level
        )
        self.levels = PeerLevels(cfg.name, cfg.level)
        self._addresses: dict[str, Address] = {}
        self._conns: set[PeerConn] = set()
        self._sending: dict[str, PeerConn] = {}
        self._receiving: dict[str, PeerConn] = {}
        self._failed_at: dict[str, float] = {}
        self._unflushed: dict[PeerConn, None] = {}
        self._flush_timer: Timer | None = None
        self._subscribers: dict[type[Message], list[Callable[[str, Any], None]]] = {}
        self._on_connected: list[Callable[[PeerIdentity], None]] = []
        self._on_lost: list[Callable[[str], None]] = []
        self._sweep_timer = loop.timers.call_every(SWEEP_PERIOD_S, self._sweep_conns)
        self.traffic: dict[str, TrafficCounters] = {}

    def set_address(self, name: str, address: Address) -> None:
        """Set the address that a host listens on."""
        if name != self._cfg.name:
            self._addresses[name] = address

    def connect_to(self, address: Address) -> None:
        """Open a connection to an address whose host name is not known yet."""
        if address != self.address:
            self._open(address, "")

    def subscribe(self, cls: type[Any], callback: Callable[[str, Any], None]) -> None:
        """Register a callback for the sender's name and each received message of a class."""
        self._subscribers.setdefault(cls, []).append(callback)

    def subscribe_connected(self, callback: Callable[[PeerIdentity], None]) -> None:
        """Register a callback for the peer of each connection that completes its handshake."""
        self._on_connected.append(callback)

    def subscribe_lost(self, callback: Callable[[str], None]) -> None:
        """Register a callback for the name of each host whose connection failed or broke."""
        self._on_lost.append(callback)

    def supports(self, host: str, level: int) -> bool:
        """Return whether the last handshake with a host showed a protocol level."""
        return self.levels.supports(host, level)

    def open(self, host: str) -> None:
        """Open a connection to a host whose address is known, unless one is open."""
        if host != self._cfg.name:
            self._select_conn(host)

    def send(self, host: str, msg: Message) -> bool:
        """Queue a message to a host; return False if it cannot be queued.

        A message above the host's protocol level is not queued. While the handshake is pending it
        is, and is discarded if the level turns out to be too low; added fields are left out.
        """
        if host == self._cfg.name:
            self._loop.timers.call_later(0.0, lambda: self._deliver(host, msg))
            return True
        conn = self._select_conn(host)
        if conn is None:
            return False
        level = level_of(msg)
        peer_level = FIRST_LEVEL if conn.identity is None else conn.identity.level
        if conn.identity is not None and level > peer_level:
            self.levels.unsupported_messages += 1
            return False
        data = pack_message(msg, max(level, min(peer_level, self._cfg.level)))
        if len(data) > MAX_SENT_BYTES:
            logger.error("event=peer_message_too_large host={} bytes={}", host, len(data))
            return False
        if not conn.queue(data, level):
            return False
        traffic = self._counters(msg)
        traffic.sent_messages += 1
        traffic.sent_bytes += len(data)
        self._schedule_flush(conn)
        return True

    def drop(self, host: str) -> None:
        """Close all connections to a host and discard queued messages and its protocol level."""
        self.levels.forget(host)
        for conn in list(self._conns):
            if conn.identity is not None and conn.identity.name == host:
                conn.close("dropped")
        sending = self._sending.get(host)
        if sending is not None:
            sending.close("dropped")

    def connected(self) -> list[str]:
        """Return the names of the hosts with an authenticated connection for sending."""
        return [name for name, conn in self._sending.items() if conn.identity is not None]

    def conn_count(self) -> int:
        """Return the number of open connections in both directions."""
        return len(self._conns)

    def stop(self) -> None:
        """Flush and close all connections, and stop accepting new ones."""
        self._sweep_timer.cancel()
        self._listener.close()
        for conn in list(self._conns):
            conn.flush()
            conn.close("stopped")

    def _select_conn(self, host: str) -> PeerConn | None:
        conn = self._sending.get(host)
        if conn is not None and not conn.closing:
            return conn
        conn = self._find_open_conn(host)
        if conn is None:
            address = self._addresses.get(host)
            failed_at = self._failed_at.get(host)
            if address is None:
                return None
            if failed_at is not None and self._loop.timers.now() - failed_at < RETRY_DELAY_S:
                return None
            conn = self._open(address, host)
        if conn is not None:
            self._sending[host] = conn
        return conn

    def _find_open_conn(self, host: str) -> PeerConn | None:
        conn = self._receiving.get(host)
        if conn is not None and not conn.closing:
            return conn
        for conn in self._conns:
            if conn.identity is not None and conn.identity.name == host and not conn.closing:
                return conn
        return None

    def _open(self, address: Address, expected_name: str) -> PeerConn | None:
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            sock.connect((address.host, address.port))
        except BlockingIOError:
            pass
        except OSError as exc:
            sock.close()
            self._record_failure(expected_name, f"connect_failed:{exc.errno}")
            return None
        conn = PeerConn(self._loop, self, sock, address, expected_name)
        self._conns.add(conn)
        conn.queue_hello(pack_message(create_hello(self.identity, self._cfg.token)))
        return conn

    def _on_accept(self, sock: socket.socket, remote: Address) -> None:
        unauthenticated = [
            conn for conn in self._conns if conn.identity is None and not conn.outbound
        ]
        if len(unauthenticated) >= MAX_UNAUTHENTICATED_CONNS:
            min(unauthenticated, key=lambda conn: conn.created_at).close("too_many_strangers")
        self._conns.add(PeerConn(self._loop, self, sock, remote, None))

    def on_hello(self, conn: PeerConn, hello: Message, size: int) -> None:
        """Verify the handshake of a peer and start to use the connection.

        Raises
        ------
        MessageError
            If the handshake is invalid or names another host than expected.
        """
        identity = check_hello(hello, self._cfg.token)
        if identity.name == self._cfg.name:
            raise MessageError(
                f"peer has this host's name {identity.name}: duplicate name or own address"
            )
        if conn.expected_name and conn.expected_name != identity.name:
            raise MessageError(
                f"expected host {conn.expected_name} at {conn.remote}, got {identity.name}"
            )
        self._close_stale_conns(identity)
        conn.identity = identity
        self._addresses[identity.name] = identity.address
        self.levels.set(identity)
        self._failed_at.pop(identity.name, None)
        if conn.outbound:
            self.levels.unsupported_messages += conn.release_pending(identity.level)
        else:
            conn.queue_hello(pack_message(create_hello(self.identity, self._cfg.token)))
            self._resolve_simultaneous_open(conn, identity.name)
        self._schedule_flush(conn)
        self._sending.setdefault(identity.name, conn)
        traffic = self._counters(hello)
        traffic.received_messages += 1
        traffic.received_bytes += size
        for callback in self._on_connected:
            callback(identity)

    def _resolve_simultaneous_open(self, conn: PeerConn, host: str) -> None:
        """Drop the local pending connection if both sides opened one and the peer's name is first.

        Messages queued on the dropped connection move to the peer's.
        """
        own = self._sending.get(host)
        if own is None or own.identity is not None or host > self._cfg.name:
            return
        assert conn.identity is not None
        for level, data in own.take_pending():
            if level <= conn.identity.level:
                conn.queue(data, level)
            else:
                self.levels.unsupported_messages += 1
        self._sending[host] = conn
        own.close("yielded")

    def _close_stale_conns(self, identity: PeerIdentity) -> None:
        for conn in list(self._conns):
            known = conn.identity
            same_host = known is not None and known.name == identity.name
            if same_host and known != identity:
                conn.close("peer_restarted")

    def on_message(self, conn: PeerConn, msg: Message, size: int) -> None:
        """Deliver a received message; close a previous connection that its sender used."""
        if conn.identity is None or isinstance(msg, Hello):
            raise MessageError("unexpected Hello after the handshake")
        name = conn.identity.name
        previous = self._receiving.get(name)
        if previous is not conn:
            self._receiving[name] = conn
            if previous is not None:
                previous.close("replaced")
        traffic = self._counters(msg)
        traffic.received_messages += 1
        traffic.received_bytes += size
        self._deliver(name, msg)

    def on_unknown(self, conn: PeerConn, number: int, size: int) -> None:
        """Count a message with an unknown number."""
        assert conn.identity is not None
        traffic = self.traffic.setdefault(UNKNOWN_TRAFFIC, TrafficCounters())
        traffic.received_messages += 1
        traffic.received_bytes += size
        self.levels.count_unknown(conn.identity.name, number, size)

    def _deliver(self, sender: str, msg: Message) -> None:
        for callback in self._subscribers.get(type(msg), ()):
            try:
                callback(sender, msg)
            except MessageError:
                raise
            except Exception:
                logger.exception("event=peer_message_failed sender={} type={}", sender, type(msg))

    def on_closed(self, conn: PeerConn, reason: str) -> None:
        """Remove a closed connection; report the host as lost if it failed and was the last."""
        self._conns.discard(conn)
        self._unflushed.pop(conn, None)
        name = conn.identity.name if conn.identity is not None else conn.expected_name
        was_sending = self._sending.get(name) is conn
        if was_sending:
            del self._sending[name]
        if self._receiving.get(name) is conn:
            del self._receiving[name]
        if reason.startswith("bad_input"):
            logger.warning("event=peer_refused remote={} reason={}", conn.remote, reason)
        if conn.closing or reason in _LOCAL_CLOSE_REASONS:
            return
        if conn.identity is None and conn.outbound:
            self._record_failure(conn.expected_name, reason)
        elif conn.identity is not None and not self._has_other_conn(name):
            self._notify_lost(name, reason)

    def _has_other_conn(self, host: str) -> bool:
        return host in self._sending or self._find_open_conn(host) is not None

    def _record_failure(self, host: str, reason: str) -> None:
        if host:
            self._failed_at[host] = self._loop.timers.now()
            self._notify_lost(host, reason)

    def _notify_lost(self, host: str, reason: str) -> None:
        if not self._has_other_conn(host):
            # A host that restarts may be of another build; the next handshake shows it.
            self.levels.forget(host)
        logger.debug("event=peer_lost host={} reason={}", host, reason)
        for callback in self._on_lost:
            callback(host)

    def _schedule_flush(self, conn: PeerConn) -> None:
        self._unflushed[conn] = None
        if self._flush_timer is None:
            self._flush_timer = self._loop.timers.call_later(0.0, self._flush_all)

    def _flush_all(self) -> None:
        self._flush_timer = None
        conns = list(self._unflushed)
        self._unflushed.clear()
        for conn in conns:
            if conn.identity is not None:
                conn.flush()

    def _sweep_conns(self) -> None:
        now = self._loop.timers.now()
        for conn in list(self._conns):
            idle_s = now - conn.last_active_at
            if conn.identity is None:
                if now - conn.created_at > CONNECT_TIMEOUT_S:
                    conn.close("greeting_timeout")
            elif now - conn.partial_since > self._cfg.message_timeout_s:
                conn.close("bad_input:unfinished_message")
            elif conn.closing:
                if idle_s > FINISH_TIMEOUT_S:
                    conn.close("finish_timeout")
            elif conn.outbound and idle_s > self._cfg.idle_s:
                self._finish_idle(conn)
        self._expire_failures(now)

    def _finish_idle(self, conn: PeerConn) -> None:
        assert conn.identity is not None
        if self._sending.get(conn.identity.name) is conn:
            del self._sending[conn.identity.name]
        conn.finish()

    def _expire_failures(self, now: float) -> None:
        for name, failed_at in list(self._failed_at.items()):
            if now - failed_at > RETRY_DELAY_S:
                del self._failed_at[name]

    def _counters(self, msg: Message) -> TrafficCounters:
        return self.traffic.setdefault(type(msg).__name__, TrafficCounters())


def create_peers(loop: Loop, cfg: PeerSettings) -> TcpPeers:
    """Create a transport that is already listening."""
    return TcpPeers(loop, cfg)
