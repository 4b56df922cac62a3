"""Generate load on all hosts over persistent connections."""

from __future__ import annotations

import http.client
import itertools
import random
import threading
import time
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from standins.platform_fleets import (
    AUTHORITY,
    KEYS,
    LOOKUP_PATH,
    STAMP_PATH,
    STREAM_PATH,
    PlatformFleet,
)

FIRST_PART = "aa01:60"
CRASHING_PART = "bad5eed"
"""Part of prompts that ends a back end as soon as it begins to answer."""
CRASHING = "crashing"
"""Kind of the requests that have the crashing part; other streams share the first one."""
TIMEOUT_S = 6.0
DEADLINE_S = 5.0
"""Time that callers wait for an answer, as they tell the hosts, in seconds."""
IDLE_SHARE = 0.8
"""Longest time that a connection is idle before callers reuse it, as a share of its limit."""
WAKE_UP_S = 0.05
"""Time by which a caller may wake up late, in seconds."""
LONGEST_WAIT_SHARE = 0.5
PAUSE_S = 0.02
UNSAFE_PREFIX = "/stamp/"
NO_ANSWER = 0
"""Status of a request that got no response head."""


@dataclass(frozen=True, slots=True)
class RequestShape:
    """Hold what all requests of one kind have in common.

    Attributes
    ----------
    path, method, body, tenant : str
        Path, method and body, and the tenant whose API key is sent.
    """

    path: str
    method: str = "POST"
    body: str = "text"
    tenant: str = "officina"


LOAD_SHAPES = {
    "stream": RequestShape(STREAM_PATH),
    "safe": RequestShape(LOOKUP_PATH, "GET", ""),
    "unsafe": RequestShape(STAMP_PATH),
}
"""Requests of the load by kind."""
SURGE_SHAPES = {"stream": LOAD_SHAPES["stream"]}
CRASHING_SHAPES = {CRASHING: RequestShape(STREAM_PATH)}


@dataclass(slots=True)
class CallerRecord:
    """Hold one request and its outcome.

    Attributes
    ----------
    attempt, kind, host : str
        Id and kind of the request, and the host that it was sent to.
    status : int
        HTTP status, `NO_ANSWER` without a response head.
    whole : bool
        Whether the response was read to its end.
    answered_id : str
        Attempt-Id of the response.
    body : bytes
        Part of the response body that was received.
    seal : str
        Server-Seal of the response.
    limited_at : float
        Wall-clock time at which a response that names a limit was received, 0 without one.
    leaving_at : float
        Wall-clock time of a response whose back end announces its leaving, 0 without one.
    sent_at, ended_at : float
        Wall-clock times at which the request was sent, and at which its response or connection
        ended, 0 before that.
    idle_s : float
        Time since the previous request on its connection was sent, 0 for a new connection. The
        connection was idle for no longer, even if the caller read the response late.
    path, tenant : str
        Path of the request, and the tenant that sent it.
    """

    attempt: str
    kind: str
    host: str
    status: int = NO_ANSWER
    whole: bool = False
    answered_id: str = ""
    body: bytes = b""
    seal: str = ""
    limited_at: float = 0.0
    leaving_at: float = 0.0
    sent_at: float = 0.0
    ended_at: float = 0.0
    idle_s: float = 0.0
    path: str = ""
    tenant: str = "officina"

    @property
    def unsafe(self) -> bool:
        """Return whether the request may run only once."""
        return self.kind == "unsafe" or self.path.startswith(UNSAFE_PREFIX)


@dataclass(slots=True)
class LoadWorker:
    """Send requests of one thread in sequence to randomly chosen hosts.

    It keeps a connection to each host. One that is patient mostly leaves a connection idle for most
    of the time that the host may allow, and then reuses it.
    """

    site: PlatformFleet
    name: str
    rng: random.Random
    stopped: threading.Event
    records: list[CallerRecord] = field(default_factory=list)
    conns: dict[str, http.client.HTTPConnection] = field(default_factory=dict)
    shapes: Mapping[str, RequestShape] = field(default_factory=lambda: LOAD_SHAPES)
    pause_s: float = PAUSE_S
    patient: bool = False
    sent_at: dict[str, float] = field(default_factory=dict)

    def run(self) -> None:
        """Send requests until stopped."""
        for number in itertools.count():
            if self.stopped.is_set():
                return
            kind = self.rng.choice(sorted(self.shapes))
            host = self.choose_host(number)
            shape = self.shapes[kind]
            record = CallerRecord(
                f"{self.name}-{number}", kind, host, path=shape.path, tenant=shape.tenant
            )
            self.records.append(record)
            if self.patient and host in self.conns:
                self.stopped.wait(self.choose_wait(host))
            self.send_request(record)
            time.sleep(self.pause_s * self.rng.random())

    def choose_host(self, number: int) -> str:
        """Return a random host, or the next one in turn if the worker is patient."""
        hosts = sorted(self.site.addresses)
        return hosts[number % len(hosts)] if self.patient else self.rng.choice(hosts)

    def max_idle_s(self) -> float:
        """Return the longest time for which a connection may be idle before it is reused."""
        return IDLE_SHARE * self.site.versions[-1].idle_s

    def choose_wait(self, host: str) -> float:
        """Return how long to leave the connection to a host idle, mostly the longest time."""
        share = 1.0 if self.rng.random() < LONGEST_WAIT_SHARE else self.rng.random()
        longest_s = self.max_idle_s() - WAKE_UP_S
        return max(0.0, self.sent_at[host] + share * longest_s - time.time())

    def send_request(self, record: CallerRecord) -> None:
        """Send one request, closing its connection after an error."""
        conn = self.find_conn(record.host)
        record.sent_at = time.time()
        if conn.sock is not None:
            record.idle_s = record.sent_at - self.sent_at[record.host]
        try:
            self.exchange(conn, record)
        except (OSError, http.client.HTTPException):
            conn.close()
            del self.conns[record.host]
        finally:
            record.ended_at = time.time()
            self.sent_at[record.host] = record.sent_at

    def find_conn(self, host: str) -> http.client.HTTPConnection:
        """Return the connection to a host; one that has been idle for too long is closed."""
        conn = self.conns.get(host)
        if conn is None:
            address = self.site.addresses[host]
            conn = http.client.HTTPConnection(
                address, self.site.ports["callers"], timeout=TIMEOUT_S
            )
            self.conns[host] = conn
        elif time.time() - self.sent_at[host] > self.max_idle_s():
            conn.close()
        return conn

    def exchange(self, conn: http.client.HTTPConnection, record: CallerRecord) -> None:
        """Send one request and record its response as it is received."""
        shape = self.shapes[record.kind]
        headers = {
            "Host": AUTHORITY,
            "Attempt-Id": record.attempt,
            "Request-Deadline": f"{DEADLINE_S * 1_000:.0f}",
            "Authorization": f"Bearer {KEYS[shape.tenant]}",
            "Token-Counts": "100,50",
            "Model": "m",
        }
        if shape.path == STREAM_PATH:
            headers["Prompt-Prefix"] = self.create_prompt(record)
        conn.request(shape.method, shape.path, shape.body.encode() or None, headers)
        answer = conn.getresponse()
        record.status = answer.status
        record.answered_id = answer.getheader("Attempt-Id") or ""
        record.seal = answer.getheader("Server-Seal") or ""
        if answer.getheader("Server-Limit"):
            record.limited_at = time.time()
        if answer.getheader("Server-Leaving"):
            record.leaving_at = time.time()
        while part := answer.read(4_096):
            record.body += part
        record.whole = True

    def create_prompt(self, record: CallerRecord) -> str:
        """Return the parts of a prompt; only the last differs among requests of one worker."""
        middle = (
            CRASHING_PART if record.kind == CRASHING else f"b0b{zlib.crc32(self.name.encode()):x}"
        )
        return f"{FIRST_PART},{middle}:30,{zlib.crc32(record.attempt.encode()):x}:10"
