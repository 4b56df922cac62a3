"""Classify requests by metadata that a caller dialect has decoded from header fields."""

from __future__ import annotations

import hashlib
import random
from dataclasses import field
from typing import Protocol

from tarragonwind.core.answered_parts import MAX_ASKED_PARTS
from tarragonwind.core.classifications import RequestClass, parse_target_path
from tarragonwind.core.entries import OrganisationEntry, RouteEntry
from tarragonwind.core.homes import find_homes
from tarragonwind.core.request_keys import PART_KEY_MASK
from tarragonwind.errors import ErrorKind, RequestError
from tarragonwind.records import dataclass

PUBLIC_ORGANISATION = OrganisationEntry(
    name="public",
    owner="tarragonwind",
    token_sha256=[],
    max_in_progress=100_000,
    requests_per_s=100_000.0,
)
"""Placeholder for the organisation of requests to public routes."""


MIN_SHARED_TOKENS = 512
"""Minimum length of a prompt's shared parts for which the owner of a pool follows them, in tokens.
Reading fewer takes less time than the choice of another engine costs."""


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Identify a segment of a prompt that several requests may share.

    Attributes
    ----------
    part_id : int
        Identifier, equal for equal segments.
    tokens : int
        Length of the segment, in tokens.
    """

    part_id: int
    tokens: int


@dataclass(slots=True)
class RequestMetadata:
    """Hold the metadata that a caller sends with a request.

    Attributes
    ----------
    authority, target : str
        Host header field and request target.
    token : bytes
        Bearer token, empty if there is none.
    deadline_s : float or None
        Time that the caller waits for the response, in seconds.
    prompt_tokens, max_tokens : int or None
        Number of prompt tokens and maximum number of output tokens; None for requests to services.
    expected_tokens : int or None
        The caller's estimate of the number of output tokens; often inaccurate.
    parts : list of PromptPart
        Segments of the prompt, in order.
    last_event_id : int or None
        Id of the event after which the caller resumes its stream.
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
    """Look up organisations and routes in the active catalogue."""

    def organisation_for(self, token_sha256: str) -> OrganisationEntry | None:
        """Return the organisation with a token of this SHA-256 digest, or None."""

    def route_for_target(self, authority: str, path: str) -> RouteEntry | None:
        """Return the route of an authority with the longest matching path prefix, or None."""


def classify_metadata(
    metadata: RequestMetadata, catalogue: TargetCatalogue, rng: random.Random
) -> RequestClass:
    """Classify a request with the active catalogue.

    Raises
    ------
    RequestError
        If no route serves the target, the token belongs to no organisation, or no region is allowed
        for both.
    """
    route = find_route(metadata, catalogue)
    organisation = authenticate(metadata, catalogue, route)
    timeout_s = effective_timeout(metadata.deadline_s, route.answer_timeout_s)
    return RequestClass(
        organisation=organisation,
        route=route,
        pool=choose_pool(route, rng),
        tier=route.tier if organisation.tier is None else organisation.tier,
        timeout_s=route.deadline_s if timeout_s is None else timeout_s,
        stream=route.streams,
        prompt_tokens=metadata.prompt_tokens or 0,
        max_tokens=metadata.max_tokens or 0,
        expected_tokens=metadata.expected_tokens,
        allotment_tokens=count_tokens(metadata, organisation),
        deadline_is_total=True,
        after_event=metadata.last_event_id,
        rank=0 if organisation.tier is None else route.tier,
        shared_parts=select_shared_parts(metadata.parts),
        part_tokens=select_part_tokens(metadata.parts),
        last_part=metadata.parts[-1].part_id & PART_KEY_MASK if metadata.parts else 0,
        homes=find_homes(route, organisation),
    )


def check_metadata(metadata: RequestMetadata, catalogue: TargetCatalogue) -> OrganisationEntry:
    """Check route and token of a request before its body is read; return its organisation.

    Raises
    ------
    RequestError
        If `classify_metadata` would refuse the request.
    """
    route = find_route(metadata, catalogue)
    organisation = authenticate(metadata, catalogue, route)
    find_homes(route, organisation)
    return organisation


def find_route(metadata: RequestMetadata, catalogue: TargetCatalogue) -> RouteEntry:
    """Return the route that serves the target of a request."""
    path = parse_target_path(metadata.target)
    route = catalogue.route_for_target(metadata.authority, path)
    if route is None:
        raise RequestError(ErrorKind.UNKNOWN_ROUTE, "no route serves this target")
    return route


def select_shared_parts(parts: list[PromptPart]) -> tuple[int, ...]:
    """Return the keys of all parts but the last, which belongs to its request or session."""
    return tuple(part.part_id & PART_KEY_MASK for part in parts[:-1])


def select_part_tokens(parts: list[PromptPart]) -> tuple[int, ...]:
    """Return the tokens of all parts, nothing if the shared ones are too short to be followed."""
    if not 1 < len(parts) <= MAX_ASKED_PARTS + 1:
        return ()
    if sum(part.tokens for part in parts[:-1]) < MIN_SHARED_TOKENS:
        return ()
    return tuple(part.tokens for part in parts)


def authenticate(
    metadata: RequestMetadata, catalogue: TargetCatalogue, route: RouteEntry
) -> OrganisationEntry:
    """Return the organisation that the token belongs to; public routes need no token."""
    if route.public:
        return PUBLIC_ORGANISATION
    digest = hashlib.sha256(metadata.token).hexdigest()
    organisation = catalogue.organisation_for(digest) if metadata.token else None
    if organisation is None:
        raise RequestError(ErrorKind.UNAUTHORIZED, "the bearer token names no organisation")
    return organisation


def choose_pool(route: RouteEntry, rng: random.Random) -> str:
    """Choose the pool for one request of a route, at random by the weights of a traffic split."""
    if not route.shares:
        return route.pool
    pools = [share.pool for share in route.shares]
    weights = [share.weight for share in route.shares]
    if not any(weights):
        return route.pool
    return rng.choices(pools, weights)[0]


def effective_timeout(deadline_s: float | None, timeout_s: float) -> float | None:
    """Return the shorter of the caller's deadline and the route's timeout, if any is set."""
    times = [time_s for time_s in (deadline_s, timeout_s or None) if time_s is not None]
    return min(times) if times else None


def count_tokens(metadata: RequestMetadata, organisation: OrganisationEntry) -> int:
    """Return the tokens charged to the organisation's allotment."""
    if metadata.prompt_tokens is None:
        return organisation.plain_tokens
    return metadata.prompt_tokens + (metadata.max_tokens or 0)
