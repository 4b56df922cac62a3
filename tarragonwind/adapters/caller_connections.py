"""Read requests from one caller's connection and respond to them in order, with limits on time."""

from __future__ import annotations

import socket
from http import HTTPStatus

from loguru import logger

from tarragonwind.adapters.body_reservations import BODY_COPIES, room_for_body
from tarragonwind.adapters.caller_exchanges import CallerExchange
from tarragonwind.adapters.connection_servers import ConnectionServer
from tarragonwind.adapters.connection_times import (
    FIRST_REQUEST_S,
    KEPT_S,
    NEXT_REQUEST_S,
    STOPPED_S,
)
from tarragonwind.adapters.connections import READ_CHUNK_BYTES, Connection, ConnectionEvents
from tarragonwind.adapters.http_requests import (
    RATE_PERIOD_S,
    CallerRequest,
    ReadPhase,
)
from tarragonwind.adapters.request_parsers import RequestParser
from tarragonwind.adapters.send_progress import SendProgress
from tarragonwind.core.memory_accounts import Stage
from tarragonwind.errors import ErrorKind, RequestError
from tarragonwind.ports import Address, Timer

MEMORY_RETRY_S = 1.0
"""Time after which a caller may repeat a request that there was no memory for, in seconds."""
SMALL_READ_BYTES = 4 * 1024
"""Size of a read from a body in small chunks: parsing 64 KiB of chunks of one byte takes 5 ms."""
UNCHARGED_BYTES = 4 * 1024
"""Largest request that the charge of its connection covers."""

STAGES = {ReadPhase.IDLE: Stage.IDLE, ReadPhase.HEAD: Stage.HEAD, ReadPhase.BODY: Stage.BODY}


class CallerConnection(ConnectionEvents):
    """Read requests from one caller's connection and respond to them in order."""

    __slots__ = (
        "_conn",
        "_current",
        "_error",
        "_holding",
        "_memory",
        "_parser",
        "_input_ended",
        "_phase",
        "_phase_began",
        "_progress",
        "_read_at_check",
        "_requested",
        "_server",
        "_timer",
        "_waiting",
        "peer",
    )

    def __init__(
        self, server: ConnectionServer[CallerConnection], sock: socket.socket, peer: Address
    ) -> None:
        self.peer = peer
        self._server = server
        self._parser = RequestParser(server.limits, holds_bodies=True)
        self._current: CallerExchange | None = None
        self._error: RequestError | None = None
        self._timer: Timer | None = None
        self._conn = Connection(server.loop, sock, self)
        self._phase = ReadPhase.IDLE
        self._phase_began = 0.0
        self._progress = SendProgress()
        self._requested = False
        self._read_at_check = 0
        self._input_ended = False
        self._waiting = False
        self._memory = server.memory
        self._holding = self._memory.open(peer.host, self)
        if self._memory.limited:
            self._conn.on_unsent = self._charge_unsent
        self._begin_phase(ReadPhase.IDLE)

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._conn.closed

    @property
    def stopping(self) -> bool:
        """Return whether the next response announces the end of its connection.

        Requests behind it that have been read are answered first.
        """
        return self._server.stopping and not self._parser.ready

    @property
    def reading(self) -> bool:
        """Return whether a part of a request has been read."""
        return self._parser.in_head or self._parser.in_body

    @property
    def idle(self) -> bool:
        """Return whether no request is read, waiting or processed, and no response being sent."""
        busy = self._current is not None or self._parser.ready or self.reading
        return not busy and not self._conn.unsent

    @property
    def expects_request(self) -> bool:
        """Return whether a request has been received and not read, or may be on its way."""
        if self._conn.has_input():
            return True
        idle_s = self._server.loop.timers.now() - self._phase_began
        if not self._requested:
            return idle_s < FIRST_REQUEST_S
        return self._server.stopping and idle_s < NEXT_REQUEST_S

    @property
    def eviction(self) -> tuple[int, float] | None:
        """Return rank and time from which others may take this place; None while it is in use.

        Connections that are being closed, have stopped within a head or have sent nothing go before
        kept ones.
        """
        if self._current is not None or self._conn.unsent:
            return None
        quiet_since = self._holding.progress_at
        if self._conn.closing or self._parser.in_head or not self._requested:
            return 0, quiet_since + STOPPED_S
        in_use = self._parser.in_body or self._conn.has_input()
        return None if in_use else (1, quiet_since + KEPT_S)

    def write(self, data: bytes) -> None:
        """Send response bytes, and start the stall timer if the caller reads too slowly."""
        self._conn.write(data)
        if self._conn.congested() and self._timer is None:
            self._start_stall_timer()

    def congested(self) -> bool:
        """Return whether the writer should pause until `on_drained`."""
        return self._conn.congested()

    def on_data(self, data: bytes) -> None:
        """Parse requests and start the next one if none is in progress."""
        was_reading = self.reading
        self._holding.progress_at = self._server.loop.timers.now()
        parser = self._parser
        self._error = parser.feed(data)
        if self._current is None and parser.ready and not was_reading and not parser.unparsed:
            self._start_next_exchange()
        else:
            self._after_parsing(was_reading)

    def _after_parsing(self, was_reading: bool) -> None:
        """Start a complete request, decide on the head of one, or go on reading."""
        parser = self._parser
        if parser.in_head or parser.in_body or parser.unparsed or self._holding.input_bytes:
            self._memory.set_input(self._holding, parser.held_bytes)
        if self._current is not None:
            if parser.ready or parser.held is not None or self._error:
                self._conn.pause_reading()
            return
        if parser.ready or self._error:
            self._start_next_exchange()
        elif parser.held is not None:
            self._decide_on_head(parser.held)
        elif parser.in_body and not self._reserve_body():
            self._await_room()
        elif parser.in_body or not was_reading:
            self._go_on_reading()

    def _decide_on_head(self, request: CallerRequest) -> None:
        """Refuse a request by its head, or read its body."""
        self._requested = True
        error = self._server.check_head(request)
        if error is not None:
            self._error = error
            self._refuse(error)
            return
        if request.organisation:
            self._memory.account.set_organisation(self._holding, request.organisation)
        if self._reserve_body():
            self._read_body()
        else:
            self._await_room()

    def _reserve_body(self) -> bool:
        """Reserve the room that the next bytes of a body need; return whether there is any."""
        parser, max_bytes = self._parser, self._server.limits.max_body_bytes
        reserved = room_for_body(parser.announced_bytes, parser.body_bytes, max_bytes)
        if self._parser.has_small_chunks:
            self._conn.read_bytes = SMALL_READ_BYTES
        if reserved <= self._holding.wanted_bytes:
            return True
        return self._memory.reserve(self._holding, reserved)

    def _await_room(self) -> None:
        """Read no further until there is room; what the caller sends meanwhile stays with it."""
        self._waiting = True
        self._stop_timer()
        self._conn.pause_reading(detect_close=False)

    def on_memory_granted(self) -> None:
        """Go on to read the body."""
        if not self._waiting:
            return
        self._waiting = False
        self._conn.resume_reading()
        self._read_body()

    def on_memory_refused(self) -> None:
        """Refuse the request, of which the body has not been read."""
        if self._waiting:
            self._waiting = False
            self._refuse_for_memory()

    def on_memory_shed(self) -> None:
        """Refuse a request that is being read, or close the connection."""
        if self._conn.closed:
            return
        if self._current is None and self.reading and not self._conn.unsent:
            self._refuse_for_memory()
            return
        if self.idle:
            self.close()
            return
        logger.info("event=connection_shed peer={} unsent={}", self.peer, self._conn.unsent)
        self._disconnect()

    def _refuse_for_memory(self) -> None:
        message = "this host is short of memory"
        self._error = RequestError(ErrorKind.SHED, message, MEMORY_RETRY_S)
        self._refuse(self._error)

    def _charge_unsent(self, size: int) -> None:
        self._conn.high_water_bytes = self._memory.set_output(self._holding, size)

    def _read_body(self) -> None:
        self._prepare_body()
        self._error = self._parser.accept_body()
        self._after_parsing(True)

    def _go_on_reading(self) -> None:
        """Time the rest of a request of which a part has been read."""
        if self._parser.in_body:
            self._prepare_body()
        else:
            self._begin_phase(ReadPhase.HEAD)

    def _prepare_body(self) -> None:
        if self._parser.wants_continue:
            self._parser.wants_continue = False
            self._conn.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if not self._parser.body_timed:
            self._parser.body_timed = True
            self._begin_phase(ReadPhase.BODY)
        elif self._timer is None:
            # The body had waited for memory.
            self._start_read_timer()

    def on_input_ended(self) -> bool:
        """Refuse a request of which only a part came before the caller closed its side."""
        if self._current is not None or not self.reading:
            return False
        self._error = RequestError(ErrorKind.BAD_REQUEST, "the request ended before its end")
        self._input_ended = True
        self._refuse(self._error)
        return True

    def on_drained(self) -> None:
        """Pass the event to the current exchange, or start the request that waited for it."""
        if self._current is not None:
            self._current.events.on_caller_drained()
        elif self._awaits_next:
            self._stop_timer()
            self._go_on()

    def on_closed(self, reason: str) -> None:
        """Pass the disconnection to the current exchange."""
        self._end()
        current = self._current
        self._current = None
        if current is not None:
            current.events.on_caller_disconnected()

    def on_finished(self) -> None:
        """Remove the connection after its last bytes are sent."""
        self._end()
        dropped = self._conn.dropped_bytes
        if dropped:
            logger.info("event=input_dropped peer={} bytes={}", self.peer, dropped)

    @property
    def unsent(self) -> int:
        """Return the number of response bytes that are not yet sent."""
        return self._conn.unsent

    def finish_exchange(self, exchange: CallerExchange) -> None:
        """Start the next request, or close the connection."""
        if self._current is not exchange or self._conn.closed:
            return
        self._current = None
        self._stop_timer()
        exchange.request.body = b""
        self._memory.set_body(self._holding, 0)
        self._holding.wanted_bytes = 0
        self._conn.read_bytes = READ_CHUNK_BYTES
        if not exchange.request.keep_alive:
            self._close_when_sent()
            return
        if self._conn.unsent and self._awaits_next and self._conn.await_drain():
            # No further request is read while the responses before it are unread.
            self._conn.pause_reading()
            self._start_stall_timer()
        else:
            self._go_on()

    @property
    def _awaits_next(self) -> bool:
        """Return whether another request, or its head, has been parsed."""
        parser = self._parser
        return bool(parser.ready) or parser.held is not None or self._error is not None

    def _go_on(self) -> None:
        """Serve the next request, read the rest of it, or wait for one."""
        self._conn.resume_reading()
        if self._awaits_next:
            self._server.loop.timers.call_later(0.0, self._start_next_exchange)
        elif self.reading:
            self._go_on_reading()
        else:
            self._progress.restart(self._server.loop.timers.now(), self._conn.sent_bytes)
            self._begin_phase(ReadPhase.IDLE)

    def close(self) -> None:
        """Close immediately; requests that are not yet read are discarded."""
        self._conn.close()
        self._end()

    def stop_reading(self) -> None:
        """Leave what the caller sends from now on unread, as it gets no response."""
        self._conn.pause_reading()

    def reset_unless_finished(self) -> None:
        """Reset the connection if it ends before the response that its end completes."""
        self._conn.reset_unless_finished()

    def abort(self) -> None:
        """Reset the connection."""
        self._current = None
        self._conn.reset()
        self._end()

    def _end(self) -> None:
        """Free what the connection holds."""
        self._stop_timer()
        self._waiting = False
        self._parser.release()
        self._memory.close(self._holding)
        self._server.remove_connection(self)

    def drop_input(self) -> None:
        """Free what has been read, at the end of the connection."""
        self._parser.close()

    def _start_next_exchange(self) -> None:
        if self._current is not None or self._conn.closed:
            return
        self._stop_timer()
        self._requested = True
        if self._parser.ready and self._conn.peer_closed:
            self._server.note_abandoned()
            self.close()
        elif self._parser.ready:
            request = self._parser.ready.popleft()
            exchange = CallerExchange(self, request)
            self._current = exchange
            self._holding.stage = Stage.SERVING
            cost = BODY_COPIES * len(request.body) + request.head_cost
            if cost > UNCHARGED_BYTES or self._holding.body_bytes:
                self._memory.set_body(self._holding, cost)
            if self._parser.unparsed:
                self._error = self._parser.advance()
                self._after_parsing(True)
            self._serve(exchange)
        elif self._error is not None:
            self._refuse(self._error)
        elif self._parser.held is not None:
            self._decide_on_head(self._parser.held)

    def _serve(self, exchange: CallerExchange) -> None:
        """Hand a request over; a failure to take it is answered here."""
        try:
            self._server.on_request(exchange)
        except Exception:
            logger.exception("event=request_not_taken peer={}", self.peer)
            if exchange.started:
                exchange.abort()
            else:
                exchange.answer(HTTPStatus.INTERNAL_SERVER_ERROR, [], b"")

    def _refuse(self, error: RequestError) -> None:
        self._stop_timer()
        self._parser.release()
        self._memory.set_body(self._holding, 0)
        self._memory.set_input(self._holding, 0)
        self._holding.stage = Stage.SERVING
        request = CallerRequest("GET", "/", [])
        request.keep_alive = False
        exchange = CallerExchange(self, request)
        self._current = exchange
        self._conn.pause_reading()
        self._server.on_request_error(exchange, error)

    def _begin_phase(self, phase: ReadPhase) -> None:
        self._phase = phase
        self._holding.stage = STAGES[phase]
        self._phase_began = self._server.loop.timers.now()
        self._start_read_timer()

    def _start_read_timer(self) -> None:
        self._stop_timer()
        left_s = self._left_s()
        if self._phase is ReadPhase.BODY and self._server.limits.min_bytes_per_second:
            left_s = min(left_s, RATE_PERIOD_S)
        self._read_at_check = self._parser.body_bytes
        self._timer = self._server.loop.timers.call_later(left_s, self._on_read_timeout)

    def _left_s(self) -> float:
        """Return the time left of the current phase, by the limits in force now, in seconds."""
        elapsed_s = self._server.loop.timers.now() - self._phase_began
        return self._server.limits.read_timeout_s(self._phase) - elapsed_s

    def _on_read_timeout(self) -> None:
        self._timer = None
        if self._current is not None:
            return
        if self._left_s() > 0 and not self._is_body_slow():
            # The limit was raised since the timer was started, or the body comes fast enough.
            self._start_read_timer()
            return
        if self.reading:
            self._error = RequestError(ErrorKind.REQUEST_TOO_SLOW, "the request came too slowly")
            self._refuse(self._error)
        elif self._conn.has_input() or self._is_caller_reading():
            # The next request is read after this timer, or can't come yet.
            self._begin_phase(ReadPhase.IDLE)
        else:
            self._close_when_sent()

    def _is_body_slow(self) -> bool:
        """Return whether less of the body has come since the last check than must."""
        if self._phase is not ReadPhase.BODY:
            return False
        least = self._server.limits.min_bytes_per_second * RATE_PERIOD_S
        return self._parser.body_bytes - self._read_at_check < least

    def _is_caller_reading(self) -> bool:
        """Return whether the caller still reads the last response."""
        conn, limits = self._conn, self._server.limits
        now = self._server.loop.timers.now()
        return self._progress.is_reading(now, conn.sent_bytes, conn.unsent, limits.stall_timeout_s)

    def _start_stall_timer(self) -> None:
        limits = self._server.limits
        timeout_s = min(limits.stall_timeout_s, limits.congestion_timeout_s)
        self._progress.begin_check(self._conn.sent_bytes)
        self._timer = self._server.loop.timers.call_later(timeout_s, self._check_stall)

    def _check_stall(self) -> None:
        self._timer = None
        if not self._conn.congested():
            return
        limits = self._server.limits
        timeout_s = min(limits.stall_timeout_s, limits.congestion_timeout_s)
        least = max(1.0, limits.min_bytes_per_second * timeout_s)
        if self._progress.since_check(self._conn.sent_bytes) >= least:
            self._start_stall_timer()
            return
        logger.info("event=response_unread peer={} unsent={}", self.peer, self._conn.unsent)
        self._disconnect()

    def _disconnect(self) -> None:
        """Reset the connection and cancel its request."""
        current = self._current
        self.abort()
        if current is not None:
            current.events.on_caller_disconnected()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_when_sent(self) -> None:
        self._stop_timer()
        discards = self._error is not None and not self._input_ended
        self._conn.close_when_sent(discard_input=discards)
