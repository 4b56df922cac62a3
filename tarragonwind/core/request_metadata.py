"""Classify requests whose facts stand in header fields, as a dialect of callers has read them."""

from __future__ import annotations

import hashlib
import random
from dataclasses import dataclass, field
from typing import Protocol

from tarragonwind.core.classifications import RequestClass, parse_target_path
from tarragonwind.core.entries import OrganisationEntry, RouteEntry
from tarragonwind.errors import ErrorKind, RequestError

PUBLIC_ORGANISATION = OrganisationEntry(
    name="public",
    owner="tarragonwind",
    token_sha256=[],
    max_in_progress=100_000,
    requests_per_s=100_000.0,
)
"""Stands for the organisation of requests on public routes."""


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Name one part of a prompt that other requests may share.

    Attributes
    ----------
    part_id : int
        The same for equal parts.
    tokens : int
        Length of the part.
    """

    part_id: int
    tokens: int


@dataclass(slots=True)
class RequestMetadata:
    """Hold what a request says of itself.

    Attributes
    ----------
    authority, target : str
        Host field and request target.
    token : bytes
        Bearer token, empty when there is none.
    deadline_s : float or None
        Time that the caller waits, in seconds.
    prompt_tokens, max_tokens : int or None
        Tokens of the prompt and most tokens of the answer; None for requests without them.
    expected_tokens : int or None
        The caller's own estimate of the answer's tokens; often far off.
    parts : list of PromptPart
        Parts of the prompt, in order.
    last_event_id : int or None
        Event after which the caller wants its stream to go on.
    """

    authority: str
    target: str
    token: bytes = b""
    deadline_s: float | None = None
    prompt_tokens: int | None = None
    max_tokens: int | None = None
    expected_tokens: int | None = None
    parts: list[PromptPart] = field(default_factory=list)
    last_event_id: int | None = None


class TargetCatalogue(Protocol):
    """Answer the questions that such a request raises about the catalogue in force."""

    def organisation_for(self, token_sha256: str) -> OrganisationEntry | None:
        """Return the organisation that a token's digest names."""

    def route_for_target(self, authority: str, path: str) -> RouteEntry | None:
        """Return the route of an authority with the longest prefix that begins a path."""


def classify_metadata(
    call: RequestMetadata, catalogue: TargetCatalogue, rng: random.Random
) -> RequestClass:
    """Classify a request by the catalogue in force.

    Raises
    ------
    RequestError
        When no route serves the target or the token names no organisation.
    """
    path = parse_target_path(call.target)
    route = catalogue.route_for_target(call.authority, path)
    if route is None:
        raise RequestError(ErrorKind.UNKNOWN_ROUTE, "no route serves this target")
    organisation = authenticate(call, catalogue, route)
    return RequestClass(
        organisation=organisation,
        route=route,
        pool=choose_pool(route, rng),
        tier=route.tier if organisation.tier is None else organisation.tier,
        timeout_s=effective_timeout(call.deadline_s, route.answer_timeout_s) or route.deadline_s,
        stream=route.streams,
        prompt_tokens=call.prompt_tokens or 0,
        max_tokens=call.max_tokens or 0,
        expected_tokens=call.expected_tokens,
        allotment_tokens=count_tokens(call, organisation),
        bounds_whole_answer=True,
        after_event=call.last_event_id,
        rank=0 if organisation.tier is None else route.tier,
    )


def authenticate(
    call: RequestMetadata, catalogue: TargetCatalogue, route: RouteEntry
) -> OrganisationEntry:
    """Return the organisation of the request's token; public routes need none."""
    if route.public:
        return PUBLIC_ORGANISATION
    digest = hashlib.sha256(call.token).hexdigest()
    organisation = catalogue.organisation_for(digest) if call.token else None
    if organisation is None:
        raise RequestError(ErrorKind.UNAUTHORIZED, "the bearer token names no organisation")
    return organisation


def choose_pool(route: RouteEntry, rng: random.Random) -> str:
    """Return the pool that serves one request of a route."""
    if not route.shares:
        return route.pool
    pools = [share.pool for share in route.shares]
    weights = [share.weight for share in route.shares]
    if not any(weights):
        return route.pool
    return rng.choices(pools, weights)[0]


def effective_timeout(deadline_s: float | None, timeout_s: float) -> float | None:
    """Return the shorter of a caller's deadline and a route's timeout, where there is one."""
    times = [time_s for time_s in (deadline_s, timeout_s or None) if time_s is not None]
    return min(times) if times else None


def count_tokens(call: RequestMetadata, organisation: OrganisationEntry) -> int:
    """Return the tokens that a request takes of its organisation's allotment."""
    if call.prompt_tokens is None:
        return organisation.plain_tokens
    return call.prompt_tokens + (call.max_tokens or 0)
