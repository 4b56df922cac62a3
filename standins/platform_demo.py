"""Demonstrate the daemon on the platform's protocols: ``python -m standins.platform_demo``.

Starts stand-ins of the store and of back ends with two entry hosts, sends requests, revokes an
API key, makes the store unavailable and stops a host. Exits non-zero when a check failed.
"""

from __future__ import annotations

import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import fire

from standins.fleets import set_faults, wait_until
from standins.platform_engine import EVENTS_PER_STREAM
from standins.platform_fleets import KEYS, LOOKUP_PATH, STAMP_PATH, STREAM_PATH, PlatformFleet

REQUESTS = 20
TOKEN_COUNT_HEADERS = {"Model": "m", "Token_Counts": "200,50"}


@dataclass(slots=True)
class Table:
    """Collect the results of checks and count the failed ones."""

    wrong: int = 0
    lines: list[str] = field(default_factory=list)

    def add(self, what: str, expected: object, actual: object) -> None:
        """Compare a result with the expected one and add a line."""
        mark = "ok" if expected == actual else "WRONG"
        self.wrong += expected != actual
        self.lines.append(f"{mark:6} {what}: {actual}")


def run_checks(site: PlatformFleet, table: Table) -> None:
    """Send requests of each kind through both hosts, with and without faults."""
    streams = [
        site.send_caller_request(f"front-{n % 2}", STREAM_PATH, f"d-{n}", **TOKEN_COUNT_HEADERS)
        for n in range(REQUESTS)
    ]
    complete = sum(answer.body.count(b"id: ") == EVENTS_PER_STREAM for answer in streams)
    table.add("complete streams", REQUESTS, complete)
    stamps = [
        site.send_caller_request(f"front-{n % 2}", STAMP_PATH, f"s-{n}").status
        for n in range(REQUESTS)
    ]
    table.add("stamps with status 200", REQUESTS, stamps.count(200))
    failing = site.fleet.processes["i-service0"].port
    set_faults(failing, fail=True)
    lookups = [
        site.send_caller_request("front-0", LOOKUP_PATH, f"l-{n}").status for n in range(REQUESTS)
    ]
    set_faults(failing, fail=False)
    table.add("lookups answered while a back end fails", REQUESTS, lookups.count(200))
    site.configure(keys={"cantiere": KEYS["cantiere"]})
    wait_until(
        lambda: site.send_caller_request("front-0", LOOKUP_PATH, "k-1").status == 401,
        "the key is revoked",
    )
    table.add(
        "status with the revoked key",
        401,
        site.send_caller_request("front-1", LOOKUP_PATH, "k-2").status,
    )
    set_faults(site.store_port, away=True)
    status = site.send_caller_request("front-0", LOOKUP_PATH, "a-1", "cantiere").status
    set_faults(site.store_port, away=False)
    table.add("status while the store is unavailable", 200, status)
    process = site.fleet.processes["front-1"].process
    process.send_signal(signal.SIGTERM)
    started_at = time.monotonic()
    code = process.wait(10)
    table.add("exit code of a graceful stop", 0, code)
    print(f"the graceful stop took {time.monotonic() - started_at:.1f} s")


def main() -> None:
    """Run the demonstration."""
    table = Table()
    with tempfile.TemporaryDirectory() as directory, PlatformFleet(Path(directory)) as site:
        site.start(engines=2, services=2, hosts=2)
        run_checks(site, table)
    print("\n".join(table.lines))
    sys.exit(1 if table.wrong else 0)


if __name__ == "__main__":
    fire.Fire(main)
