"""Stand in for a back end of the platform: streams with numbered events, or plain answers."""

from __future__ import annotations

from typing import Any

import fire

from standins.journals import Journal
from standins.servers import StandIn
from tarragonwind.adapters.http_servers import CallerExchange, ExchangeEvents

EVENT_S = 0.02
EVENTS = 10
WORK_S = 0.01


class EngineFaults:
    """Hold what can go wrong; set through ``/control``."""

    def __init__(self) -> None:
        self.cut_after_events = 0
        self.silent = False
        self.full = False
        self.fail = False


class Run(ExchangeEvents):
    """Make the events of one stream."""

    def __init__(self, engine: PlatformEngine, exchange: CallerExchange, after: int) -> None:
        self.engine = engine
        self.exchange = exchange
        self.made = after
        self.left = False
        exchange.events = self

    def on_caller_disconnected(self) -> None:
        """Stop: nobody waits."""
        self.left = True
        self.engine.note("left", self.exchange, after=self.made)

    def step(self) -> None:
        """Make the next event."""
        if self.left:
            return
        faults = self.engine.faults
        self.made += 1
        text = f"id: {self.made}\ndata: {self.engine.name}.{self.made}\n\n"
        if faults.cut_after_events and self.made >= faults.cut_after_events:
            self.exchange.write(text[: len(text) // 2].encode())
            self.engine.note("cut", self.exchange, after=self.made)
            self.exchange.abort()
            return
        self.exchange.write(text.encode())
        if self.made < EVENTS:
            self.engine.loop.timers.call_later(EVENT_S, self.step)
            return
        self.engine.note("ended", self.exchange)
        self.exchange.finish()


class PlatformEngine(StandIn):
    """Serve every path; ``/stream`` in a path asks for a stream.

    Parameters
    ----------
    port : int
        Port on 127.0.0.1.
    name : str
        Id that requests have to expect.
    journal : str
        File for what it was asked and did.
    """

    def __init__(self, port: int, name: str, journal: str = "") -> None:
        super().__init__(port, EngineFaults())
        self.name = name
        self._journal = Journal(journal, name)

    def note(self, event: str, exchange: CallerExchange, **more: Any) -> None:
        """Write down what happened to a request."""
        request = exchange.request
        fields = {
            name: request.header(name.encode()).decode("latin-1")
            for name in ("attempt-id", "tenant", "request-deadline", "last-event-id", "hold")
        }
        host = request.header(b"host").decode("latin-1")
        key = request.header(b"authorization").decode("latin-1")
        self._journal.write(event, host=host, target=request.target, key=key, **fields, **more)

    def handle_other(self, exchange: CallerExchange, path: str) -> None:
        """Run one request."""
        request = exchange.request
        base = [(b"Attempt-Id", request.header(b"attempt-id"))]
        if request.header(b"expect-instance").decode("latin-1") != self.name:
            exchange.answer(421, [*base, (b"Instance-Id", self.name.encode())], b"")
            return
        if self.faults.full:
            exchange.answer(503, [*base, (b"Not-Executed", b"1")], b"")
            return
        self.note("run", exchange)
        if self.faults.silent:
            return
        headers = [*base, (b"Server-Seal", f"seal-{self.name}".encode())]
        if "/stream" in path:
            headers.append((b"Content-Type", b"text/event-stream"))
            exchange.start(200, headers)
            after = request.header(b"last-event-id")
            Run(self, exchange, int(after) if after else 0).step()
            return
        status = 500 if self.faults.fail else 200
        body = f"{self.name} {request.target}".encode()
        self.loop.timers.call_later(WORK_S, lambda: self._answer(exchange, status, headers, body))

    def _answer(
        self, exchange: CallerExchange, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        if not exchange.disconnected:
            exchange.answer(status, headers, body)
            self.note("ended", exchange)


def main(port: int, name: str, journal: str = "") -> None:
    """Run the stand-in until the process is ended."""
    PlatformEngine(port, name, journal).run()


if __name__ == "__main__":
    fire.Fire(main)
