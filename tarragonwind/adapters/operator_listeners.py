"""Accept operator connections and forward only complete, valid requests to `circuits.web`.

`circuits.web` accepts pipelined requests, contradictory framing headers and requests of unlimited
length. The listener parses each request with `httptools` under size and time limits, allows one
request per connection and forwards it as a single read event in canonical form. Responses are sent
only while their connection is open.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from http import HTTPStatus
from socket import socket
from typing import Any

import httptools
from circuits import Component, handler
from circuits.core.pollers import _disconnect
from circuits.net.events import disconnect, read
from circuits.net.sockets import TCP6Server, TCPServer
from loguru import logger

from tarragonwind.adapters.memory_guards import MemoryGuard
from tarragonwind.core.memory_accounts import Stage
from tarragonwind.ports import Timer, Timers
from tarragonwind.settings import OperatorSettings

SOCKET_CHANNEL = "operators"
WEB_CHANNEL = "web"
MAX_HEADER_BYTES = 16 * 1024
"""Maximum size of request line and headers, in bytes."""
MAX_HEADER_FIELDS = 256
BODY_COPIES = 4
"""Copies of a body that are held at a time: read, canonical, at the web server, and decoded."""
BUFFER_CLEANUP_DELAY_S = 1.0
"""Delay before the write buffer of a closed socket is dropped, in seconds."""
RESPONSE_TIMEOUT_S = 60.0
"""Time from a complete request to the end of its response, in seconds."""

CheckHead = Callable[[str, str, str], tuple[int, str] | None]
"""Returns the status and message with which to reject a method, path and Authorization field."""

_TARGET = re.compile(rb"(?!.*/\.\.?(/|\?|$))/[A-Za-z0-9/_.~-]*(\?[A-Za-z0-9/_.~=&%:-]*)?")
_METHODS = frozenset({b"GET", b"POST"})


def accept_head(method: str, path: str, authorization: str) -> tuple[int, str] | None:
    """Accept a request by its head."""
    return None


class RequestRejected(Exception):
    """Signal that a request is rejected before it reaches the web server.

    Parameters
    ----------
    status : int
        HTTP status code.
    message : str
        Description of the fault, sent to the client.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message


class RequestParser:
    """Parse one request incrementally under size limits."""

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._received_head_bytes = 0
        self._parsed_head_bytes = 0
        self._body: list[bytes] = []
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._head_done = False
        self.complete = False
        self.body_bytes = 0

    @property
    def head(self) -> tuple[str, str, str]:
        """Return method, path and Authorization field of a complete head."""
        method: bytes = self._parser.get_method()
        path = self._target.partition(b"?")[0]
        authorization = self._headers.get(b"authorization", b"")
        return method.decode("latin-1"), path.decode("latin-1"), authorization.decode("latin-1")

    def feed(self, data: bytes) -> None:
        """Parse a chunk of the request.

        Raises
        ------
        RequestRejected
            When the request is malformed, over a limit or followed by more data.
        """
        if self.complete:
            raise RequestRejected(400, "one request a connection")
        if not self._head_done:
            self._received_head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as exc:
            if isinstance(exc.__context__, RequestRejected):
                raise exc.__context__ from None
            raise RequestRejected(400, "malformed request") from exc
        except httptools.HttpParserUpgrade:
            raise RequestRejected(400, "upgrades are not supported") from None
        except httptools.HttpParserError:
            raise RequestRejected(400, "malformed request") from None
        if not self._head_done:
            self._check_header_size(self._received_head_bytes)

    def _check_header_size(self, size_bytes: int) -> None:
        if size_bytes > MAX_HEADER_BYTES:
            raise RequestRejected(431, f"the head is larger than {MAX_HEADER_BYTES} bytes")

    def on_message_begin(self) -> None:
        """Reject a second request on the connection."""
        if self.complete:
            raise RequestRejected(400, "one request a connection")

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._target += url
        self._parsed_head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; those that affect framing, routing or authorisation must not repeat."""
        name = name.lower()
        self._parsed_head_bytes += len(name) + len(value)
        if len(self._headers) >= MAX_HEADER_FIELDS:
            raise RequestRejected(431, f"the head has more than {MAX_HEADER_FIELDS} fields")
        if name in self._headers and name in (b"host", b"authorization", b"content-length"):
            raise RequestRejected(400, f"{name.decode('latin-1')} is repeated")
        self._headers[name] = value

    def on_headers_complete(self) -> None:
        """Validate method, target, framing and body size."""
        self._head_done = True
        self._check_header_size(self._parsed_head_bytes)
        if self._parser.get_method() not in _METHODS:
            raise RequestRejected(405, "use GET or POST")
        if not _TARGET.fullmatch(self._target):
            raise RequestRejected(400, "the target holds characters that are not allowed")
        if b"transfer-encoding" in self._headers:
            raise RequestRejected(411, "send the body with Content-Length")
        length = int(self._headers.get(b"content-length", b"0"))
        if length > self._max_body_bytes:
            raise RequestRejected(413, f"the body is larger than {self._max_body_bytes} bytes")
        self.body_bytes = length

    def on_body(self, data: bytes) -> None:
        """Append to the body."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Mark the request as complete."""
        self.complete = True

    def release(self) -> None:
        """Drop the body."""
        self._body = []

    def canonical(self) -> bytes:
        """Serialise the request with only the headers that the web server needs."""
        body = b"".join(self._body)
        self._body = []
        lines = [self._parser.get_method() + b" " + self._target + b" HTTP/1.1"]
        lines.append(b"Host: operators")
        lines.append(b"Connection: close")
        authorization = self._headers.get(b"authorization")
        if authorization and authorization.isascii() and b"\\" not in authorization:
            lines.append(b"Authorization: " + authorization)
        lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + body


class OperatorConnection:
    """Track one connection, and replace its socket in the events of the web server.

    The web server may call `getpeername` after the socket has been closed, where a real socket
    would fail; this object still returns the address.

    Attributes
    ----------
    head_checked : bool
        Whether the head has been checked and room for the body was reserved or is waited for.
    holding : Holding
        Memory that the connection is charged for.
    """

    __slots__ = (
        "_listener",
        "head_checked",
        "holding",
        "peer",
        "reader",
        "responded",
        "sock",
        "timer",
    )

    def __init__(
        self,
        listener: OperatorListener,
        sock: socket,
        peer: tuple[str, int],
        reader: RequestParser,
        timer: Timer,
    ) -> None:
        self._listener = listener
        self.sock = sock
        self.peer = peer
        self.reader = reader
        self.timer = timer
        self.responded = False
        self.head_checked = False
        self.holding = listener.memory.open(peer[0], self)
        self.holding.stage = Stage.HEAD

    def on_memory_granted(self) -> None:
        """Go on to read the body."""
        self._listener.resume_reading(self)

    def on_memory_refused(self) -> None:
        """Reject the request, of which the body has not been read."""
        self._listener.reject_for_memory(self)

    def on_memory_shed(self) -> None:
        """Reject a request that stalls while others wait for memory."""
        self._listener.reject_for_memory(self)

    def getpeername(self) -> tuple[str, int]:
        """Return the address of the client."""
        return self.peer


class OperatorListener(Component):
    """Accept connections on the operator port and validate requests for the web server."""

    channel = SOCKET_CHANNEL

    def __init__(
        self,
        cfg: OperatorSettings,
        timers: Timers,
        render_error: Callable[[int, str], bytes],
        check_head: CheckHead = accept_head,
        memory: MemoryGuard | None = None,
    ) -> None:
        super().__init__()
        self.memory = memory or MemoryGuard(timers)
        self._check_head = check_head
        self._cfg = cfg
        self._timers = timers
        self._render_error = render_error
        self._conns: dict[socket, OperatorConnection] = {}
        server_class = TCP6Server if ":" in cfg.listen_host else TCPServer
        self.server = server_class((cfg.listen_host, cfg.listen_port), channel=SOCKET_CHANNEL)
        self.server.register(self)

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return int(self.server.port)

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._conns)

    @handler("connect")
    def _on_connect(self, sock: socket, host: str, port: int, *_rest: Any) -> None:
        if len(self._conns) >= self._cfg.max_connections:
            logger.warning(
                "event=operator_connection_refused open={} action={}",
                len(self._conns),
                "raise operators.max_connections if these are your own tools",
            )
            self.fire(_disconnect(sock), SOCKET_CHANNEL)
            return
        timer = self._timers.call_later(self._cfg.request_timeout_s, lambda: self._time_out(sock))
        reader = RequestParser(self._cfg.max_body_bytes)
        self._conns[sock] = OperatorConnection(self, sock, (host, port), reader, timer)

    def _time_out(self, sock: socket) -> None:
        conn = self._conns.get(sock)
        if conn is None:
            return
        if not conn.reader.complete and not conn.responded:
            self._reject(sock, conn, RequestRejected(408, "the request did not arrive in time"))
        else:
            self._abort(sock)

    @handler("read")
    def _on_read(self, sock: socket, data: bytes) -> None:
        conn = self._conns.get(sock)
        if conn is None or conn.responded:
            return
        if conn.reader.complete:
            # Its response is still due; a rejection would replace it.
            logger.info("event=operator_input_ignored peer={} bytes={}", conn.peer[0], len(data))
            return
        conn.holding.progress_at = self._timers.now()
        try:
            conn.reader.feed(data)
            self._check_body(conn)
        except RequestRejected as exc:
            self._reject(sock, conn, exc)
            return
        if conn.reader.complete:
            conn.holding.stage = Stage.SERVING
            self._restart_timer(sock, conn, RESPONSE_TIMEOUT_S)
            self.fire(read(conn, conn.reader.canonical()), WEB_CHANNEL)

    def _check_body(self, conn: OperatorConnection) -> None:
        """Check the head of a request with a body, and reserve the room for it."""
        if conn.head_checked or not conn.reader.body_bytes:
            return
        conn.head_checked = True
        rejection = self._check_head(*conn.reader.head)
        if rejection is not None:
            raise RequestRejected(*rejection)
        if not self.memory.reserve(conn.holding, BODY_COPIES * conn.reader.body_bytes):
            if conn.reader.complete:
                # The whole request came with its head, so little that waiting would free nothing.
                return
            self._poller.removeReader(conn.sock)

    @property
    def _poller(self) -> Any:
        return self.server._poller

    def resume_reading(self, conn: OperatorConnection) -> None:
        """Read the body of a request for which there is room now."""
        if conn.sock in self._conns and not conn.responded and not conn.reader.complete:
            self._poller.addReader(self.server, conn.sock)

    def reject_for_memory(self, conn: OperatorConnection) -> None:
        """Reject a request that is not complete, for lack of memory."""
        if conn.sock not in self._conns or conn.responded or conn.reader.complete:
            return
        self._reject(conn.sock, conn, RequestRejected(503, "this host is short of memory"))

    def _reject(self, sock: socket, conn: OperatorConnection, exc: RequestRejected) -> None:
        conn.responded = True
        conn.holding.stage = Stage.SERVING
        conn.reader.release()
        self.memory.set_body(conn.holding, 0)
        body = self._render_error(exc.status, exc.message)
        phrase = HTTPStatus(exc.status).phrase
        head = (
            f"HTTP/1.1 {exc.status} {phrase}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self._restart_timer(sock, conn, self._cfg.request_timeout_s)
        self._send(sock, head.encode() + body)
        self._close_after_send(sock)

    def _send(self, sock: socket, data: bytes) -> None:
        # Writing through an event would fail if the socket is closed before the event is handled.
        if sock.fileno() >= 0:
            self.server.write(sock, data)

    def _close_after_send(self, sock: socket) -> None:
        if sock.fileno() >= 0:
            self.server.close(sock)

    def _restart_timer(self, sock: socket, conn: OperatorConnection, timeout_s: float) -> None:
        conn.timer.cancel()
        conn.timer = self._timers.call_later(timeout_s, lambda: self._abort(sock))

    def _abort(self, sock: socket) -> None:
        if sock in self._conns:
            self.fire(_disconnect(sock), SOCKET_CHANNEL)

    @handler("disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        # If a socket becomes ready and is closed in the same poll, the server creates a buffer for
        # it after the disconnect and would keep it.
        self._timers.call_later(
            BUFFER_CLEANUP_DELAY_S, lambda: self.server._buffers.pop(sock, None)
        )
        conn = self._conns.pop(sock, None)
        if conn is not None:
            self.memory.close(conn.holding)
            conn.timer.cancel()
            self.fire(disconnect(conn), WEB_CHANNEL)

    @handler("write", channel=WEB_CHANNEL)
    def _on_web_write(self, conn: OperatorConnection, data: bytes) -> None:
        if conn.sock in self._conns and not conn.responded:
            self._send(conn.sock, data)

    @handler("close", channel=WEB_CHANNEL)
    def _on_web_close(self, conn: OperatorConnection | None = None) -> None:
        if conn is not None and conn.sock in self._conns and not conn.responded:
            conn.responded = True
            self._close_after_send(conn.sock)
