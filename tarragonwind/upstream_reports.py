"""Poll load reports and cache events from the engines of the pools that this host owns."""

from __future__ import annotations

import json
from typing import Any

from loguru import logger

from tarragonwind.core.catalogues import Catalogue
from tarragonwind.core.entries import BackEndKind, UpstreamEntry
from tarragonwind.core.pool_owners import PoolOwners
from tarragonwind.core.prompt_prefixes import HASH_MASK
from tarragonwind.futures import spawn
from tarragonwind.ports import Address, HttpError, HttpRequest, HttpTransport, Timers

REPORT_PERIOD_S = 1.0
"""Polling interval of an engine's reports, in seconds."""
REPORT_TIMEOUT_S = 2.0
MAX_REPORT_AGE_S = 60.0
LOAD_TARGET = "/load"
CACHE_TARGET = "/cache_events?after={}"
STORED = "stored"
REMOVED = "removed"


class ReportError(Exception):
    """Report an invalid response of an engine."""


class UpstreamReports:
    """Poll the reports of engines and pass them to the owners of their pools.

    Both kinds of report are hints: they arrive late, and cache events have gaps. A report that
    cannot be read is logged and ignored.

    Parameters
    ----------
    http : HttpTransport
        HTTP client for requests to engines.
    timers : Timers
        Clock and timers.
    owners : PoolOwners
        Owners of pools on this host.
    """

    def __init__(self, http: HttpTransport, timers: Timers, owners: PoolOwners) -> None:
        self._http = http
        self._timers = timers
        self._owners = owners
        self._catalogue = Catalogue()
        self._last_event: dict[str, int] = {}
        self._reading: set[str] = set()
        self._unreadable: set[str] = set()
        timers.call_every(REPORT_PERIOD_S, self._read_all)

    def set_catalogue(self, catalogue: Catalogue) -> None:
        """Set the active catalogue."""
        self._catalogue = catalogue

    def _read_all(self) -> None:
        for name in self._owners.active_pools():
            pool = self._catalogue.pool(name)
            if pool is None or pool.back_end is not BackEndKind.ENGINE:
                continue
            for entry in self._catalogue.upstreams_of(name):
                if entry.name not in self._reading:
                    self._reading.add(entry.name)
                    spawn(self._read(entry))

    async def _read(self, entry: UpstreamEntry) -> None:
        try:
            await self._read_load(entry)
            await self._read_cache_events(entry)
        except (HttpError, ReportError) as exc:
            self._log_unreadable(entry, exc)
        else:
            self._unreadable.discard(entry.name)
        finally:
            self._reading.discard(entry.name)

    def _log_unreadable(self, entry: UpstreamEntry, exc: Exception) -> None:
        if entry.name in self._unreadable:
            return
        self._unreadable.add(entry.name)
        logger.warning(
            "event=report_unreadable upstream={} why={!r} hint=check_the_upstream",
            entry.name,
            str(exc),
        )

    async def _read_load(self, entry: UpstreamEntry) -> None:
        doc = await self._fetch(entry, LOAD_TARGET)
        in_flight = read_count(doc, "running") + read_count(doc, "waiting")
        as_of = doc.get("as_of")
        if not isinstance(as_of, int | float):
            raise ReportError(f"as_of: expected a number, got {type(as_of).__name__}")
        age_s = min(max(0.0, self._timers.wall() - as_of), MAX_REPORT_AGE_S)
        self._owners.on_load_report(self._timers.now(), entry.name, in_flight, age_s)

    async def _read_cache_events(self, entry: UpstreamEntry) -> None:
        last_number = self._last_event.get(entry.name, 0)
        doc = await self._fetch(entry, CACHE_TARGET.format(last_number))
        events = doc.get("events")
        owner = self._owners.owner(entry.pool)
        if not isinstance(events, list) or owner is None:
            return
        for event in events:
            number, kind, key = read_cache_event(event)
            last_number = max(last_number, number)
            if kind == STORED:
                owner.hints.add(entry.name, [key])
            elif kind == REMOVED:
                owner.hints.remove(entry.name, [key])
        self._last_event[entry.name] = last_number

    async def _fetch(self, entry: UpstreamEntry, target: str) -> dict[str, Any]:
        req = HttpRequest("GET", target)
        address = Address(entry.host, entry.port)
        answer = await self._http.fetch(address, req, REPORT_TIMEOUT_S)
        if answer.status != 200:
            raise ReportError(f"{target}: expected status 200, got {answer.status}")
        try:
            doc = json.loads(answer.body)
        except (ValueError, RecursionError) as exc:
            raise ReportError(f"{target}: the response is not JSON") from exc
        if not isinstance(doc, dict):
            raise ReportError(f"{target}: expected a JSON object, got {type(doc).__name__}")
        return doc


def read_count(doc: dict[str, Any], name: str) -> int:
    """Return a non-negative integer of a report; raise ReportError if it is not one."""
    value = doc.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ReportError(f"{name}: not a non-negative integer (type {type(value).__name__})")
    return value


def read_cache_event(event: Any) -> tuple[int, str, int]:
    """Return number, kind and prefix hash of a cache event; raise ReportError if it is invalid."""
    if not isinstance(event, list) or len(event) != 3:
        raise ReportError("a cache event is not a list of three values")
    number, kind, key = event
    if not isinstance(number, int) or not isinstance(key, int) or not isinstance(kind, str):
        raise ReportError("a cache event is not a list of an integer, a string and an integer")
    return number, kind, key & HASH_MASK
