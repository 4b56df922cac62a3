"""Serve callers: classify each request, wait for its permit, dispatch it once, answer it once."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from tarragonwind.adapters.http_clients import HttpClient
from tarragonwind.adapters.http_servers import AnswerEvents, CallerExchange, HttpLimits, HttpServer
from tarragonwind.adapters.loops import Loop
from tarragonwind.adapters.refusals import answer_refusal
from tarragonwind.adapters.relays import Relay, RelayEnd, RelayRules
from tarragonwind.core.classifications import CatalogueView, RequestClass, classify_request
from tarragonwind.core.entries import UpstreamEntry
from tarragonwind.core.permit_sources import Permit, PermitReport, PermitRequest, PermitSource
from tarragonwind.core.request_lives import LifeState, Outcome, RequestLife
from tarragonwind.errors import ErrorKind, RequestError
from tarragonwind.futures import Future, FutureCancelled, spawn
from tarragonwind.ports import Address, HttpRequest

MAX_CONNECT_ATTEMPTS = 3
REQUEST_ID_HEADER = b"x-request-id"
MAX_REQUEST_ID_LENGTH = 128
DROPPED_REQUEST_HEADERS = frozenset(
    [
        b"authorization",
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authorization",
        b"proxy-connection",
        b"tarragonwind-tier",
        b"tarragonwind-timeout-ms",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        REQUEST_ID_HEADER,
    ]
)
"""Fields of a caller's request that stay on this side."""


class GatewayCatalogue(CatalogueView, Protocol):
    """Answer what the gateway asks of the catalogue in force."""

    def upstream(self, name: str) -> UpstreamEntry | None:
        """Return an upstream by name."""


class GatewayTimes:
    """Bound the waits of a dispatch.

    Attributes
    ----------
    idle_timeout_s : float
        Longest silence within an answer, in seconds.
    """

    __slots__ = ("idle_timeout_s",)

    def __init__(self, idle_timeout_s: float = 60.0) -> None:
        self.idle_timeout_s = idle_timeout_s


class Gateway:
    """Accept callers' requests and see each one to its single answer.

    Parameters
    ----------
    loop : Loop
        Loop of the daemon.
    address : Address
        Where callers connect.
    limits : HttpLimits
        Bounds for callers.
    client : HttpClient
        Client towards upstreams.
    catalogue : callable
        Returns the catalogue in force, or None before there is one.
    permits : PermitSource
        Source of permits.
    times : GatewayTimes, optional
        Bounds for dispatches.
    id_prefix : str
        Begins the ids of requests whose callers name none; unique to this run of this host.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        limits: HttpLimits,
        client: HttpClient,
        catalogue: Callable[[], GatewayCatalogue | None],
        permits: PermitSource,
        times: GatewayTimes | None = None,
        id_prefix: str = "request",
    ) -> None:
        self.loop = loop
        self.client = client
        self.catalogue = catalogue
        self.permits = permits
        self.times = times or GatewayTimes()
        self.active: set[RequestRun] = set()
        self.stopping = False
        self.id_prefix = id_prefix
        self._ids = itertools.count(1)
        self._server = HttpServer(loop, address, limits, self._on_request, self._on_fault)
        self.address = self._server.address

    def stop(self) -> None:
        """Take no new requests; those in progress go on."""
        self.stopping = True
        self._server.stop()

    @property
    def in_progress(self) -> int:
        """Return the number of requests not yet answered."""
        return len(self.active)

    def _on_request(self, exchange: CallerExchange) -> None:
        run = RequestRun(self, exchange, next(self._ids))
        self.active.add(run)
        spawn(run.serve())

    def _on_fault(self, exchange: CallerExchange, fault: RequestError) -> None:
        status = answer_refusal(exchange, fault, RequestLife().not_run(fault.kind))
        logger.info(
            "event=malformed_request kind={} status={} peer={}",
            fault.kind.value,
            status,
            exchange.peer,
        )


class RequestRun(AnswerEvents):
    """See one request through: classify, wait, dispatch once, answer once."""

    def __init__(self, gateway: Gateway, exchange: CallerExchange, request_id: int) -> None:
        self._gateway = gateway
        self._exchange = exchange
        self._life = RequestLife()
        self._class: RequestClass | None = None
        self._wait: Future[Permit] | None = None
        self._started_at = gateway.loop.timers.now()
        self._waited_s = 0.0
        self.request_id = request_id
        given = exchange.request.header(REQUEST_ID_HEADER).decode("latin-1")
        usable = given.isascii() and given.isprintable() and len(given) <= MAX_REQUEST_ID_LENGTH
        self.name = given if given and usable else f"{gateway.id_prefix}-{request_id}"
        exchange.events = self

    async def serve(self) -> None:
        """Run the request to its end."""
        try:
            await self._run()
        except RequestError as exc:
            self._refuse(exc)
        except FutureCancelled:
            self._life.end(Outcome.CALLER_LEFT)
        except Exception:
            logger.exception("event=request_failed request={}", self.name)
            self._refuse(RequestError(ErrorKind.INTERNAL, "an internal error ended the request"))
        finally:
            self._gateway.active.discard(self)
            self._log()

    async def _run(self) -> None:
        if self._gateway.stopping:
            raise RequestError(ErrorKind.STOPPING, "this host is stopping; ask again")
        catalogue = self._gateway.catalogue()
        if catalogue is None:
            raise RequestError(ErrorKind.NO_CATALOGUE, "no catalogue is in force yet")
        self._class = classify_request(self._exchange.request, catalogue)
        avoid: list[str] = []
        for _ in range(MAX_CONNECT_ATTEMPTS):
            permit = await self._obtain_permit(self._class, avoid)
            if await self._dispatch(self._class, permit):
                return
            avoid.append(permit.upstream)
        raise RequestError(ErrorKind.NO_UPSTREAM, "no upstream could be reached")

    async def _obtain_permit(self, cls: RequestClass, avoid: list[str]) -> Permit:
        self._life.advance(LifeState.WAITING)
        wait: Future[Permit] = Future()
        self._wait = wait
        ask = PermitRequest(
            request_id=self.request_id,
            pool=cls.route.pool,
            route=cls.route.name,
            organisation=cls.organisation.name,
            tier=cls.tier,
            weight=cls.organisation.weight,
            prompt_tokens=cls.prompt_tokens,
            max_tokens=cls.max_tokens,
            deadline=self._started_at + cls.timeout_s,
            avoid=avoid,
        )
        self._gateway.permits.ask(ask, wait.set_result, wait.set_exception)
        permit = await wait
        self._wait = None
        self._waited_s = self._gateway.loop.timers.now() - self._started_at
        self._life.advance(LifeState.PERMITTED)
        return permit

    async def _dispatch(self, cls: RequestClass, permit: Permit) -> bool:
        """Dispatch under a permit; return False when nothing was sent and another may be tried."""
        catalogue = self._gateway.catalogue()
        upstream = catalogue.upstream(permit.upstream) if catalogue is not None else None
        if upstream is None:
            self._give_back(permit, RelayEnd.NOT_SENT, None)
            return False
        left_s = self._started_at + cls.timeout_s - self._gateway.loop.timers.now()
        if left_s <= 0:
            self._give_back(permit, RelayEnd.NOT_SENT, None)
            raise RequestError(ErrorKind.DEADLINE_PASSED, "the deadline passed before dispatch")
        rules = RelayRules(upstream.refusal_not_run, left_s, self._gateway.times.idle_timeout_s)
        relay = Relay(self._exchange, self._life, rules, self._gateway.loop.timers)
        relay.start(self._gateway.client, Address(upstream.host, upstream.port), self._forward())
        end = await relay.end
        self._exchange.events = self
        self._give_back(permit, end, relay)
        if end is RelayEnd.NOT_SENT:
            return False
        self._raise_for(end, relay)
        return True

    def _raise_for(self, end: RelayEnd, relay: Relay) -> None:
        if end is RelayEnd.REFUSED:
            raise RequestError(ErrorKind.UPSTREAM_REFUSED, "the upstream refused the request")
        if end is RelayEnd.FAILED_BEFORE_ANSWER:
            raise RequestError(
                ErrorKind.UPSTREAM_OUTCOME_UNKNOWN, f"the upstream gave no answer: {relay.reason}"
            )
        if end is RelayEnd.DEADLINE_PASSED:
            raise RequestError(ErrorKind.DEADLINE_PASSED, "the deadline passed before an answer")

    def _give_back(self, permit: Permit, end: RelayEnd, relay: Relay | None) -> None:
        report = PermitReport(
            request_id=self.request_id,
            upstream=permit.upstream,
            dispatched=end is not RelayEnd.NOT_SENT,
            ok=end in (RelayEnd.WHOLE, RelayEnd.CALLER_LEFT),
            reachable=relay is None or end is not RelayEnd.NOT_SENT,
        )
        if relay is not None:
            report.ok = report.ok and relay.status < 500
            report.first_byte_s = relay.first_byte_s
            report.duration_s = relay.duration_s
            report.output_tokens = relay.event_count
        self._gateway.permits.finish(report)

    def _forward(self) -> HttpRequest:
        req = self._exchange.request
        named = {name.strip().lower() for name in req.header(b"connection").split(b",")}
        headers = [(REQUEST_ID_HEADER, self.name.encode("latin-1"))]
        for name, value in req.headers:
            lowered = name.lower()
            if lowered not in DROPPED_REQUEST_HEADERS and lowered not in named:
                headers.append((name, value))
        return HttpRequest(req.method, req.target, headers, req.body)

    def on_caller_gone(self) -> None:
        """Withdraw the ask of a caller that left while it waited."""
        if self._wait is not None and not self._wait.done():
            self._gateway.permits.cancel(self.request_id)
            self._wait.cancel()

    def _refuse(self, exc: RequestError) -> None:
        not_run = self._life.not_run(exc.kind)
        self._life.end(Outcome.REFUSED)
        if self._exchange.gone:
            return
        if self._exchange.started:
            self._exchange.abort()
            return
        answer_refusal(self._exchange, exc, not_run)
        logger.info(
            "event=refused request={} kind={} not_run={}",
            self.name,
            exc.kind.value,
            not_run.value,
        )

    def _log(self) -> None:
        cls = self._class
        outcome = self._life.outcome
        logger.info(
            "event=request_ended request={} outcome={} organisation={} route={} tier={} "
            "waited_ms={:.1f} took_ms={:.1f}",
            self.name,
            outcome.value if outcome is not None else "none",
            cls.organisation.name if cls else "-",
            cls.route.name if cls else "-",
            cls.tier if cls else "-",
            self._waited_s * 1000,
            (self._gateway.loop.timers.now() - self._started_at) * 1000,
        )
