"""Accept callers' HTTP/1.1 connections and hand complete requests over."""

from __future__ import annotations

import enum
import socket
from collections import Counter
from collections.abc import Callable

from tarragonwind.adapters.caller_connections import CallerConnection
from tarragonwind.adapters.caller_exchanges import CallerExchange
from tarragonwind.adapters.http_requests import CallerRequest, HttpLimits
from tarragonwind.adapters.listeners import Listener
from tarragonwind.adapters.loops import Loop
from tarragonwind.adapters.memory_guards import MemoryGuard
from tarragonwind.errors import RequestError
from tarragonwind.ports import Address

EVICTION_BATCH = 16
"""Number of stopped connections that are closed at a time for others; finding them takes a scan."""
EVICTION_PAUSE_S = 0.02
"""Time until the next scan after one that found none, in seconds."""
MAX_HELD = 64
"""Number of new connections that wait for a place; further ones wait in the backlog."""


class Place(enum.Enum):
    """Define whether a new connection has a place."""

    FREE = "free"
    SOON = "soon"
    NONE = "none"


def accept_head(request: CallerRequest) -> RequestError | None:
    """Accept a request by its head; default of `HttpServer.check_head`."""
    return None


class HttpServer:
    """Accept callers' connections and pass on complete requests.

    Parameters
    ----------
    loop : Loop
        Event loop for sockets and timers.
    address : Address
        Address to listen on.
    limits : HttpLimits
        Size and time limits for each connection.
    on_request : callable
        Called with the exchange of each complete request.
    on_request_error : callable
        Called with an exchange and the error when a request is malformed, too large or too slow.
    sock : socket.socket, optional
        Listening socket to use; its connections are accepted from `start` on.
    memory : MemoryGuard, optional
        Limits the memory of the connections, with that of other servers of the host.

    Attributes
    ----------
    abandoned : int
        Requests so far whose callers had left before they were read.
    check_head : callable
        Called with a request whose body has not been read; returns the error with which to refuse
        it, or None.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        limits: HttpLimits,
        on_request: Callable[[CallerExchange], None],
        on_request_error: Callable[[CallerExchange, RequestError], None],
        sock: socket.socket | None = None,
        memory: MemoryGuard | None = None,
    ) -> None:
        self.loop = loop
        self.limits = limits
        self.on_request = on_request
        self.on_request_error = on_request_error
        self.check_head: Callable[[CallerRequest], RequestError | None] = accept_head
        self.memory = memory or MemoryGuard(loop.timers)
        self.stopping = False
        self.abandoned = 0
        self._connections: set[CallerConnection] = set()
        self._addresses: Counter[str] = Counter()
        self._held: list[tuple[socket.socket, Address]] = []
        self._evict_at = 0.0
        self._evict_address = ""
        self._evict_result = Place.NONE
        self._listener = Listener(loop, address, self._accept, sock)
        self.address = self._listener.address

    def start(self) -> None:
        """Start accepting connections on a listening socket that was passed in."""
        self._listener.start()

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def reading_count(self) -> int:
        """Return the number of connections on which a part of a request has been read."""
        return sum(conn.reading for conn in self._connections)

    @property
    def unsent_bytes(self) -> int:
        """Return the number of response bytes that are not yet sent, over all connections."""
        return sum(conn.unsent for conn in self._connections)

    def announce_close(self) -> None:
        """Send ``Connection: close`` with each response from now on."""
        self.stopping = True

    def stop(self) -> None:
        """Refuse new connections and keep serving the open ones, with those in the backlog.

        Idle connections stay open, since a request may already be on its way.
        """
        self.stopping = True
        self._listener.accept_waiting()
        self._listener.close()

    def close_idle(self) -> int:
        """Close the connections that have no request or response in progress.

        A request that was received before is left to be read. One that crosses the close is not
        read, so its caller can infer that it has not run.

        Returns
        -------
        int
            Number of idle connections left open, as a request is to be read there first.
        """
        left_open = 0
        for conn in [conn for conn in self._connections if conn.idle]:
            if conn.expects_request:
                left_open += 1
            else:
                conn.close()
        return left_open

    def remove_connection(self, conn: CallerConnection) -> None:
        """Remove a closed connection, and free what it has read."""
        if conn in self._connections:
            self._connections.discard(conn)
            address = conn.peer.host
            self._addresses[address] -= 1
            if not self._addresses[address]:
                del self._addresses[address]
        conn.drop_input()

    def note_abandoned(self) -> None:
        """Count a request whose caller had left before it was read: it is not served.

        Many come at once where callers have waited for a process that was starting. Served, they
        would take room, allotments and processor time from those that still wait.
        """
        self.abandoned += 1

    def _accept(self, sock: socket.socket, peer: Address) -> None:
        place = self._find_place(peer.host)
        if place is Place.FREE:
            self._addresses[peer.host] += 1
            self._connections.add(CallerConnection(self, sock, peer))
        elif place is Place.SOON:
            self._hold(sock, peer)
        else:
            self.memory.note_refused_connection(peer.host)
            sock.close()

    def _hold(self, sock: socket.socket, peer: Address) -> None:
        """Leave a new connection unread until stopped ones may be closed for it."""
        if not self._held:
            self.loop.timers.call_later(EVICTION_PAUSE_S, self._accept_held)
        self._held.append((sock, peer))
        if len(self._held) >= MAX_HELD:
            self._listener.pause()

    def _accept_held(self) -> None:
        held, self._held = self._held, []
        self._listener.resume()
        for sock, peer in held:
            self._accept(sock, peer)

    def _find_place(self, address: str) -> Place:
        """Return whether another connection fits, if need be after closing some that stopped."""
        if self._addresses[address] >= self.limits.max_per_address:
            return self._evict(address)
        if len(self._connections) >= self.limits.max_connections:
            return self._evict(max(self._addresses, key=lambda name: self._addresses[name]))
        return Place.FREE

    def _evict(self, address: str) -> Place:
        """Close some connections of an address on which nothing comes."""
        now = self.loop.timers.now()
        if now < self._evict_at and address == self._evict_address:
            return self._evict_result
        found = [
            (*eviction, number, conn)
            for number, conn in enumerate(self._connections)
            if conn.peer.host == address and (eviction := conn.eviction) is not None
        ]
        due = sorted(row for row in found if row[1] <= now)
        for *_, conn in due[:EVICTION_BATCH]:
            conn.close()
        if due:
            return Place.FREE
        self._evict_at = now + EVICTION_PAUSE_S
        self._evict_address = address
        self._evict_result = Place.SOON if any(row[0] == 0 for row in found) else Place.NONE
        return self._evict_result
