"""Create the key-value store that the settings select."""

from __future__ import annotations

from collections.abc import Callable

from tarragonwind.adapters import etcd_stores, memory_stores
from tarragonwind.adapters.store_backends import STORE_BACKENDS, StoreDependencies, StoreSettings
from tarragonwind.ports import HttpTransport, Store, Timers

__all__ = ["StoreSettings", "create_store", "etcd_stores", "memory_stores"]


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
