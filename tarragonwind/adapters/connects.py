"""Open connections to servers: directly, with a timeout."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

from tarragonwind.adapters.connections import Connection, ConnectionEvents, open_connection
from tarragonwind.adapters.loops import Loop
from tarragonwind.ports import Address, Timer

OnOpen = Callable[[Connection], object]
"""Receives an open connection and takes over its events."""
OnFailed = Callable[[str], object]
"""Receives the reason why no connection could be opened."""


class ConnectAttempt(ABC):
    """Represent an attempt to open a connection; one of its callbacks is called once."""

    __slots__ = ()

    @abstractmethod
    def cancel(self) -> None:
        """Give the attempt up; no callback is called any more."""


class Connector(ABC):
    """Open connections to addresses."""

    @abstractmethod
    def connect(self, address: Address, on_open: OnOpen, on_failed: OnFailed) -> ConnectAttempt:
        """Begin to connect; a callback may be called before this returns."""


class DirectConnect(ConnectionEvents, ConnectAttempt):
    """Connect to an address within a timeout.

    Parameters
    ----------
    loop : Loop
        Event loop for the socket and the timer.
    address : Address
        Address to connect to.
    timeout_s : float
        Connect timeout, in seconds.
    on_open, on_failed : callable
        Receive the result.
    """

    __slots__ = ("_address", "_conn", "_loop", "_on_failed", "_on_open", "_timeout_s", "_timer")

    def __init__(
        self,
        loop: Loop,
        address: Address,
        timeout_s: float,
        on_open: OnOpen,
        on_failed: OnFailed,
    ) -> None:
        self._loop = loop
        self._address = address
        self._timeout_s = timeout_s
        self._on_open = on_open
        self._on_failed = on_failed
        self._conn: Connection | None = None
        self._timer: Timer | None = None

    def start(self) -> None:
        """Begin to connect."""
        try:
            self._conn = open_connection(self._loop, self._address, self)
        except OSError as exc:
            self._on_failed(str(exc))
            return
        self._timer = self._loop.timers.call_later(self._timeout_s, self._on_timeout)

    def cancel(self) -> None:
        """Give the attempt up and close its connection."""
        self._stop_timer()
        if self._conn is not None:
            self._conn.close()

    def on_connected(self) -> None:
        """Hand over the connection."""
        self._stop_timer()
        assert self._conn is not None
        self._on_open(self._conn)

    def on_closed(self, reason: str) -> None:
        """Report a connect that was refused."""
        self._stop_timer()
        self._on_failed(reason)

    def _on_timeout(self) -> None:
        self._timer = None
        self.cancel()
        self._on_failed("connect timed out")

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class DirectConnector(Connector):
    """Connect directly to every address.

    Parameters
    ----------
    loop : Loop
        Event loop for sockets and timers.
    timeout_s : float
        Connect timeout, in seconds.
    """

    def __init__(self, loop: Loop, timeout_s: float) -> None:
        self._loop = loop
        self._timeout_s = timeout_s

    def connect(self, address: Address, on_open: OnOpen, on_failed: OnFailed) -> ConnectAttempt:
        """Begin to connect."""
        attempt = DirectConnect(self._loop, address, self._timeout_s, on_open, on_failed)
        attempt.start()
        return attempt
