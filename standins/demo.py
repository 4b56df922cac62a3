"""Demonstrate the daemon on loopback: every tier, and moves to a healthy and to a failing version.

``python -m standins.demo`` exits non-zero when a check failed. With ``--stay`` it starts the
processes, prints their addresses and waits until it is interrupted or one of them ends.
"""

from __future__ import annotations

import contextlib
import hashlib
import http.client
import json
import signal
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from types import FrameType
from typing import Any

import fire
import yaml

from standins.fleets import LOOPBACK, Fleet, call, set_faults

HOSTS = ("entry-1", "entry-2")
TOKENS = {"officina": "token-officina", "cantiere": "token-cantiere"}
MOVE_WITHIN_S = 12
LOAD_THREADS = 12
INTERRUPTED = 130
"""Exit code of an interrupted demonstration."""
STAY_POLL_S = 0.2
"""Interval at which the processes of a fleet that stays are checked, in seconds."""


@dataclass(slots=True)
class Check:
    """Hold the expected and the actual result of one check."""

    what: str
    expected: str
    actual: str

    @property
    def ok(self) -> bool:
        """Return whether the result is the expected one."""
        return self.expected == self.actual


@dataclass(slots=True)
class LoadCounts:
    """Count the answers of the background load."""

    ok: int = 0
    failed: int = 0
    wrong: int = 0
    by_version: dict[str, int] = field(default_factory=dict)


def entry(kind: str, name: str, **fields: Any) -> dict[str, Any]:
    """Return a catalogue entry in the form that the command line reads."""
    return {"kind": kind, "name": name, "owner": "demo", **fields}


def upstream(name: str, pool: str, version: str, port: int, **fields: Any) -> dict[str, Any]:
    """Return the catalogue entry of an upstream."""
    return entry(
        "upstream",
        name,
        pool=pool,
        version=version,
        host=LOOPBACK,
        port=port,
        data_centre="etna",
        **fields,
    )


class Demo:
    """Run the demonstration on a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.checks: list[Check] = []

    def set_up(self) -> None:
        """Start the stand-ins and the entry hosts, and put the catalogue."""
        fleet = self.fleet
        fleet.start_platform()
        fleet.prepare_hosts(list(HOSTS))
        fast = fleet.start_engine("engine-fast", "--slots", "16", "--token_ms", "1")
        slow = fleet.start_engine("engine-slow", "--slots", "8", "--token_ms", "3")
        first = fleet.start_service("registry-v1")
        second = fleet.start_service("registry-v2", "--version", "v2")
        third = fleet.start_service("registry-v3", "--version", "v3")
        for name in HOSTS:
            fleet.start_host(name)
        entries = [
            *(
                entry(
                    "organisation", name, token_sha256=[hashlib.sha256(token.encode()).hexdigest()]
                )
                for name, token in TOKENS.items()
            ),
            entry("pool", "drafting", back_end="engine", version="v1"),
            entry("pool", "registry", back_end="service", version="v1"),
            entry("route", "gate-lookup", pool="registry", tier=0, path_prefix="/passports"),
            entry(
                "route",
                "stamp",
                pool="registry",
                tier=1,
                path_prefix="/certifications",
                idempotent=False,
            ),
            entry("route", "trade-question", pool="drafting", tier=2, model="trade-small"),
            entry("route", "dossier", pool="drafting", tier=3, model="dossier-large"),
            upstream("engine-fast", "drafting", "v1", fast.port, slots=16, tokens_per_s=8000),
            upstream("engine-slow", "drafting", "v1", slow.port, slots=8, tokens_per_s=2000),
            upstream("registry-v1", "registry", "v1", first.port, slots=32),
            upstream("registry-v2", "registry", "v2", second.port, slots=32),
            upstream("registry-v3", "registry", "v3", third.port, slots=32),
        ]
        path = fleet.directory / "catalogue.yaml"
        path.write_text(yaml.safe_dump(entries))
        self.run_cli("catalogue", "put", str(path))
        fleet.wait_ready()

    def run_cli(self, *arguments: str, expected: int = 0) -> str:
        """Run a command of the command line, check its exit code and return its output."""
        result = self.fleet.run_cli(*arguments)
        self.check("tarragonwind " + " ".join(arguments[:3]), str(expected), str(result.returncode))
        if result.returncode != expected:
            print(result.stdout, result.stderr, file=sys.stderr)
        return result.stdout

    def check(self, what: str, expected: object, actual: object) -> None:
        """Record the result of one check."""
        self.checks.append(
            Check(what.replace(str(self.fleet.directory), "."), str(expected), str(actual))
        )

    def send_every_tier(self) -> None:
        """Send one request of each tier through each host: plain, streamed and non-idempotent."""
        for turn, name in enumerate(HOSTS):
            port = self.fleet.hosts[name].callers
            organisation = list(TOKENS)[turn]
            headers = {"Authorization": f"Bearer {TOKENS[organisation]}"}
            lookup = call(port, "GET", f"/passports/{turn}", headers=headers)
            self.check(f"{name}: gate lookup, tier 0", f"200 /passports/{turn}", show_path(lookup))
            self.check_stamp(name, port, headers, f"stamp-{turn}")
            question = {"model": "trade-small", "max_tokens": 8, "prompt": "Which gloves?"}
            plain = call(port, "POST", "/v1/completions", json.dumps(question).encode(), headers)
            text = plain.json()["choices"][0]["text"].split() if plain.status == 200 else []
            self.check(
                f"{name}: trade question, tier 2",
                "200 8 words",
                f"{plain.status} {len(text)} words",
            )
            dossier = {
                "model": "dossier-large",
                "max_tokens": 40,
                "stream": True,
                "messages": [{"role": "user", "content": "Training dossier. " * 200}],
            }
            body = json.dumps(dossier).encode()
            stream = call(port, "POST", "/v1/chat/completions", body, headers)
            events = stream.body.count(b"data: ")
            self.check(
                f"{name}: dossier streamed, tier 3",
                "200 41 events",
                f"{stream.status} {events} events",
            )

    def check_stamp(self, name: str, port: int, headers: dict[str, str], key: str) -> None:
        """Send a non-idempotent request twice with one key and check that it runs once."""
        keyed = {**headers, "Idempotency-Key": key}
        first = call(port, "POST", "/certifications/77", b"stamp", keyed)
        second = call(port, "POST", "/certifications/77", b"stamp", keyed)
        self.check(f"{name}: stamp, tier 1", "200 then 409", f"{first.status} then {second.status}")
        executions = 0
        for line in self.fleet.journal_path("registry-v1").read_text().splitlines():
            executions += json.loads(line).get("key") == key
        self.check(f"{name}: executions of the stamp", 1, executions)

    def run_moves(self) -> None:
        """Move the registry to a healthy version, then to a failing one, under background load."""
        counts = LoadCounts()
        stop = threading.Event()
        threads = [
            threading.Thread(target=self.generate_load, args=(number, counts, stop))
            for number in range(LOAD_THREADS)
        ]
        for thread in threads:
            thread.start()
        try:
            self.run_move("to-v2", "v2", expected=0)
            set_faults(self.fleet.processes["registry-v3"].port, fail_fraction=0.5)
            before = dict(counts.by_version)
            self.run_move("to-v3", "v3", expected=6)
        finally:
            stop.set()
            for thread in threads:
                thread.join(30)
        total = counts.ok + counts.failed - sum(before.values())
        failed = counts.failed + counts.by_version.get("v3", 0)
        print(
            f"background load: {counts.ok} ok, {counts.failed} failed, "
            f"by version {counts.by_version}"
        )
        print(f"requests sent to the failing version: {failed} of {total} during its move")
        self.check("wrong answers in the background load", 0, counts.wrong)

    def run_move(self, name: str, version: str, expected: int) -> None:
        """Start a move, wait for its outcome and print it."""
        started_at = time.monotonic()
        within = ["--within-s", str(MOVE_WITHIN_S)]
        self.run_cli("move", "start", name, "registry", version, "demo", *within)
        wait = ["--wait-s", str(MOVE_WITHIN_S + 5)]
        output = self.run_cli("move", "status", name, *wait, expected=expected)
        print(
            f"move {name}: settled after {time.monotonic() - started_at:.1f} s\n{output.rstrip()}"
        )

    def generate_load(self, number: int, counts: LoadCounts, stop: threading.Event) -> None:
        """Send gate lookups until the stop event is set and check each answer."""
        port = self.fleet.hosts[HOSTS[number % len(HOSTS)]].callers
        headers = {"Authorization": f"Bearer {TOKENS['officina']}"}
        conn = http.client.HTTPConnection(LOOPBACK, port, timeout=10)
        turn = 0
        while not stop.is_set():
            turn += 1
            path = f"/passports/{number}-{turn}"
            with contextlib.suppress(OSError, http.client.HTTPException):
                conn.request("GET", path, headers=headers)
                answer = conn.getresponse()
                body = answer.read()
                count_answer(counts, path, answer.status, body)
                continue
            counts.failed += 1
            conn.close()

    def report(self) -> int:
        """Print all checks and return the number that failed."""
        width = max(len(check.what) for check in self.checks)
        for check in self.checks:
            mark = "ok" if check.ok else f"WRONG, expected {check.expected}"
            print(f"{check.what:<{width}}  {check.actual:<16} {mark}")
        return sum(not check.ok for check in self.checks)


def count_answer(counts: LoadCounts, path: str, status: int, body: bytes) -> None:
    """Count one answer of the background load."""
    if status != 200:
        counts.failed += 1
        return
    doc = json.loads(body)
    counts.ok += 1
    counts.wrong += doc["path"] != path
    counts.by_version[doc["version"]] = counts.by_version.get(doc["version"], 0) + 1


def show_path(answer: Any) -> str:
    """Return the status and the path echoed by a service."""
    return f"{answer.status} {answer.json().get('path')}"


def print_addresses(fleet: Fleet) -> None:
    """Print how to use the fleet with curl and with the command line."""
    for name, ports in fleet.hosts.items():
        print(f"{name}: callers http://{LOOPBACK}:{ports.callers}, operators at {ports.operators}")
    first = fleet.hosts[HOSTS[0]]
    print(
        f"curl -H 'Authorization: Bearer {TOKENS['officina']}' http://{LOOPBACK}:{first.callers}/passports/1"
    )
    print(f"export TARRAGONWIND_AT={LOOPBACK}:{first.operators}")
    print(f"export TARRAGONWIND_TOKEN_FILE={fleet.directory}/token.txt")


def wait_for_end(fleet: Fleet) -> int:
    """Wait until a process of the fleet has ended, and return the exit code."""
    while True:
        for name, started in fleet.processes.items():
            if started.process.poll() is not None:
                print(f"{name} has ended with code {started.process.returncode}")
                return 1
        time.sleep(STAY_POLL_S)


def interrupt(number: int, frame: FrameType | None) -> None:
    """Treat a signal like Ctrl-C, so that the processes of the fleet are stopped."""
    raise KeyboardInterrupt


def main(stay: bool = False) -> None:
    """Run the demonstration.

    Parameters
    ----------
    stay : bool
        Start the fleet only, and wait until it is interrupted or one of its processes ends.
    """
    signal.signal(signal.SIGTERM, interrupt)
    try:
        sys.exit(run_fleet(stay))
    except KeyboardInterrupt:
        sys.exit(0 if stay else INTERRUPTED)


def run_fleet(stay: bool) -> int:
    """Start the fleet, run the checks or wait, stop the fleet, and return the exit code."""
    with (
        tempfile.TemporaryDirectory(prefix="tarragonwind-") as directory,
        Fleet(Path(directory)) as fleet,
    ):
        demo = Demo(fleet)
        demo.set_up()
        if stay:
            print_addresses(fleet)
            sys.stdout.flush()
            return wait_for_end(fleet)
        demo.send_every_tier()
        demo.run_moves()
        print(demo.run_cli("hosts"))
        return 1 if demo.report() else 0


if __name__ == "__main__":
    fire.Fire(main)
