"""Open connections ahead of their use."""

from __future__ import annotations

from tarragonwind.adapters.connections import Connection
from tarragonwind.adapters.http_clients import HttpClient
from tarragonwind.futures import Future
from tarragonwind.ports import Address


def connect_ahead(client: HttpClient, address: Address, name: str) -> Future[bool]:
    """Return a future of whether the client has, or could open, a connection for a request."""
    fut: Future[bool] = Future()

    def on_open(conn: Connection) -> None:
        client.keep_idle(address, conn)
        fut.set_result(True)

    if client.has_idle(address, name):
        fut.set_result(True)
    else:
        client.connector.connect(address, on_open, lambda reason: fut.set_result(False))
    return fut
