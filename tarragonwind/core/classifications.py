"""Classify requests: organisation, route, tier, size and deadline."""

from __future__ import annotations

import hashlib
import json
from dataclasses import field
from typing import Any, Protocol

from tarragonwind.core.answered_parts import MAX_ASKED_PARTS
from tarragonwind.core.entries import TIER_COUNT, OrganisationEntry, RouteEntry
from tarragonwind.core.homes import ANY_REGION, Homes, find_homes
from tarragonwind.core.json_bounds import MAX_JSON_ITEMS, has_too_many_items
from tarragonwind.core.prompt_prefixes import hash_prefixes
from tarragonwind.errors import ErrorKind, RequestError
from tarragonwind.records import dataclass

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
    """Look up organisations and routes in the active catalogue."""

    def organisation_for(self, token_sha256: str) -> OrganisationEntry | None:
        """Return the organisation with a token of this SHA-256 digest, or None."""

    def route_for_model(self, model: str) -> RouteEntry | None:
        """Return the route of a model, or None."""

    def route_for_path(self, path: str) -> RouteEntry | None:
        """Return the route with the longest matching path prefix, or None."""


class RequestHead(Protocol):
    """Provide the parts of a request that classification reads."""

    method: str
    target: str
    body: bytes

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header field, empty if it is absent."""


@dataclass(slots=True)
class RequestClass:
    """Hold the classification of a request, made before it is queued.

    Attributes
    ----------
    organisation : OrganisationEntry
        Organisation of the caller.
    route : RouteEntry
        Requested route.
    tier : int
        Tier of the route, or a less important one selected by the caller.
    timeout_s : float
        Time limit for the first byte of the response, in seconds; see `deadline_is_total`.
    idempotency_key : str
        Idempotency key of a request that must not run twice, or empty.
    stream : bool
        Whether the caller wants a stream of server-sent events.
    prompt_characters : int
        Length of the prompt's text, 0 for services; the text itself is in the body only.
    prefixes : list of int
        Hashes of the beginnings of the prompt.
    prompt_tokens, max_tokens : int
        Number of prompt tokens and maximum number of output tokens.
    pool : str
        Pool that serves the request, empty for the pool of the route.
    expected_tokens : int or None
        The caller's estimate of the number of output tokens.
    allotment_tokens : int
        Tokens charged to the organisation's allotment.
    deadline_is_total : bool
        Whether `timeout_s` limits the complete response instead of its first byte.
    after_event : int or None
        Id of the event after which the caller resumes its stream.
    rank : int
        Priority within the tier, 0 the highest.
    shared_parts : tuple of int
        Keys of the prompt's parts that other requests may have too: all but the last.
    request_key : int
        Key that equal requests share on every host, 0 until it is computed.
    homes : tuple of str
        Regions whose upstreams may get the request; empty for all.
    part_tokens : tuple of int
        Tokens of the prompt's shared parts and of its last part; empty if they are too short to be
        worth following.
    last_part : int
        Key of the prompt's last part.
    """

    organisation: OrganisationEntry
    route: RouteEntry
    tier: int
    timeout_s: float
    idempotency_key: str = ""
    stream: bool = False
    prompt_characters: int = 0
    prefixes: list[int] = field(default_factory=list)
    prompt_tokens: int = 0
    max_tokens: int = 0
    pool: str = ""
    expected_tokens: int | None = None
    allotment_tokens: int = 0
    deadline_is_total: bool = False
    after_event: int | None = None
    rank: int = 0
    shared_parts: tuple[int, ...] = ()
    part_tokens: tuple[int, ...] = ()
    last_part: int = 0
    request_key: int = 0
    homes: Homes = ANY_REGION

    @property
    def asked_keys(self) -> tuple[int, ...]:
        """Return the keys that a permit request names: first parts of the prompt, the request."""
        return (*self.shared_parts[:MAX_ASKED_PARTS], self.request_key)

    @property
    def later_parts(self) -> tuple[int, ...]:
        """Return the keys of the parts that a permit request doesn't name."""
        return self.shared_parts[MAX_ASKED_PARTS:]

    @property
    def quarantine_keys(self) -> tuple[int, ...]:
        """Return the keys of all that upstreams may crash on, the most specific last."""
        return (*self.shared_parts, self.request_key)


@dataclass(slots=True)
class CompletionBody:
    """Hold the fields of a completion request that scheduling needs."""

    model: str
    stream: bool
    prompt: str
    max_tokens: int


def classify_request(req: RequestHead, catalogue: CatalogueView) -> RequestClass:
    """Classify a request with the active catalogue.

    Raises
    ------
    RequestError
        If the caller, the target or the body is refused.
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
        request_class = apply_route(req, organisation, route)
        request_class.stream = body.stream
        request_class.prompt_characters = len(body.prompt)
        request_class.prefixes = hash_prefixes(body.prompt)
        request_class.prompt_tokens = max(1, len(body.prompt) // CHARACTERS_PER_TOKEN)
        request_class.max_tokens = body.max_tokens
        request_class.allotment_tokens = request_class.prompt_tokens + request_class.max_tokens
        return request_class
    service = catalogue.route_for_path(path)
    if service is None:
        raise RequestError(ErrorKind.UNKNOWN_ROUTE, "no route serves this path")
    return apply_route(req, organisation, service)


def check_head(req: RequestHead, catalogue: CatalogueView) -> OrganisationEntry:
    """Check what is known of a request before its body is read; return its organisation.

    Raises
    ------
    RequestError
        If `classify_request` would refuse the request whatever its body is.
    """
    organisation = authenticate(req, catalogue)
    path = parse_target_path(req.target)
    if path in COMPLETION_PATHS:
        if req.method != "POST":
            raise RequestError(ErrorKind.METHOD_REFUSED, "completions are asked for by POST")
        return organisation
    service = catalogue.route_for_path(path)
    if service is None:
        raise RequestError(ErrorKind.UNKNOWN_ROUTE, "no route serves this path")
    apply_route(req, organisation, service)
    return organisation


def authenticate(req: RequestHead, catalogue: CatalogueView) -> OrganisationEntry:
    """Return the organisation that the request's bearer token belongs to."""
    scheme, _, token = req.header(b"authorization").partition(b" ")
    organisation = None
    if scheme.lower() == b"bearer" and token:
        digest = hashlib.sha256(token.strip()).hexdigest()
        organisation = catalogue.organisation_for(digest)
    if organisation is None:
        raise RequestError(ErrorKind.UNAUTHORIZED, "the bearer token names no organisation")
    return organisation


def parse_target_path(target: str) -> str:
    """Return the path of a request target; refuse targets that could bypass a path prefix."""
    path = target.partition("?")[0]
    lowered = path.lower()
    has_hidden_separator = "%2e" in lowered or "%2f" in lowered or "\\" in path
    if not path.startswith("/") or "/../" in f"{path}/" or "//" in path or has_hidden_separator:
        raise RequestError(ErrorKind.BAD_REQUEST, "the request target must be a plain path")
    return path


def apply_route(
    req: RequestHead, organisation: OrganisationEntry, route: RouteEntry
) -> RequestClass:
    """Classify a request by its header fields and the rules of its route."""
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
        homes=find_homes(route, organisation),
    )


def parse_int_header(req: RequestHead, name: bytes, default: int, low: int, high: int) -> int:
    """Return the integer in a header field, or the default if it is absent."""
    raw = req.header(name)
    if not raw:
        return default
    if not raw.isdigit() or not low <= int(raw[:12]) <= high:
        text = name.decode("ascii")
        raise RequestError(ErrorKind.BAD_REQUEST, f"{text} must be from {low} to {high}")
    return int(raw)


def parse_completion(body: bytes) -> CompletionBody:
    """Parse the fields of a completion request that scheduling needs."""
    if has_too_many_items(body):
        raise RequestError(ErrorKind.BAD_REQUEST, f"the body has over {MAX_JSON_ITEMS} items")
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
    """Return the maximum number of output tokens."""
    max_tokens = doc.get("max_completion_tokens", doc.get("max_tokens"))
    if max_tokens is None:
        return DEFAULT_MAX_TOKENS
    if (
        not isinstance(max_tokens, int)
        or isinstance(max_tokens, bool)
        or not 1 <= max_tokens <= MAX_TOKENS
    ):
        raise RequestError(ErrorKind.BAD_REQUEST, f"max_tokens must be from 1 to {MAX_TOKENS}")
    return max_tokens


def join_prompt(doc: dict[str, Any]) -> str:
    """Return the text of the prompt, or of all messages in order."""
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
