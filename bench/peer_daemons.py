"""Run the peer transport and membership of one daemon as a process of `bench.peers`.

The process prints the line ``ready`` once its signal handler is installed, then a JSON line of its
counters on each SIGUSR1, and exits by itself after a time.
"""

from __future__ import annotations

import json
import random
import signal
import sys
import time
from types import FrameType

import fire
from loguru import logger

from tarragonwind.adapters.loops import create_loop
from tarragonwind.adapters.memberships import MembershipSettings, create_membership
from tarragonwind.adapters.peers import PeerSettings, create_peers
from tarragonwind.ports import Address

LOOPBACK = "127.0.0.1"


def main(name: str, port: int, seed_port: int, max_run_s: float) -> None:
    """Run the transport and membership of one daemon until `max_run_s` has passed.

    Parameters
    ----------
    name : str
        Name of the host.
    port : int
        Port that it listens on, on loopback.
    seed_port : int
        Port of the host through which it joins the fleet.
    max_run_s : float
        Time after which the process exits by itself, in seconds.
    """
    logger.remove()
    rng = random.Random(name)
    loop = create_loop()
    cfg = PeerSettings(name, "etna", Address(LOOPBACK, port), b"bench", rng.getrandbits(32))
    peers = create_peers(loop, cfg)
    seeds = MembershipSettings([Address(LOOPBACK, seed_port)])
    membership = create_membership(peers, loop.timers, seeds, rng)
    changes: list[tuple[float, int]] = []
    membership.subscribe(lambda: changes.append((time.time(), len(membership.live()))))

    def report(signum: int, frame: FrameType | None) -> None:
        counters = peers.traffic.values()
        line = {
            "time": time.time(),
            "cpu_s": time.process_time(),
            "live": len(membership.live()),
            "isolated": membership.isolated,
            "conns": peers.conn_count(),
            "sent_messages": sum(counter.sent_messages for counter in counters),
            "sent_bytes": sum(counter.sent_bytes for counter in counters),
            "received_messages": sum(counter.received_messages for counter in counters),
            "received_bytes": sum(counter.received_bytes for counter in counters),
            "changes": changes[-4:],
        }
        sys.stdout.write(json.dumps(line) + "\n")
        sys.stdout.flush()

    signal.signal(signal.SIGUSR1, report)
    sys.stdout.write("ready\n")
    sys.stdout.flush()
    loop.timers.call_later(0.0, membership.start)
    loop.timers.call_later(max_run_s, loop.stop)
    loop.run()


if __name__ == "__main__":
    fire.Fire(main)
