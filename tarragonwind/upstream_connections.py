"""Close kept connections to upstreams that are no longer those, or not on the path, in use."""

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
        self._starts: dict[Address, set[UpstreamStart]] = {}

    def knows(self, address: Address) -> bool:
        """Return whether an address is that of an upstream."""
        return address in self._starts

    def addresses(self) -> set[Address]:
        """Return the addresses of all upstreams."""
        return set(self._starts)

    def close_all(self) -> None:
        """Close the kept connections to all upstreams."""
        for address in self._starts:
            self._client.close_idle(address)

    def on_catalogue(self, catalogue: Catalogue) -> None:
        """Close the connections to each address that has changed hands.

        Two upstreams may be registered at one address, the one that is gone until its entry ends.
        """
        starts: dict[Address, set[UpstreamStart]] = {}
        for entry in catalogue.contents("upstream").values():
            if isinstance(entry, UpstreamEntry):
                starts.setdefault(Address(entry.host, entry.port), set()).add(entry.start)
        for address, known in self._starts.items():
            if starts.get(address) != known:
                self._client.close_idle(address)
        self._starts = starts
