"""Hold what the transport between daemons needs to know, and what it counts."""

from __future__ import annotations

from dataclasses import dataclass

from tarragonwind.ports import Address


@dataclass(slots=True)
class PeerSettings:
    """Hold what the transport needs to know.

    Attributes
    ----------
    name, data_centre : str
        This host.
    listen : Address
        Where to listen for peers; port 0 takes a free one.
    token : bytes
        Secret that all daemons of the fleet share.
    start_id : int
        Random number of this start of the process.
    advertise : Address or None
        Address that the others should use, None for the listening one.
    idle_s : float
        Quiet time after which an opened connection is closed.
    message_timeout_s : float
        Longest pause in the middle of a message.
    """

    name: str
    data_centre: str
    listen: Address
    token: bytes
    start_id: int
    advertise: Address | None = None
    idle_s: float = 60.0
    message_timeout_s: float = 5.0


@dataclass(slots=True)
class TrafficCounters:
    """Count messages of one class; bytes are packed bytes without TCP headers."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
