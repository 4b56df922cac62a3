"""Emulate a plain service that journals each execution of a request."""

from __future__ import annotations

import random
from typing import Any

import fire

from standins.journals import Journal
from standins.servers import StandIn, answer_json
from tarragonwind.adapters.caller_exchanges import CallerExchange


class ServiceFaults:
    """Hold the service's faults, set through ``/control``."""

    def __init__(self) -> None:
        self.fail_fraction = 0.0
        self.delay_ms = 0.0
        self.refuse = False
        self.hang_up_fraction = 0.0
        self.hang_up_before_work = False


class Service(StandIn):
    """Answer every path with an echo of the request after a short delay.

    Parameters
    ----------
    port : int
        Port on 127.0.0.1.
    name, version : str
        Name in the journal, and version that the service reports.
    work_ms : float
        Duration of one call in milliseconds.
    journal : str
        File that executions are written to, empty for none.
    seed : int
        Seed of the random faults.
    """

    def __init__(
        self,
        port: int,
        name: str = "service",
        version: str = "v1",
        work_ms: float = 2.0,
        journal: str = "",
        seed: int = 1,
    ) -> None:
        super().__init__(port, ServiceFaults())
        self._name = name
        self._version = version
        self._work_s = work_ms / 1000
        self._journal = Journal(journal, name)
        self._rng = random.Random(seed)
        self._count = 0

    def handle_other(self, exchange: CallerExchange, path: str) -> None:
        """Execute one call, or fail it as the faults demand."""
        if self.faults.refuse:
            answer_json(exchange, 503, {"error": "the service is full"})
            return
        hang_up = self._rng.random() < self.faults.hang_up_fraction
        if hang_up and self.faults.hang_up_before_work:
            exchange.abort()
            return
        request_id = exchange.request.header(b"x-request-id").decode("latin-1")
        key = exchange.request.header(b"idempotency-key").decode("latin-1")
        self._count += 1
        self._journal.write(
            "executed", request=request_id, key=key, method=exchange.request.method, path=path
        )
        if hang_up:
            exchange.abort()
            return
        delay_s = self._work_s + self.faults.delay_ms / 1000
        self.loop.timers.call_later(delay_s, lambda: self._answer(exchange, path, request_id))

    def _answer(self, exchange: CallerExchange, path: str, request_id: str) -> None:
        if exchange.disconnected:
            return
        if self._rng.random() < self.faults.fail_fraction:
            self._journal.write("failed", request=request_id)
            answer_json(exchange, 500, {"error": "the version failed"})
            return
        doc = {
            "service": self._name,
            "version": self._version,
            "path": path,
            "echo": request_id,
            "count": self._count,
            "body": exchange.request.body.decode("latin-1")[:1000],
        }
        answer_json(exchange, 200, doc)


def main(port: int, **options: Any) -> None:
    """Run a service until the process is terminated.

    Parameters
    ----------
    port : int
        Port on 127.0.0.1.
    options : dict
        Further parameters of `Service`.
    """
    Service(port, **options).run()


if __name__ == "__main__":
    fire.Fire(main)
