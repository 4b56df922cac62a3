"""Read the platform's lagging list of hosts, and keep the last one while it is away."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger

from tarragonwind.adapters.memberships import ListedHost
from tarragonwind.futures import Future
from tarragonwind.ports import Address, HttpError, HttpRequest, HttpResponse, HttpTransport, Timers

LIST_TARGET = "/hosts"
READ_TIMEOUT_S = 2.0
JITTER = 0.2
"""Part of the period by which reads are moved at random, so that hosts don't read in step."""
MAX_LISTED_HOSTS = 10_000
_STATES = ("live", "leaving")
_MAX_PORT = 65_535


class HostListError(Exception):
    """Report an answer that is no list of hosts."""


@dataclass(slots=True)
class HostListReader:
    """Poll the list.

    Attributes
    ----------
    http : HttpTransport
        Way to the list.
    timers : Timers
        Timer service.
    address : Address
        Where the list is.
    period_s : float
        Time between two reads, in seconds.
    rng : random.Random
        Source of the jitter.
    on_hosts : callable
        Called with each list that was read whole.
    failures : int
        Reads that have failed since the last good one.
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
        """Read the list now and then periodically."""
        if self.stopped:
            return
        req = HttpRequest("GET", LIST_TARGET)
        self.http.fetch(self.address, req, READ_TIMEOUT_S).add_callback(self._on_answer)

    def stop(self) -> None:
        """Read no more."""
        self.stopped = True

    def _on_answer(self, fut: Future[HttpResponse]) -> None:
        if self.stopped:
            return
        pause_s = self.period_s * self.rng.uniform(1 - JITTER, 1 + JITTER)
        self.timers.call_later(pause_s, self.start)
        try:
            hosts = parse_hosts(fut.result())
        except (HttpError, HostListError) as exc:
            self._note_failure(exc)
            return
        if self.failures:
            logger.info("event=host_list_back failures={}", self.failures)
        self.failures = 0
        self.on_hosts(hosts)

    def _note_failure(self, exc: Exception) -> None:
        self.failures += 1
        if self.failures == 1:
            logger.warning(
                "event=host_list_away address={} reason={!r} hint=check_host_list.host_and_port",
                self.address,
                str(exc),
            )


def parse_hosts(answer: HttpResponse) -> list[ListedHost]:
    """Return the hosts of an answer.

    Raises
    ------
    HostListError
        When the answer is no list of hosts, names one twice or names none.
    """
    if answer.status != 200:
        raise HostListError(f"status {answer.status}")
    try:
        doc = json.loads(answer.body)
    except (ValueError, RecursionError):
        raise HostListError("the body is no JSON") from None
    entries = doc.get("hosts") if isinstance(doc, dict) else None
    if not isinstance(entries, list) or not 0 < len(entries) <= MAX_LISTED_HOSTS:
        raise HostListError(f"hosts is no array of 1 to {MAX_LISTED_HOSTS} entries")
    hosts = [_parse_host(entry) for entry in entries]
    if len({host.name for host in hosts}) < len(hosts):
        raise HostListError("a host is listed twice")
    return hosts


def _parse_host(entry: Any) -> ListedHost:
    if not isinstance(entry, dict):
        raise HostListError("a host is no object")
    name, address = entry.get("name"), entry.get("address")
    port, data_centre = entry.get("port"), entry.get("data_centre")
    state = entry.get("state")
    texts = (name, address, data_centre)
    if not all(isinstance(text, str) and text for text in texts):
        raise HostListError("a host lacks name, address or data_centre")
    if type(port) is not int or not 0 < port <= _MAX_PORT:
        raise HostListError("a host's port is out of range")
    if state not in _STATES:
        raise HostListError(f"a host's state is none of {', '.join(_STATES)}")
    return ListedHost(str(name), Address(str(address), port), str(data_centre), state == "leaving")


def create_host_list_reader(
    http: HttpTransport,
    timers: Timers,
    address: Address,
    period_s: float,
    rng: random.Random,
    on_hosts: Callable[[list[ListedHost]], None],
) -> HostListReader:
    """Return a reader of the list at `address`; call `start` on it once the loop runs."""
    return HostListReader(http, timers, address, period_s, rng, on_hosts)
