"""Relay one request to an upstream and stream the response to the caller with back-pressure."""

from __future__ import annotations

from collections.abc import Callable

from tarragonwind.adapters.caller_dialects import (
    NO_NOTICE,
    Headers,
    ResponseKind,
    UpstreamNotice,
)
from tarragonwind.adapters.caller_exchanges import NO_EVENTS, CallerExchange, ExchangeEvents
from tarragonwind.adapters.client_exchanges import ClientExchange
from tarragonwind.adapters.http_clients import HttpClient
from tarragonwind.adapters.relay_options import BufferedResponse, RelayOptions, ignore_notice
from tarragonwind.adapters.response_headers import (
    Framing,
    content_length,
    find_stream_id,
    is_event_stream,
)
from tarragonwind.adapters.response_sinks import ResponseSink
from tarragonwind.adapters.resume_sinks import ResumeSink
from tarragonwind.core.dispatches import DispatchOutcome
from tarragonwind.core.request_lifecycles import LifecycleState, Outcome, RequestLifecycle
from tarragonwind.core.response_matches import ResponseIdentity
from tarragonwind.core.stream_cursors import EVENT_END, EventTail, StreamCursor
from tarragonwind.futures import Future
from tarragonwind.ports import Address, HttpError, HttpRequest, Timer, Timers

STREAM_TARGET = "/v1/streams/{}"
LAST_EVENT_HEADER = b"Last-Event-ID"
MAX_RESUMES = 3
RESUME_DELAY_S = 0.1
CANCEL_TIMEOUT_S = 2.0
FIRST_FAILURE_STATUS = 500
MAX_BUFFERED_BYTES = 1024 * 1024
"""Maximum size of an event of a resumable stream, and of a failure held back for a retry."""
TIMER_TOLERANCE_S = 0.002
"""Tolerance for timers that fire early, in seconds."""


def _do_nothing() -> None:
    """Do nothing; default of the relay's callbacks."""


class Relay(ResponseSink, ExchangeEvents):
    """Send one request to one upstream and stream the response to the caller.

    Attributes
    ----------
    end : Future of DispatchOutcome
        Done when the relay has ended, whichever side ended it.
    status : int
        Status code of the response, 0 before its head has arrived.
    reason : str
        Description of a failure, empty for none.
    first_byte_s, duration_s : float
        Time from the dispatch to the first body byte, and to the end, in seconds.
    event_count : int
        Server-sent events of the response so far.
    tail : EventTail or None
        End of the upstream's stream so far, None if the response is no event stream.
    buffered_response : BufferedResponse or None
        Error response that has not been sent to the caller.
    notice : UpstreamNotice
        What the upstream said of itself in the head of its response.
    disconnected : bool
        Whether the upstream has ended the connection before the response was complete.
    withheld : bool
        Whether the request was not sent since the upstream had gone out of use by then.
    on_first_byte : callable
        Called once, when the first byte of the response body has arrived.
    on_notice : callable
        Called with the notice of each response's head, before the response is passed on.
    on_stalled : callable
        Called when no bytes have arrived for longer than a stall limit, and again after each
        further limit.
    on_recovered : callable
        Called when bytes arrive after `on_stalled`.

    Parameters
    ----------
    caller : CallerExchange
        Exchange that the response goes to; a response that has begun is continued.
    lifecycle : RequestLifecycle
        State of the request.
    options : RelayOptions
        Callbacks and timeouts for the upstream.
    timers : Timers
        Clock and timers.
    cursor : StreamCursor, optional
        Position in a stream that can continue on another upstream after a failure.
    """

    __slots__ = (
        "_address",
        "_caller",
        "_client",
        "_cursor",
        "_dispatched_at",
        "_exchange",
        "_last_data_at",
        "_last_progress_at",
        "_lifecycle",
        "_options",
        "_paused",
        "_resumes",
        "_stall_timer",
        "_stalled",
        "_stream_id",
        "_timer",
        "_timers",
        "buffered_response",
        "disconnected",
        "duration_s",
        "end",
        "event_count",
        "first_byte_s",
        "notice",
        "on_first_byte",
        "on_notice",
        "on_recovered",
        "on_stalled",
        "reason",
        "status",
        "tail",
        "withheld",
    )

    def __init__(
        self,
        caller: CallerExchange,
        lifecycle: RequestLifecycle,
        options: RelayOptions,
        timers: Timers,
        cursor: StreamCursor | None = None,
    ) -> None:
        self.end: Future[DispatchOutcome] = Future()
        self.status = 0
        self.reason = ""
        self.first_byte_s = 0.0
        self.duration_s = 0.0
        self.event_count = 0
        self.tail: EventTail | None = None
        self.disconnected = False
        self.withheld = False
        self.buffered_response: BufferedResponse | None = None
        self._caller = caller
        self._cursor = cursor
        self._lifecycle = lifecycle
        self._options = options
        self._timers = timers
        self._exchange: ClientExchange | None = None
        self._dispatched_at = timers.now()
        self._last_data_at = 0.0
        self._last_progress_at = 0.0
        self._paused = False
        self._stream_id = ""
        self._resumes = 0
        self._client: HttpClient | None = None
        self._address: Address | None = None
        self._timer: Timer | None = None
        self._stall_timer: Timer | None = None
        self._stalled = False
        self.notice = NO_NOTICE
        self.on_notice: Callable[[UpstreamNotice], None] = ignore_notice
        self.on_first_byte: Callable[[], None] = _do_nothing
        self.on_stalled: Callable[[], None] = _do_nothing
        self.on_recovered: Callable[[], None] = _do_nothing

    @property
    def dispatched_at(self) -> float:
        """Return the time of the dispatch, in seconds."""
        return self._dispatched_at

    @property
    def sent(self) -> bool:
        """Return whether a byte of the request may have reached the upstream."""
        return self._exchange is not None and self._exchange.sent

    @property
    def framing(self) -> Framing | None:
        """Return what ends the upstream's response, None before its head has arrived."""
        return self._exchange.framing if self._exchange is not None else None

    def start(self, client: HttpClient, address: Address, req: HttpRequest) -> None:
        """Send the request to the upstream."""
        self._caller.events = self
        self._client = client
        self._address = address
        self._timer = self._timers.call_later(self._options.first_byte_timeout_s, self._on_timeout)
        self._schedule_stall_check(self._options.first_byte_stall_s)
        exchange = client.exchange(address, req, self)
        self._exchange = exchange
        if self.end.done():
            exchange.cancel()

    def may_send(self) -> bool:
        """Return whether the upstream is still in use, now that a connection to it is open."""
        self.withheld = not self._options.may_send()
        return not self.withheld

    def on_sent(self) -> None:
        """Record the dispatch before the first byte can be sent."""
        self._lifecycle.advance(LifecycleState.DISPATCHED)
        self._dispatched_at = self._timers.now()

    @property
    def request_name(self) -> str:
        """Return the id of the request."""
        return self._options.request_name

    def identify_response(self, status: int, headers: Headers) -> ResponseIdentity:
        """Return what the head of a response tells of the request that it belongs to."""
        return self._options.identify_response(status, headers)

    def on_head(self, status: int, headers: Headers) -> None:
        """Start the caller's response, unless the upstream refused the request."""
        self.status = status
        self._on_data_arrived()
        self._last_progress_at = self._last_data_at
        self.notice = self._options.read_notice(status, headers)
        self.on_notice(self.notice)
        kind = self._options.classify_response(status, headers)
        if kind is not ResponseKind.ANSWER:
            self._on_refused(kind)
            return
        if is_event_stream(headers):
            self.tail = EventTail()
        if self._caller.started:
            self._continue_response(status, headers)
            return
        if self._options.buffers_failures and status >= FIRST_FAILURE_STATUS:
            self.buffered_response = BufferedResponse(status, headers)
            return
        self._lifecycle.advance(LifecycleState.STREAMING)
        length = content_length(headers)
        if length is None and self._cursor is None:
            self._stream_id = find_stream_id(headers)
            if self._stream_id:
                self._cursor = StreamCursor()
        self._caller.start(status, headers, length)
        self._restart_timer()

    def _on_refused(self, kind: ResponseKind) -> None:
        """End the dispatch as not run."""
        misdirected = kind is ResponseKind.MISDIRECTED
        outcome = DispatchOutcome.MISDIRECTED if misdirected else DispatchOutcome.REFUSED
        self._lifecycle.prove_not_run()
        self._finish(outcome)
        self._cancel_exchange()

    def _on_data_arrived(self) -> None:
        self._last_data_at = self._timers.now()
        if self._stalled:
            self._stalled = False
            self.on_recovered()

    def _continue_response(self, status: int, headers: Headers) -> None:
        """Continue the response of an earlier upstream if this one responds with its events."""
        if status == 200 and is_event_stream(headers):
            self._lifecycle.advance(LifecycleState.STREAMING)
            return
        self.reason = f"the upstream did not go on with the events: status {status}"
        self._finish(DispatchOutcome.BROKEN)
        self._cancel_exchange()

    def on_body(self, data: bytes) -> None:
        """Forward body bytes, and stop reading the upstream while the caller is congested."""
        if self.end.done():
            return
        self._on_data_arrived()
        if not self.first_byte_s:
            self.first_byte_s = self._last_data_at - self._dispatched_at
            self.on_first_byte()
        if self.tail is None or self.tail.feed(data):
            self._last_progress_at = self._last_data_at
        if self.buffered_response is not None:
            self._buffer(self.buffered_response, data)
            return
        data = self._take_events(data)
        if self._cursor is not None and self._cursor.partial_bytes > MAX_BUFFERED_BYTES:
            if self._exchange is not None:
                self._exchange.cancel()
            self.on_stream_interrupted(f"an event is longer than {MAX_BUFFERED_BYTES} bytes")
            return
        if not data:
            return
        try:
            self._caller.write(data)
        except ValueError as exc:
            self.reason = str(exc)
            self._abort_response()
            return
        if self._caller.congested() and self._exchange is not None:
            self._paused = True
            self._exchange.pause()

    def _buffer(self, response: BufferedResponse, data: bytes) -> None:
        """Hold back a failure response, or give it up when it becomes too large."""
        response.body += data
        if len(response.body) > MAX_BUFFERED_BYTES:
            self.reason = f"a failure is longer than {MAX_BUFFERED_BYTES} bytes"
            self._finish(DispatchOutcome.FAILED_BEFORE_ANSWER)
            self._cancel_exchange()

    def _take_events(self, data: bytes) -> bytes:
        """Count events and return what may be sent: of a resumable stream, whole events only."""
        if self._cursor is None:
            self.event_count += data.count(EVENT_END)
            return data
        count_before = self._cursor.event_count
        complete = self._cursor.feed(data)
        self.event_count += self._cursor.event_count - count_before
        return complete

    def on_complete(self) -> None:
        """Finish the caller's response, unless the upstream broke its stream off."""
        if self.end.done():
            return
        if self._is_cut_short():
            closed = self.framing is Framing.CLOSE
            reason = "the stream ended inside an event"
            self.on_failed(HttpError(reason, sent=True, disconnected=closed))
            return
        if self.buffered_response is not None:
            self._finish(DispatchOutcome.FAILURE_ANSWER)
            return
        rest = self._cursor.take_rest() if self._cursor is not None else b""
        if rest:
            self._caller.write(rest)
        self._lifecycle.end(Outcome.ANSWERED)
        self._caller.finish()
        self._finish(DispatchOutcome.WHOLE)

    def _is_cut_short(self) -> bool:
        """Return whether the upstream's event stream ended too early, however it was framed.

        Where only the connection's end ends the stream, one without any event is cut short too.
        """
        if self.tail is None or self.framing is Framing.LENGTH:
            return False
        return self.tail.inside_event or (self.tail.empty and self.framing is Framing.CLOSE)

    def on_failed(self, exc: HttpError) -> None:
        """Map a failure to its outcome: before sending, before the response or within it."""
        if self.end.done():
            return
        self.reason = str(exc)
        self.disconnected = exc.sent and exc.disconnected
        if not exc.sent:
            # A kept connection may have been dispatched on, and closed before it was read.
            self._lifecycle.prove_not_run()
            self._finish(DispatchOutcome.NOT_SENT)
        elif self._lifecycle.state is LifecycleState.STREAMING:
            self.on_stream_interrupted(self.reason)
        else:
            self._finish(DispatchOutcome.FAILED_BEFORE_ANSWER)

    def on_stream_interrupted(self, reason: str) -> None:
        """Resume an interrupted stream if the upstream supports it, else abort the response."""
        if self.end.done():
            return
        self.reason = reason
        if self._cursor is not None:
            self._cursor.drop_partial()
        if self._cursor is not None and not self._stream_id:
            self._finish(DispatchOutcome.BROKEN)
            return
        if not self._stream_id or self._resumes >= MAX_RESUMES:
            self._abort_response()
            return
        self._resumes += 1
        delay_s = RESUME_DELAY_S * (self._resumes - 1)
        self._timers.call_later(delay_s, self._resume)

    def on_resume_refused(self, reason: str) -> None:
        """Abort the response because the upstream no longer has the stream."""
        if not self.end.done():
            self.reason = reason
            self._abort_response()

    def _resume(self) -> None:
        if self.end.done() or self._client is None or self._address is None:
            return
        headers = [(LAST_EVENT_HEADER, b"%d" % self.event_count)]
        req = HttpRequest("GET", STREAM_TARGET.format(self._stream_id), headers)
        self._paused = False
        self.tail = EventTail()
        self._exchange = self._client.exchange(self._address, req, ResumeSink(self))

    def on_caller_drained(self) -> None:
        """Resume reading the upstream after back-pressure."""
        if self._paused and self._exchange is not None:
            self._paused = False
            self._last_data_at = self._last_progress_at = self._timers.now()
            self._exchange.resume()

    def on_caller_disconnected(self) -> None:
        """Cancel the upstream request, since its response has no receiver."""
        if self.end.done():
            return
        self._lifecycle.end(Outcome.CALLER_LEFT)
        self._finish(DispatchOutcome.CALLER_LEFT)
        self._cancel_exchange()

    def abandon(self, reason: str) -> None:
        """End the dispatch without a response, so that the request can be retried elsewhere."""
        if self.end.done():
            return
        self.reason = reason
        streaming = self._lifecycle.state is LifecycleState.STREAMING
        if self._cursor is not None:
            self._cursor.drop_partial()
        # The request may be dispatched again as soon as the relay has finished.
        self._cancel_exchange()
        self._finish(DispatchOutcome.BROKEN if streaming else DispatchOutcome.FAILED_BEFORE_ANSWER)

    def _schedule_stall_check(self, limit_s: float) -> None:
        if limit_s:
            self._stall_timer = self._timers.call_later(limit_s, self._check_stall)

    def _check_stall(self) -> None:
        """Call `on_stalled` if the upstream has been silent too long, and check again later."""
        self._stall_timer = None
        if self.end.done():
            return
        silent_s = self._timers.now() - (self._last_data_at or self._dispatched_at)
        limit_s = (
            self._options.event_stall_s if self._last_data_at else self._options.first_byte_stall_s
        )
        if not limit_s:
            return
        if self._paused or silent_s < limit_s - TIMER_TOLERANCE_S:
            self._schedule_stall_check(limit_s if self._paused else limit_s - silent_s)
            return
        self._stalled = True
        self.on_stalled()
        if not self.end.done():
            self._schedule_stall_check(limit_s)

    def _abort_response(self) -> None:
        self._lifecycle.end(Outcome.CUT)
        self._finish(DispatchOutcome.CUT)
        self._cancel_exchange()
        self._caller.abort()

    def _on_timeout(self) -> None:
        self._timer = None
        if self.end.done():
            return
        if self._lifecycle.state is not LifecycleState.STREAMING:
            self.reason = "no answer in time"
            self._finish(DispatchOutcome.DEADLINE_PASSED)
            self._cancel_exchange()
            return
        # An upstream that sends single bytes of an event has stalled too.
        stalled_s = self._timers.now() - self._last_progress_at
        bounded = self._options.deadline_is_total
        if not bounded and (self._paused or stalled_s < self._options.idle_timeout_s):
            self._restart_timer()
            return
        self.reason = "the answer took too long" if bounded else "the answer stalled"
        self._abort_response()

    def _restart_timer(self) -> None:
        if self._options.deadline_is_total:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._timers.call_later(self._options.idle_timeout_s, self._on_timeout)

    def _cancel_exchange(self) -> None:
        if self._exchange is not None:
            self._exchange.cancel()
        if self._stream_id and self._client is not None and self._address is not None:
            req = HttpRequest("DELETE", STREAM_TARGET.format(self._stream_id))
            self._client.fetch(self._address, req, CANCEL_TIMEOUT_S)

    def _finish(self, end: DispatchOutcome) -> None:
        for timer in (self._timer, self._stall_timer):
            if timer is not None:
                timer.cancel()
        self.duration_s = self._timers.now() - self._dispatched_at
        self._caller.events = NO_EVENTS
        # These refer to the request's handler, which refers to this relay.
        self.on_notice = ignore_notice
        self.on_first_byte = self.on_stalled = self.on_recovered = _do_nothing
        self.end.set_result(end)
