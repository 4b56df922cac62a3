"""Provide several transports and memberships on one event loop for tests."""

import random
from collections.abc import Callable

from tarragonwind.adapters.loops import Loop, create_loop
from tarragonwind.adapters.memberships import (
    Membership,
    MembershipSettings,
    create_membership,
)
from tarragonwind.adapters.peers import PeerSettings, TcpPeers, create_peers
from tarragonwind.ports import Address

TOKEN = b"a fleet's secret"
WAIT_TIMEOUT_S = 20.0


class Bench:
    """Hold an event loop and the transports that run on it."""

    def __init__(self) -> None:
        self.loop: Loop = create_loop()
        self.transports: list[TcpPeers] = []

    def peers(self, name: str, token: bytes = TOKEN, start_id: int = 1, **more) -> TcpPeers:
        cfg = PeerSettings(name, "etna", Address("127.0.0.1", 0), token, start_id, **more)
        transport = create_peers(self.loop, cfg)
        self.transports.append(transport)
        return transport

    def membership(
        self, peers: TcpPeers, seeds: list[Address], seed: int = 0, size: int = 100
    ) -> Membership:
        cfg = MembershipSettings(seeds, size)
        return create_membership(peers, self.loop.timers, cfg, random.Random(seed))

    def wait(self, reached: Callable[[], bool], what: str) -> None:
        """Run the loop until `reached` holds; fail after `WAIT_TIMEOUT_S`."""
        deadline = self.loop.timers.now() + WAIT_TIMEOUT_S

        def check() -> None:
            if reached() or self.loop.timers.now() > deadline:
                self.loop.stop()

        timer = self.loop.timers.call_every(0.002, check)
        self.loop.run()
        timer.cancel()
        assert reached(), f"not reached in {WAIT_TIMEOUT_S} s: {what}"

    def close(self) -> None:
        for transport in self.transports:
            transport.stop()


def exchange_addresses(*transports: TcpPeers) -> None:
    """Set the addresses of all transports on each other."""
    for one in transports:
        for other in transports:
            one.set_address(other.identity.name, other.address)
