"""Keep idle connections to servers for their next requests."""

from __future__ import annotations

from collections import deque

from tarragonwind.adapters.connections import Connection, ConnectionEvents
from tarragonwind.adapters.loops import Loop
from tarragonwind.ports import Address

MAX_IDLE_PER_ADDRESS = 64
IDLE_CLOSE_S = 30.0
"""Longest idle time of a pooled connection, in seconds."""
KEEP_MARGIN_S = 0.5
"""Time before the server's keep-alive timeout at which a connection is closed, in seconds."""
IDLE_SWEEP_S = 2.0
"""Period at which expired idle connections are closed, in seconds."""
REMEMBERED_REQUESTS = 64
"""Requests by whose names a connection is known to have carried them. An extra response is found at
the next use of its connection, so fewer would do."""


class ConnectionUses:
    """Remember the requests that one connection has carried.

    Attributes
    ----------
    count : int
        Number of requests.
    """

    __slots__ = ("_hashes", "count")

    def __init__(self) -> None:
        self.count = 0
        # Callers choose the names, so that they may be long.
        self._hashes: deque[int] = deque(maxlen=REMEMBERED_REQUESTS)

    def record(self, name: str) -> None:
        """Count a request, and remember its name unless it is empty."""
        self.count += 1
        if name:
            self._hashes.append(hash(name))

    def has_carried(self, name: str) -> bool:
        """Return whether the connection may have carried a request of this name."""
        return bool(name) and hash(name) in self._hashes


class IdleConnection(ConnectionEvents):
    """Remove a pooled connection when the server closes it or sends unsolicited data.

    Attributes
    ----------
    expires_at : float
        Monotonic time at which the connection is closed, in seconds.
    uses : ConnectionUses
        Requests that it has carried.
    """

    __slots__ = ("_pool", "address", "conn", "expires_at", "uses")

    def __init__(
        self,
        pool: ConnectionPool,
        address: Address,
        conn: Connection,
        uses: ConnectionUses,
        expires_at: float,
    ) -> None:
        self._pool = pool
        self.address = address
        self.conn = conn
        self.uses = uses
        self.expires_at = expires_at

    def on_data(self, data: bytes) -> None:
        """Close, so that unsolicited bytes are not taken for the response to the next request."""
        self.conn.close()
        self._pool.drop(self)

    def on_closed(self, reason: str) -> None:
        """Remove the connection from the pool."""
        self._pool.drop(self)


class ConnectionPool:
    """Keep the idle connections to each address.

    Parameters
    ----------
    loop : Loop
        Event loop for timers.
    max_idle : int
        Maximum number of idle connections for each address.
    """

    def __init__(self, loop: Loop, max_idle: int) -> None:
        self._timers = loop.timers
        self._max_idle = max_idle
        self._idle: dict[Address, list[IdleConnection]] = {}
        self._generations: dict[Address, int] = {}
        self._timers.call_every(IDLE_SWEEP_S, self._close_expired)

    def has(self, address: Address, name: str = "") -> bool:
        """Return whether a connection that may carry a request of this name is kept."""
        return any(not idle.uses.has_carried(name) for idle in self._idle.get(address, []))

    def take(self, address: Address, name: str = "") -> IdleConnection | None:
        """Return a usable connection that has not carried a request of this name, or None.

        A late second response to an earlier dispatch of a request names that request too, so it
        could be taken for the response to a later dispatch on the same connection.
        """
        pool = self._idle.get(address, [])
        now = self._timers.now()
        for index in range(len(pool) - 1, -1, -1):
            idle = pool[index]
            if idle.uses.has_carried(name):
                continue
            del pool[index]
            if not idle.conn.closed and idle.expires_at > now and not idle.conn.is_stale():
                return idle
            idle.conn.close()
        return None

    def keep(
        self,
        address: Address,
        conn: Connection,
        uses: ConnectionUses | None = None,
        keep_alive_s: float | None = None,
    ) -> None:
        """Keep a connection, or close it if there are enough.

        Parameters
        ----------
        address : Address
            Address of the server.
        conn : Connection
            Connection without an exchange in progress.
        uses : ConnectionUses, optional
            Requests that it has carried; by default none.
        keep_alive_s : float, optional
            Keep-alive timeout of the server, in seconds.
        """
        pool = self._idle.setdefault(address, [])
        if len(pool) >= self._max_idle:
            conn.close()
            return
        idle_s = (
            IDLE_CLOSE_S
            if keep_alive_s is None
            else min(IDLE_CLOSE_S, keep_alive_s - KEEP_MARGIN_S)
        )
        expires_at = self._timers.now() + idle_s
        idle = IdleConnection(self, address, conn, uses or ConnectionUses(), expires_at)
        conn.events = idle
        conn.resume_reading()
        pool.append(idle)

    def close_address(self, address: Address) -> None:
        """Close the connections to an address; those in use now are not kept again."""
        self._generations[address] = self.generation_of(address) + 1
        for idle in self._idle.pop(address, []):
            idle.conn.close()

    def generation_of(self, address: Address) -> int:
        """Return a number that grows with each `close_address` of an address."""
        return self._generations.get(address, 0)

    def drop(self, idle: IdleConnection) -> None:
        """Remove a connection."""
        pool = self._idle.get(idle.address, [])
        if idle in pool:
            pool.remove(idle)

    def close(self) -> None:
        """Close all connections."""
        for address in list(self._idle):
            self.close_address(address)

    def _close_expired(self) -> None:
        now = self._timers.now()
        for address in list(self._idle):
            pool = self._idle[address]
            for idle in [one for one in pool if one.expires_at < now]:
                idle.conn.close()
                pool.remove(idle)
            if not pool:
                del self._idle[address]
