"""Emulate the key-value store: the subset of the etcd v3 JSON gateway that the daemon uses.

``POST /control`` sets faults and ``GET /control`` returns call counts; see `KvServer.control`.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import socket
import threading
import time
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from standins.kv_calls import CALLS, Doc, header, read_key, render_change
from standins.kv_state import KvError, KvState

LEASE_EXPIRY_PERIOD_S = 0.1
WATCH_WAIT_S = 0.5
"""Period in which an idle watch checks whether its client disconnected, in seconds."""
DEFAULT_LIFETIME_S = 3_600.0
MAX_BODY_BYTES = 4 * 1024 * 1024


class Faults:
    """Hold the active faults, the call counts and the snapshots."""

    def __init__(self) -> None:
        self.outage = ""
        self.delay_s = 0.0
        self.drop_write_answers = 0
        self.nonsense = False
        self.watch_generation = 0
        self.watches = 0
        self.calls: Counter[str] = Counter()
        self.snapshots: dict[str, KvState] = {}


class KvServer(ThreadingHTTPServer):
    """Serve one shared state with a thread for each connection."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(address, KvHandler)
        self.state = KvState()
        self.faults = Faults()
        self.changed = threading.Condition()

    def control(self, doc: Doc) -> None:
        """Set faults, and run one-time actions on the state.

        Parameters
        ----------
        doc : dict
            Faults: ``outage`` ("drop", "hang", "refuse" or "" for none; true means "drop"),
            ``delay_ms``, ``drop_write_answers`` (how many) and ``nonsense`` (answer with HTML).
            Actions: ``cut_watches`` (close all watches), ``snapshot`` and ``restore`` (save and
            load the state under a name), ``lapse_leases`` (expire all leases) and
            ``reset_counts``.
        """
        faults = self.faults
        with self.changed:
            if "outage" in doc:
                faults.outage = "drop" if doc["outage"] is True else doc["outage"] or ""
            faults.delay_s = float(doc.get("delay_ms", faults.delay_s * 1_000)) / 1_000
            faults.drop_write_answers = doc.get("drop_write_answers", faults.drop_write_answers)
            faults.nonsense = bool(doc.get("nonsense", faults.nonsense))
            if doc.get("cut_watches") or faults.outage == "drop":
                faults.watch_generation += 1
            if doc.get("reset_counts"):
                faults.calls.clear()
            if doc.get("lapse_leases"):
                self.state.expire_leases(float("inf"))
            if "snapshot" in doc:
                faults.snapshots[doc["snapshot"]] = self.state.copy()
            if "restore" in doc:
                self.state = faults.snapshots[doc["restore"]].copy()
                faults.watch_generation += 1
            self.changed.notify_all()

    def report(self) -> Doc:
        """Return call counts by kind, and the numbers of watches, revision and keys."""
        with self.changed:
            return {
                "calls": dict(self.faults.calls),
                "watches": self.faults.watches,
                "revision": self.state.revision,
                "keys": len(self.state.items),
            }

    def run_lease_expiry(self) -> None:
        """Expire leases periodically, forever."""
        while True:
            time.sleep(LEASE_EXPIRY_PERIOD_S)
            with self.changed:
                if self.state.expire_leases(time.monotonic()):
                    self.changed.notify_all()


class KvHandler(BaseHTTPRequestHandler):
    """Handle the requests of one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: KvServer

    def log_message(self, format: str, *args: Any) -> None:
        """Suppress the access log."""

    def do_GET(self) -> None:
        """Answer with the report."""
        self._send(200, self.server.report())

    def do_POST(self) -> None:
        """Answer a gateway call or a control request."""
        length = int(self.headers.get("Content-Length", 0))
        if length > MAX_BODY_BYTES:
            self._send(413, {"error": "too large"})
            return
        try:
            doc = json.loads(self.rfile.read(length) or b"{}")
        except ValueError:
            self._send(400, {"error": "not JSON", "code": 3})
            return
        if self.path == "/control":
            self.server.control(doc)
            self._send(200, self.server.report())
        elif self._apply_faults():
            self._answer(doc)

    def _apply_faults(self) -> bool:
        """Apply the active faults; return whether the call is to be answered normally."""
        faults = self.server.faults
        while faults.outage == "hang":
            time.sleep(0.05)
        if faults.outage == "refuse":
            self._send(503, {"error": "etcdserver: no leader", "code": 14})
            return False
        if faults.outage:
            self._drop_connection()
            return False
        if faults.delay_s:
            time.sleep(faults.delay_s)
        if faults.nonsense:
            self._send_bytes(200, b"<html>not what you asked for")
            return False
        return True

    def _answer(self, doc: Doc) -> None:
        if self.path == "/v3/watch":
            self._watch(doc["create_request"])
            return
        entry = CALLS.get(self.path)
        if entry is None:
            self._send(404, {"error": "Not Found", "code": 5})
            return
        kind, writes, function = entry
        server = self.server
        with server.changed:
            server.faults.calls[kind] += 1
            try:
                answer = function(server.state, doc)
            except KvError as exc:
                answer = {"error": str(exc), "code": 3}
            drop = writes and "error" not in answer and server.faults.drop_write_answers > 0
            if drop:
                server.faults.drop_write_answers -= 1
            server.changed.notify_all()
        if drop:
            self._drop_connection()
            return
        self._send(400 if "error" in answer else 200, answer)

    def _watch(self, create: Doc) -> None:
        server = self.server
        with server.changed:
            server.faults.calls["watch"] += 1
            server.faults.watches += 1
            generation = server.faults.watch_generation
        try:
            self.send_response(200)
            self.send_header("Content-Type", "application/json")
            self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            self._send_chunk({"result": {"header": header(server.state), "created": True}})
            self._stream_changes(create, generation)
        except OSError:
            pass
        finally:
            with server.changed:
                server.faults.watches -= 1
            self._drop_connection()

    def _stream_changes(self, create: Doc, generation: int) -> None:
        server = self.server
        key, end = read_key(create, "key"), read_key(create, "range_end")
        next_revision = int(create.get("start_revision", 0)) or server.state.revision + 1
        while True:
            with server.changed:
                if server.faults.watch_generation != generation:
                    return
                try:
                    changes = server.state.changes_from(next_revision, key, end)
                except KvError as exc:
                    canceled = {"canceled": True, "cancel_reason": str(exc)}
                    self._send_chunk({"result": canceled})
                    return
                if not changes:
                    server.changed.wait(WATCH_WAIT_S)
                    if self._client_disconnected():
                        return
                    continue
                answer = {"header": header(server.state)}
                next_revision = changes[-1].revision + 1
            while server.faults.outage == "hang":
                time.sleep(0.05)
            time.sleep(server.faults.delay_s)
            events = [render_change(change) for change in changes]
            self._send_chunk({"result": {**answer, "events": events}})

    def _client_disconnected(self) -> bool:
        self.connection.setblocking(False)
        try:
            return self.connection.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        finally:
            self.connection.setblocking(True)

    def _send_chunk(self, doc: Doc) -> None:
        data = json.dumps(doc).encode() + b"\n"
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()

    def _send(self, status: int, doc: Doc) -> None:
        self._send_bytes(status, json.dumps(doc).encode())

    def _send_bytes(self, status: int, body: bytes) -> None:
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _drop_connection(self) -> None:
        self.close_connection = True
        try:
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            return


def main() -> None:
    """Run the store until its lifetime has passed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--lifetime-s", type=float, default=DEFAULT_LIFETIME_S)
    args = parser.parse_args()
    server = KvServer((args.host, args.port))
    print(f"kv listening on {args.host}:{server.server_address[1]}", flush=True)
    for target in (server.run_lease_expiry, server.serve_forever):
        threading.Thread(target=target, daemon=True).start()
    with contextlib.suppress(KeyboardInterrupt):
        time.sleep(args.lifetime_s)


if __name__ == "__main__":
    main()
