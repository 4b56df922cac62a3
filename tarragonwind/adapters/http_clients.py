"""Send HTTP/1.1 requests over pooled keep-alive connections, without pipelining."""

from __future__ import annotations

from collections.abc import Callable

from tarragonwind.adapters.client_exchanges import ClientExchange
from tarragonwind.adapters.connection_pools import MAX_IDLE_PER_ADDRESS, ConnectionPool
from tarragonwind.adapters.connections import Connection
from tarragonwind.adapters.connects import Connector, DirectConnector
from tarragonwind.adapters.loops import Loop
from tarragonwind.adapters.response_sinks import FetchSink, ResponseSink, StreamSink
from tarragonwind.futures import Future
from tarragonwind.ports import Address, HttpRequest, HttpResponse, HttpTransport

CONNECT_TIMEOUT_S = 2.0


class HttpClient(HttpTransport):
    """Start exchanges and pool idle connections for each address.

    Parameters
    ----------
    loop : Loop
        Event loop for sockets and timers.
    connect_timeout_s : float
        Connect timeout, in seconds.
    max_idle : int
        Maximum number of idle connections for each address.
    connector : Connector, optional
        Opens the connections; by default directly, within `connect_timeout_s`.
    """

    def __init__(
        self,
        loop: Loop,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_idle: int = MAX_IDLE_PER_ADDRESS,
        connector: Connector | None = None,
    ) -> None:
        self.loop = loop
        self.connector = connector or DirectConnector(loop, connect_timeout_s)
        self._pool = ConnectionPool(loop, max_idle)

    def exchange(self, address: Address, req: HttpRequest, sink: ResponseSink) -> ClientExchange:
        """Start one exchange; a failed one is not retried."""
        exchange = ClientExchange(self.connector, self._pool, address, req, sink)
        exchange.start()
        return exchange

    def fetch(self, address: Address, req: HttpRequest, timeout_s: float) -> Future[HttpResponse]:
        """Send a request and return a future of the complete response."""
        sink = FetchSink(self.loop, timeout_s)
        sink.begin(self.exchange(address, req, sink))
        return sink.fut

    def stream(
        self,
        address: Address,
        req: HttpRequest,
        on_data: Callable[[bytes], None],
        on_end: Callable[[str], None],
    ) -> Callable[[], None]:
        """Send a request and stream the response body to `on_data`.

        Returns
        -------
        callable
            Cancels the exchange.
        """
        sink = StreamSink(on_data, on_end)
        exchange = self.exchange(address, req, sink)
        return exchange.cancel

    def has_idle(self, address: Address, name: str = "") -> bool:
        """Return whether a connection to an address is kept that may carry a request."""
        return self._pool.has(address, name)

    def keep_idle(self, address: Address, conn: Connection) -> None:
        """Keep a connection that has carried no request."""
        self._pool.keep(address, conn)

    def close_idle(self, address: Address) -> None:
        """Close the pooled connections to an address; those in use now are not pooled again."""
        self._pool.close_address(address)

    def close(self) -> None:
        """Close all pooled connections."""
        self._pool.close()
