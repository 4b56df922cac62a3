"""Accept callers' connections and hand each request to a handler."""

from __future__ import annotations

import itertools
import socket

from loguru import logger

from tarragonwind.adapters.caller_exchanges import CallerExchange
from tarragonwind.adapters.gateway_contexts import GatewayContext
from tarragonwind.adapters.http_requests import CallerRequest, HttpLimits
from tarragonwind.adapters.http_servers import HttpServer
from tarragonwind.adapters.memory_guards import MemoryGuard
from tarragonwind.adapters.request_handlers import RequestHandler
from tarragonwind.core.caller_limits import SPREAD_S, SpreadingLimits
from tarragonwind.core.configurations import CallerLimits
from tarragonwind.core.request_lifecycles import RequestLifecycle
from tarragonwind.errors import ErrorKind, RequestError
from tarragonwind.futures import Future, spawn
from tarragonwind.ports import Address

HEAD_KINDS = frozenset(
    [ErrorKind.UNAUTHORIZED, ErrorKind.UNKNOWN_ROUTE, ErrorKind.OVER_LIMIT, ErrorKind.SHED]
)
"""Error kinds for which a request is refused by its head, though it is well formed."""


class Gateway:
    """Serve callers' requests on one address.

    Parameters
    ----------
    address : Address
        Address to listen on.
    limits : HttpLimits
        Size and time limits for each connection.
    context : GatewayContext
        Dependencies and state that all requests share.
    sock : socket.socket, optional
        Listening socket to use; its connections are accepted from `start` on.
    memory : MemoryGuard, optional
        Limits the memory of the connections.
    """

    def __init__(
        self,
        address: Address,
        limits: HttpLimits,
        context: GatewayContext,
        sock: socket.socket | None = None,
        memory: MemoryGuard | None = None,
    ) -> None:
        self.context = context
        self._active: set[RequestHandler] = set()
        self._ids = itertools.count(1)
        self._limits = SpreadingLimits()
        self._server = HttpServer(
            context.loop, address, limits, self._on_request, self._on_request_error, sock, memory
        )
        self._server.check_head = self._check_head
        self.address = self._server.address

    def start(self) -> None:
        """Start accepting connections on a listening socket that was passed in."""
        self._server.start()

    def set_limits(self, limits: CallerLimits) -> None:
        """Replace the limits on the size and time of callers' requests.

        A limit that becomes narrower binds after `SPREAD_S`, since callers may still go by the one
        before.
        """
        timers = self.context.loop.timers
        if self._limits.replace(timers.now(), limits):
            self._apply_limits()
            timers.call_later(SPREAD_S, self._apply_limits)

    def _apply_limits(self) -> None:
        widest = self._limits.widest(self.context.loop.timers.now())
        limits = self._server.limits
        limits.max_head_bytes = widest.max_header_bytes
        limits.max_body_bytes = widest.max_body_bytes
        limits.head_timeout_s = widest.header_timeout_s
        limits.idle_timeout_s = widest.idle_timeout_s

    def announce_close(self) -> None:
        """Send ``Connection: close`` with each response, so that callers connect to other hosts."""
        self._server.announce_close()

    def stop(self) -> None:
        """Refuse new requests; those in progress continue."""
        self.context.stopping = True
        self._server.stop()

    def set_end(self, ends_at: float) -> None:
        """Begin no dispatch from now on that `end_requests` at a time, in seconds, would cut."""
        self.context.ends_at = ends_at

    def end_requests(self) -> None:
        """Answer the requests in progress, those that wait as not run; responses end as cut."""
        self.context.ends_at = self.context.loop.timers.now()
        for handler in list(self._active):
            handler.end()

    def close_idle(self) -> int:
        """Close the connections without a request; return how many wait for theirs to be read."""
        return self._server.close_idle()

    @property
    def in_progress(self) -> int:
        """Return the number of requests in progress, with those that are being read."""
        return len(self._active) + self._server.reading_count

    @property
    def abandoned(self) -> int:
        """Return the number of requests whose callers had left before they were read."""
        return self._server.abandoned

    @property
    def unsent_bytes(self) -> int:
        """Return the response bytes that are not yet sent to callers."""
        return self._server.unsent_bytes

    def _check_head(self, request: CallerRequest) -> RequestError | None:
        """Return the error with which a request is refused before its body is read, or None."""
        context = self.context
        catalogue = context.catalogue()
        if catalogue is None or context.stopping or context.hold() is not None:
            # The catalogue that will decide on the request is not known yet.
            return None
        try:
            organisation = context.dialect.check_head(request, catalogue)
            context.check_capacity(0)
            context.limits.check(context.loop.timers.now(), organisation)
        except RequestError as exc:
            return exc
        request.organisation = organisation.name
        return None

    def _on_request(self, exchange: CallerExchange) -> None:
        handler = RequestHandler(self.context, exchange, next(self._ids))
        self._active.add(handler)

        def on_done(_fut: Future[None]) -> None:
            self._active.discard(handler)

        spawn(handler.serve()).add_callback(on_done)

    def _on_request_error(self, exchange: CallerExchange, error: RequestError) -> None:
        refusal = self.context.dialect.refuse(error, RequestLifecycle().not_run(error.kind))
        exchange.answer(refusal.status, refusal.headers, refusal.body)
        details = (error.kind.value, refusal.status, exchange.peer)
        if error.kind in HEAD_KINDS:
            logger.info("event=refused_before_body kind={} status={} peer={}", *details)
        else:
            logger.info("event=malformed_request kind={} status={} peer={}", *details)
