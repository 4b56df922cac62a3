"""Make the catalogue in force from mirrors of the configuration and the upstreams' register."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from tarragonwind.core.catalogues import Catalogue
from tarragonwind.core.configurations import CallerLimits, Configuration, join_catalogue
from tarragonwind.core.entries import UpstreamEntry
from tarragonwind.core.mirror_states import MirrorItem
from tarragonwind.core.upstream_registries import UpstreamRegistry
from tarragonwind.ports import Timer, Timers
from tarragonwind.store_mirrors import StoreMirror


class ConfigurationWatcher:
    """Hold the newest configuration with the registered upstreams; versions only grow.

    Parameters
    ----------
    mirror : StoreMirror
        Mirror of what the operator writes and of what upstreams write of themselves.
    key, upstream_prefix : str
        Key of the configuration, and what the keys of upstreams begin with.
    decode_configuration, decode_upstream : callable
        Read the values; they raise for what can't be read.
    timers : Timers
        Clock and timer subscriptions.

    Attributes
    ----------
    catalogue : Catalogue or None
        What is in force, None before the first configuration.
    """

    def __init__(
        self,
        mirror: StoreMirror,
        key: str,
        upstream_prefix: str,
        decode_configuration: Callable[[bytes], Configuration],
        decode_upstream: Callable[[str, bytes], UpstreamEntry],
        timers: Timers,
    ) -> None:
        self.catalogue: Catalogue | None = None
        self._mirror = mirror
        self._key = key
        self._upstream_prefix = upstream_prefix
        self._decode_configuration = decode_configuration
        self._decode_upstream = decode_upstream
        self._timers = timers
        self._configuration: Configuration | None = None
        self._register = UpstreamRegistry()
        self._listeners: list[Callable[[Catalogue], None]] = []
        self._expiry: Timer | None = None
        mirror.subscribe(self._on_changes)

    @property
    def ready(self) -> bool:
        """Tell whether a configuration is in force and the upstreams are known."""
        return self.catalogue is not None and self._mirror.state.loaded

    @property
    def limits(self) -> CallerLimits:
        """Return the bounds on callers in force."""
        return self._configuration.limits if self._configuration is not None else CallerLimits()

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self._configuration.version if self._configuration is not None else 0

    def subscribe(self, listener: Callable[[Catalogue], None]) -> None:
        """Call `listener` with each catalogue that comes into force."""
        self._listeners.append(listener)

    def _on_changes(self, changes: list[MirrorItem]) -> None:
        now = self._timers.now()
        rejoin = False
        for item in changes:
            if item.key == self._key and item.value is not None:
                rejoin |= self._take_configuration(item)
            elif item.key.startswith(self._upstream_prefix):
                self._take_upstream(now, item)
                rejoin = True
        if rejoin:
            self._join()

    def _take_configuration(self, item: MirrorItem) -> bool:
        """Put a newer configuration in force; return whether it was."""
        assert item.value is not None
        try:
            cfg = self._decode_configuration(item.value)
        except Exception as exc:
            logger.error("event=configuration_unreadable revision={} why={!r}", item.revision, exc)
            return False
        in_force = self._configuration
        if in_force is not None and cfg.version <= in_force.version:
            return False
        self._configuration = cfg
        logger.info(
            "event=configuration_in_force version={} revision={} entries={}",
            cfg.version,
            item.revision,
            len(cfg.entries),
        )
        return True

    def _take_upstream(self, now: float, item: MirrorItem) -> None:
        name = item.key.rpartition("/")[2]
        if item.value is None:
            logger.info("event=upstream_gone upstream={} revision={}", name, item.revision)
            self._register.remove(now, name, self._mirror.recovered_at)
            return
        try:
            entry = self._decode_upstream(item.key, item.value)
        except Exception as exc:
            logger.warning("event=upstream_unreadable key={!r} why={!r}", item.key, exc)
            self._register.remove(now, name, self._mirror.recovered_at)
            return
        logger.info(
            "event=upstream_registered upstream={} pool={} state={} version={} revision={}",
            entry.name,
            entry.pool,
            entry.state.value,
            entry.version,
            item.revision,
        )
        self._register.put(entry)

    def _expire(self) -> None:
        self._expiry = None
        for name in self._register.expire(self._timers.now()):
            logger.info("event=upstream_expired upstream={}", name)
        self._join()

    def _join(self) -> None:
        next_expiry = self._register.next_expiry()
        if next_expiry is not None and self._expiry is None:
            self._expiry = self._timers.call_later(next_expiry - self._timers.now(), self._expire)
        if self._configuration is None:
            return
        self.catalogue = join_catalogue(self._configuration, self._register.entries())
        for listener in self._listeners:
            listener(self.catalogue)
