"""Define what a caller's connection needs of the server that accepted it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from tarragonwind.adapters.caller_exchanges import CallerExchange
from tarragonwind.adapters.http_requests import CallerRequest, HttpLimits
from tarragonwind.adapters.loops import Loop
from tarragonwind.adapters.memory_guards import MemoryGuard
from tarragonwind.errors import RequestError

ConnectionT_contra = TypeVar("ConnectionT_contra", contravariant=True)
"""Class of the connections."""


class ConnectionServer(Protocol[ConnectionT_contra]):
    """Provide what a connection needs of the server that accepted it."""

    loop: Loop
    limits: HttpLimits
    on_request: Callable[[CallerExchange], None]
    on_request_error: Callable[[CallerExchange, RequestError], None]
    check_head: Callable[[CallerRequest], RequestError | None]
    memory: MemoryGuard
    stopping: bool

    def remove_connection(self, conn: ConnectionT_contra) -> None:
        """Remove a closed connection."""

    def note_abandoned(self) -> None:
        """Count a request whose caller had left before it was read."""
