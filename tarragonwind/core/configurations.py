"""Define the configuration document that an operator writes, and build catalogues from it."""

from __future__ import annotations

from collections.abc import Iterable, Set
from dataclasses import field

from tarragonwind.core.catalogues import Catalogue, Record, build_catalogue
from tarragonwind.core.entries import Entry, UpstreamEntry
from tarragonwind.core.evacuations import withhold_evacuated
from tarragonwind.records import dataclass


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Set limits for requests from callers.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum size of a request header and a request body, in bytes.
    header_timeout_s, idle_timeout_s : float
        Timeout for receiving a whole header, and idle time until the next request, in seconds.
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
        Version number, higher for each new configuration.
    entries : list of Entry
        Pools, routes and organisations.
    limits : CallerLimits
        Limits for requests from callers.
    """

    version: int
    entries: list[Entry]
    limits: CallerLimits = field(default_factory=CallerLimits)


def join_catalogue(
    cfg: Configuration, upstreams: Iterable[UpstreamEntry], evacuated: Set[str] = frozenset()
) -> Catalogue:
    """Build the catalogue from a configuration and the registered upstreams.

    Parameters
    ----------
    cfg : Configuration
        Configuration in force.
    upstreams : iterable of UpstreamEntry
        Registered upstreams.
    evacuated : set of str
        Data centres whose upstreams get nothing new.
    """
    entries = [*cfg.entries, *withhold_evacuated(upstreams, evacuated)]
    records = {entry.key: Record(cfg.version, b"", entry) for entry in entries}
    catalogue = build_catalogue(cfg.version, records)
    catalogue.evacuated = frozenset(evacuated)
    return catalogue
