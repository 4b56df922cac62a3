"""Know through hosts of which regions each upstream may be reached.

Connections are kept for an address and not for a request, so what a request with homes must not
use is used by none: where a configuration has homes, an upstream is reached only through hosts of
its own region. That region is a home of every request with homes that the upstream may get.
"""

from __future__ import annotations

from tarragonwind.core.catalogues import Catalogue
from tarragonwind.core.entries import OrganisationEntry, RouteEntry, UpstreamEntry
from tarragonwind.ports import Address


def has_homes(catalogue: Catalogue) -> bool:
    """Return whether a catalogue keeps any requests in some regions."""
    entries = [*catalogue.contents("route").values(), *catalogue.contents("organisation").values()]
    return any(
        bool(entry.allowed_regions)
        for entry in entries
        if isinstance(entry, RouteEntry | OrganisationEntry)
    )


class TunnelRegions:
    """Hold the regions of the upstreams at each address while a configuration has homes."""

    __slots__ = ("_regions",)

    def __init__(self) -> None:
        self._regions: dict[Address, set[str]] | None = None

    def on_catalogue(self, catalogue: Catalogue) -> list[Address]:
        """Apply a catalogue; return the upstreams that fewer hosts may be used for from now on."""
        before = self._regions
        self._regions = None
        if not has_homes(catalogue):
            return []
        regions: dict[Address, set[str]] = {}
        for entry in catalogue.contents("upstream").values():
            if isinstance(entry, UpstreamEntry):
                regions.setdefault(Address(entry.host, entry.port), set()).add(entry.region)
        self._regions = regions
        known = before if before is not None else {}
        return [address for address, found in regions.items() if known.get(address) != found]

    def allows(self, upstream: Address, region: str) -> bool:
        """Return whether an upstream may be reached through a host of a region."""
        if self._regions is None:
            return True
        return bool(region) and self._regions.get(upstream) == {region}
