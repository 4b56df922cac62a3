"""Run an entry host whose connections to chosen ports can be cut off while it runs.

A file names the ports and how they are cut: `hang` loses all packets of old and new connections,
`refuse` refuses new connections and loses what is sent on old ones, `refuse_new` refuses new
connections only.
"""

from __future__ import annotations

import errno
import json
import os
import socket
from pathlib import Path
from typing import Any

CUT_VARIABLE = "CUT_FILE"
"""Environment variable with the path of the file."""
BLACK_HOLE_CONNECTIONS = 4
"""Connections that fill the backlog of a listener, after which others hang."""

_system_socket = socket.socket


def open_black_hole() -> tuple[tuple[str, int], list[socket.socket]]:
    """Return an address at which connects hang, and the sockets that keep it so."""
    listener = _system_socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    held = [listener]
    for _ in range(BLACK_HOLE_CONNECTIONS):
        sock = _system_socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
        held.append(sock)
    return listener.getsockname(), held


class Cuts:
    """Read which ports are cut off."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self.black_hole, self._held = open_black_hole()

    def how(self, port: int) -> str:
        """Return how a port is cut off now, empty if it is not."""
        try:
            doc = json.loads(self._path.read_text())
        except FileNotFoundError:
            return ""
        return str(doc["how"]) if port in doc["ports"] else ""


class CutSocket(_system_socket):
    """Lose what is sent to ports that are cut off."""

    cuts: Cuts
    target_port = 0

    def connect_ex(self, address: Any) -> int:
        """Connect, unless the port is cut off."""
        self.target_port = address[1]
        how = self.cuts.how(self.target_port)
        if how.startswith("refuse"):
            return errno.ECONNREFUSED
        return super().connect_ex(self.cuts.black_hole if how else address)

    def send(self, data: Any, *args: Any) -> int:
        """Send, or lose the data."""
        if self.target_port and self.cuts.how(self.target_port) in ("hang", "refuse"):
            return len(data)
        return super().send(data, *args)


def main() -> None:
    """Run an entry host with sockets that can be cut off."""
    CutSocket.cuts = Cuts(Path(os.environ[CUT_VARIABLE]))
    socket.socket = CutSocket  # type: ignore[misc]
    from tarragonwind import platform_start

    platform_start.main()


if __name__ == "__main__":
    main()
