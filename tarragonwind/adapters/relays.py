"""Relay one dispatched request: from the upstream's answer to the caller, with back-pressure."""

from __future__ import annotations

from collections.abc import Callable

from tarragonwind.adapters.caller_dialects import Headers, HeadVerdict
from tarragonwind.adapters.http_clients import ClientExchange, HttpClient, ResponseSink
from tarragonwind.adapters.http_servers import AnswerEvents, CallerExchange
from tarragonwind.core.dispatches import DispatchOutcome
from tarragonwind.core.request_lifecycles import LifecycleState, Outcome, RequestLifecycle
from tarragonwind.core.stream_cursors import EVENT_END, StreamCursor
from tarragonwind.futures import Future
from tarragonwind.ports import Address, HttpError, HttpRequest, Timer, Timers

STREAM_ID_HEADER = b"stream-id"
"""Field by which an engine names a stream that it can resume and cancel."""
STREAM_TARGET = "/v1/streams/{}"
LAST_EVENT_HEADER = b"Last-Event-ID"
MAX_RESUMES = 3
RESUME_DELAY_S = 0.1
CANCEL_TIMEOUT_S = 2.0
MAX_STREAM_ID_LENGTH = 128
FIRST_FAILURE_STATUS = 500
STALL_ROUNDING_S = 0.002
"""Time by which a timer may come early, in seconds."""


def _ignore() -> None:
    """Do nothing."""


class RelayRules:
    """Hold what one relay needs to know of its upstream and its times.

    Attributes
    ----------
    judge_head : callable
        Tells what the status and the fields of the upstream's answer mean.
    owns_answer : callable
        Tells by its fields whether an answer is for this request.
    first_byte_timeout_s, idle_timeout_s : float
        Longest wait for the head of the answer, and between two parts of it.
    bounds_whole_answer : bool
        Whether the first timeout is one for the whole answer.
    holds_failures : bool
        Whether an answer with a failure's status is kept back, so that it can be tried elsewhere.
    first_byte_stall_s, event_stall_s : float
        Silence before the answer, and between two parts of it, that `Relay.on_stalled` is told
        of; 0 for none.
    """

    __slots__ = (
        "bounds_whole_answer",
        "event_stall_s",
        "first_byte_stall_s",
        "first_byte_timeout_s",
        "holds_failures",
        "idle_timeout_s",
        "judge_head",
        "owns_answer",
    )

    def __init__(
        self,
        judge_head: Callable[[int, Headers], HeadVerdict],
        owns_answer: Callable[[Headers], bool],
        first_byte_timeout_s: float,
        idle_timeout_s: float,
        bounds_whole_answer: bool = False,
        holds_failures: bool = False,
        first_byte_stall_s: float = 0.0,
        event_stall_s: float = 0.0,
    ) -> None:
        self.judge_head = judge_head
        self.owns_answer = owns_answer
        self.first_byte_timeout_s = first_byte_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.bounds_whole_answer = bounds_whole_answer
        self.holds_failures = holds_failures
        self.first_byte_stall_s = first_byte_stall_s
        self.event_stall_s = event_stall_s


class HeldAnswer:
    """Hold an upstream's whole answer that the caller has not been given."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers) -> None:
        self.status = status
        self.headers = headers
        self.body = bytearray()


class ResumedStream(ResponseSink):
    """Follow the rest of a stream that broke off, on behalf of its relay."""

    __slots__ = ("_accepted", "_relay")

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._accepted = False

    def on_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Go on when the engine still has the stream."""
        self._accepted = status == 200
        if not self._accepted:
            self._relay.give_up_resuming(f"the engine refused to resume: status {status}")

    def on_body(self, data: bytes) -> None:
        """Pass the next part on."""
        if self._accepted:
            self._relay.on_body(data)

    def on_complete(self) -> None:
        """End the answer."""
        if self._accepted:
            self._relay.on_complete()

    def on_failed(self, exc: HttpError) -> None:
        """Try again, or cut the answer."""
        self._relay.on_stream_broken(str(exc))


class Relay(ResponseSink, AnswerEvents):
    """Send one request to one upstream and pass the answer on as it comes.

    Attributes
    ----------
    end : Future of DispatchOutcome
        Done when the relay has ended, whichever side ended it.
    status : int
        Status of the upstream's answer, 0 before it.
    reason : str
        What was seen of a failure.
    first_byte_s, duration_s : float
        Times since the dispatch, in seconds.
    event_count : int
        Server-sent events seen in the answer.
    held : HeldAnswer or None
        A failure's answer that was kept back.
    on_first_byte : callable
        Called once, when the first byte of the answer's body has come.
    on_stalled : callable
        Called once, when the upstream has been silent for too long.

    Parameters
    ----------
    caller : CallerExchange
        Exchange that the answer goes to; where its answer has begun, this relay goes on with it.
    lifecycle : RequestLifecycle
        State of the request.
    rules : RelayRules
        What is known of the upstream and the times.
    timers : Timers
        Clock and timer subscriptions.
    cursor : StreamCursor, optional
        Follows a stream that may go on at another upstream when it breaks off.
    """

    __slots__ = (
        "_address",
        "_caller",
        "_client",
        "_cursor",
        "_dispatched_at",
        "_exchange",
        "_heard_at",
        "_lifecycle",
        "_paused",
        "_resumes",
        "_rules",
        "_stall_timer",
        "_stream_id",
        "_timer",
        "_timers",
        "duration_s",
        "end",
        "event_count",
        "first_byte_s",
        "held",
        "on_first_byte",
        "on_stalled",
        "reason",
        "status",
    )

    def __init__(
        self,
        caller: CallerExchange,
        lifecycle: RequestLifecycle,
        rules: RelayRules,
        timers: Timers,
        cursor: StreamCursor | None = None,
    ) -> None:
        self.end: Future[DispatchOutcome] = Future()
        self.status = 0
        self.reason = ""
        self.first_byte_s = 0.0
        self.duration_s = 0.0
        self.event_count = 0
        self.held: HeldAnswer | None = None
        self._caller = caller
        self._cursor = cursor
        self._lifecycle = lifecycle
        self._rules = rules
        self._timers = timers
        self._exchange: ClientExchange | None = None
        self._dispatched_at = timers.now()
        self._heard_at = 0.0
        self._paused = False
        self._stream_id = ""
        self._resumes = 0
        self._client: HttpClient | None = None
        self._address: Address | None = None
        self._timer: Timer | None = None
        self._stall_timer: Timer | None = None
        self.on_first_byte: Callable[[], None] = _ignore
        self.on_stalled: Callable[[], None] = _ignore

    @property
    def sent(self) -> bool:
        """Tell whether a byte of the request may have reached the upstream."""
        return self._exchange is not None and self._exchange.sent

    def start(self, client: HttpClient, address: Address, req: HttpRequest) -> None:
        """Dispatch the request."""
        self._caller.events = self
        self._client = client
        self._address = address
        self._timer = self._timers.call_later(self._rules.first_byte_timeout_s, self._late)
        self._watch_stall(self._rules.first_byte_stall_s)
        exchange = client.exchange(address, req, self)
        self._exchange = exchange
        if self.end.done():
            exchange.cancel()

    def on_sent(self) -> None:
        """Note the dispatch, before the first byte may leave."""
        self._lifecycle.advance(LifecycleState.DISPATCHED)
        self._dispatched_at = self._timers.now()

    def owns_answer(self, headers: Headers) -> bool:
        """Tell whether an answer is for this request."""
        return self._rules.owns_answer(headers)

    def on_head(self, status: int, headers: Headers) -> None:
        """Begin the caller's answer, unless the upstream refused."""
        self.status = status
        self._heard_at = self._timers.now()
        verdict = self._rules.judge_head(status, headers)
        if verdict is not HeadVerdict.ANSWER:
            self._lifecycle.refusal_proven = True
            misdirected = verdict is HeadVerdict.MISDIRECTED
            self._finish(DispatchOutcome.MISDIRECTED if misdirected else DispatchOutcome.REFUSED)
            self._cancel_exchange()
            return
        if self._caller.started:
            self._go_on(status)
            return
        if self._rules.holds_failures and status >= FIRST_FAILURE_STATUS:
            self.held = HeldAnswer(status, headers)
            return
        self._lifecycle.advance(LifecycleState.STREAMING)
        length = content_length(headers)
        if length is None and self._cursor is None:
            self._stream_id = find_stream_id(headers)
            if self._stream_id:
                self._cursor = StreamCursor()
        self._caller.start(status, headers, length)
        self._restart_timer()

    def _go_on(self, status: int) -> None:
        """Continue the answer of an earlier upstream, if this one has accepted to."""
        if status == 200:
            self._lifecycle.advance(LifecycleState.STREAMING)
            return
        self.reason = f"the upstream refused to go on with the stream: status {status}"
        self._finish(DispatchOutcome.BROKEN)
        self._cancel_exchange()

    def on_body(self, data: bytes) -> None:
        """Pass a part of the answer on; stop reading while the caller is behind."""
        if self.end.done():
            return
        now = self._timers.now()
        if not self.first_byte_s:
            self.first_byte_s = now - self._dispatched_at
            self.on_first_byte()
        self._heard_at = now
        if self.held is not None:
            self.held.body += data
            return
        if self._cursor is not None:
            data = self._cursor.feed(data)
        if not data:
            return
        self.event_count += data.count(EVENT_END)
        try:
            self._caller.write(data)
        except ValueError as exc:
            self.reason = str(exc)
            self._cut()
            return
        if self._caller.congested() and self._exchange is not None:
            self._paused = True
            self._exchange.pause()

    def on_complete(self) -> None:
        """End the caller's answer."""
        if self.end.done():
            return
        if self.held is not None:
            self._finish(DispatchOutcome.FAILURE_ANSWER)
            return
        rest = self._cursor.take_rest() if self._cursor is not None else b""
        if rest:
            self._caller.write(rest)
        self._lifecycle.end(Outcome.ANSWERED)
        self._caller.finish()
        self._finish(DispatchOutcome.WHOLE)

    def on_failed(self, exc: HttpError) -> None:
        """Tell apart what failed before a byte was sent, before the answer and within it."""
        if self.end.done():
            return
        self.reason = str(exc)
        if not exc.sent:
            self._finish(DispatchOutcome.NOT_SENT)
        elif self._lifecycle.state is LifecycleState.STREAMING:
            self.on_stream_broken(self.reason)
        else:
            self._finish(DispatchOutcome.FAILED_BEFORE_ANSWER)

    def on_stream_broken(self, reason: str) -> None:
        """Resume a stream that broke off, where the engine can; else cut the answer."""
        if self.end.done():
            return
        self.reason = reason
        if self._cursor is not None:
            self._cursor.drop_partial()
        if self._cursor is not None and not self._stream_id:
            self._finish(DispatchOutcome.BROKEN)
            return
        if not self._stream_id or self._resumes >= MAX_RESUMES:
            self._cut()
            return
        self._resumes += 1
        delay_s = RESUME_DELAY_S * (self._resumes - 1)
        self._timers.call_later(delay_s, self._resume)

    def give_up_resuming(self, reason: str) -> None:
        """Cut the answer: the engine no longer has the stream."""
        if not self.end.done():
            self.reason = reason
            self._cut()

    def _resume(self) -> None:
        if self.end.done() or self._client is None or self._address is None:
            return
        headers = [(LAST_EVENT_HEADER, b"%d" % self.event_count)]
        req = HttpRequest("GET", STREAM_TARGET.format(self._stream_id), headers)
        self._paused = False
        self._exchange = self._client.exchange(self._address, req, ResumedStream(self))

    def on_caller_drained(self) -> None:
        """Read the upstream again."""
        if self._paused and self._exchange is not None:
            self._paused = False
            self._heard_at = self._timers.now()
            self._exchange.resume()

    def on_caller_gone(self) -> None:
        """Cancel the upstream's work: nobody waits for it."""
        if self.end.done():
            return
        self._lifecycle.end(Outcome.CALLER_LEFT)
        self._finish(DispatchOutcome.CALLER_LEFT)
        self._cancel_exchange()

    def abandon(self, reason: str) -> None:
        """End the dispatch without its answer, so that the request can go elsewhere."""
        if self.end.done():
            return
        self.reason = reason
        streaming = self._lifecycle.state is LifecycleState.STREAMING
        if self._cursor is not None:
            self._cursor.drop_partial()
        self._finish(DispatchOutcome.BROKEN if streaming else DispatchOutcome.FAILED_BEFORE_ANSWER)
        self._cancel_exchange()

    def _watch_stall(self, limit_s: float) -> None:
        if limit_s:
            self._stall_timer = self._timers.call_later(limit_s, self._check_stall)

    def _check_stall(self) -> None:
        """Look whether the upstream was silent; look again when it may be."""
        self._stall_timer = None
        if self.end.done():
            return
        quiet_s = self._timers.now() - (self._heard_at or self._dispatched_at)
        limit_s = self._rules.event_stall_s if self._heard_at else self._rules.first_byte_stall_s
        if self._paused or quiet_s < limit_s - STALL_ROUNDING_S:
            self._watch_stall(limit_s if self._paused else limit_s - quiet_s)
            return
        self.on_stalled()

    def _cut(self) -> None:
        self._lifecycle.end(Outcome.CUT)
        self._finish(DispatchOutcome.CUT)
        self._cancel_exchange()
        self._caller.abort()

    def _late(self) -> None:
        self._timer = None
        if self.end.done():
            return
        if self._lifecycle.state is not LifecycleState.STREAMING:
            self.reason = "no answer in time"
            self._finish(DispatchOutcome.DEADLINE_PASSED)
            self._cancel_exchange()
            return
        quiet_s = self._timers.now() - self._heard_at
        bounded = self._rules.bounds_whole_answer
        if not bounded and (self._paused or quiet_s < self._rules.idle_timeout_s):
            self._restart_timer()
            return
        self.reason = "the answer took too long" if bounded else "the answer stalled"
        self._cut()

    def _restart_timer(self) -> None:
        if self._rules.bounds_whole_answer:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._timers.call_later(self._rules.idle_timeout_s, self._late)

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
        self._caller.events = AnswerEvents()
        self.end.set_result(end)


def content_length(headers: Headers) -> int | None:
    """Return the announced length of a body in bytes, or None."""
    for name, value in headers:
        if name.lower() == b"content-length":
            return int(value)
    return None


def find_stream_id(headers: Headers) -> str:
    """Return the name of a stream that can be resumed, empty when it can't."""
    for name, value in headers:
        if name.lower() == STREAM_ID_HEADER:
            text = value.decode("latin-1")
            plain = text.replace("-", "").isalnum() and text.isascii()
            return text if plain and len(text) <= MAX_STREAM_ID_LENGTH else ""
    return ""
