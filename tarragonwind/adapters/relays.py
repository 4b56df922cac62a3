"""Relay one dispatched request: from the upstream's answer to the caller, with back-pressure."""

from __future__ import annotations

import enum
from collections.abc import Callable

from tarragonwind.adapters.http_clients import ClientExchange, HttpClient, ResponseSink
from tarragonwind.adapters.http_servers import AnswerEvents, CallerExchange
from tarragonwind.core.request_lives import LifeState, Outcome, RequestLife
from tarragonwind.futures import Future
from tarragonwind.ports import Address, HttpError, HttpRequest, Timer, Timers

REFUSAL_STATUSES = frozenset([429, 503])
EVENT_END = b"\n\n"


def _ignore() -> None:
    """Do nothing."""


class RelayEnd(enum.Enum):
    """Name how a relay ended."""

    WHOLE = "whole"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    FAILED_BEFORE_ANSWER = "failed_before_answer"
    CUT = "cut"
    CALLER_LEFT = "caller_left"
    DEADLINE_PASSED = "deadline_passed"


class RelayRules:
    """Hold what one relay needs to know of its upstream and its times.

    Attributes
    ----------
    refusal_not_run : bool
        Whether the upstream's refusal proves that the work was not performed.
    first_byte_timeout_s, idle_timeout_s : float
        Longest wait for the head of the answer, and between two parts of it.
    """

    __slots__ = ("first_byte_timeout_s", "idle_timeout_s", "refusal_not_run")

    def __init__(
        self, refusal_not_run: bool, first_byte_timeout_s: float, idle_timeout_s: float
    ) -> None:
        self.refusal_not_run = refusal_not_run
        self.first_byte_timeout_s = first_byte_timeout_s
        self.idle_timeout_s = idle_timeout_s


class Relay(ResponseSink, AnswerEvents):
    """Send one request to one upstream and pass the answer on as it comes.

    Attributes
    ----------
    end : Future of RelayEnd
        Done when the relay has ended, whichever side ended it.
    status : int
        Status of the upstream's answer, 0 before it.
    reason : str
        What was seen of a failure.
    first_byte_s, duration_s : float
        Times since the dispatch, in seconds.
    event_count : int
        Server-sent events seen in the answer.
    on_first_byte : callable
        Called once, when the first byte of the answer's body has come.
    """

    __slots__ = (
        "_caller",
        "_dispatched_at",
        "_exchange",
        "_head",
        "_heard_at",
        "_life",
        "_paused",
        "_rules",
        "_timer",
        "_timers",
        "duration_s",
        "end",
        "event_count",
        "first_byte_s",
        "on_first_byte",
        "reason",
        "status",
    )

    def __init__(
        self, caller: CallerExchange, life: RequestLife, rules: RelayRules, timers: Timers
    ) -> None:
        self.end: Future[RelayEnd] = Future()
        self.status = 0
        self.reason = ""
        self.first_byte_s = 0.0
        self.duration_s = 0.0
        self.event_count = 0
        self._caller = caller
        self._life = life
        self._rules = rules
        self._timers = timers
        self._exchange: ClientExchange | None = None
        self._dispatched_at = timers.now()
        self._heard_at = 0.0
        self._paused = False
        self._timer: Timer | None = None
        self.on_first_byte: Callable[[], None] = _ignore

    @property
    def sent(self) -> bool:
        """Tell whether a byte of the request may have reached the upstream."""
        return self._exchange is not None and self._exchange.sent

    def start(self, client: HttpClient, address: Address, req: HttpRequest) -> None:
        """Dispatch the request."""
        self._caller.events = self
        self._timer = self._timers.call_later(self._rules.first_byte_timeout_s, self._late)
        exchange = client.exchange(address, req, self)
        self._exchange = exchange
        if self.end.done():
            exchange.cancel()

    def on_sent(self) -> None:
        """Note the dispatch, before the first byte may leave."""
        self._life.advance(LifeState.DISPATCHED)
        self._dispatched_at = self._timers.now()

    def on_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Begin the caller's answer, unless the upstream refused."""
        self.status = status
        self._heard_at = self._timers.now()
        if status in REFUSAL_STATUSES and self._rules.refusal_not_run:
            self._life.refusal_proven = True
            self._finish(RelayEnd.REFUSED)
            self._cancel_exchange()
            return
        self._life.advance(LifeState.STREAMING)
        self._caller.start(status, headers, content_length(headers))
        self._restart_timer()

    def on_body(self, data: bytes) -> None:
        """Pass a part of the answer on; stop reading while the caller is behind."""
        if self.end.done():
            return
        now = self._timers.now()
        if not self.first_byte_s:
            self.first_byte_s = now - self._dispatched_at
            self.on_first_byte()
        self._heard_at = now
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
        self._life.end(Outcome.ANSWERED)
        self._caller.finish()
        self._finish(RelayEnd.WHOLE)

    def on_failed(self, exc: HttpError) -> None:
        """Tell apart what failed before a byte was sent, before the answer and within it."""
        if self.end.done():
            return
        self.reason = str(exc)
        if not exc.sent:
            self._finish(RelayEnd.NOT_SENT)
        elif self._life.state is LifeState.STREAMING:
            self._cut()
        else:
            self._finish(RelayEnd.FAILED_BEFORE_ANSWER)

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
        self._life.end(Outcome.CALLER_LEFT)
        self._finish(RelayEnd.CALLER_LEFT)
        self._cancel_exchange()

    def _cut(self) -> None:
        self._life.end(Outcome.CUT)
        self._finish(RelayEnd.CUT)
        self._cancel_exchange()
        self._caller.abort()

    def _late(self) -> None:
        self._timer = None
        if self.end.done():
            return
        if self._life.state is not LifeState.STREAMING:
            self.reason = "no answer in time"
            self._finish(RelayEnd.DEADLINE_PASSED)
            self._cancel_exchange()
            return
        quiet_s = self._timers.now() - self._heard_at
        if self._paused or quiet_s < self._rules.idle_timeout_s:
            self._restart_timer()
            return
        self.reason = "the answer stalled"
        self._cut()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._timers.call_later(self._rules.idle_timeout_s, self._late)

    def _cancel_exchange(self) -> None:
        if self._exchange is not None:
            self._exchange.cancel()

    def _finish(self, end: RelayEnd) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self.duration_s = self._timers.now() - self._dispatched_at
        self._caller.events = AnswerEvents()
        self.end.set_result(end)


def content_length(headers: list[tuple[bytes, bytes]]) -> int | None:
    """Return the announced length of a body in bytes, or None."""
    for name, value in headers:
        if name.lower() == b"content-length":
            return int(value)
    return None
