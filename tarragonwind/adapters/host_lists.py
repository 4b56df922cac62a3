"""Poll the platform's host list, which lags behind, and keep the last valid one during outages."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any

from loguru import logger

from tarragonwind.adapters.memberships import ListedHost
from tarragonwind.futures import Future
from tarragonwind.ports import Address, HttpError, HttpRequest, HttpResponse, HttpTransport, Timers
from tarragonwind.records import dataclass

LIST_TARGET = "/hosts"
READ_TIMEOUT_S = 2.0
JITTER_FRACTION = 0.2
"""Largest random change of the poll period, as a fraction of it; keeps hosts from synchronising."""
MAX_LISTED_HOSTS = 10_000
_STATES = ("live", "leaving")
_MAX_PORT = 65_535


class HostListError(Exception):
    """Report a response that is not a valid host list."""


@dataclass(slots=True)
class HostListReader:
    """Poll the host list periodically.

    Attributes
    ----------
    http : HttpTransport
        HTTP client.
    timers : Timers
        Clock and timers.
    address : Address
        Address of the host list.
    period_s : float
        Mean poll period, in seconds.
    rng : random.Random
        Random number generator for the jitter.
    on_hosts : callable
        Called with each valid list.
    failures : int
        Number of consecutive failed polls.
    stopped : bool
        Whether polling has ended.
    """

    http: HttpTransport
    timers: Timers
    address: Address
    period_s: float
    rng: random.Random
    on_hosts: Callable[[list[ListedHost]], None]
    failures: int = 0
    stopped: bool = False

    def start(self) -> None:
        """Poll now and then periodically."""
        if self.stopped:
            return
        req = HttpRequest("GET", LIST_TARGET)
        self.http.fetch(self.address, req, READ_TIMEOUT_S).add_callback(self._on_response)

    def stop(self) -> None:
        """Stop polling."""
        self.stopped = True

    def _on_response(self, fut: Future[HttpResponse]) -> None:
        if self.stopped:
            return
        delay_s = self.period_s * self.rng.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
        self.timers.call_later(delay_s, self.start)
        try:
            hosts = parse_hosts(fut.result())
        except (HttpError, HostListError) as exc:
            self._record_failure(exc)
            return
        if self.failures:
            logger.info("event=host_list_back failures={}", self.failures)
        self.failures = 0
        self.on_hosts(hosts)

    def _record_failure(self, exc: Exception) -> None:
        self.failures += 1
        if self.failures == 1:
            logger.warning(
                "event=host_list_away address={} reason={!r} hint=check_host_list.host_and_port",
                self.address,
                str(exc),
            )


def parse_hosts(response: HttpResponse) -> list[ListedHost]:
    """Parse a response of the host list.

    Raises
    ------
    HostListError
        If the response is not a valid list, is empty or has a duplicate name.
    """
    if response.status != 200:
        raise HostListError(f"expected status 200, got {response.status}")
    try:
        doc = json.loads(response.body)
    except (ValueError, RecursionError):
        raise HostListError(
            f"response body is not valid JSON ({len(response.body)} bytes)"
        ) from None
    entries = doc.get("hosts") if isinstance(doc, dict) else None
    if not isinstance(entries, list) or not 0 < len(entries) <= MAX_LISTED_HOSTS:
        raise HostListError(f"field hosts must be an array of 1 to {MAX_LISTED_HOSTS} entries")
    hosts = [_parse_host(entry) for entry in entries]
    if len({host.name for host in hosts}) < len(hosts):
        raise HostListError("duplicate host name in the list")
    return hosts


def _parse_host(entry: Any) -> ListedHost:
    if not isinstance(entry, dict):
        raise HostListError(f"host entry must be an object, got {type(entry).__name__}")
    name, address = entry.get("name"), entry.get("address")
    port, data_centre = entry.get("port"), entry.get("data_centre")
    state = entry.get("state")
    texts = (name, address, data_centre)
    if not all(isinstance(text, str) and text for text in texts):
        raise HostListError("name, address and data_centre must be non-empty strings")
    if type(port) is not int or not 0 < port <= _MAX_PORT:
        raise HostListError(f"host {str(name)[:80]}: port must be an integer from 1 to {_MAX_PORT}")
    if state not in _STATES:
        raise HostListError(f"host {str(name)[:80]}: state must be one of {', '.join(_STATES)}")
    return ListedHost(str(name), Address(str(address), port), str(data_centre), state == "leaving")


def create_host_list_reader(
    http: HttpTransport,
    timers: Timers,
    address: Address,
    period_s: float,
    rng: random.Random,
    on_hosts: Callable[[list[ListedHost]], None],
) -> HostListReader:
    """Return a reader of the host list at `address`; call `start` once the event loop runs."""
    return HostListReader(http, timers, address, period_s, rng, on_hosts)
