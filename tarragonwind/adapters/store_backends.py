"""Register store backends and define the settings and dependencies of their factories."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from tarragonwind.ports import Address, HttpTransport, Store, Timers


@dataclass(slots=True)
class StoreSettings:
    """Select a store backend and its endpoints.

    Attributes
    ----------
    backend : str
        A key of `STORE_BACKENDS`.
    endpoints : list of Address
        Addresses of the store service; one is used at a time, and the next one after a failure.
    timeout_s : float
        Timeout of one call across all endpoints, in seconds.
    """

    backend: str = "memory"
    endpoints: list[Address] = field(default_factory=list)
    timeout_s: float = 2.0


@dataclass(slots=True)
class StoreDependencies:
    """Provide the dependencies that a backend may use.

    Attributes
    ----------
    timers : Timers
        Clock and timers.
    http : HttpTransport or None
        HTTP client for backends that need one.
    on_call : callable
        Called with the kind of each call to the store service; a watch counts as one call.
    """

    timers: Timers
    http: HttpTransport | None = None
    on_call: Callable[[str], None] = lambda kind: None


StoreFactory = Callable[[StoreSettings, StoreDependencies], Store]

STORE_BACKENDS: dict[str, StoreFactory] = {}
"""Factories by backend name, filled by `store_backend`."""


def store_backend(name: str) -> Callable[[StoreFactory], StoreFactory]:
    """Return a decorator that registers a factory function as a store backend."""

    def register(factory: StoreFactory) -> StoreFactory:
        STORE_BACKENDS[name] = factory
        return factory

    return register
