"""Measure the memory of a host as the platform does: its own, and bytes received and not read."""

from __future__ import annotations

from pathlib import Path

from cases import EntryHost

MEBIBYTE = 1_048_576
LISTENING = "0A"
LITTLE_ENDIAN = "little"


def read_resident_bytes(pid: int, field: str = "VmRSS") -> int:
    """Return the resident memory of a process, or its peak for ``VmHWM``; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0
    found = [line for line in lines if line.startswith(f"{field}:")]
    return int(found[0].split()[1]) * 1_024 if found else 0


def encode_address(address: str) -> str:
    """Return an IPv4 address as ``/proc/net/tcp`` shows it."""
    packed = bytes(int(part) for part in address.split("."))
    return f"{int.from_bytes(packed, LITTLE_ENDIAN):08X}"


def read_unread_bytes(host: EntryHost) -> int:
    """Return the bytes that callers have sent to a host and that it has not read."""
    local = f"{encode_address(host.address)}:{host.callers_port:04X}"
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1] == local and fields[3] != LISTENING:
            total += int(fields[4].partition(":")[2], 16)
    return total
