"""Keep the registry of store backends and what each of them is built from."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from tarragonwind.ports import Address, HttpTransport, Store, Timers


@dataclass(slots=True)
class StoreSettings:
    """Name a store backend and how it is reached.

    Attributes
    ----------
    backend : str
        A key of `STORE_BACKENDS`.
    endpoints : list of Address
        Addresses of the service; one is used at a time, the next after a failure.
    timeout_s : float
        Time for one call over all endpoints, in seconds.
    """

    backend: str = "memory"
    endpoints: list[Address] = field(default_factory=list)
    timeout_s: float = 2.0


@dataclass(slots=True)
class StoreDependencies:
    """Hold what a backend may use.

    Attributes
    ----------
    timers : Timers
        Clock and timer subscriptions.
    http : HttpCaller or None
        Client for backends that speak HTTP.
    on_call : callable
        Called with the kind of each call to the service, a waiting watch as one.
    """

    timers: Timers
    http: HttpTransport | None = None
    on_call: Callable[[str], None] = lambda kind: None


StoreFactory = Callable[[StoreSettings, StoreDependencies], Store]

STORE_BACKENDS: dict[str, StoreFactory] = {}
"""Factories by backend name, filled by `store_backend`."""


def store_backend(name: str) -> Callable[[StoreFactory], StoreFactory]:
    """Register a factory function as a store backend."""

    def register(factory: StoreFactory) -> StoreFactory:
        STORE_BACKENDS[name] = factory
        return factory

    return register
