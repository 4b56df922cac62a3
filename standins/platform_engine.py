"""Emulate a back end of the platform: streams of numbered events, or plain answers."""

from __future__ import annotations

import os
import time
from typing import Any

import fire

from standins.journals import Journal
from standins.servers import StandIn
from tarragonwind.adapters.caller_dialects import Headers
from tarragonwind.adapters.caller_exchanges import CallerExchange, ExchangeEvents
from tarragonwind.adapters.http_requests import CallerRequest

EVENT_INTERVAL_S = 0.02
EVENTS_PER_STREAM = 10
WORK_S = 0.01
CRASH_EXIT_CODE = 3
ENDLESS_BLOCK = b"x" * 65_536
ENDLESS_INTERVAL_S = 0.001
FALL_S = 2.0
"""Time for which a brittle back end is away after it has fallen over, in seconds."""
END_EVENTS = ("ended", "left", "cut")
"""Events of the journal that end a run."""
JOURNAL_FIELDS = (
    "attempt-id",
    "tenant",
    "request-deadline",
    "last-event-id",
    "hold",
    "prompt-prefix",
)
"""Header fields of requests that the journal holds."""


class EngineFaults:
    """Hold the back end's faults, set through ``/control``.

    ``unframed`` leaves out length and chunks; with ``orderly_cut`` such a stream is cut by an
    orderly close instead of a reset. ``spares_resumed`` cuts no stream that goes on after an event.
    ``leaving`` announces in every answer that the back end is leaving; with ``hold_s`` it turns
    every request away and wants none for that time. A prompt with ``crashing_part`` before its last
    part ends the process as soon as its answer begins. With ``limit_per_s`` every answer names that
    limit of requests per second. ``endless`` sends bytes without end: in a failure, or in an event.
    ``pause_s`` is a silence after which the back end goes on: in a stream it comes once, after
    ``pause_after_events`` events, else before the answer. A request that has
    ``crashing_body``, ``crashing_path`` and ``crashing_tenant``, as far as they are set, ends the
    process as soon as it runs. ``reset_at`` is a Unix time at which the connections of all requests
    that run are reset. With ``brittle`` every answer names it: the back end runs ``room`` requests,
    turns others away, and falls over for a while where it has to turn away more than ``brittle``
    within a second. ``repeats_refusal`` writes the last refusal once more before the next answer.
    ``cut_head`` closes the connection inside the head of an answer. With ``fails_resumed`` a stream
    that is to go on is answered with a failure. Streams whose path begins with ``long_path`` have
    ``long_interval_s`` between two events.
    """

    def __init__(self) -> None:
        self.cut_after_events = 0
        self.orderly_cut = False
        self.spares_resumed = False
        self.unframed = False
        self.silent = False
        self.full = False
        self.leaving = False
        self.hold_s = 0.0
        self.fail = False
        self.crashing_part = ""
        self.limit_per_s = 0.0
        self.endless = False
        self.pause_s = 0.0
        self.pause_after_events = 0
        self.crashing_body = ""
        self.crashing_path = ""
        self.crashing_tenant = ""
        self.reset_at = 0.0
        self.brittle = 0
        self.room = 6
        self.repeats_refusal = False
        self.cut_head = False
        self.fails_resumed = False
        self.long_path = ""
        self.long_interval_s = 0.0


class EventStream(ExchangeEvents):
    """Send the events of one stream."""

    def __init__(self, engine: PlatformEngine, exchange: CallerExchange, after: int) -> None:
        self.engine = engine
        self.exchange = exchange
        self.last_event_id = after
        self.resumed = after > 0
        self.disconnected = False
        exchange.events = self

    def on_caller_disconnected(self) -> None:
        """Stop the stream after its caller disconnected."""
        self.disconnected = True
        self.engine.write_journal("left", self.exchange, after=self.last_event_id)

    def send_next_event(self) -> None:
        """Send the next event and schedule the one after it."""
        if self.disconnected:
            return
        faults = self.engine.faults
        self.last_event_id += 1
        text = f"id: {self.last_event_id}\ndata: {self.engine.name}.{self.last_event_id}\n\n"
        spared = self.resumed and faults.spares_resumed
        if faults.cut_after_events and self.last_event_id >= faults.cut_after_events and not spared:
            self.exchange.write(text[: len(text) // 2].encode())
            self.engine.write_journal("cut", self.exchange, after=self.last_event_id)
            if faults.orderly_cut and not self.exchange.request.accepts_chunked:
                self.exchange.finish()
            else:
                self.exchange.abort()
            return
        self.exchange.write(text.encode())
        if self.last_event_id < EVENTS_PER_STREAM:
            paused = faults.pause_s and self.last_event_id == faults.pause_after_events
            delay_s = faults.pause_s if paused else self._interval_s()
            self.engine.loop.timers.call_later(delay_s, self.send_next_event)
            return
        self.engine.write_journal("ended", self.exchange)
        self.exchange.finish()

    def _interval_s(self) -> float:
        faults = self.engine.faults
        if faults.long_path and self.exchange.request.target.startswith(faults.long_path):
            return faults.long_interval_s
        return EVENT_INTERVAL_S


class EndlessBody(ExchangeEvents):
    """Send one event or one failure that never ends, until the other side closes."""

    def __init__(self, engine: PlatformEngine, exchange: CallerExchange) -> None:
        self.engine = engine
        self.exchange = exchange
        self.disconnected = False
        exchange.events = self

    def begin(self, headers: Headers, stream: bool) -> None:
        """Send the head, of a stream or of a failure, and the first bytes."""
        self.engine.write_journal("endless", self.exchange)
        if stream:
            headers = [*headers, (b"Content-Type", b"text/event-stream")]
        self.exchange.start(200 if stream else 500, headers)
        self.send_more()

    def on_caller_disconnected(self) -> None:
        """Stop sending."""
        self.disconnected = True

    def send_more(self) -> None:
        """Send a block, unless the other side is behind, and schedule the next one."""
        if self.disconnected:
            return
        if not self.exchange.congested():
            self.exchange.write(ENDLESS_BLOCK)
        self.engine.loop.timers.call_later(ENDLESS_INTERVAL_S, self.send_more)


class PlatformEngine(StandIn):
    """Serve every path, with a stream if the path contains ``/stream``.

    Parameters
    ----------
    port : int
        Port on 127.0.0.1.
    name : str
        Instance id; requests must name it in Expect-Instance.
    journal : str
        File that requests and executions are written to, empty for none.
    faults : dict
        Values of the faults at the start, by name.
    """

    def __init__(self, port: int, name: str, journal: str = "", **faults: Any) -> None:
        super().__init__(port, EngineFaults())
        for fault, value in faults.items():
            setattr(self.faults, fault, value)
        self.name = name
        self._journal = Journal(journal, name)
        self._running: set[CallerExchange] = set()
        self._turned_away_at: list[float] = []
        self._away_until = 0.0

    def write_journal(self, event: str, exchange: CallerExchange, **more: Any) -> None:
        """Write an event of a request to the journal."""
        request = exchange.request
        fields = {name: request.header(name.encode()).decode("latin-1") for name in JOURNAL_FIELDS}
        host = request.header(b"host").decode("latin-1")
        key = request.header(b"authorization").decode("latin-1")
        self._journal.write(event, host=host, target=request.target, key=key, **fields, **more)
        if event == "run":
            self._running.add(exchange)
        elif event in END_EVENTS:
            self._running.discard(exchange)

    def _turn_away(self, exchange: CallerExchange, base: Headers) -> None:
        """Refuse a request for want of room, and fall over after too many."""
        now = time.time()
        self._turned_away_at = [at for at in self._turned_away_at if now - at < 1.0] + [now]
        self.write_journal("no_room", exchange)
        exchange.answer(503, [*base, (b"Not-Executed", b"1")], b"")
        if len(self._turned_away_at) > self.faults.brittle:
            self.write_journal("fell_over", exchange)
            self._away_until = now + FALL_S
            for running in list(self._running):
                running.abort()
            self._running.clear()
            self._turned_away_at.clear()

    def handle_other(self, exchange: CallerExchange, path: str) -> None:
        """Execute one request, or refuse it as the faults demand."""
        if time.time() < self._away_until:
            exchange.abort()
            return
        base = self._common_headers(exchange)
        if self._refuse(exchange, base):
            return
        faults = self.faults
        self.write_journal("run", exchange, limit_per_s=faults.limit_per_s, leaving=faults.leaving)
        if faults.silent:
            return
        if self._crashes_under(exchange.request):
            self.write_journal("crashed", exchange)
            os._exit(CRASH_EXIT_CODE)
        if faults.reset_at > time.time():
            self.loop.timers.call_later(faults.reset_at - time.time(), exchange.abort)
        headers = [*base, (b"Server-Seal", f"seal-{self.name}".encode())]
        if self.faults.endless:
            EndlessBody(self, exchange).begin(headers, "/stream" in path)
        elif "/stream" in path:
            self._begin_stream(exchange, headers)
        else:
            status = 500 if self.faults.fail else 200
            body = f"{self.name} {exchange.request.target}".encode()
            self.loop.timers.call_later(
                WORK_S + faults.pause_s, lambda: self._answer(exchange, status, headers, body)
            )

    def _common_headers(self, exchange: CallerExchange) -> Headers:
        """Return the header fields of every answer."""
        headers = [(b"Attempt-Id", exchange.request.header(b"attempt-id"))]
        if self.faults.leaving:
            headers.append((b"Server-Leaving", b"1"))
        if self.faults.limit_per_s:
            headers.append((b"Server-Limit", b"%.1f" % self.faults.limit_per_s))
        if self.faults.brittle:
            headers.append((b"Server-Brittle", b"%d" % self.faults.brittle))
        return headers

    def _refuse(self, exchange: CallerExchange, base: Headers) -> bool:
        """Refuse a request if it is misdirected or a fault demands it; return whether it was."""
        if exchange.request.header(b"expect-instance").decode("latin-1") != self.name:
            exchange.answer(421, [*base, (b"Instance-Id", self.name.encode())], b"")
            return True
        if self.faults.hold_s:
            self.write_journal("turned_away", exchange, hold_s=self.faults.hold_s)
            hold = (b"Retry-After", b"%.3f" % self.faults.hold_s)
            exchange.answer(503, [*base, (b"Not-Executed", b"1"), hold], b"")
            return True
        if self.faults.full:
            exchange.answer(503, [*base, (b"Not-Executed", b"1")], b"")
            return True
        if self.faults.brittle and len(self._running) >= self.faults.room:
            self._turn_away(exchange, base)
            return True
        return False

    def _begin_stream(self, exchange: CallerExchange, headers: Headers) -> None:
        request = exchange.request
        if self.faults.unframed:
            request.accepts_chunked = False
        exchange.start(200, [*headers, (b"Content-Type", b"text/event-stream")])
        if self._crashes_on(exchange):
            self.write_journal("crashed", exchange)
            os._exit(CRASH_EXIT_CODE)
        after = request.header(b"last-event-id")
        EventStream(self, exchange, int(after) if after else 0).send_next_event()

    def _crashes_under(self, request: CallerRequest) -> bool:
        """Return whether a request has all that crashes the back end."""
        faults = self.faults
        pairs = (
            (faults.crashing_body.encode(), request.body),
            (faults.crashing_path.encode(), request.target.encode()),
            (faults.crashing_tenant.encode(), request.header(b"tenant")),
        )
        wanted = [(value, seen) for value, seen in pairs if value]
        return bool(wanted) and all(value == seen for value, seen in wanted)

    def _crashes_on(self, exchange: CallerExchange) -> bool:
        """Return whether a part of the prompt, but for the last, crashes the back end."""
        if not self.faults.crashing_part:
            return False
        rows = exchange.request.header(b"prompt-prefix").decode("latin-1").split(",")
        return self.faults.crashing_part in [row.partition(":")[0] for row in rows[:-1]]

    def _answer(self, exchange: CallerExchange, status: int, headers: Headers, body: bytes) -> None:
        self._running.discard(exchange)
        if not exchange.disconnected:
            exchange.answer(status, headers, body)
            self.write_journal("ended", exchange)


def main(port: int, name: str, journal: str = "", **faults: Any) -> None:
    """Run the back end until the process is terminated."""
    PlatformEngine(port, name, journal, **faults).run()


if __name__ == "__main__":
    fire.Fire(main)
