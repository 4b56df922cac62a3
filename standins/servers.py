"""Provide the base class of HTTP stand-ins: event loop, JSON answers, fault control."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from tarragonwind.adapters.caller_exchanges import CallerExchange
from tarragonwind.adapters.http_requests import HttpLimits
from tarragonwind.adapters.http_servers import HttpServer
from tarragonwind.adapters.loops import Loop, create_loop
from tarragonwind.errors import RequestError
from tarragonwind.ports import Address

JSON_HEADERS = [(b"Content-Type", b"application/json")]


def answer_json(exchange: CallerExchange, status: int, doc: Any) -> None:
    """Answer with a JSON document."""
    exchange.answer(status, JSON_HEADERS, json.dumps(doc).encode() + b"\n")


def read_json(exchange: CallerExchange) -> dict[str, Any]:
    """Parse the request's body as a JSON object; return an empty one if it isn't one."""
    try:
        doc = json.loads(exchange.request.body or b"{}")
    except ValueError:
        return {}
    return doc if isinstance(doc, dict) else {}


class StandIn:
    """Serve HTTP on an event loop, with faults set at run time.

    ``POST /control`` sets attributes of `faults`; ``GET /control`` returns them.

    Parameters
    ----------
    port : int
        Port on 127.0.0.1.
    faults : object
        Object whose attributes are the faults.
    """

    def __init__(self, port: int, faults: Any) -> None:
        self.loop: Loop = create_loop()
        self.faults = faults
        self.routes: dict[str, Callable[[CallerExchange], None]] = {"/control": self._control}
        limits = HttpLimits(max_body_bytes=64 * 1024 * 1024, idle_timeout_s=600.0)
        address = Address("127.0.0.1", port)
        self._server = HttpServer(self.loop, address, limits, self._dispatch, self._on_fault)

    def run(self) -> None:
        """Serve until the loop is stopped."""
        self.loop.run()

    def handle_other(self, exchange: CallerExchange, path: str) -> None:
        """Answer a path that has no route."""
        answer_json(exchange, 404, {"error": "not found"})

    def _dispatch(self, exchange: CallerExchange) -> None:
        path = exchange.request.target.partition("?")[0]
        route = self.routes.get(path)
        if route is not None:
            route(exchange)
        else:
            self.handle_other(exchange, path)

    def _on_fault(self, exchange: CallerExchange, fault: RequestError) -> None:
        answer_json(exchange, 400, {"error": fault.message})

    def _control(self, exchange: CallerExchange) -> None:
        for name, value in read_json(exchange).items():
            if not hasattr(self.faults, name):
                answer_json(exchange, 400, {"error": f"no fault named {name}"})
                return
            setattr(self.faults, name, value)
        answer_json(exchange, 200, vars(self.faults))
