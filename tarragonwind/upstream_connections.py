"""Close kept connections to upstreams that are no longer in use, or not on the path in use."""

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

    __slots__ = ("_client", "_evacuated", "_starts")

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self._starts: dict[Address, set[UpstreamStart]] = {}
        self._evacuated: set[Address] = set()

    def knows(self, address: Address) -> bool:
        """Return whether an address is that of an upstream."""
        return address in self._starts

    def is_evacuated(self, address: Address) -> bool:
        """Return whether all upstreams at an address are in evacuated data centres."""
        return address in self._evacuated

    def addresses(self) -> set[Address]:
        """Return the addresses of all upstreams."""
        return set(self._starts)

    def close_all(self) -> None:
        """Close the kept connections to all upstreams."""
        for address in self._starts:
            self._client.close_idle(address)

    def on_catalogue(self, catalogue: Catalogue) -> None:
        """Close the connections to each address that has changed hands or is evacuated now.

        Two upstreams may be registered at one address, the one that is gone until its entry ends.
        """
        starts: dict[Address, set[UpstreamStart]] = {}
        in_use: set[Address] = set()
        for entry in catalogue.contents("upstream").values():
            if isinstance(entry, UpstreamEntry):
                address = Address(entry.host, entry.port)
                starts.setdefault(address, set()).add(entry.start)
                if entry.data_centre not in catalogue.evacuated:
                    in_use.add(address)
        evacuated = starts.keys() - in_use
        newly_evacuated = evacuated - self._evacuated
        for address, known in self._starts.items():
            if starts.get(address) != known or address in newly_evacuated:
                self._client.close_idle(address)
        self._starts = starts
        self._evacuated = evacuated
