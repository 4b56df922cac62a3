"""Close kept connections to upstreams whose address belongs to another start, or to none."""

from __future__ import annotations

from tarragonwind.adapters.http_clients import HttpClient
from tarragonwind.core.catalogues import Catalogue
from tarragonwind.core.entries import UpstreamEntry, UpstreamStart
from tarragonwind.ports import Address


class UpstreamConnections:
    """Know which start of an upstream has each address, to tell when its connections are stale.

    Parameters
    ----------
    client : HttpClient
        Client that keeps the connections.
    """

    __slots__ = ("_client", "_starts")

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self._starts: dict[Address, UpstreamStart] = {}

    def on_catalogue(self, catalogue: Catalogue) -> None:
        """Close the connections to each address that has changed hands."""
        starts = {
            Address(entry.host, entry.port): entry.start
            for entry in catalogue.contents("upstream").values()
            if isinstance(entry, UpstreamEntry)
        }
        for address, start in self._starts.items():
            if starts.get(address) != start:
                self._client.close_idle(address)
        self._starts = starts
