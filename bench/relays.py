"""Measure the relay throughput, latency and memory of one daemon against a bare relay.

``python -m bench.relays measure`` starts minimal back ends, an entry host and, for comparison, a
bare epoll relay, each as a process, and sends them requests from this one. It prints a table and
writes the results to ``--out`` as JSON.
"""

from __future__ import annotations

import hashlib
import json
import os
import select
import socket
import statistics
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path

import fire
import yaml

from standins.demo import entry, upstream
from standins.fleets import LOOPBACK, Fleet, call, free_port

TOKEN = "token-bench"
EVENT = (
    b'data: {"id":"g","object":"text_completion","model":"m",'
    b'"choices":[{"index":0,"finish_reason":null,"text":"word "}]}\n\n'
)
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
SHORT_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STREAMS = 32
CHUNKS_PER_STREAM = 3_000
PACED_INTERVAL_S = 0.008
"""Pause between the chunks of a paced stream, so that each is read alone, in seconds."""
PACED_CHUNKS = 400
SLOW_CALLERS = 10
IDLE_STREAMS = 400
SHORT_REQUESTS = 4_000
SLOW_READ_S = 3.0
READ_BYTES = 65_536


@dataclass(slots=True)
class Figure:
    """Hold one measurement with its acceptance bound.

    Attributes
    ----------
    name : str
        What was measured.
    value : float
        Measured value.
    unit : str
        Its unit.
    bound : str
        Bound as text, empty if there is none.
    ok : bool
        Whether the value meets the bound.
    """

    name: str
    value: float
    unit: str
    bound: str
    ok: bool


def run_back_end(port: int) -> None:
    """Run a back end that streams completions and answers GET requests at once.

    ``max_tokens`` in the body is the number of chunks; 1 leaves the stream open and idle. If the
    request contains ``paced``, there is a pause of `PACED_INTERVAL_S` after each chunk.
    """
    server = socket.create_server((LOOPBACK, port), backlog=1024)
    while True:
        conn, _ = server.accept()
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve_connection, args=(conn,), daemon=True).start()


def serve_connection(conn: socket.socket) -> None:
    """Answer the requests of one connection until the peer closes it."""
    chunk = b"%x\r\n%b\r\n" % (len(EVENT), EVENT)
    try:
        while True:
            data = read_request(conn)
            if not data:
                return
            if data.startswith(b"GET"):
                conn.sendall(SHORT_RESPONSE)
                continue
            count = int(json.loads(data.partition(b"\r\n\r\n")[2])["max_tokens"])
            pause_s = PACED_INTERVAL_S if b"paced" in data else 0.0
            conn.sendall(STREAM_HEAD)
            for _ in range(count):
                conn.sendall(chunk)
                if pause_s:
                    time.sleep(pause_s)
            if count > 1:
                conn.sendall(b"0\r\n\r\n")
    except OSError:
        return


def read_request(conn: socket.socket) -> bytes:
    """Read one request and return its bytes, empty if the connection closes within it."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = conn.recv(READ_BYTES)
        if not more:
            return b""
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        more = conn.recv(READ_BYTES)
        if not more:
            return b""
        data += more
        body += more
    return data


def run_bare_relay(port: int, target: int) -> None:
    """Relay connections to port `target` with a bare epoll loop that parses nothing."""
    server = socket.create_server((LOOPBACK, port), backlog=1024)
    poller = select.epoll()
    poller.register(server.fileno(), select.EPOLLIN)
    peers: dict[int, socket.socket] = {}
    socks: dict[int, socket.socket] = {}
    while True:
        for fileno, _ in poller.poll():
            if fileno == server.fileno():
                accepted, _ = server.accept()
                connected = socket.create_connection((LOOPBACK, target))
                for sock, other in ((accepted, connected), (connected, accepted)):
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    socks[sock.fileno()] = sock
                    peers[sock.fileno()] = other
                    poller.register(sock.fileno(), select.EPOLLIN)
                continue
            forward_once(poller, socks, peers, fileno)


def forward_once(
    poller: select.epoll, socks: dict[int, socket.socket], peers: dict[int, socket.socket], fd: int
) -> None:
    """Forward the readable data of one socket to its peer, or close both at the end or an error."""
    if fd not in socks:
        return
    try:
        data = socks[fd].recv(READ_BYTES)
        if data:
            peers[fd].sendall(data)
            return
    except OSError:
        pass
    other = peers[fd]
    for sock in (socks[fd], other):
        closed_fd = sock.fileno()
        socks.pop(closed_fd, None)
        peers.pop(closed_fd, None)
        poller.unregister(closed_fd)
        sock.close()


def cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def rss_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def completion(max_tokens: int, prompt: str = "p") -> bytes:
    """Return a request for a streamed completion as bytes."""
    doc = {"model": "m", "prompt": prompt, "max_tokens": max_tokens, "stream": True}
    body = json.dumps(doc).encode()
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer {TOKEN}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def connect(port: int) -> socket.socket:
    """Return a TCP connection to a port on loopback, with a timeout of 60 s."""
    sock = socket.create_connection((LOOPBACK, port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(60)
    return sock


def read_stream(sock: socket.socket) -> int:
    """Read a chunked stream to its end and return the number of events."""
    events = 0
    trailing = b""
    while True:
        data = sock.recv(READ_BYTES)
        if not data:
            raise OSError(f"connection closed before the last chunk, after {events} events")
        events += (trailing[-1:] + data).count(b"\n\n")
        trailing = (trailing + data)[-5:]
        if trailing == b"0\r\n\r\n":
            return events


def measure_chunks(
    port: int, pid: int, prompt: str = "p", per_stream: int = CHUNKS_PER_STREAM
) -> tuple[float, float]:
    """Return the chunks relayed per second of CPU time and per second of elapsed time.

    Parameters
    ----------
    port : int
        Port that the streams are requested from.
    pid : int
        Process whose CPU time is counted.
    prompt : str
        Prompt of the requests; ``paced`` makes the back end pause between chunks.
    per_stream : int
        Number of chunks in each of the `STREAMS` streams.
    """
    counts: list[int] = []

    def read() -> None:
        sock = connect(port)
        sock.sendall(completion(per_stream, prompt))
        counts.append(read_stream(sock))
        sock.close()

    threads = [threading.Thread(target=read) for _ in range(STREAMS)]
    cpu, clock = cpu_s(pid), time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    cpu, clock = cpu_s(pid) - cpu, time.monotonic() - clock
    return sum(counts) / max(cpu, 1e-9), sum(counts) / clock


def measure_first_byte(port: int, count: int = 300) -> list[float]:
    """Return the response times of `count` requests over one connection, in milliseconds."""
    sock = connect(port)
    request = f"GET /s HTTP/1.1\r\nHost: b\r\nAuthorization: Bearer {TOKEN}\r\n\r\n".encode()
    times = []
    for _ in range(count):
        started = time.perf_counter()
        sock.sendall(request)
        while b"{}" not in sock.recv(READ_BYTES):
            continue
        times.append((time.perf_counter() - started) * 1000)
        time.sleep(0.002)
    sock.close()
    return times


def measure_short(port: int, pid: int) -> float:
    """Return the short, unstreamed requests served per second of CPU time."""
    request = f"GET /s HTTP/1.1\r\nHost: b\r\nAuthorization: Bearer {TOKEN}\r\n\r\n".encode()
    per_thread = SHORT_REQUESTS // 8

    def send() -> None:
        sock = connect(port)
        for _ in range(per_thread):
            sock.sendall(request)
            while b"{}" not in sock.recv(READ_BYTES):
                continue
        sock.close()

    threads = [threading.Thread(target=send) for _ in range(8)]
    cpu = cpu_s(pid)
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return per_thread * 8 / (cpu_s(pid) - cpu)


def measure_idle_streams(port: int, pid: int) -> float:
    """Return the memory that an open, idle stream takes in process `pid`, in KiB."""
    before = rss_bytes(pid)
    socks = []
    for _ in range(IDLE_STREAMS):
        sock = connect(port)
        sock.sendall(completion(1))
        sock.recv(READ_BYTES)
        socks.append(sock)
    after = rss_bytes(pid)
    for sock in socks:
        sock.close()
    return (after - before) / IDLE_STREAMS / 1024


def measure_slow_callers(port: int, pid: int) -> tuple[float, float]:
    """Measure the effect of callers that stop reading their streams.

    Returns
    -------
    tuple of float
        Memory growth of process `pid` per such caller, in KiB, and the longest response time of
        other requests meanwhile, in milliseconds.
    """
    before = rss_bytes(pid)
    slow = []
    for _ in range(SLOW_CALLERS):
        sock = connect(port)
        sock.sendall(completion(200_000))
        sock.recv(100)
        slow.append(sock)
    started = time.monotonic()
    worst = 0.0
    while time.monotonic() - started < SLOW_READ_S:
        worst = max(worst, max(measure_first_byte(port, 20)))
    growth_kib = (rss_bytes(pid) - before) / 1024 / SLOW_CALLERS
    for sock in slow:
        sock.close()
    return growth_kib, worst


def start_back_end(fleet: Fleet, name: str) -> int:
    """Start a back end as a process and return its port."""
    port = free_port()
    proc = fleet.spawn(name, ["-m", "bench.relays", "source", str(port)], port)
    fleet.wait_for_port(proc, port)
    return port


def start_host(fleet: Fleet, source_port: int, service_port: int) -> int:
    """Start an entry host with routes to both back ends, and return its port for callers."""
    fleet.kv_port = fleet.start_standin("kv", "standins.kv").port
    fleet.extra_settings = {"log": {"level": "warning"}}
    fleet.prepare_hosts(["entry-1"])
    fleet.start_host("entry-1")
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    entries = [
        entry("organisation", "bench", token_sha256=[digest], requests_per_s=100_000),
        entry("pool", "source", back_end="engine", version="v1"),
        entry("route", "stream", pool="source", tier=1, model="m", deadline_s=60),
        entry("pool", "service", back_end="service", version="v1"),
        entry("route", "short", pool="service", tier=1, path_prefix="/s", deadline_s=60),
        upstream("source", "source", "v1", source_port, slots=10_000, tokens_per_s=10_000_000),
        upstream("service", "service", "v1", service_port, slots=10_000),
    ]
    path = fleet.directory / "catalogue.yaml"
    path.write_text(yaml.safe_dump(entries))
    proc = fleet.run_cli("catalogue", "put", str(path))
    if proc.returncode:
        raise RuntimeError(proc.stderr)
    fleet.wait_ready()
    return fleet.hosts["entry-1"].callers


def measure(fleet: Fleet) -> list[Figure]:
    """Start all processes, run all measurements and return the figures."""
    source_port, bare_port = start_back_end(fleet, "source"), free_port()
    service_port = start_back_end(fleet, "service")
    arguments = ["-m", "bench.relays", "bare", str(bare_port), str(source_port)]
    bare = fleet.spawn("bare", arguments, bare_port)
    fleet.wait_for_port(bare, bare_port)
    port = start_host(fleet, source_port, service_port)
    host = fleet.processes["entry-1"]
    call(port, "GET", "/s", headers={"Authorization": f"Bearer {TOKEN}"})
    figures = []

    def add(
        name: str, value: float, unit: str, bound: str, meets_bound: Callable[[float], bool]
    ) -> None:
        figures.append(Figure(name, round(value, 3), unit, bound, meets_bound(value)))

    bare_cpu, bare_clock = measure_chunks(bare_port, bare.pid)
    host_cpu, host_clock = measure_chunks(port, host.pid)
    add(
        "chunks a second of clock, all streams",
        host_clock,
        "1/s",
        ">= 15000",
        lambda v: v >= 15_000,
    )
    add("chunks a second of processor time", host_cpu, "1/s", ">= 15000", lambda v: v >= 15_000)
    add("the same, bare relay", bare_cpu, "1/s", "", lambda v: True)
    add("share of the bare relay", host_cpu / bare_cpu, "", ">= 0.333", lambda v: v >= 1 / 3)
    add("clock: share of the bare relay", host_clock / bare_clock, "", "", lambda v: True)
    bare_paced, _ = measure_chunks(bare_port, bare.pid, "paced", PACED_CHUNKS)
    host_paced, _ = measure_chunks(port, host.pid, "paced", PACED_CHUNKS)
    add("one chunk a read, processor time", host_paced, "1/s", ">= 15000", lambda v: v >= 15_000)
    add("the same, bare relay", bare_paced, "1/s", "", lambda v: True)
    share = host_paced / bare_paced
    add("share of the bare relay, one chunk a read", share, "", ">= 0.333", lambda v: v >= 1 / 3)
    direct = statistics.median(measure_first_byte(service_port))
    through = statistics.median(measure_first_byte(port))
    add("added time to first byte, idle, median", through - direct, "ms", "<= 2", lambda v: v <= 2)
    add(
        "requests a second of processor time",
        measure_short(port, host.pid),
        "1/s",
        ">= 1000",
        lambda v: v >= 1_000,
    )
    add(
        "an open, idle stream",
        measure_idle_streams(port, host.pid),
        "KiB",
        "<= 24",
        lambda v: v <= 24,
    )
    growth_kib, worst = measure_slow_callers(port, host.pid)
    add("a caller that does not read", growth_kib, "KiB", "<= 1024", lambda v: v <= 1_024)
    add("worst other request meanwhile", worst, "ms", "", lambda v: True)
    return figures


def main(out: str = "") -> None:
    """Run all measurements, print a table, write the figures to the file `out` as JSON, and exit.

    The exit code is 0 if all bounds are met, else 1.
    """
    with tempfile.TemporaryDirectory(prefix="bench-") as directory, Fleet(Path(directory)) as fleet:
        figures = measure(fleet)
    for figure in figures:
        mark = "ok" if figure.ok else "SHORT"
        print(f"{figure.name:<42} {figure.value:>12} {figure.unit:<5} {figure.bound:<10} {mark}")
    if out:
        Path(out).write_text(json.dumps([asdict(figure) for figure in figures], indent=1) + "\n")
    sys.exit(0 if all(figure.ok for figure in figures) else 1)


if __name__ == "__main__":
    fire.Fire({"source": run_back_end, "bare": run_bare_relay, "measure": main})
