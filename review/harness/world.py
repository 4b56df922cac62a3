"""Stand-ins of the platform for the review's scripts: store, engines, requesters, and the hosts' processes.

The store, the engines and the requesters run in this process on loopback addresses; each entry host is a
separate process that runs the command of the deploy file. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
AUTHORITY = "fleet.example"
HOST_ADDRESSES = [f"127.0.0.{20 + number}" for number in range(8)]
STORE_ADDRESSES = [f"127.0.0.{40 + number}" for number in range(8)]
"""Addresses of the store, one for each host, so that the store can tell the hosts apart."""
READY_LIMIT_S = 30.0


class Record:
    """Write what was sent, answered and run to ``record.txt``, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


def find_ports(count: int) -> list[int]:
    """Return `count` consecutive ports that are free on the hosts' addresses."""
    first = 12_000 + os.getpid() * 31 % 15_000
    while True:
        socks = []
        try:
            for port in range(first, first + count):
                for host in (*STORE_ADDRESSES, *HOST_ADDRESSES, "127.10.0.1"):
                    sock = socket.socket()
                    socks.append(sock)
                    sock.bind((host, port))
            return list(range(first, first + count))
        except OSError:
            first += count
        finally:
            for sock in socks:
                sock.close()


class HttpCall:
    """One request that a stand-in has read."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = {name: values[-1] for name, values in parse_qs(query, keep_blank_values=True).items()}
        self.headers = headers
        self.body = body


async def read_call(reader: asyncio.StreamReader) -> HttpCall | None:
    """Read one request; return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return HttpCall(method, target, headers, body)


def encode_answer(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """Serve the platform's store as PROTOCOL.md describes it.

    `answer_s` is the time of one answer; `page_items` the most items of one page.
    """

    def __init__(self, record: Record, page_items: int = 500) -> None:
        self.record = record
        self.answer_s = 0.004
        self.page_items = page_items
        self.revision = 1
        self.era = 1
        self.items: dict[str, dict] = {}
        self.changes: list[dict] = []
        self.leases: dict[int, list[float]] = {}
        self.on_page: Callable[[str, int], None] = lambda peer, number: None
        self._next_lease = 100
        self._changed = asyncio.Event()
        self._watches: dict[str, set[asyncio.StreamWriter]] = {}
        self._server: asyncio.Server | None = None
        self._sorted: list[str] | None = None

    async def start(self, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, STORE_ADDRESSES, port, limit=1 << 22, backlog=512)
        asyncio.get_running_loop().create_task(self._expire_leases())

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key at a new revision, as the operator, an engine or a transaction does."""
        self.revision += 1
        self._place(key, value, lease)
        self._notify()
        return self.revision

    def put_json(self, key: str, doc: dict) -> int:
        return self.put(key, json.dumps(doc).encode())

    def remove(self, key: str) -> None:
        self.revision += 1
        self._drop(key)
        self._notify()

    def cut_watches(self, peer: str) -> int:
        """Cut the waiting watches of one host by resets; return their number."""
        writers = list(self._watches.get(peer, ()))
        for writer in writers:
            reset(writer)
        return len(writers)

    def _place(self, key: str, value: bytes, lease: int) -> None:
        if key not in self.items:
            self._sorted = None
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.changes.append(item)

    def _drop(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._sorted = None
            self.changes.append({"key": key, "revision": self.revision, "deleted": True})

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [one for one, (end, _) in self.leases.items() if end <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._drop(key)
            self._notify()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = f"front-{STORE_ADDRESSES.index(writer.get_extra_info('sockname')[0])}"
        try:
            while (call := await read_call(reader)) is not None:
                status, doc = await self._handle(call, peer, writer)
                headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
                writer.write(encode_answer(status, headers, json.dumps(doc).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _handle(self, call: HttpCall, peer: str, writer: asyncio.StreamWriter) -> tuple[int, dict]:
        """Carry out a call after the time of an answer, so that it sees the state of that moment."""
        if call.path == "/kv-watch":
            return await self._watch(call, peer, writer)
        await asyncio.sleep(self.answer_s)
        if call.path == "/kv-range":
            return self._range(call, peer)
        if call.path == "/kv-key":
            item = self.items.get(call.query.get("key", ""))
            return (200, {**item, "at": self.revision}) if item else (404, {"at": self.revision})
        if call.path == "/kv-txn":
            return self._txn(json.loads(call.body))
        if call.path == "/kv-lease":
            self._next_lease += 1
            ttl_s = json.loads(call.body)["ttlMs"] / 1000
            self.leases[self._next_lease] = [time.monotonic() + ttl_s, ttl_s]
            return 200, {"lease": self._next_lease, "ttlMs": int(ttl_s * 1000)}
        name, _, number = call.path[1:].partition("/")
        lease = int(number) if number.isdigit() else 0
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        if name == "kv-keep":
            ttl_s = self.leases[lease][1]
            self.leases[lease][0] = time.monotonic() + ttl_s
            return 200, {"ttlMs": int(ttl_s * 1000)}
        self._end_lease(lease)
        return 200, {}

    def _range(self, call: HttpCall, peer: str) -> tuple[int, dict]:
        prefix, after = call.query.get("pathPrefix", ""), call.query.get("after", "")
        if self._sorted is None:
            self._sorted = sorted(self.items)
        keys = [key for key in self._sorted if key.startswith(prefix) and key > after]
        page = keys[: self.page_items]
        if not prefix:
            self.on_page(peer, 1 if not after else 2)
        doc = {"items": [self.items[key] for key in page], "hasMore": len(keys) > len(page), "at": self.revision}
        return 200, doc

    async def _watch(self, call: HttpCall, peer: str, writer: asyncio.StreamWriter) -> tuple[int, dict]:
        prefix, after = call.query.get("pathPrefix", ""), int(call.query["after"])
        until = time.monotonic() + int(call.query["waitMs"]) / 1000
        watches = self._watches.setdefault(peer, set())
        watches.add(writer)
        try:
            await asyncio.sleep(self.answer_s)
            if after > self.revision:
                return 410, {"error": "history is gone"}
            while True:
                events = []
                for change in reversed(self.changes):
                    if change["revision"] <= after:
                        break
                    if change["key"].startswith(prefix):
                        events.append(change)
                if events or time.monotonic() >= until:
                    return 200, {"events": events[::-1], "at": self.revision}
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), max(0.001, until - time.monotonic()))
        finally:
            watches.discard(writer)

    def _txn(self, doc: dict) -> tuple[int, dict]:
        rows = doc.get("expectedRev", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self.items[one["key"]] for one in rows if one["key"] in self.items]
                return 412, {"items": found}
        if any(write.get("lease") and write["lease"] not in self.leases for write in doc.get("writes", [])):
            return 404, {"error": "no such lease"}
        self.revision += 1
        for write in doc.get("writes", []):
            self._place(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in doc.get("remove", []):
            self._drop(key)
        self._notify()
        return 200, {"revision": self.revision}


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


Answerer = Callable[["Engine", HttpCall, asyncio.StreamWriter], Awaitable[bool]]


class Engine:
    """One engine that answers requests on one loopback address and keeps its entry in the store."""

    def __init__(self, record: Record, store: Store, name: str, service: str, host: str, port: int) -> None:
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.host = host
        self.port = port
        self.state = "ready"
        self.version = "1"
        self.zone = "etna"
        self.slots = 6
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.running: dict[str, HttpCall] = {}
        self.runs: list[tuple[float, str, str]] = []
        self.work_s = 0.02
        self.headers: list[tuple[str, str]] = []
        self.answer: Answerer = answer_plainly
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, self.port, backlog=128)

    def register(self) -> None:
        """Write the entry as the engine's ping does."""
        self.sequence += 1
        doc = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.store.put_json(f"servers/{self.name}", doc)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (call := await read_call(reader)) is not None:
                if not await self._handle(call, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, call: HttpCall, writer: asyncio.StreamWriter) -> bool:
        attempt = call.headers.get("attempt-id", "")
        base = [("Attempt-Id", attempt), *self.headers]
        if call.headers.get("expect-instance", self.name) != self.name:
            writer.write(encode_answer(421, [*base, ("Not-Executed", "1"), ("Instance-Id", self.name)], b""))
            return True
        self.runs.append((self.record.now(), attempt, call.target))
        self.record.write(
            f"RUN engine={self.name} service={self.service} request={attempt} target={call.target} "
            f"tenant={call.headers.get('tenant', '-')}"
        )
        return await self.answer(self, call, writer)


async def answer_plainly(engine: Engine, call: HttpCall, writer: asyncio.StreamWriter) -> bool:
    """Answer with 200 after the engine's work."""
    await asyncio.sleep(engine.work_s)
    attempt = call.headers.get("attempt-id", "")
    headers = [("Attempt-Id", attempt), ("Server-Seal", f"seal.{engine.name}"), *engine.headers]
    writer.write(encode_answer(200, headers, f"{engine.name} {attempt}".encode()))
    return True


class Answer:
    """What a requester got; status 0 stands for a connection without a complete answer."""

    def __init__(self, status: int = 0, headers: dict[str, str] | None = None, body: bytes = b"") -> None:
        self.status = status
        self.headers = headers or {}
        self.body = body


async def send(
    record: Record,
    host: str,
    port: int,
    method: str,
    path: str,
    attempt: str,
    key: str,
    deadline_ms: int = 2000,
    body: bytes = b"",
    more: dict[str, str] | None = None,
    quiet: bool = False,
) -> Answer:
    """Send one request on a new channel and read the answer until the time limit."""
    headers = {
        "Host": AUTHORITY,
        "Attempt-Id": attempt,
        "Request-Deadline": str(deadline_ms),
        "Authorization": f"Bearer {key}",
        **(more or {}),
    }
    if body or method != "GET":
        headers["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    if not quiet:
        record.write(f"SENT host={host} request={attempt} {method} {path} key={key}")
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.6):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            answer = await read_answer(reader)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    if not quiet:
        record.write(f"ANSWERED host={host} request={attempt} status={answer.status} body={answer.body[:60]!r}")
    return answer


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer with a length or in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return Answer(status, headers, body)
            body += data[:-2]
    return Answer(status, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


class Hosts:
    """Start entry hosts with the command of the deploy file, and end them."""

    def __init__(self, record: Record, count: int, zones: list[str] | None = None) -> None:
        self.record = record
        ports = find_ports(24)
        self.front, self.ready, self.control, self.store_port, self.engine_port = ports[:5]
        self.internal = (ports[6], ports[-1])
        self.addresses = {f"front-{number}": HOST_ADDRESSES[number] for number in range(count)}
        self.zones = zones or ["etna", "conca-doro", "ortigia"]
        self.processes: dict[str, subprocess.Popen] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = deploy["roles"]["entry"]["run"].split(" ")

    def settings(self, name: str) -> dict:
        """Return a host's settings, with the figures of a small deployment."""
        ip = self.addresses[name]
        number = int(name.rpartition("-")[2])
        return {
            "node": name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": ip,
            "zone": self.zones[number % len(self.zones)],
            "region": "trinacria",
            "zones": {zone: "trinacria" for zone in self.zones},
            "listen": {
                "front": f"{ip}:{self.front}",
                "ready": f"{ip}:{self.ready}",
                "control": f"{ip}:{self.control}",
            },
            "internalPorts": list(self.internal),
            "seeds": [f"{one}:{self.control}" for one in list(self.addresses.values())[:3]],
            "bootstrap": True,
            "faultCounted": False,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": [
                "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                "quota", "rollout", "platform",
            ],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
                "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configMs": 2000, "downgradeMs": 250,
                "outerMs": 5000, "strictRevoke": False, "revokeMs": 5000, "retryBudgetRatio": 0.2,
                "budgetWindowS": 10, "budgetSlack": 52, "quotaWindowS": 8, "quotaOverage": 0.1,
                "quotaSlack": 190000, "exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000,
                "recoverS": 12, "passMs": 120, "reuseWindowS": 9.9,
            },
            "platform": {
                "address": f"{STORE_ADDRESSES[number]}:{self.store_port}", "form": "kv", "writesPerS": 400,
                "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
            },
        }

    def start(self, name: str) -> None:
        path = Path(self._folder.name) / f"{name}.json"
        path.write_text(json.dumps(self.settings(name)))
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env |= {"TARRAGONWIND_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target" / "deps")}
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        log = open(self.log_path(name), "ab")
        command = [sys.executable if self._command[0] == "python3" else self._command[0], *self._command[1:]]
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.record.write(f"START {name} at {self.addresses[name]}")

    def log_path(self, name: str) -> Path:
        return Path(self._folder.name) / f"{name}.log"

    def signal(self, name: str, number: int) -> None:
        self.record.write(f"SIGNAL {name} {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    async def wait_ready(self, names: list[str] | None = None) -> bool:
        """Wait until hosts say that they are ready; return whether they did."""
        until = time.monotonic() + READY_LIMIT_S
        waiting = list(names or self.addresses)
        while waiting and time.monotonic() < until:
            name = waiting[0]
            answer = await send(self.record, self.addresses[name], self.ready, "GET", "/readyz", "-", "-", 1000, quiet=True)
            if answer.status == 200:
                waiting.pop(0)
            else:
                await asyncio.sleep(0.1)
        return not waiting

    def stop(self) -> None:
        """End all processes that were started here; keep the logs only if REVIEW_LOGS names a folder."""
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(10)
        if folder := os.environ.get("REVIEW_LOGS"):
            for name in self.addresses:
                if self.log_path(name).exists():
                    (Path(folder) / f"{name}.log").write_bytes(self.log_path(name).read_bytes())
        self._folder.cleanup()


def tenant(name: str, keys: list[str]) -> dict:
    """Return a tenant without a limit."""
    return {"name": name, "apiKeys": keys, "unit": "token_stream", "plainTokens": 200, "ratePerS": 0, "burst": 0}


def route(name: str, prefix: str, kind: str, service: str, **more: object) -> dict:
    """Return a route with the figures of a small deployment."""
    return {
        "name": name, "host": AUTHORITY, "pathPrefix": prefix, "kind": kind, "service": service, "public": False,
        "sessionAffinity": False, "priority": 1, "maxAttempts": 1 if kind == "unsafe" else 2, "timeoutMs": 2000,
        "targetLatencyMs": 125, **more,
    }


def configuration(version: int, routes: list[dict], services: list[dict], tenants: list[dict]) -> dict:
    """Return a configuration in full."""
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": int(os.environ.get("REVIEW_IDLE_MS", "15000"))}
    return {"version": version, "routes": routes, "services": services, "limits": limits, "tenants": tenants}


async def keep_registered(engines: list[Engine], period_s: float = 1.2) -> None:
    """Let each engine write its entry once per period, spread over it."""
    rng = random.Random(7)
    due = [(time.monotonic() + rng.random() * period_s, number) for number in range(len(engines))]
    import heapq

    heapq.heapify(due)
    while True:
        at, number = due[0]
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        if engines[number].state != "gone":
            engines[number].register()
        heapq.heapreplace(due, (at + period_s, number))


def raise_descriptor_limit(wanted: int) -> None:
    """Use the descriptors that this process may have anyway."""
    import resource

    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(wanted, hard), hard))


def run_case(main: Callable[[Record], Awaitable[int]], folder: Path) -> None:
    """Run a case; exit with its code, or with 2 if it could not run."""
    record = Record(folder)
    try:
        code = asyncio.run(main(record))
    except Exception as exc:
        record.write(f"NOT RUN {type(exc).__name__}: {exc}")
        print(f"the case could not run: {type(exc).__name__}: {exc}")
        code = 2
    record.close()
    sys.exit(code)
