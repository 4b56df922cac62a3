"""Proxy TCP connections to a target address and inject network faults.

``POST /control`` on the control port sets faults: ``latency_ms``, ``refuse`` (close new
connections), ``black_hole`` (read data and forward none), ``half_open`` (forward no data on
connections that are open when it is set; new ones work), ``drip_bytes_per_s`` (limit the
throughput), ``cut_after_bytes`` (reset a connection after this many bytes of the response) and
``cut`` (a counter: each change resets all connections).
"""

from __future__ import annotations

import contextlib
import socket
from typing import Any

import fire

from standins.servers import StandIn
from tarragonwind.adapters.connections import (
    CLOSED_BY_PEER,
    Connection,
    ConnectionEvents,
    open_connection,
)
from tarragonwind.adapters.listeners import Listener
from tarragonwind.ports import Address

DRIP_PERIOD_S = 0.05


class ProxyFaults:
    """Hold the proxy's faults, set through ``/control``."""

    def __init__(self) -> None:
        self.latency_ms = 0.0
        self.refuse = False
        self.black_hole = False
        self.half_open = False
        self.drip_bytes_per_s = 0
        self.cut_after_bytes = 0
        self.cut = 0


class Side(ConnectionEvents):
    """Forward the data received on one side of a link to the other side."""

    def __init__(self, link: Link, carries_responses: bool) -> None:
        self.link = link
        self.carries_responses = carries_responses
        self.conn: Connection | None = None
        self.buffer = bytearray()
        self.forwarded_bytes = 0
        self.ended = False

    def on_data(self, data: bytes) -> None:
        """Buffer received data and schedule its forwarding."""
        self.buffer += data
        self.link.schedule(self)

    def on_closed(self, reason: str) -> None:
        """Schedule closing the other side after the buffered data; pass a reset on at once."""
        if reason != CLOSED_BY_PEER:
            self.link.reset()
            return
        self.ended = True
        self.link.schedule(self)


class Link:
    """Join a client's connection with a connection to the target."""

    def __init__(self, proxy: FaultProxy, sock: socket.socket) -> None:
        self.proxy = proxy
        self.loop = proxy.loop
        self.frozen = False
        self.client_side = Side(self, carries_responses=False)
        self.target_side = Side(self, carries_responses=True)
        self.client_side.conn = Connection(self.loop, sock, self.client_side)
        try:
            self.target_side.conn = open_connection(self.loop, proxy.target, self.target_side)
        except OSError:
            self.reset()

    def schedule(self, side: Side) -> None:
        """Schedule forwarding of a side's buffer, as the faults demand."""
        faults = self.proxy.faults
        if self.frozen or faults.black_hole:
            return
        if faults.drip_bytes_per_s:
            self.loop.timers.call_later(DRIP_PERIOD_S, lambda: self.drip(side))
            return
        self.loop.timers.call_later(faults.latency_ms / 1000, lambda: self.flush(side))

    def drip(self, side: Side) -> None:
        """Forward one portion and schedule the next."""
        count = max(1, int(self.proxy.faults.drip_bytes_per_s * DRIP_PERIOD_S))
        self.forward(side, count)
        if side.buffer:
            self.schedule(side)

    def flush(self, side: Side) -> None:
        """Forward the whole buffer."""
        self.forward(side, len(side.buffer))

    def forward(self, side: Side, count: int) -> None:
        """Forward buffered bytes, and close the other side after the last one."""
        other = self.client_side if side.carries_responses else self.target_side
        if self.frozen or other.conn is None or self.proxy.faults.black_hole:
            return
        limit = self.proxy.faults.cut_after_bytes
        if (
            limit
            and side.carries_responses
            and side.forwarded_bytes + min(count, len(side.buffer)) >= limit
        ):
            other.conn.write(bytes(side.buffer[: max(0, limit - side.forwarded_bytes)]))
            self.reset()
            return
        other.conn.write(bytes(side.buffer[:count]))
        side.forwarded_bytes += min(count, len(side.buffer))
        del side.buffer[:count]
        if side.ended and not side.buffer:
            other.conn.close_when_sent(discard_input=True)
            self.proxy.links.discard(self)

    def reset(self) -> None:
        """Reset both connections."""
        for side in (self.client_side, self.target_side):
            if side.conn is not None:
                side.conn.reset()
        self.proxy.links.discard(self)


class FaultProxy(StandIn):
    """Proxy a listening address to a target with faults.

    Parameters
    ----------
    port : int
        Control port on 127.0.0.1.
    listen, target : Address
        Address to listen on, and address to connect to.
    """

    def __init__(self, port: int, listen: Address, target: Address) -> None:
        super().__init__(port, ProxyFaults())
        self.target = target
        self.links: set[Link] = set()
        self._cuts = 0
        self._was_half_open = False
        self._listener = Listener(self.loop, listen, self._accept)
        self.loop.timers.call_every(0.01, self._poll_faults)

    def _accept(self, sock: socket.socket, peer: Address) -> None:
        if self.faults.refuse:
            with contextlib.suppress(OSError):
                sock.close()
            return
        self.links.add(Link(self, sock))

    def _poll_faults(self) -> None:
        if self.faults.cut != self._cuts:
            self._cuts = self.faults.cut
            for link in list(self.links):
                link.reset()
        if self.faults.half_open and not self._was_half_open:
            for link in self.links:
                link.frozen = True
        self._was_half_open = bool(self.faults.half_open)


def parse_address(text: str) -> Address:
    """Parse an address of the form ``IP:port``."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def main(port: int, listen: str, target: str, **_options: Any) -> None:
    """Run a proxy until the process is terminated."""
    FaultProxy(port, parse_address(listen), parse_address(target)).run()


if __name__ == "__main__":
    fire.Fire(main)
