"""Map methods and paths of the operator API to calls of the operator service."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import field
from typing import Annotated, Any, TypeVar

from loguru import logger
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass as checked_dataclass

from tarragonwind.core.entries import format_validation_error
from tarragonwind.futures import Future
from tarragonwind.logs import quote_value
from tarragonwind.operator_services import (
    MAX_ENTRIES_PER_CHANGE,
    AnyEntry,
    Change,
    ChangeResult,
    OperatorError,
    OperatorErrorKind,
    OperatorService,
    to_operator_error,
)
from tarragonwind.records import dataclass

MAX_HISTORY_ITEMS = 1_000
DEFAULT_HISTORY_ITEMS = 50

ENTRY_KEY_PATTERN = r"^[a-z]+/[a-z0-9][a-z0-9._-]{0,62}$"

ResultT = TypeVar("ResultT")


@dataclass(slots=True)
class OperatorRequest:
    """Represent one request after authentication.

    Attributes
    ----------
    who : str
        Label of the token; empty on routes that allow anonymous access.
    parts : tuple of str
        Values of the path's placeholders, in order.
    query : dict
        Query parameters by name.
    body : bytes
        Request body.
    """

    who: str
    parts: tuple[str, ...] = ()
    query: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


Handler = Callable[[OperatorService, OperatorRequest], Any]


@dataclass(frozen=True, slots=True)
class Route:
    """Map one method and path pattern to its handler, and define whether it needs a token."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler
    allow_anonymous: bool


ROUTES: list[Route] = []
"""All routes, registered by the `route` decorator."""


def route(method: str, path: str, allow_anonymous: bool = False) -> Callable[[Handler], Handler]:
    """Register a handler for a method and path; each ``{}`` matches one path segment."""
    pattern = re.compile(path.replace("{}", r"([A-Za-z0-9._-]{1,100})"))

    def register(function: Handler) -> Handler:
        ROUTES.append(Route(method, pattern, function, allow_anonymous))
        return function

    return register


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """Represent the route that matches a request, and the values of its path placeholders."""

    route: Route
    parts: tuple[str, ...]


def find_route(method: str, path: str) -> RouteMatch:
    """Find the route that matches a method and path.

    Raises
    ------
    OperatorError
        When no route matches the path, or none of its routes has the method.
    """
    known = False
    for candidate in ROUTES:
        match = candidate.pattern.fullmatch(path)
        if match is None:
            continue
        known = True
        if candidate.method == method:
            return RouteMatch(candidate, match.groups())
    if known:
        raise OperatorError(OperatorErrorKind.METHOD_REFUSED, f"{method} is not for this path")
    raise OperatorError(OperatorErrorKind.NOT_FOUND, "no such path")


BODY_CONFIG = ConfigDict(extra="forbid")


@checked_dataclass(slots=True, config=BODY_CONFIG, kw_only=True)
class ChangeBody:
    """Define the JSON body of ``POST /v1/changes``.

    Attributes
    ----------
    write_id : str
        Unique id chosen by the client.
    expected : int
        Catalogue number that the change is based on.
    puts : list of Entry
        Entries to write.
    deletes : list of str
        Keys of entries to remove.
    """

    write_id: Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{8,64}$")]
    expected: Annotated[int, Field(strict=True, ge=0)]
    puts: Annotated[list[AnyEntry], Field(max_length=MAX_ENTRIES_PER_CHANGE)] = field(
        default_factory=list
    )
    deletes: Annotated[
        list[Annotated[str, Field(pattern=ENTRY_KEY_PATTERN)]],
        Field(max_length=MAX_ENTRIES_PER_CHANGE),
    ] = field(default_factory=list)


_CHANGE_BODY = TypeAdapter(ChangeBody)


@route("GET", "/healthz", allow_anonymous=True)
def read_health(_service: OperatorService, _req: OperatorRequest) -> Any:
    """Respond to a liveness check while the event loop runs."""
    return {"healthy": True}


@route("GET", "/readyz", allow_anonymous=True)
def read_readiness(service: OperatorService, _req: OperatorRequest) -> Any:
    """Respond to the load balancer's readiness check."""
    return service.readiness()


@route("GET", "/v1/status")
def read_status(service: OperatorService, _req: OperatorRequest) -> Any:
    """Return the state of this daemon."""
    return service.status()


@route("GET", "/v1/hosts")
def read_hosts(service: OperatorService, _req: OperatorRequest) -> Any:
    """Return the state of each host."""
    return service.hosts()


@route("GET", "/v1/upstreams")
def read_upstreams(service: OperatorService, _req: OperatorRequest) -> Any:
    """Return the state of each upstream."""
    return service.upstreams()


@route("GET", "/v1/moves")
def read_moves(service: OperatorService, _req: OperatorRequest) -> Any:
    """Return the state of each move."""
    return service.moves()


@route("GET", "/v1/moves/{}")
def read_move(service: OperatorService, req: OperatorRequest) -> Any:
    """Return the state of one move."""
    for report in service.moves():
        if report.name == req.parts[0]:
            return report
    raise OperatorError(OperatorErrorKind.NOT_FOUND, f"no move is named {req.parts[0]}")


@route("GET", "/v1/catalogue")
def read_catalogue(service: OperatorService, req: OperatorRequest) -> Any:
    """Return the applied entries of one kind, or of all kinds."""
    return service.list_entries(req.query.get("kind", ""))


@route("GET", "/v1/catalogue/{}/{}")
def read_entry(service: OperatorService, req: OperatorRequest) -> Any:
    """Return one applied entry."""
    key = "/".join(req.parts)
    item = service.find_entry(key)
    if item is None:
        raise OperatorError(OperatorErrorKind.NOT_FOUND, f"no entry has the key {key}")
    return item


@route("POST", "/v1/changes")
def write_change(service: OperatorService, req: OperatorRequest) -> Any:
    """Validate and write a change, and log its result for the audit trail."""
    try:
        body = _CHANGE_BODY.validate_json(req.body)
    except ValidationError as exc:
        raise OperatorError(OperatorErrorKind.ENTRY_REFUSED, format_validation_error(exc)) from exc
    change = Change(body.write_id, req.who, body.expected, body.puts, body.deletes)
    _check_change(change)
    fut = service.apply_change(change)
    fut.add_callback(lambda done: audit_change(change, done))
    return fut


def _check_change(change: Change) -> None:
    keys = change.touched_keys()
    if not keys:
        raise OperatorError(OperatorErrorKind.ENTRY_REFUSED, "the change touches no entry")
    repeated = sorted({key for key in keys if keys.count(key) > 1})
    if repeated:
        raise OperatorError(
            OperatorErrorKind.ENTRY_REFUSED, f"touched more than once: {', '.join(repeated)}"
        )


def audit_change(change: Change, done: Future[ChangeResult]) -> None:
    """Log operator, entries and result of a change for the audit trail."""
    result, number = "accepted", 0
    try:
        number = done.result().number
    except Exception as exc:
        result = to_operator_error(exc).kind.value
    logger.info(
        "event=audit_change who={} result={} number={} puts={} deletes={} write_id={}",
        change.who,
        result,
        number,
        quote_value(",".join(entry.key for entry in change.puts)),
        quote_value(",".join(change.deletes)),
        change.write_id,
    )


@route("GET", "/v1/changes/{}")
def read_propagation(service: OperatorService, req: OperatorRequest) -> Any:
    """Return which live hosts have applied a catalogue number."""
    return service.change_propagation(_parse_number(req.parts[0], "number"))


@route("GET", "/v1/writes/{}")
def read_write(service: OperatorService, req: OperatorRequest) -> Any:
    """Return whether a write id was accepted."""
    return service.find_write(req.parts[0])


@route("GET", "/v1/history")
def read_history(service: OperatorService, req: OperatorRequest) -> Any:
    """Return accepted changes, newest first."""
    limit = _parse_number(req.query.get("limit", str(DEFAULT_HISTORY_ITEMS)), "limit")
    if not 1 <= limit <= MAX_HISTORY_ITEMS:
        raise OperatorError(
            OperatorErrorKind.MALFORMED, f"limit: from 1 to {MAX_HISTORY_ITEMS}, got {limit}"
        )
    return service.history(req.query.get("key", ""), limit)


@route("GET", "/v1/diff")
def read_diff(service: OperatorService, req: OperatorRequest) -> Any:
    """Return the entries that differ between two catalogue numbers."""
    since = _parse_number(req.query.get("since", ""), "since")
    until = _parse_number(req.query.get("until", ""), "until")
    if since > until:
        raise OperatorError(OperatorErrorKind.MALFORMED, "since: at most the value of until")
    return service.diff(since, until)


@route("POST", "/v1/drain")
def start_drain(service: OperatorService, req: OperatorRequest) -> Any:
    """Start the graceful shutdown of this daemon."""
    result = service.drain(req.who)
    logger.info("event=audit_drain who={} drained={}", req.who, result.host)
    return result


def _parse_number(text: str, name: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 18:
        raise OperatorError(OperatorErrorKind.MALFORMED, f"{name}: a whole number is needed")
    return int(text)
