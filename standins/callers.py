"""Generate load on entry hosts from threads and record each request with its outcome."""

from __future__ import annotations

import http.client
import itertools
import json
import random
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

LOOPBACK = "127.0.0.1"
CONNECT_PAUSE_S = 0.05
MAX_REQUESTS = 200_000


@dataclass(slots=True)
class CallPlan:
    """Describe the requests of one group of load threads.

    Attributes
    ----------
    name : str
        Prefix of the request ids.
    tier : int
        Tier of the route that the requests match.
    pool : str
        Pool of that route.
    token : str
        Bearer token.
    path : str
        Path prefix of a service; unused when `model` is set.
    model : str
        Model of a completion request, empty for services.
    tokens : int
        Value of ``max_tokens``, the length of the answer.
    prompt_characters : int
        Length of the prompt in characters.
    stream : bool
        Whether the answer is streamed.
    keyed : bool
        Whether each request is a non-idempotent POST with an Idempotency-Key.
    repeat_keys : bool
        Whether each keyed request is sent twice, the second time to the next host.
    timeout_ms : int
        Deadline for the first byte in milliseconds, 0 for the route's default.
    threads : int
        Number of threads; each has one request in flight.
    pause_s : float
        Mean of the exponential pause between two requests of a thread in seconds, 0 for none.
    """

    name: str
    tier: int
    pool: str
    token: str
    path: str
    model: str = ""
    tokens: int = 8
    prompt_characters: int = 40
    stream: bool = False
    keyed: bool = False
    repeat_keys: bool = False
    timeout_ms: int = 0
    threads: int = 4
    pause_s: float = 0.0


@dataclass(slots=True)
class CallRecord:
    """Hold one request and its outcome.

    Attributes
    ----------
    request, key : str
        Request id and idempotency key that were sent.
    plan : str
        Name of the plan.
    tier, pool : int, str
        Tier and pool of the route.
    sent_at, ended_at : float
        Times in seconds since the epoch.
    status : int
        HTTP status, 0 without a complete answer.
    kind : str
        Value of ``kind`` in an error answer, empty otherwise.
    not_run : str
        Value of ``not_run`` in an error answer (``true``, ``false``, ``unknown``), else empty.
    whole : bool
        Whether the answer was read to its end without an error.
    right : bool
        Whether a complete answer has the content expected for this request.
    retry_after_s : float
        Value of Retry-After in seconds, -1 without the header.
    first_byte_s : float
        Time to the answer's head in seconds.
    version : str
        Version of the service that answered, empty for models.
    """

    request: str
    key: str
    plan: str
    tier: int
    pool: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    kind: str = ""
    not_run: str = ""
    whole: bool = False
    right: bool = True
    retry_after_s: float = -1.0
    first_byte_s: float = 0.0
    version: str = ""


@dataclass(slots=True)
class CallLog:
    """Collect the records of all load threads."""

    records: list[CallRecord] = field(default_factory=list)


class LoadGenerator:
    """Run load threads against entry hosts until stopped.

    Parameters
    ----------
    ports : list of int
        Caller-facing ports of entry hosts; a thread keeps its connection to one host and
        connects to the next one after an error.
    plans : list of CallPlan
        Requests to send, one group of threads for each plan.
    seed : int
        Seed of the random pauses.
    """

    def __init__(self, ports: list[int], plans: list[CallPlan], seed: int = 1) -> None:
        self.log = CallLog()
        self._ports = ports
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        for plan in plans:
            for number in range(plan.threads):
                rng = random.Random(f"{seed}/{plan.name}/{number}")
                caller = LoadWorker(self, plan, number, rng)
                self._threads.append(threading.Thread(target=caller.run, daemon=True))

    def __enter__(self) -> LoadGenerator:
        self.start()
        return self

    def __exit__(self, *_args: object) -> None:
        self.stop()

    @property
    def ports(self) -> list[int]:
        """Return the ports that load is sent to."""
        return self._ports

    @property
    def stopped(self) -> bool:
        """Return whether the threads should end."""
        return self._stop.is_set() or len(self.log.records) > MAX_REQUESTS

    def start(self) -> None:
        """Start all load threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop after the requests in flight and join all threads."""
        self._stop.set()
        for thread in self._threads:
            thread.join(60)

    def pause(self, seconds: float) -> None:
        """Sleep, but wake when the load is stopped."""
        self._stop.wait(seconds)


class LoadWorker:
    """Send the requests of one thread in sequence."""

    def __init__(
        self, callers: LoadGenerator, plan: CallPlan, number: int, rng: random.Random
    ) -> None:
        self._callers = callers
        self._plan = plan
        self._name = f"{plan.name}-{number}"
        self._rng = rng
        self._ids = itertools.count(1)
        self._port_index = itertools.count(number)
        self._conn: http.client.HTTPConnection | None = None

    def run(self) -> None:
        """Send requests until stopped."""
        for record in self._requests():
            self._exchange(record)
            self._callers.log.records.append(record)
            if self._plan.pause_s:
                self._callers.pause(self._rng.expovariate(1 / self._plan.pause_s))

    def _requests(self) -> Iterator[CallRecord]:
        plan = self._plan
        while not self._callers.stopped:
            number = next(self._ids)
            key = f"key-{self._name}-{number}" if plan.keyed else ""
            yield self._record(f"{self._name}-{number}", key)
            if plan.repeat_keys:
                self._drop_connection()
                yield self._record(f"{self._name}-{number}-again", key)

    def _record(self, request: str, key: str) -> CallRecord:
        plan = self._plan
        return CallRecord(request, key, plan.name, plan.tier, plan.pool, time.time())

    def _connect(self) -> http.client.HTTPConnection:
        if self._conn is not None and self._conn.sock is not None:
            return self._conn
        while True:
            ports = self._callers.ports
            port = ports[next(self._port_index) % len(ports)]
            conn = http.client.HTTPConnection(LOOPBACK, port, timeout=60)
            try:
                conn.connect()
            except OSError:
                time.sleep(CONNECT_PAUSE_S)
                if self._callers.stopped:
                    return conn
                continue
            assert conn.sock is not None
            conn.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._conn = conn
            return conn

    def _drop_connection(self) -> None:
        if self._conn is not None:
            self._conn.close()
        self._conn = None

    def _exchange(self, record: CallRecord) -> None:
        try:
            conn = self._connect()
            record.sent_at = time.time()
            path, body = self._content(record)
            conn.request("POST" if body else "GET", path, body or None, self._headers(record))
            answer = conn.getresponse()
            record.first_byte_s = time.time() - record.sent_at
            data = answer.read()
            record.status = answer.status
            record.whole = True
            self._check_response(record, answer, data)
            if answer.will_close:
                self._drop_connection()
        except (OSError, http.client.HTTPException):
            self._drop_connection()
        record.ended_at = time.time()

    def _content(self, record: CallRecord) -> tuple[str, bytes]:
        plan = self._plan
        if not plan.model:
            return f"{plan.path}/{record.request}", b"work" if plan.keyed else b""
        prompt = f"{record.request} ".ljust(plan.prompt_characters, "x")
        doc = {
            "model": plan.model,
            "prompt": prompt,
            "max_tokens": plan.tokens,
            "stream": plan.stream,
        }
        return "/v1/completions", json.dumps(doc).encode()

    def _headers(self, record: CallRecord) -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {self._plan.token}",
            "X-Request-Id": record.request,
        }
        if record.key:
            headers["Idempotency-Key"] = record.key
        if self._plan.timeout_ms:
            headers["Tarragonwind-Timeout-Ms"] = str(self._plan.timeout_ms)
        return headers

    def _check_response(
        self, record: CallRecord, answer: http.client.HTTPResponse, data: bytes
    ) -> None:
        if record.status != 200:
            self._read_refusal(record, answer, data)
            return
        if not self._plan.model:
            doc = json.loads(data)
            record.right = doc.get("echo") == record.request
            record.version = str(doc.get("version"))
        elif self._plan.stream:
            wanted = self._plan.tokens + 1
            record.right = data.count(b"data: ") == wanted and data.endswith(b"[DONE]\n\n")
        else:
            doc = json.loads(data)
            words = doc["choices"][0]["text"].split()
            record.right = doc.get("echo") == record.request and len(words) == self._plan.tokens

    def _read_refusal(
        self, record: CallRecord, answer: http.client.HTTPResponse, data: bytes
    ) -> None:
        try:
            doc = json.loads(data)
        except ValueError:
            return
        record.kind = str(doc.get("kind", ""))
        if "not_run" in doc:
            record.not_run = str(doc["not_run"]).lower()
        record.retry_after_s = float(answer.getheader("Retry-After", "-1"))
