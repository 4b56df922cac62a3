"""Tell what a caller's request is: whose, of which route and tier, how long, and by when."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from typing import Any, Protocol

from tarragonwind.core.entries import TIER_COUNT, OrganisationEntry, RouteEntry
from tarragonwind.errors import ErrorKind, RequestError

COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")
TIER_HEADER = b"tarragonwind-tier"
TIMEOUT_HEADER = b"tarragonwind-timeout-ms"
KEY_HEADER = b"idempotency-key"
MAX_KEY_LENGTH = 200
MAX_TIMEOUT_MS = 3_600_000
CHARACTERS_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 512
MAX_TOKENS = 1_000_000


class CatalogueView(Protocol):
    """Answer the questions that a request raises about the catalogue in force."""

    def organisation_for(self, token_sha256: str) -> OrganisationEntry | None:
        """Return the organisation that a token's digest names."""

    def route_for_model(self, model: str) -> RouteEntry | None:
        """Return the route of a model."""

    def route_for_path(self, path: str) -> RouteEntry | None:
        """Return the route with the longest prefix of a path."""


class RequestHead(Protocol):
    """Name what is read of a request."""

    method: str
    target: str
    body: bytes

    def header(self, name: bytes) -> bytes:
        """Return the first value of a field, empty when it is absent."""


@dataclass(slots=True)
class RequestClass:
    """Hold what is known of a request before it waits.

    Attributes
    ----------
    organisation : OrganisationEntry
        Who asks.
    route : RouteEntry
        What is asked for.
    tier : int
        Tier of the route, or a lower one that the caller chose.
    timeout_s : float
        Time for the first byte of the answer, in seconds.
    idempotency_key : str
        Key of a request that must not run twice, or empty.
    stream : bool
        Whether the caller wants a stream of events.
    prompt : str
        Text of the prompt, empty for services.
    prompt_tokens, max_tokens : int
        Tokens of the prompt, and most tokens of the answer.
    pool : str
        Pool that serves the request, empty for the route's own.
    expected_tokens : int or None
        The caller's estimate of the answer's tokens.
    allotment_tokens : int
        Tokens that the request takes of its organisation's allotment.
    bounds_whole_answer : bool
        Whether `timeout_s` bounds the whole answer instead of its first byte.
    after_event : int or None
        Event after which the caller wants its stream to go on.
    rank : int
        Importance among the requests of its tier, 0 the highest.
    """

    organisation: OrganisationEntry
    route: RouteEntry
    tier: int
    timeout_s: float
    idempotency_key: str = ""
    stream: bool = False
    prompt: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    pool: str = ""
    expected_tokens: int | None = None
    allotment_tokens: int = 0
    bounds_whole_answer: bool = False
    after_event: int | None = None
    rank: int = 0


@dataclass(slots=True)
class CompletionBody:
    """Hold the parts of a completion request that scheduling needs."""

    model: str
    stream: bool
    prompt: str
    max_tokens: int


def classify_request(req: RequestHead, catalogue: CatalogueView) -> RequestClass:
    """Classify a request by the catalogue in force.

    Raises
    ------
    RequestError
        When the caller, the target or the body is refused.
    """
    organisation = authenticate(req, catalogue)
    path = parse_target_path(req.target)
    if path in COMPLETION_PATHS:
        if req.method != "POST":
            raise RequestError(ErrorKind.METHOD_REFUSED, "completions are asked for by POST")
        body = parse_completion(req.body)
        route = catalogue.route_for_model(body.model)
        if route is None:
            raise RequestError(ErrorKind.UNKNOWN_ROUTE, "no route serves this model")
        found = apply_route(req, organisation, route)
        found.stream = body.stream
        found.prompt = body.prompt
        found.prompt_tokens = max(1, len(body.prompt) // CHARACTERS_PER_TOKEN)
        found.max_tokens = body.max_tokens
        found.allotment_tokens = found.prompt_tokens + found.max_tokens
        return found
    service = catalogue.route_for_path(path)
    if service is None:
        raise RequestError(ErrorKind.UNKNOWN_ROUTE, "no route serves this path")
    return apply_route(req, organisation, service)


def authenticate(req: RequestHead, catalogue: CatalogueView) -> OrganisationEntry:
    """Return the organisation whose bearer token the request carries."""
    scheme, _, token = req.header(b"authorization").partition(b" ")
    organisation = None
    if scheme.lower() == b"bearer" and token:
        digest = hashlib.sha256(token.strip()).hexdigest()
        organisation = catalogue.organisation_for(digest)
    if organisation is None:
        raise RequestError(ErrorKind.UNAUTHORIZED, "the bearer token names no organisation")
    return organisation


def parse_target_path(target: str) -> str:
    """Return the path of a request target, refusing those that could slip past a prefix."""
    path = target.partition("?")[0]
    lowered = path.lower()
    hidden = "%2e" in lowered or "%2f" in lowered or "\\" in path
    if not path.startswith("/") or "/../" in f"{path}/" or "//" in path or hidden:
        raise RequestError(ErrorKind.BAD_REQUEST, "the request target must be a plain path")
    return path


def apply_route(
    req: RequestHead, organisation: OrganisationEntry, route: RouteEntry
) -> RequestClass:
    """Apply the route's rules to a request's header fields."""
    if route.organisations and organisation.name not in route.organisations:
        raise RequestError(ErrorKind.UNKNOWN_ROUTE, "no route of this organisation serves this")
    if route.methods and req.method not in route.methods:
        raise RequestError(ErrorKind.METHOD_REFUSED, "the route does not take this method")
    tier = parse_int_header(req, TIER_HEADER, route.tier, 0, TIER_COUNT - 1)
    default_ms = int(route.deadline_s * 1000)
    timeout_ms = parse_int_header(req, TIMEOUT_HEADER, default_ms, 1, MAX_TIMEOUT_MS)
    key = req.header(KEY_HEADER)
    if len(key) > MAX_KEY_LENGTH:
        raise RequestError(ErrorKind.BAD_REQUEST, "the Idempotency-Key is too long")
    return RequestClass(
        organisation=organisation,
        route=route,
        tier=max(tier, route.tier),
        timeout_s=timeout_ms / 1000,
        idempotency_key="" if route.idempotent else key.decode("latin-1"),
    )


def parse_int_header(req: RequestHead, name: bytes, default: int, low: int, high: int) -> int:
    """Return a header field's number within a range, or the default when it is absent."""
    raw = req.header(name)
    if not raw:
        return default
    if not raw.isdigit() or not low <= int(raw[:12]) <= high:
        text = name.decode("ascii")
        raise RequestError(ErrorKind.BAD_REQUEST, f"{text} must be from {low} to {high}")
    return int(raw)


def parse_completion(body: bytes) -> CompletionBody:
    """Read the parts of a completion request that scheduling needs."""
    try:
        doc = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise RequestError(ErrorKind.BAD_REQUEST, "the body is not JSON") from exc
    if not isinstance(doc, dict):
        raise RequestError(ErrorKind.BAD_REQUEST, "the body is not a JSON object")
    model = doc.get("model")
    if not isinstance(model, str) or not model:
        raise RequestError(ErrorKind.BAD_REQUEST, "model must name a model")
    return CompletionBody(
        model=model,
        stream=doc.get("stream") is True,
        prompt=join_prompt(doc),
        max_tokens=read_max_tokens(doc),
    )


def read_max_tokens(doc: dict[str, Any]) -> int:
    """Return the most tokens that the answer may have."""
    wanted = doc.get("max_completion_tokens", doc.get("max_tokens"))
    if wanted is None:
        return DEFAULT_MAX_TOKENS
    if not isinstance(wanted, int) or isinstance(wanted, bool) or not 1 <= wanted <= MAX_TOKENS:
        raise RequestError(ErrorKind.BAD_REQUEST, f"max_tokens must be from 1 to {MAX_TOKENS}")
    return wanted


def join_prompt(doc: dict[str, Any]) -> str:
    """Return the text of a prompt or of all messages, in order."""
    prompt = doc.get("prompt")
    if isinstance(prompt, str):
        return prompt
    messages = doc.get("messages")
    if not isinstance(messages, list):
        raise RequestError(ErrorKind.BAD_REQUEST, "messages or prompt is missing")
    parts = []
    for entry in messages:
        if not isinstance(entry, dict):
            raise RequestError(ErrorKind.BAD_REQUEST, "each message must be an object")
        parts.append(f"{entry.get('role')}\n{entry.get('content')}\n")
    return "".join(parts)
