"""Serve the operator API and the load balancer's health checks with `circuits.web`."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl

from circuits import Component, handler
from circuits.web.events import response
from circuits.web.http import HTTP
from circuits.web.wrappers import Request, Response
from loguru import logger
from pydantic import TypeAdapter

from tarragonwind.adapters.error_loggers import ErrorLogger
from tarragonwind.adapters.loops import Loop
from tarragonwind.adapters.memory_guards import MemoryGuard
from tarragonwind.adapters.operator_listeners import WEB_CHANNEL, OperatorListener
from tarragonwind.adapters.operator_routes import OperatorRequest, RouteMatch, find_route
from tarragonwind.adapters.operator_tokens import TokenFile
from tarragonwind.futures import Future
from tarragonwind.operator_services import (
    OPERATOR_STATUSES,
    CatalogueItem,
    OperatorError,
    OperatorErrorKind,
    OperatorService,
    Readiness,
    to_operator_error,
)
from tarragonwind.settings import OperatorSettings

JSON_TYPE = "application/json"
NOT_READY_STATUS = 503
"""HTTP status code of a readiness check that fails."""

_KINDS_BY_STATUS = {status: kind for kind, status in OPERATOR_STATUSES.items()}


def render_error(exc: OperatorError) -> bytes:
    """Serialise an error as a JSON object; for conflicts with the current entries."""
    doc: dict[str, Any] = {"kind": exc.kind.value, "message": exc.message}
    if exc.current:
        doc["current"] = TypeAdapter(list[CatalogueItem]).dump_python(exc.current, mode="json")
    return json.dumps(doc).encode()


def render_rejection(status: int, message: str) -> bytes:
    """Serialise the error for a request that was rejected before it reached a route."""
    kind = _KINDS_BY_STATUS.get(status, OperatorErrorKind.MALFORMED)
    return render_error(OperatorError(kind, message))


def render_result(result: Any) -> bytes:
    """Serialise a typed result as JSON."""
    if isinstance(result, list):
        parts = [render_result(item) for item in result]
        return b"[" + b",".join(parts) + b"]"
    return TypeAdapter(type(result)).dump_json(result)


class WebServer:
    """Provide the attributes of `circuits.web.Server` that its `HTTP` component reads."""

    display_banner = False
    secure = False

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port


class OperatorRequestHandler(Component):
    """Authenticate and route each request that the listener forwards."""

    channel = WEB_CHANNEL

    def __init__(self, service: OperatorService, tokens: TokenFile | None) -> None:
        super().__init__()
        self._service = service
        self._tokens = tokens

    @handler("request", priority=1.0)
    def _on_request(self, event: Any, req: Request, res: Response, *_args: Any) -> bool:
        event.stop()
        res.close = True
        try:
            result = self._call_route(req)
        except Exception as exc:
            self._respond_error(res, exc)
        else:
            self._respond_when_done(res, result)
        return True

    def _call_route(self, req: Request) -> Any:
        match = find_route(req.method, req.path)
        who = "" if match.route.allow_anonymous else self._authorise(req)
        return match.route.handler(self._service, _build_request(req, match, who))

    def check_head(self, method: str, path: str, authorization: str) -> tuple[int, str] | None:
        """Return the status and message with which a request is rejected before its body."""
        try:
            match = find_route(method, path)
            if not match.route.allow_anonymous:
                self._find_label(authorization, "-")
        except OperatorError as exc:
            return OPERATOR_STATUSES[exc.kind], exc.message
        return None

    def _authorise(self, req: Request) -> str:
        return self._find_label(req.headers.get("Authorization", ""), req.remote.ip)

    def _find_label(self, authorization: str, peer: str) -> str:
        scheme, _, token = authorization.partition(" ")
        label = None
        if self._tokens is not None and scheme.lower() == "bearer":
            label = self._tokens.find_label(token.strip())
        if label is None:
            logger.warning("event=operator_refused peer={}", peer)
            raise OperatorError(
                OperatorErrorKind.UNAUTHORIZED, "a token of this host's token file is needed"
            )
        return label

    def _respond_when_done(self, res: Response, result: Any) -> None:
        if not isinstance(result, Future):
            self._respond(res, result)
            return
        result.add_callback(lambda done: self._respond_future(res, done))

    def _respond_future(self, res: Response, done: Future[Any]) -> None:
        try:
            result = done.result()
        except Exception as exc:
            self._respond_error(res, exc)
        else:
            self._respond(res, result)

    def _respond(self, res: Response, result: Any) -> None:
        status = 200
        if isinstance(result, Readiness) and not result.ready:
            status = NOT_READY_STATUS
        self._send(res, status, render_result(result))

    def _respond_error(self, res: Response, exc: Exception) -> None:
        error = to_operator_error(exc)
        if error.kind is OperatorErrorKind.INTERNAL:
            logger.opt(exception=exc).error("event=operator_request_failed")
        self._send(res, OPERATOR_STATUSES[error.kind], render_error(error))

    def _send(self, res: Response, status: int, body: bytes) -> None:
        res.status = status
        res.headers["Content-Type"] = JSON_TYPE
        res.body = body
        self.fire(response(res), WEB_CHANNEL)


def _build_request(req: Request, match: RouteMatch, who: str) -> OperatorRequest:
    query = dict(parse_qsl(req.qs, max_num_fields=20))
    return OperatorRequest(who, match.parts, query, req.body.read())


class OperatorServer:
    """Group the components of the operator port and close them together.

    Attributes
    ----------
    listener : OperatorListener
        Accepts the connections and validates the requests.
    """

    __slots__ = ("_components", "listener")

    def __init__(self, listener: OperatorListener, components: list[Component]) -> None:
        self.listener = listener
        self._components = components

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self.listener.port

    def close(self) -> None:
        """Stop listening and close every connection."""
        self.listener.server.close()
        for component in self._components:
            component.unregister()


def create_operator_server(
    loop: Loop,
    cfg: OperatorSettings,
    service: OperatorService,
    read_tokens: Callable[[str], TokenFile] = TokenFile,
    memory: MemoryGuard | None = None,
) -> OperatorServer:
    """Create the operator server and start listening.

    Parameters
    ----------
    loop : Loop
        Event loop on which the components run.
    cfg : OperatorSettings
        Address, limits and token file; without a token file only the health checks are served.
    service : OperatorService
        Implementation of the operator API.
    read_tokens : callable, optional
        Loads the token file.
    memory : MemoryGuard, optional
        Limits the memory of the connections.

    Raises
    ------
    OSError
        When binding to the address or reading the token file fails.
    TokenFileError
        When the token file is malformed.
    """
    tokens = read_tokens(cfg.token_file) if cfg.token_file else None
    surface = OperatorRequestHandler(service, tokens).register(loop.root)
    listener = OperatorListener(
        cfg, loop.timers, render_rejection, surface.check_head, memory
    ).register(loop.root)
    http = HTTP(WebServer(cfg.listen_host, listener.port), channel=WEB_CHANNEL).register(loop.root)
    faults = ErrorLogger().register(loop.root)
    return OperatorServer(listener, [listener, http, surface, faults])
