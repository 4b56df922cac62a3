"""Generate load on all hosts over persistent connections."""

from __future__ import annotations

import http.client
import itertools
import random
import threading
import time
from dataclasses import dataclass, field

from standins.platform_fleets import (
    AUTHORITY,
    KEYS,
    LOOKUP_PATH,
    STAMP_PATH,
    STREAM_PATH,
    PlatformFleet,
)

PATHS = {"stream": STREAM_PATH, "safe": LOOKUP_PATH, "unsafe": STAMP_PATH}
TIMEOUT_S = 6.0
PAUSE_S = 0.02
NO_ANSWER = 0
"""Status of a request that got no response head."""


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
    """

    attempt: str
    kind: str
    host: str
    status: int = NO_ANSWER
    whole: bool = False
    answered_id: str = ""
    body: bytes = b""


@dataclass(slots=True)
class LoadWorker:
    """Send requests of one thread in sequence to randomly chosen hosts."""

    site: PlatformFleet
    name: str
    rng: random.Random
    stopped: threading.Event
    records: list[CallerRecord] = field(default_factory=list)
    conns: dict[str, http.client.HTTPConnection] = field(default_factory=dict)

    def run(self) -> None:
        """Send requests until stopped."""
        for number in itertools.count():
            if self.stopped.is_set():
                return
            kind = self.rng.choice(sorted(PATHS))
            host = self.rng.choice(sorted(self.site.addresses))
            record = CallerRecord(f"{self.name}-{number}", kind, host)
            self.records.append(record)
            self.send_request(record)
            time.sleep(PAUSE_S * self.rng.random())

    def send_request(self, record: CallerRecord) -> None:
        """Send one request, closing its connection after an error."""
        conn = self.conns.get(record.host)
        if conn is None:
            address = self.site.addresses[record.host]
            conn = http.client.HTTPConnection(
                address, self.site.ports["callers"], timeout=TIMEOUT_S
            )
            self.conns[record.host] = conn
        try:
            self.exchange(conn, record)
        except (OSError, http.client.HTTPException):
            conn.close()
            del self.conns[record.host]

    def exchange(self, conn: http.client.HTTPConnection, record: CallerRecord) -> None:
        """Send one request and record its response as it is received."""
        headers = {
            "Host": AUTHORITY,
            "Attempt-Id": record.attempt,
            "Request-Deadline": "5000",
            "Authorization": f"Bearer {KEYS['officina']}",
            "Token-Counts": "100,50",
            "Model": "m",
        }
        method = "GET" if record.kind == "safe" else "POST"
        conn.request(method, PATHS[record.kind], None if method == "GET" else b"text", headers)
        answer = conn.getresponse()
        record.status = answer.status
        record.answered_id = answer.getheader("Attempt-Id") or ""
        while part := answer.read(4_096):
            record.body += part
        record.whole = True
