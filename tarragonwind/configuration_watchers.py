"""Build the current catalogue from a store mirror: configuration, upstreams, evacuations."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from loguru import logger

from tarragonwind.core.catalogues import Catalogue
from tarragonwind.core.configurations import CallerLimits, Configuration, join_catalogue
from tarragonwind.core.entries import UpstreamEntry
from tarragonwind.core.mirror_states import MirrorItem
from tarragonwind.core.upstream_registries import UpstreamRegistry
from tarragonwind.evacuation_watchers import EvacuationWatcher
from tarragonwind.ports import Timer, Timers
from tarragonwind.store_mirrors import StoreMirror
from tarragonwind.upstream_departures import UpstreamLeaving


class ConfigurationWatcher:
    """Watch configuration, upstreams and evacuations, and rebuild the catalogue on changes.

    A configuration with a version that is not higher than the current one is ignored. Upstreams of
    evacuated data centres are leaving in the catalogue, whatever their registration says.

    Parameters
    ----------
    mirror : StoreMirror
        Mirror of the store keys of the configuration, upstream registrations and evacuations.
    key, upstream_prefix, evacuation_prefix : str
        Key of the configuration, and key prefixes of upstream registrations and of evacuations.
    decode_configuration, decode_upstream : callable
        Decoders of the stored values; they raise an exception for a malformed value.
    timers : Timers
        Clock and timers.

    Attributes
    ----------
    catalogue : Catalogue or None
        Current catalogue, None before the first configuration.
    """

    def __init__(
        self,
        mirror: StoreMirror,
        key: str,
        upstream_prefix: str,
        evacuation_prefix: str,
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
        self._registry = UpstreamRegistry()
        self._evacuations = EvacuationWatcher(evacuation_prefix)
        self._era = 0
        self._loaded = False
        self._listeners: list[Callable[[Catalogue], None]] = []
        self._expiry_timer: Timer | None = None
        mirror.subscribe(self._on_changes)

    @property
    def ready(self) -> bool:
        """Return whether a catalogue was built and the mirror has loaded the store."""
        return self.catalogue is not None and self._mirror.state.loaded

    @property
    def limits(self) -> CallerLimits:
        """Return the current limits for requests from callers."""
        return self._configuration.limits if self._configuration is not None else CallerLimits()

    @property
    def version(self) -> int:
        """Return the version of the current configuration, 0 before the first."""
        return self._configuration.version if self._configuration is not None else 0

    def subscribe(self, listener: Callable[[Catalogue], None]) -> None:
        """Call `listener` with each new catalogue."""
        self._listeners.append(listener)

    def mark_leaving(self, leaving: UpstreamLeaving) -> bool:
        """Take an upstream that announced its leaving out of use; return False if it is known."""
        marked = self._registry.mark_leaving(
            leaving.name, leaving.incarnation, leaving.host, leaving.port
        )
        if marked:
            logger.info("event=upstream_leaving upstream={}", leaving.name)
            self._rebuild_catalogue()
        return marked

    def _on_changes(self, changes: list[MirrorItem]) -> None:
        now = self._timers.now()
        rebuild = False
        known_era, self._era = self._era, self._mirror.state.position.era
        first = not self._loaded
        self._loaded = True
        for item in changes:
            if item.key == self._key and item.value is not None:
                rebuild |= self._apply_configuration(item)
            elif item.key.startswith(self._upstream_prefix):
                self._apply_upstream(now, item, quiet=first)
                rebuild = True
            elif self._evacuations.covers(item.key):
                self._evacuations.apply(now, item, lost=self._era != known_era)
                rebuild = True
        if first:
            names = ",".join(entry.name for entry in self._registry.entries())
            logger.info("event=upstreams_read upstreams={}", names)
        if rebuild:
            self._rebuild_catalogue()

    def _apply_configuration(self, item: MirrorItem) -> bool:
        """Apply a configuration if its version is higher; return whether it was applied."""
        assert item.value is not None
        try:
            cfg = self._decode_configuration(item.value)
        except Exception as exc:
            logger.error(
                "event=configuration_unreadable revision={} why={!r}", item.position.revision, exc
            )
            return False
        in_force = self._configuration
        if in_force is not None and cfg.version <= in_force.version:
            return False
        self._configuration = cfg
        logger.info(
            "event=configuration_in_force version={} revision={} entries={}",
            cfg.version,
            item.position.revision,
            len(cfg.entries),
        )
        return True

    def _apply_upstream(self, now: float, item: MirrorItem, quiet: bool) -> None:
        """Apply an upstream's entry; `quiet` leaves out the line that tells a sound one.

        The first read brings all entries at once, when a host that starts has little time.
        """
        name = item.key.removeprefix(self._upstream_prefix)
        if item.value is None:
            logger.info("event=upstream_gone upstream={} revision={}", name, item.position.revision)
            self._registry.remove(now, name, self._mirror.recovered_at)
            return
        try:
            entry = self._decode_upstream(item.key, item.value)
        except Exception as exc:
            logger.warning("event=upstream_unreadable key={!r} why={!r}", item.key, exc)
            self._registry.remove(now, name, self._mirror.recovered_at)
            return
        if not quiet:
            logger.info(
                "event=upstream_registered upstream={} pool={} state={} version={} revision={}",
                entry.name,
                entry.pool,
                entry.state.value,
                entry.version,
                item.position.revision,
            )
        if entry.cold_s is not None:
            # Tells an entry that was written again from one that is read again.
            entry = dataclasses.replace(entry, revision=item.position.revision)
        if not self._registry.put(entry, item.position):
            logger.warning("event=upstream_outdated upstream={} era={}", name, item.position.era)

    def _expire(self) -> None:
        self._expiry_timer = None
        now = self._timers.now()
        for name in self._registry.expire(now):
            logger.info("event=upstream_expired upstream={}", name)
        self._evacuations.expire(now)
        self._rebuild_catalogue()

    def _schedule_expiry(self) -> None:
        """Set the timer for the next entry that ends unless it is written again."""
        evacuations = self._evacuations.evacuations
        times = [self._registry.next_expiry(), evacuations.next_expiry()]
        next_expiry = min((at for at in times if at is not None), default=None)
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None
        if next_expiry is not None:
            delay_s = max(0.0, next_expiry - self._timers.now())
            self._expiry_timer = self._timers.call_later(delay_s, self._expire)

    def _rebuild_catalogue(self) -> None:
        self._schedule_expiry()
        if self._configuration is None:
            return
        self.catalogue = join_catalogue(
            self._configuration,
            self._registry.entries(),
            self._evacuations.evacuations.names(),
        )
        for listener in self._listeners:
            listener(self.catalogue)
