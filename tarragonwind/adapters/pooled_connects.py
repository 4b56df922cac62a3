"""Open connections ahead of their use."""

from __future__ import annotations

from tarragonwind.adapters.connections import Connection, ConnectionEvents, open_connection
from tarragonwind.adapters.http_clients import HttpClient
from tarragonwind.futures import Future
from tarragonwind.ports import Address, Timer


class PooledConnect(ConnectionEvents):
    """Connect to an address and put the connection into the client's pool.

    Attributes
    ----------
    fut : Future of bool
        Whether the address could be reached.
    """

    __slots__ = ("_address", "_client", "_conn", "_timer", "fut")

    def __init__(self, client: HttpClient, address: Address) -> None:
        self.fut: Future[bool] = Future()
        self._client = client
        self._address = address
        self._conn: Connection | None = None
        self._timer: Timer | None = None

    def start(self) -> None:
        """Begin to connect."""
        try:
            self._conn = open_connection(self._client.loop, self._address, self)
        except OSError:
            # An address that can't be reached is the result, whatever the error.
            self.fut.set_result(False)
            return
        timeout_s = self._client.connect_timeout_s
        self._timer = self._client.loop.timers.call_later(timeout_s, self._on_timeout)

    def on_connected(self) -> None:
        """Pool the connection."""
        self._stop_timer()
        assert self._conn is not None
        self._client.keep_idle(self._address, self._conn)
        self.fut.set_result(True)

    def on_closed(self, reason: str) -> None:
        """Report an address that refuses connections."""
        self._stop_timer()
        self.fut.set_result(False)

    def _on_timeout(self) -> None:
        self._timer = None
        assert self._conn is not None
        self._conn.close()
        self.fut.set_result(False)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def connect_ahead(client: HttpClient, address: Address) -> Future[bool]:
    """Return a future of whether the client has, or could open, a connection to an address."""
    connect = PooledConnect(client, address)
    if client.has_idle(address):
        connect.fut.set_result(True)
    else:
        connect.start()
    return connect.fut
