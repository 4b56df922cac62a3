"""Build the store that the settings name."""

from __future__ import annotations

from collections.abc import Callable

from tarragonwind.adapters import etcd_stores, memory_stores
from tarragonwind.adapters.store_backends import STORE_BACKENDS, StoreDependencies, StoreSettings
from tarragonwind.ports import HttpTransport, Store, Timers

__all__ = ["StoreSettings", "create_store", "etcd_stores", "memory_stores"]


def _ignore_call(kind: str) -> None:
    """Count nothing."""


def create_store(
    cfg: StoreSettings,
    timers: Timers,
    http: HttpTransport | None = None,
    on_call: Callable[[str], None] = _ignore_call,
) -> Store:
    """Return the store that the settings name.

    Parameters
    ----------
    cfg : StoreSettings
        Backend, endpoints and timeout.
    timers : Timers
        Clock and timer subscriptions.
    http : HttpCaller, optional
        Client for backends that speak HTTP.
    on_call : callable, optional
        Called with the kind of each call to the service.

    Raises
    ------
    ValueError
        When no backend has the name or its parts are missing.
    """
    factory = STORE_BACKENDS.get(cfg.backend)
    if factory is None:
        known = ", ".join(sorted(STORE_BACKENDS))
        raise ValueError(f"store.backend: {cfg.backend!r} is not known; use one of: {known}")
    return factory(cfg, StoreDependencies(timers, http, on_call))
