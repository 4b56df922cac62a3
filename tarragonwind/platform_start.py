"""Start a daemon on the users' platform: listen first, then import what serves.

Callers that connect while the rest is imported wait instead of being refused, which matters when
all hosts start at once.
"""

from __future__ import annotations

import gc
import importlib
import os
import signal
import socket
import sys
from types import ModuleType

from tarragonwind.platform.addresses import read_caller_address, settings_path

BACKLOG = 1_024
"""Connections of callers that may wait during the start."""


def import_daemon() -> ModuleType:
    """Import what serves, without what only makes a start longer."""
    # circuits declares itself a namespace package by this large module; nothing extends it here.
    stub = ModuleType("pkg_resources")
    stub.declare_namespace = _declare_nothing  # type: ignore[attr-defined]
    sys.modules.setdefault("pkg_resources", stub)
    # Looking for plugins reads the metadata of every installed package.
    os.environ.setdefault("PYDANTIC_DISABLE_PLUGINS", "true")
    return importlib.import_module("tarragonwind.platform_daemons")


def _declare_nothing(name: str) -> None:
    """Leave a package as it is."""


def main() -> None:
    """Listen for callers and run the daemon."""
    # Next to nothing of what is imported is garbage; the daemon turns the collector on.
    gc.disable()
    # Until the daemon handles it, a reload has nothing to do; its default would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = settings_path()
    address = read_caller_address(path)
    sock = socket.create_server((address.host, address.port), backlog=BACKLOG)
    daemons = import_daemon()
    daemons.run_platform_daemon(path, sock)


if __name__ == "__main__":
    main()
