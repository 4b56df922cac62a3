"""Start a daemon on the users' platform: listen first, then import what serves.

Callers that connect while the rest is imported wait instead of being refused, which matters when
all hosts start at once.
"""

from __future__ import annotations

import importlib
import socket

from tarragonwind.platform.addresses import read_caller_address, settings_path

BACKLOG = 1_024
"""Connections of callers that may wait during the start."""


def main() -> None:
    """Listen for callers and run the daemon."""
    path = settings_path()
    address = read_caller_address(path)
    sock = socket.create_server((address.host, address.port), backlog=BACKLOG)
    daemons = importlib.import_module("tarragonwind.platform_daemons")
    daemons.run_platform_daemon(path, sock)


if __name__ == "__main__":
    main()
