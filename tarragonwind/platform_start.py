"""Start a daemon on the users' platform: listen first, then import what serves.

Callers that connect while the rest is imported wait instead of being refused, which matters when
all hosts start at once.
"""

from __future__ import annotations

import importlib
import signal
import socket

from tarragonwind.platform.addresses import read_caller_address, settings_path

BACKLOG = 1_024
"""Connections of callers that may wait during the start."""


def main() -> None:
    """Listen for callers and run the daemon."""
    # Until the daemon handles it, a reload has nothing to do; its default would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = settings_path()
    address = read_caller_address(path)
    sock = socket.create_server((address.host, address.port), backlog=BACKLOG)
    daemons = importlib.import_module("tarragonwind.platform_daemons")
    daemons.run_platform_daemon(path, sock)


if __name__ == "__main__":
    main()
