"""Define the settings and traffic counters of the transport between daemons."""

from __future__ import annotations

from tarragonwind.messages import OWN_LEVEL
from tarragonwind.ports import Address
from tarragonwind.records import dataclass


@dataclass(slots=True)
class PeerSettings:
    """Configure the peer transport.

    Attributes
    ----------
    name, data_centre : str
        Name of this host and of its data centre.
    listen : Address
        Address to listen on for peers; port 0 selects a free port.
    token : bytes
        Secret shared by all daemons of the fleet.
    start_id : int
        Random number that identifies this run of the process.
    advertise : Address or None
        Address that peers connect to, None for the listening one.
    idle_s : float
        Idle time after which an outbound connection is closed, in seconds.
    message_timeout_s : float
        Maximum time between two reads of an incomplete message, in seconds.
    level : int
        Protocol level that this host announces; tests set a lower one.
    """

    name: str
    data_centre: str
    listen: Address
    token: bytes
    start_id: int
    advertise: Address | None = None
    idle_s: float = 60.0
    message_timeout_s: float = 5.0
    level: int = OWN_LEVEL


@dataclass(slots=True)
class TrafficCounters:
    """Count the messages of one class; bytes are of the packed messages without TCP headers."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
