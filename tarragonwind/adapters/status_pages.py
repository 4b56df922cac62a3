"""Serve the readiness and metrics pages for load balancers and monitoring on separate addresses."""

from __future__ import annotations

from collections.abc import Callable

from tarragonwind.adapters.caller_exchanges import CallerExchange
from tarragonwind.adapters.http_requests import CallerRequest, HttpLimits
from tarragonwind.adapters.http_servers import HttpServer
from tarragonwind.adapters.loops import Loop
from tarragonwind.adapters.memory_guards import MemoryGuard
from tarragonwind.errors import ErrorKind, RequestError
from tarragonwind.ports import Address
from tarragonwind.records import dataclass
from tarragonwind.settings import StatusSettings

SERVER_LIMITS = HttpLimits(
    max_head_bytes=8_192,
    max_body_bytes=1_024,
    stall_timeout_s=5.0,
    max_connections=64,
    congestion_timeout_s=4.0,
)
"""Clients that send or read too slowly would keep the load balancer's checks out."""
READY_PATH = "/readyz"
METRICS_PATH = "/metrics"
METRICS_AGE_S = 0.25
"""Time for which the metrics are not rendered again, in seconds; rendering takes milliseconds."""
TEXT_HEADERS = [(b"Content-Type", b"text/plain; charset=utf-8")]


@dataclass(frozen=True, slots=True)
class Page:
    """Contain the status code and body of one page."""

    status: int
    body: bytes


class StatusPages:
    """Serve text pages by path.

    Parameters
    ----------
    loop : Loop
        Event loop for sockets and timers.
    address : Address
        Address to listen on.
    pages : dict of str to callable
        Renders the page of each path.
    memory : MemoryGuard, optional
        Limits the memory of the connections.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        pages: dict[str, Callable[[], Page]],
        memory: MemoryGuard | None = None,
    ) -> None:
        self._pages = pages
        self._server = HttpServer(
            loop,
            address,
            SERVER_LIMITS,
            self._on_request,
            self._on_request_error,
            memory=memory,
        )
        self._server.check_head = self._check_head
        self.address = self._server.address

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return self._server.connection_count

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _check_head(self, request: CallerRequest) -> RequestError | None:
        """Refuse a request whose body has not come with its head, since no page needs one."""
        if request.target.partition("?")[0] in self._pages:
            return RequestError(ErrorKind.BODY_TOO_LARGE, "no body is read here")
        return RequestError(ErrorKind.UNKNOWN_ROUTE, "not found")

    def _on_request(self, exchange: CallerExchange) -> None:
        render = self._pages.get(exchange.request.target.partition("?")[0])
        page = render() if render is not None else Page(404, b"not found\n")
        exchange.answer(page.status, TEXT_HEADERS, page.body)

    def _on_request_error(self, exchange: CallerExchange, error: RequestError) -> None:
        status = 404 if error.kind is ErrorKind.UNKNOWN_ROUTE else 400
        exchange.answer(status, TEXT_HEADERS, f"{error.message}\n".encode())


def create_status_pages(
    loop: Loop,
    cfg: StatusSettings,
    ready: Callable[[], bool],
    metrics: Callable[[], bytes],
    memory: MemoryGuard | None = None,
) -> list[StatusPages]:
    """Return the servers of the pages that the settings enable.

    Parameters
    ----------
    loop : Loop
        Event loop for sockets and timers.
    cfg : StatusSettings
        Addresses of the pages; an empty host disables a page.
    ready : callable
        Returns whether the host accepts new requests.
    metrics : callable
        Returns the metrics in text format; it is called at most once in `METRICS_AGE_S`.
    memory : MemoryGuard, optional
        Limits the memory of the connections.
    """

    def ready_page() -> Page:
        return Page(200, b"ready\n") if ready() else Page(503, b"not ready\n")

    rendered_at = -METRICS_AGE_S
    rendered = Page(200, b"")

    def metrics_page() -> Page:
        nonlocal rendered_at, rendered
        if loop.timers.now() - rendered_at >= METRICS_AGE_S:
            rendered = Page(200, metrics())
            rendered_at = loop.timers.now()
        return rendered

    pages = []
    if cfg.ready_host:
        address = Address(cfg.ready_host, cfg.ready_port)
        pages.append(StatusPages(loop, address, {READY_PATH: ready_page}, memory))
    if cfg.metrics_host:
        address = Address(cfg.metrics_host, cfg.metrics_port)
        pages.append(StatusPages(loop, address, {METRICS_PATH: metrics_page}, memory))
    return pages
