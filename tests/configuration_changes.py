"""Play one change of a configuration beside requests that are held at known points."""

from __future__ import annotations

import contextlib
import http.client
import itertools
import socket
import time
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from typing import Any

from standins.fleets import set_faults, wait_until
from standins.platform_engine import EVENTS_PER_STREAM
from standins.platform_fleets import (
    AUTHORITY,
    KEYS,
    STAMP_PATH,
    STREAM_PATH,
    PlatformFleet,
    create_configuration,
)

SLOW_PATH = "/slow/7"
TIMED_PATH = "/timed/7"
PLAIN_POOLS = ("registry", "slow", "archive")
POOLS = ("drafting", *PLAIN_POOLS)
SLOTS = 6
PAUSE_S = 1.4
"""Time for which the back end of slow requests, and a stream after its second event, is silent."""
PAUSE_AFTER_EVENTS = 2
HELD_TIMEOUT_MS = 10_000
"""Far more than held requests take, so that a slow machine doesn't bring them to it."""
HEAD_BYTES = 2_000
BODY_BYTES = 3_000
READ_LIMIT_S = 15.0
NOT_RUN_STATUSES = frozenset([401, 404, 408, 413, 429, 431, 503])
RETRIED_STATUSES = frozenset([429, 503])

_ATTEMPTS = itertools.count(1)


def list_routes(moved_to="", timeout_ms=HELD_TIMEOUT_MS, timed_ms=3_000, dropped=False):
    """Return the routes of the held requests, and one that no change but a timeout concerns."""
    held = [
        ("draft", "stream", "drafting", 2),
        ("stamp", "unsafe", "registry", 1),
        ("slow", "unsafe", "slow", 1),
    ]
    rows = [("timed", "unsafe", "archive", 1, timed_ms)]
    if not dropped:
        rows += [(*row[:2], moved_to or row[2], row[3], timeout_ms) for row in held]
    return [
        {
            "name": f"r-{name}",
            "pathPrefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": limit_ms,
            "targetLatencyMs": 1_000,
            "gapTargetMs": 1_000,
            "priority": 0,
            "service": pool,
            "maxAttempts": attempts,
            "streamResume": kind == "stream",
        }
        for name, kind, pool, attempts, limit_ms in rows
    ]


class ChangingFleet(PlatformFleet):
    """Run a fleet whose configuration changes, and note when the hosts go by a new version.

    Attributes
    ----------
    in_force_at : float
        Wall-clock time at which the last version was first seen in force, in seconds; 0 before.
    """

    in_force_at = 0.0

    def change(self, pools: tuple[str, ...] = POOLS, **changes: Any) -> None:
        """Write a configuration with a higher version; `pools` are those that it names."""
        self.version += 3
        routes = changes.pop("routes", list_routes())
        doc = create_configuration(self.version, routes=routes, **changes)
        known = {pool["name"] for pool in doc["services"]}
        plain = [{"name": name, "healthPath": "/healthz", "maxConns": 100} for name in POOLS]
        doc["services"] += [pool for pool in plain if pool["name"] not in known]
        doc["services"] = [pool for pool in doc["services"] if pool["name"] in pools]
        self.put("op/config", doc)

    def wait_in_force(self, hosts: tuple[str, ...] = ()) -> None:
        """Wait until the version that was written last is in force at the hosts, or at all."""
        for name in hosts or self.addresses:
            wait_until(
                lambda name=name: self.version_in_force(name) == self.version, "in force", 6.0
            )
        self.in_force_at = self.in_force_at or time.time()

    def version_in_force(self, host: str) -> int:
        """Return the version that a host goes by."""
        page = self.send_request(host, "metrics", "GET", "/metrics").body.decode()
        lines = page.splitlines()
        rows = [line for line in lines if line.startswith("tarragonwind_catalogue_number")]
        return int(float(rows[0].rsplit(" ", 1)[1])) if rows else 0

    def events_of(self, attempt: str, event: str = "run") -> list[dict[str, Any]]:
        """Return the lines of one kind that back ends wrote about an attempt."""
        names = [name for name in self.fleet.processes if name.startswith("i-")]
        lines = [line for name in names for line in self.journal(name)]
        return [line for line in lines if line["event"] == event and line["attempt-id"] == attempt]


@dataclass
class Answer:
    """Hold what a caller got for one request; `error` is empty if it is a whole response."""

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    error: str = ""


class Caller:
    """Send a request on a connection of its own, in parts, and read the response.

    Attributes
    ----------
    attempt : str
        Id of the last request.
    path : str
        Its path.
    """

    def __init__(self, site: ChangingFleet, host: str) -> None:
        self.site = site
        self.attempt = ""
        self.path = ""
        self._response: http.client.HTTPResponse | None = None
        self._got = b""
        self._sock = socket.create_connection((site.addresses[host], site.ports["callers"]), 5)
        self._sock.settimeout(READ_LIMIT_S)

    def create_request(self, path: str, body: bytes = b"text", **more: str) -> tuple[bytes, bytes]:
        """Return the head and the body of a new request."""
        self.attempt = f"c-{next(_ATTEMPTS)}"
        self.path = path
        self._response = None
        self._got = b""
        fields = {
            "Host": AUTHORITY,
            "Attempt-Id": self.attempt,
            "Request-Deadline": str(HELD_TIMEOUT_MS),
            "Authorization": f"Bearer {KEYS['officina']}",
            "Token-Counts": "100,50",
            "Model": "m",
            "Content-Length": str(len(body)),
            **{name.replace("_", "-"): value for name, value in more.items()},
        }
        lines = [f"POST {path} HTTP/1.1", *(f"{name}: {fields[name]}" for name in fields)]
        return "\r\n".join(lines).encode() + b"\r\n\r\n", body

    def create_large_request(self) -> tuple[bytes, bytes]:
        """Return the head and the body of a request that is large in both."""
        return self.create_request(STAMP_PATH, b"x" * BODY_BYTES, X_Pad="x" * HEAD_BYTES)

    def send(self, *parts: bytes) -> None:
        """Send bytes; a connection that is closed shows when the response is read."""
        with contextlib.suppress(OSError):
            for part in parts:
                self._sock.sendall(part)

    def read_event(self) -> None:
        """Read the head of a streamed response and its first event."""
        self._begin()
        assert self._response is not None
        while self._got.count(b"\n\n") < 1:
            self._got += self._response.read1(200)

    def _begin(self) -> None:
        if self._response is None:
            self._response = http.client.HTTPResponse(self._sock, method="POST")
            self._response.begin()

    def read_answer(self) -> Answer:
        """Read the whole response, or what came of it."""
        try:
            self._begin()
            assert self._response is not None
            body = self._got + self._response.read()
        except (OSError, http.client.HTTPException) as exc:
            return Answer(error=repr(exc))
        return Answer(self._response.status, dict(self._response.getheaders()), body)

    def ask(self, path: str, **more: str) -> Answer:
        """Send a whole request and read the response."""
        self.send(*self.create_request(path, **more))
        return self.read_answer()

    def wait_closed(self) -> None:
        """Wait until the host closes the connection in an orderly way."""
        assert self._sock.recv(100) == b""

    def close(self) -> None:
        self._sock.close()


@dataclass
class Held:
    """Hold a request that was at some point when the configuration changed."""

    caller: Caller
    rest: Generator[None, None, None]


Hold = Callable[[Caller], Generator[None, None, None]]
"""Brings a request to its point, and after the change sends the rest of it."""


class RowPlayer:
    """Play one change beside requests at every point, on all hosts.

    Attributes
    ----------
    answers : dict of str to list
        Callers and what they got, by point.
    afterwards : Exception or None
        Failure of the check of what came after the change.
    """

    def __init__(self, site: ChangingFleet, points: dict[str, Hold]) -> None:
        self.answers: dict[str, list[tuple[Caller, Answer]]] = {name: [] for name in points}
        self.afterwards: BaseException | None = None
        self._site = site
        self._points = points
        self._held: list[tuple[str, Held]] = []

    def play(self, change: Callable, before: dict) -> None:
        """Hold the requests, make the change, send the rest and read all responses."""
        site = self._site
        site.change(**before)
        site.wait_in_force()
        slow = site.fleet.processes["i-slow"].port
        set_faults(slow, pause_s=PAUSE_S)
        for name, hold in self._points.items():
            self._hold(name, hold)
        steps = change(site)
        site.in_force_at = 0.0
        next(steps)
        # Requests that wait are answered as soon as they get a slot.
        set_faults(slow, pause_s=0.0)
        for _, held in self._held:
            next(held.rest, None)
        try:
            next(steps, None)
        except (AssertionError, OSError, http.client.HTTPException) as exc:
            self.afterwards = exc
        for name, held in self._held:
            self.answers[name].append((held.caller, held.caller.read_answer()))
        for _, held in self._held:
            held.caller.close()
        self._check_points()

    def _check_points(self) -> None:
        """Assert that the change came while each request was where it should be."""
        site = self._site
        for point, event in (("dispatched", "ended"), ("waiting", "run"), ("streaming", "ended")):
            for caller, _ in self.answers[point]:
                lines = site.events_of(caller.attempt, event)
                assert all(line["at"] > site.in_force_at for line in lines), (point, "not held")

    def _hold(self, name: str, hold: Hold) -> None:
        count = SLOTS // len(self._site.addresses) if name == "dispatched" else 1
        held = []
        for host in list(self._site.addresses) * count:
            caller = Caller(self._site, host)
            held.append(Held(caller, hold(caller)))
        for one in held:
            next(one.rest)
        self._held += [(name, one) for one in held]
        if name == "dispatched":
            attempts = [one.caller.attempt for one in held]
            wait_until(
                lambda: all(self._site.events_of(attempt) for attempt in attempts),
                "every slot is taken",
                3.0,
            )


def start_site(directory) -> ChangingFleet:
    """Start a fleet with back ends for every route."""
    site = ChangingFleet(directory)
    site.start(engines=2, services=1, hosts=2)
    for name, pool in (("i-slow", "slow"), ("i-archive", "archive")):
        site.start_back_end(name, pool)
    for name in ("i-engine0", "i-engine1"):
        port = site.fleet.processes[name].port
        set_faults(port, pause_s=PAUSE_S, pause_after_events=PAUSE_AFTER_EVENTS)
    return site


def restart_ended_hosts(site) -> None:
    """Start each host again that has ended."""
    ended = [
        name for name in site.addresses if site.fleet.processes[name].process.poll() is not None
    ]
    for name in ended:
        site.start_host(name)
    for name in ended:
        wait_until(lambda name=name: site.is_ready(name), f"{name} is ready again")


def check_answer(site, caller: Caller, answer: Answer, allowed) -> None:
    """Assert that an answer is whole and, if it is a refusal, that it is true."""
    assert answer.error == "", (caller.attempt, answer)
    assert answer.status in allowed, (caller.attempt, answer)
    runs = [line["source"] for line in site.events_of(caller.attempt)]
    if answer.status == 200:
        assert len(runs) == 1, (caller.attempt, runs)
        check_body(caller, answer, runs[0])
    if answer.status in NOT_RUN_STATUSES:
        assert runs == [], (caller.attempt, answer)
    if answer.status in RETRIED_STATUSES:
        assert float(answer.headers["Retry-After"]) > 0, (caller.attempt, answer)


def check_body(caller: Caller, answer: Answer, back_end: str) -> None:
    if caller.path != STREAM_PATH:
        assert answer.body.decode() == f"{back_end} {caller.path}"
        return
    ids = [line for line in answer.body.decode().splitlines() if line.startswith("id: ")]
    assert ids == [f"id: {number}" for number in range(1, EVENTS_PER_STREAM + 1)]
