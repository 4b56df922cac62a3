"""Keep requests in their homes: the regions that their route and their organisation allow.

Homes are a sorted tuple of regions; an empty one allows every region.
"""

from __future__ import annotations

from tarragonwind.core.entries import OrganisationEntry, RouteEntry, UpstreamEntry
from tarragonwind.errors import ErrorKind, RequestError

Homes = tuple[str, ...]
ANY_REGION: Homes = ()
CONFLICT_RETRY_AFTER_S = 5.0
"""Time after which a request without any allowed region may be tried again, in seconds. Only a new
configuration can help it."""


def find_homes(route: RouteEntry, organisation: OrganisationEntry) -> Homes:
    """Return the regions that both a route and an organisation allow.

    Raises
    ------
    RequestError
        If both have homes, and none in common.
    """
    if not route.allowed_regions or not organisation.allowed_regions:
        return tuple(sorted({*route.allowed_regions, *organisation.allowed_regions}))
    homes = tuple(sorted({*route.allowed_regions} & {*organisation.allowed_regions}))
    if not homes:
        raise RequestError(
            ErrorKind.NO_UPSTREAM,
            "the route and the organisation have no region in common",
            CONFLICT_RETRY_AFTER_S,
        )
    return homes


def is_at_home(homes: Homes, entry: UpstreamEntry) -> bool:
    """Return whether an upstream may get a request with these homes.

    One whose region is unknown may get only requests without homes.
    """
    return not homes or entry.region in homes
