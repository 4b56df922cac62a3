"""Start a daemon on the users' platform: open the listening socket, then import the daemon.

Callers that connect during the imports wait in the backlog instead of being refused, which matters
when all hosts start at the same time.

The default action of SIGHUP ends the process, so it is ignored before anything else is imported
that takes time. Only whoever starts the process can cover the start of the interpreter before that,
by ignoring SIGHUP in the parent: the child inherits it.
"""

from __future__ import annotations

import gc
import importlib
import os
import signal
import sys
from types import ModuleType

BACKLOG = 1_024
"""Caller connections that may wait to be accepted during the start."""


def import_daemon() -> ModuleType:
    """Import the daemon, skipping imports that only lengthen the start."""
    # circuits imports this large module only to declare a namespace package, which is not extended.
    stub = ModuleType("pkg_resources")
    stub.declare_namespace = _ignore_namespace  # type: ignore[attr-defined]
    sys.modules.setdefault("pkg_resources", stub)
    # Plugin discovery reads the metadata of every installed package.
    os.environ.setdefault("PYDANTIC_DISABLE_PLUGINS", "true")
    return importlib.import_module("tarragonwind.platform_daemons")


def _ignore_namespace(name: str) -> None:
    """Replace `pkg_resources.declare_namespace` by a no-op."""


def main() -> None:
    """Open the listening socket for callers and run the daemon."""
    # Until the daemon handles reloads; before the imports, which take longer than all the rest.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports create almost no garbage; the daemon enables the collector once it is built.
    gc.disable()
    import socket

    from tarragonwind.platform.addresses import read_caller_address, settings_path

    path = settings_path()
    address = read_caller_address(path)
    sock = socket.create_server((address.host, address.port), backlog=BACKLOG)
    daemons = import_daemon()
    daemons.run_platform_daemon(path, sock)


if __name__ == "__main__":
    main()
