"""Play the bytes of a response to the HTTP client without sockets."""

from tarragonwind.adapters.client_exchanges import ClientExchange
from tarragonwind.adapters.connection_pools import ConnectionPool
from tarragonwind.adapters.connections import CLOSED_BY_PEER
from tarragonwind.adapters.connects import ConnectAttempt, Connector
from tarragonwind.adapters.loops import create_loop
from tarragonwind.adapters.response_sinks import ResponseSink
from tarragonwind.core.response_matches import UNNAMED_PROTOCOL, ResponseIdentity, ResponseName
from tarragonwind.ports import Address, HttpRequest

LOOP = create_loop()
ADDRESS = Address("127.0.0.1", 1)


class FakeConnection:
    """Accept all that is written."""

    def __init__(self):
        self.events = None
        self.closed = False
        self.unsent = 0

    def write(self, data):
        pass

    def close(self):
        self.closed = True

    def mark_acked(self):
        pass

    def received_nothing(self):
        return False

    def is_stale(self):
        return False

    def resume_reading(self):
        pass


class FakeConnector(Connector):
    """Open a connection at once."""

    def __init__(self, conn):
        self._conn = conn

    def connect(self, address, on_open, on_failed):
        on_open(self._conn)
        return ConnectAttempt


class RecordingSink(ResponseSink):
    """Record what an exchange passes on."""

    def __init__(self, foreign=b""):
        self.events = []
        self.status = None
        self.headers = []
        self.body = b""
        self.reason = ""
        self.ended = ""
        self._foreign = foreign

    def identify_response(self, status, headers):
        if self._foreign and (b"Attempt-Id", self._foreign) in headers:
            return ResponseIdentity(ResponseName.OTHER)
        return UNNAMED_PROTOCOL

    def on_head(self, status, headers):
        self.events.append("head")
        self.status = status
        self.headers = headers

    def on_body(self, data):
        self.events.append("body")
        self.body += data

    def on_complete(self):
        self.ended = "complete"

    def on_failed(self, exc):
        self.ended = "failed"
        self.reason = str(exc)


class Played:
    """Play a response in pieces, then the end of the connection.

    Attributes
    ----------
    sink : RecordingSink
        What was passed on.
    kept : bool
        Whether the connection was kept for the next request when the response had been played.
    """

    def __init__(self, pieces, method="GET", foreign=b"", end=CLOSED_BY_PEER):
        self.sink = RecordingSink(foreign)
        conn = FakeConnection()
        pool = ConnectionPool(LOOP, 8)
        self.exchange = ClientExchange(
            FakeConnector(conn), pool, ADDRESS, HttpRequest(method, "/"), self.sink
        )
        self.exchange.start()
        for piece in pieces:
            if conn.events is self.exchange:
                conn.events.on_data(piece)
        self.kept = pool.has(ADDRESS)
        if conn.events is self.exchange and not conn.closed:
            conn.events.on_closed(end)


def play(response, **options):
    """Play a response in one piece."""
    return Played([response], **options)


def split(response, size):
    """Return the pieces of a response with at most `size` bytes each."""
    return [response[begin : begin + size] for begin in range(0, len(response), size)]
