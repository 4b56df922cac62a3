"""Register store backends, define what their factories need, and create the selected store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import field

from tarragonwind.ports import Address, HttpTransport, Store, Timers
from tarragonwind.records import dataclass


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


def _ignore_call(kind: str) -> None:
    """Ignore the call; the default if calls aren't counted."""


def create_store(
    cfg: StoreSettings,
    timers: Timers,
    http: HttpTransport | None = None,
    on_call: Callable[[str], None] = _ignore_call,
) -> Store:
    """Create the store that the settings select.

    Parameters
    ----------
    cfg : StoreSettings
        Backend, endpoints and timeout.
    timers : Timers
        Clock and timers.
    http : HttpTransport, optional
        HTTP client for backends that need one.
    on_call : callable, optional
        Called with the kind of each call to the store service.

    Raises
    ------
    ValueError
        If the backend is unknown or one of its dependencies is missing.
    """
    factory = STORE_BACKENDS.get(cfg.backend)
    if factory is None:
        known = ", ".join(sorted(STORE_BACKENDS))
        raise ValueError(f"store.backend: {cfg.backend!r} is not known; use one of: {known}")
    return factory(cfg, StoreDependencies(timers, http, on_call))
