"""Locate the settings file and parse its addresses, with imports that do not slow the start."""

from __future__ import annotations

import os
from pathlib import Path

from tarragonwind.platform.fields import DecodeError, parse_json_object, read_field
from tarragonwind.ports import Address

SETTINGS_PATH_VARIABLE = "TARRAGONWIND_CONFIG"
"""Environment variable that holds the path of the settings file."""


def settings_path() -> Path:
    """Return the path of the settings file; raise `DecodeError` if the variable is not set."""
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        raise DecodeError(f"the environment variable {SETTINGS_PATH_VARIABLE} is not set")
    return Path(path)


def read_caller_address(path: Path) -> Address:
    """Return the address of the caller listener from a settings file."""
    listen = read_field(parse_json_object(path.read_bytes()), "listen", dict)
    return parse_address(read_field(listen, "front", str))


def parse_address(text: str) -> Address:
    """Parse an address of the form IP:PORT."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit():
        raise DecodeError(f"expected an address of the form IP:PORT, got {text[:80]!r}")
    return Address(host, int(port))
