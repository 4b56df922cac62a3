"""Carry messages between daemons over TCP connections that open on demand."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from loguru import logger

from tarragonwind.adapters.loops import Loop
from tarragonwind.adapters.peer_conns import READ_BYTES, ConnHandler, PeerConn, PeerListener
from tarragonwind.adapters.peer_handshakes import Hello, PeerIdentity, check_hello, create_hello
from tarragonwind.adapters.peer_settings import PeerSettings, TrafficCounters
from tarragonwind.messages import MAX_MESSAGE_BYTES, Message, MessageError, pack_message
from tarragonwind.ports import Address, Peers, Timer

CONNECT_TIMEOUT_S = 2.0
"""Longest time from the start of a connection to the checked greeting."""
RETRY_DELAY_S = 0.2
"""Time after a failed connect in which messages to the host are refused."""
FINISH_TIMEOUT_S = 5.0
"""Longest time from a goodbye to the close."""
SWEEP_PERIOD_S = 1.0
MAX_UNAUTHENTICATED_CONNS = 64
"""Most accepted connections that wait for a greeting; the oldest is closed first."""
MAX_SENT_BYTES = MAX_MESSAGE_BYTES - READ_BYTES
"""Largest packed message that is sent; the receiver's buffer holds it and one read more."""
_LOCAL_CLOSE_REASONS = ("replaced", "dropped", "stopped", "peer_restarted", "yielded")


class TcpPeers(Peers, ConnHandler):
    """Exchange messages with other daemons, one connection in use for each direction.

    A daemon sends to a peer over one connection until that breaks; the receiver takes the first
    message on another connection of the same peer for the end of the former, so a late message
    of a broken connection never follows a newer one.
    """

    def __init__(self, loop: Loop, cfg: PeerSettings) -> None:
        self._loop = loop
        self._cfg = cfg
        self._listener = PeerListener(loop, cfg.listen, self._on_accepted)
        self.address = cfg.advertise or self._listener.address
        self.identity = PeerIdentity(cfg.name, cfg.data_centre, cfg.start_id, self.address)
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
        self._sweep_timer = loop.timers.call_every(SWEEP_PERIOD_S, self._close_idle_conns)
        self.traffic: dict[str, TrafficCounters] = {}

    def set_address(self, name: str, address: Address) -> None:
        """Tell where a host listens."""
        if name != self._cfg.name:
            self._addresses[name] = address

    def connect_to(self, address: Address) -> None:
        """Open a connection to an address whose host is not known yet."""
        if address != self.address:
            self._open(address, "")

    def subscribe(self, cls: type[Any], callback: Callable[[str, Any], None]) -> None:
        """Call `callback` with the sender's name and each message of a class."""
        self._subscribers.setdefault(cls, []).append(callback)

    def subscribe_connected(self, callback: Callable[[PeerIdentity], None]) -> None:
        """Call `callback` for each connection whose greeting was accepted."""
        self._on_connected.append(callback)

    def subscribe_lost(self, callback: Callable[[str], None]) -> None:
        """Call `callback` with the name of a host that broke off or refused a connection."""
        self._on_lost.append(callback)

    def send(self, host: str, msg: Message) -> bool:
        """Queue a message to a host; false when it can't be reached now."""
        if host == self._cfg.name:
            self._loop.timers.call_later(0.0, lambda: self._deliver(host, msg))
            return True
        conn = self._pick_conn(host)
        if conn is None:
            return False
        data = pack_message(msg)
        if len(data) > MAX_SENT_BYTES:
            logger.error("event=peer_message_too_large host={} bytes={}", host, len(data))
            return False
        if not conn.queue(data):
            return False
        traffic = self._count(msg)
        traffic.sent_messages += 1
        traffic.sent_bytes += len(data)
        self._flush_later(conn)
        return True

    def drop(self, host: str) -> None:
        """Close every connection with a host; what waits is lost."""
        for conn in list(self._conns):
            if conn.identity is not None and conn.identity.name == host:
                conn.close("dropped")
        conn_out = self._sending.get(host)
        if conn_out is not None:
            conn_out.close("dropped")

    def connected(self) -> list[str]:
        """Return the names of hosts that messages can be sent to without a new connection."""
        return [name for name, conn in self._sending.items() if conn.identity is not None]

    def conn_count(self) -> int:
        """Return the number of open connections in both directions."""
        return len(self._conns)

    def stop(self) -> None:
        """Send what waits, close everything and accept nothing more."""
        self._sweep_timer.cancel()
        self._listener.close()
        for conn in list(self._conns):
            conn.flush()
            conn.close("stopped")

    def _pick_conn(self, host: str) -> PeerConn | None:
        conn = self._sending.get(host)
        if conn is not None and not conn.closing:
            return conn
        conn = self._find_usable(host)
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

    def _find_usable(self, host: str) -> PeerConn | None:
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
            self._note_failure(expected_name, f"connect_failed:{exc.errno}")
            return None
        conn = PeerConn(self._loop, self, sock, address, expected_name)
        self._conns.add(conn)
        conn.queue_hello(pack_message(create_hello(self.identity, self._cfg.token)))
        return conn

    def _on_accepted(self, sock: socket.socket, remote: Address) -> None:
        unauthenticated = [
            conn for conn in self._conns if conn.identity is None and not conn.outbound
        ]
        if len(unauthenticated) >= MAX_UNAUTHENTICATED_CONNS:
            min(unauthenticated, key=lambda conn: conn.created_at).close("too_many_strangers")
        self._conns.add(PeerConn(self._loop, self, sock, remote, None))

    def on_hello(self, conn: PeerConn, hello: Message, size: int) -> None:
        """Accept the greeting of a peer, or refuse it."""
        identity = check_hello(hello, self._cfg.token)
        if identity.name == self._cfg.name:
            raise MessageError(f"two daemons call themselves {identity.name}, or it is this one")
        if conn.expected_name and conn.expected_name != identity.name:
            raise MessageError(f"{conn.remote} is {identity.name}, not {conn.expected_name}")
        self._close_stale_conns(identity)
        conn.identity = identity
        self._addresses[identity.name] = identity.address
        self._failed_at.pop(identity.name, None)
        if conn.outbound:
            conn.release_pending()
        else:
            conn.queue_hello(pack_message(create_hello(self.identity, self._cfg.token)))
            self._resolve_simultaneous_open(conn, identity.name)
        self._flush_later(conn)
        self._sending.setdefault(identity.name, conn)
        traffic = self._count(hello)
        traffic.received_messages += 1
        traffic.received_bytes += size
        for callback in self._on_connected:
            callback(identity)

    def _resolve_simultaneous_open(self, conn: PeerConn, host: str) -> None:
        """Give up an own attempt for the peer's when both opened at once and its name is first."""
        own = self._sending.get(host)
        if own is None or own.identity is not None or host > self._cfg.name:
            return
        for data in own.take_pending():
            conn.queue(data)
        self._sending[host] = conn
        own.close("yielded")

    def _close_stale_conns(self, identity: PeerIdentity) -> None:
        for conn in list(self._conns):
            known = conn.identity
            same_host = known is not None and known.name == identity.name
            if same_host and known != identity:
                conn.close("peer_restarted")

    def on_message(self, conn: PeerConn, msg: Message, size: int) -> None:
        """Deliver a message that arrived."""
        if conn.identity is None or isinstance(msg, Hello):
            raise MessageError("a second greeting")
        name = conn.identity.name
        former = self._receiving.get(name)
        if former is not conn:
            self._receiving[name] = conn
            if former is not None:
                former.close("replaced")
        traffic = self._count(msg)
        traffic.received_messages += 1
        traffic.received_bytes += size
        self._deliver(name, msg)

    def _deliver(self, sender: str, msg: Message) -> None:
        for callback in self._subscribers.get(type(msg), ()):
            try:
                callback(sender, msg)
            except MessageError:
                raise
            except Exception:
                logger.exception("event=peer_message_failed sender={} type={}", sender, type(msg))

    def on_closed(self, conn: PeerConn, reason: str) -> None:
        """Forget a closed connection and tell who may care."""
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
            self._note_failure(conn.expected_name, reason)
        elif conn.identity is not None and not self._has_another(name):
            self._notify_lost(name, reason)

    def _has_another(self, host: str) -> bool:
        return host in self._sending or self._find_usable(host) is not None

    def _note_failure(self, host: str, reason: str) -> None:
        if host:
            self._failed_at[host] = self._loop.timers.now()
            self._notify_lost(host, reason)

    def _notify_lost(self, host: str, reason: str) -> None:
        logger.debug("event=peer_lost host={} reason={}", host, reason)
        for callback in self._on_lost:
            callback(host)

    def _flush_later(self, conn: PeerConn) -> None:
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

    def _close_idle_conns(self) -> None:
        now = self._loop.timers.now()
        for conn in list(self._conns):
            quiet_s = now - conn.last_active_at
            if conn.identity is None:
                if now - conn.created_at > CONNECT_TIMEOUT_S:
                    conn.close("greeting_timeout")
            elif now - conn.partial_since > self._cfg.message_timeout_s:
                conn.close("bad_input:unfinished_message")
            elif conn.closing:
                if quiet_s > FINISH_TIMEOUT_S:
                    conn.close("finish_timeout")
            elif conn.outbound and quiet_s > self._cfg.idle_s:
                self._finish_idle(conn)
        self._forget_failures(now)

    def _finish_idle(self, conn: PeerConn) -> None:
        assert conn.identity is not None
        if self._sending.get(conn.identity.name) is conn:
            del self._sending[conn.identity.name]
        conn.finish()

    def _forget_failures(self, now: float) -> None:
        for name, failed_at in list(self._failed_at.items()):
            if now - failed_at > RETRY_DELAY_S:
                del self._failed_at[name]

    def _count(self, msg: Message) -> TrafficCounters:
        return self.traffic.setdefault(type(msg).__name__, TrafficCounters())


def create_peers(loop: Loop, cfg: PeerSettings) -> TcpPeers:
    """Return a transport that listens already."""
    return TcpPeers(loop, cfg)
