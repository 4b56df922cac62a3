"""Hold a configuration that an operator wrote as a whole, and make catalogues of it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from tarragonwind.core.catalogues import Catalogue, Record, build_catalogue
from tarragonwind.core.entries import Entry, UpstreamEntry


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what callers may send.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Largest head and body, in bytes.
    header_timeout_s, idle_timeout_s : float
        Time for a whole head, and for the next request, in seconds.
    """

    max_header_bytes: int = 32_768
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclass(slots=True)
class Configuration:
    """Hold one version of the operator's configuration.

    Attributes
    ----------
    version : int
        Grows with each configuration.
    entries : list of Entry
        Pools, routes and organisations.
    limits : CallerLimits
        Bounds on callers.
    """

    version: int
    entries: list[Entry]
    limits: CallerLimits = field(default_factory=CallerLimits)


def join_catalogue(cfg: Configuration, upstreams: Iterable[UpstreamEntry]) -> Catalogue:
    """Return the catalogue of a configuration and the upstreams that are registered."""
    records = {entry.key: Record(cfg.version, b"", entry) for entry in [*cfg.entries, *upstreams]}
    return build_catalogue(cfg.version, records)
