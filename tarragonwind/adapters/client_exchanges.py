"""Perform one HTTP/1.1 exchange with a server over a new or kept connection."""

from __future__ import annotations

from loguru import logger

from tarragonwind.adapters.caller_dialects import Headers
from tarragonwind.adapters.connection_pools import ConnectionPool, ConnectionUses
from tarragonwind.adapters.connections import CLOSED_BY_PEER, Connection, ConnectionEvents
from tarragonwind.adapters.connects import ConnectAttempt, Connector
from tarragonwind.adapters.response_headers import Framing, find_framing
from tarragonwind.adapters.response_parsers import MAX_HEAD_BYTES, ResponseEvents, ResponseParser
from tarragonwind.adapters.response_sinks import ResponseSink
from tarragonwind.core.response_matches import ResponseVerdict, judge_response
from tarragonwind.ports import Address, HttpError, HttpRequest

NO_SINK = ResponseSink()
"""Sink of an exchange that has ended."""
NO_REQUEST = HttpRequest("GET", "/")
"""Request of an exchange that has ended."""


def encode_request(address: Address, req: HttpRequest) -> bytes:
    """Serialise a request, adding the Host and Content-Length headers."""
    authority = req.authority or str(address)
    head = [f"{req.method} {req.target} HTTP/1.1\r\nHost: {authority}\r\n".encode("latin-1")]
    for name, value in req.headers:
        head.append(name + b": " + value + b"\r\n")
    if req.body or req.method not in ("GET", "HEAD"):
        head.append(b"Content-Length: %d\r\n" % len(req.body))
    head.append(b"\r\n")
    return b"".join(head) + req.body


class ClientExchange(ConnectionEvents, ResponseEvents):
    """Perform one request-response exchange over one connection.

    Parameters
    ----------
    connector : Connector
        Opens a connection if the pool has none that may be used.
    pool : ConnectionPool
        Provides the connection and takes it back.
    address : Address
        Address of the server.
    req : HttpRequest
        Request with its body.
    sink : ResponseSink
        Receiver of the events.

    Attributes
    ----------
    framing : Framing or None
        What ends the response's body, None before its head has arrived.
    """

    __slots__ = (
        "_body_parts",
        "_complete",
        "_conn",
        "_connect_attempt",
        "_connector",
        "_discarding",
        "_early",
        "_ended",
        "_generation",
        "_head_passed",
        "_headers",
        "_idle_bytes",
        "_keep_alive",
        "_may_be_early",
        "_parser",
        "_pool",
        "_received",
        "_req",
        "_reusable",
        "_reused",
        "_sent",
        "_sink",
        "_used_before",
        "_uses",
        "address",
        "framing",
    )

    def __init__(
        self,
        connector: Connector,
        pool: ConnectionPool,
        address: Address,
        req: HttpRequest,
        sink: ResponseSink,
    ) -> None:
        self.address = address
        self.framing: Framing | None = None
        self._connector = connector
        self._pool = pool
        self._generation = pool.generation_of(address)
        self._req = req
        self._sink = sink
        self._headers: list[tuple[bytes, bytes]] = []
        self._body_parts: list[bytes] = []
        self._head_passed = False
        self._idle_bytes = 0
        self._sent = False
        self._received = False
        self._reused = False
        self._used_before = False
        self._uses = ConnectionUses()
        self._reusable = True
        self._may_be_early = False
        self._early = False
        self._complete = False
        self._discarding = False
        self._keep_alive = False
        self._ended = False
        self._parser = ResponseParser(self)
        self._conn: Connection | None = None
        self._connect_attempt: ConnectAttempt | None = None

    def start(self) -> None:
        """Send the request over a pooled connection, or else a new one."""
        idle = self._pool.take(self.address, self._sink.request_name)
        if idle is not None:
            idle.conn.events = self
            idle.conn.mark_acked()
            self._conn = idle.conn
            self._reused = True
            self._uses = idle.uses
            self._used_before = self._uses.count > 0
            self._may_be_early = True
            self._sink.on_sent()
            self._send()
            return
        self._connect()

    def _connect(self) -> None:
        attempt = self._connector.connect(self.address, self._on_open, self._fail)
        if self._conn is None and not self._ended:
            self._connect_attempt = attempt

    def cancel(self) -> None:
        """Abort the exchange and close its connection; the sink receives no further event."""
        if self._ended:
            return
        self._end()
        self._close()

    @property
    def sent(self) -> bool:
        """Return whether a byte of the request may have reached the server."""
        return self._sent

    def pause(self) -> None:
        """Stop reading the response, so that TCP flow control stops the server."""
        if self._conn is not None:
            self._conn.pause_reading(detect_close=False)

    def resume(self) -> None:
        """Resume reading the response."""
        if self._conn is not None:
            self._conn.resume_reading()

    def fail(self, message: str) -> None:
        """Fail the exchange for an external reason, such as a timeout."""
        self._fail(message)

    def _on_open(self, conn: Connection) -> None:
        """Send the request on the new connection, unless its sink no longer wants that."""
        self._connect_attempt = None
        self._conn = conn
        conn.events = self
        if not self._sink.may_send():
            self._fail("the request was withheld when the connection was open")
            return
        if not self._reused:
            self._sink.on_sent()
        self._send()

    def on_data(self, data: bytes) -> None:
        """Parse received bytes and pass the results to the sink."""
        if self._ended:
            return
        if self._may_be_early and self._conn is not None:
            self._may_be_early = self._conn.received_nothing()
        self._received = True
        error = ""
        try:
            self._parser.feed(data)
            self._check_progress(len(data))
        except ValueError as exc:
            error = str(exc)
        if self._ended:
            return
        if error and not self._complete:
            logger.warning("event=response_rejected upstream={} reason={!r}", self.address, error)
            self._fail(error)
            return
        self._flush_body()
        if self._complete and not self._ended:
            framed = self.framing is not Framing.CLOSE
            self._finish(reuse=self._reusable and not error and framed and self._keep_alive)

    def _check_progress(self, size: int) -> None:
        """Raise `ValueError` after too many bytes that brought neither a head nor a body.

        The parser would keep an endless field to itself, and skip other endless bytes for ever.
        """
        progress = bool(self._body_parts) or self._discarding or self._complete
        accepted = self._parser.accepted
        if progress or (accepted and not self._head_passed):
            self._idle_bytes = 0
            self._head_passed = accepted
            return
        self._idle_bytes += size
        if self._idle_bytes > MAX_HEAD_BYTES:
            raise ValueError("too many bytes without a head or a body")

    def on_closed(self, reason: str) -> None:
        """Complete a response without framing, send an unread request again, or fail."""
        if self.framing is Framing.CLOSE and reason == CLOSED_BY_PEER:
            self._flush_body()
            self._finish(reuse=False)
            return
        if self._is_unread():
            logger.info("event=idle_connection_was_closed upstream={}", self.address)
            self._sent = False
            self._conn = None
            self._uses = ConnectionUses()
            self._used_before = self._may_be_early = False
            self._connect()
            return
        self._fail(reason, disconnected=True)

    def _is_unread(self) -> bool:
        """Return whether the server closed a pooled connection before it received the request."""
        conn = self._conn
        return self._reused and not self._received and conn is not None and conn.peer_closed_unread

    def on_drained(self) -> None:
        """Pass the event to the sink."""
        self._sink.on_request_drained()

    def on_response_begin(self) -> None:
        """Note bytes behind the response, and ones sent before the server received the request."""
        self._early = self._may_be_early
        if self._complete:
            self._reusable = False

    def on_response_head(self, status: int, headers: Headers) -> bool:
        """Pass the head to the sink, and return True, if it belongs to the request."""
        self._headers = headers
        if not self._belongs_to_request(status):
            return False
        self.framing = find_framing(status, headers, self._req.method)
        # The parser would wait for a body, which a response to HEAD does not have.
        self._complete = self._req.method == "HEAD"
        self._sink.on_head(status, headers)
        return True

    def _belongs_to_request(self, status: int) -> bool:
        """Return whether a response is passed on; raise `ValueError` if there is no valid one."""
        identity = self._sink.identify_response(status, self._headers)
        verdict = judge_response(identity, self._used_before, self._early)
        if verdict is ResponseVerdict.ACCEPT:
            return True
        self._reusable = False
        if verdict is ResponseVerdict.REJECT and identity.encoded:
            raise ValueError("expected a body without a content coding, got one")
        if verdict is ResponseVerdict.REJECT:
            logger.warning("event=unsealed_answer upstream={} status={}", self.address, status)
            raise ValueError("a success without the upstream's seal")
        if verdict is ResponseVerdict.DISCARD:
            self._discard_response(status)
        return verdict is ResponseVerdict.ACCEPT_LAST

    def _discard_response(self, status: int) -> None:
        """Discard a response that belongs to no request or to an earlier one.

        This request's response follows it.
        """
        if find_framing(status, self._headers, self._req.method) is Framing.CLOSE:
            raise ValueError("an answer to another request runs to the end of the connection")
        logger.warning("event=foreign_answer_dropped upstream={} status={}", self.address, status)
        self._discarding = True

    def on_response_body(self, data: bytes) -> None:
        """Collect body bytes, which are passed on once for each read."""
        if self._complete:
            # A response to HEAD has ended with its head.
            self._reusable = False
        elif not self._discarding:
            self._body_parts.append(data)

    def on_response_end(self) -> None:
        """Record the end of the response, or of the one being discarded."""
        if self._discarding:
            self._discarding = False
            self._headers = []
        elif self.framing is not None and not self._ended:
            # Read here, since the parser resets the flag after this callback.
            self._keep_alive = self._parser.should_keep_alive()
            self._complete = True

    def _flush_body(self) -> None:
        if not self._body_parts:
            return
        parts = self._body_parts
        self._body_parts = []
        self._sink.on_body(parts[0] if len(parts) == 1 else b"".join(parts))

    def _send(self) -> None:
        assert self._conn is not None
        self._sent = True
        self._uses.record(self._sink.request_name)
        self._conn.write(encode_request(self.address, self._req))

    def _close(self) -> None:
        if self._connect_attempt is not None:
            self._connect_attempt.cancel()
            self._connect_attempt = None
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _finish(self, reuse: bool) -> None:
        if self._ended:
            return
        conn = self._conn
        assert conn is not None
        sink = self._end()
        current = self._pool.generation_of(self.address) == self._generation
        if reuse and current and not conn.closed and not conn.unsent:
            keep_alive_s = parse_keep_alive_timeout(self._headers)
            self._conn = None
            self._pool.keep(self.address, conn, self._uses, keep_alive_s)
        else:
            self._close()
        sink.on_complete()

    def _fail(self, message: str, disconnected: bool = False) -> None:
        if self._ended:
            return
        sink = self._end()
        self._close()
        sink.on_failed(HttpError(message, self._sent, disconnected))

    def _end(self) -> ResponseSink:
        """Return the sink for its last event, and drop what refers to it or back to this object.

        Rings of references would keep the request's body until the cyclic collector runs.
        """
        self._ended = True
        sink = self._sink
        self._sink = NO_SINK
        self._req = NO_REQUEST
        self._parser.close()
        self._body_parts = []
        return sink


def parse_keep_alive_timeout(headers: list[tuple[bytes, bytes]]) -> float | None:
    """Return the timeout of the Keep-Alive header in seconds, or None."""
    for name, value in headers:
        if name.lower() != b"keep-alive":
            continue
        for part in value.split(b","):
            key, _, number = part.strip().partition(b"=")
            if key.lower() == b"timeout" and number.isdigit():
                return float(number)
    return None
