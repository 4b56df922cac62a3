"""Define callers' requests, and the limits on their size and time."""

from __future__ import annotations

import enum

RATE_PERIOD_S = 5.0
"""Time over which a rate is measured, in seconds; shorter pauses of a link are no reason to end."""


class ReadPhase(enum.Enum):
    """Define what a connection waits for, each with a time limit of its own."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"


class HttpLimits:
    """Limit the size and duration of requests and responses on one connection.

    Attributes
    ----------
    max_head_bytes, max_body_bytes : int
        Largest request line with header fields, and largest body, in bytes.
    head_timeout_s, body_timeout_s : float
        Longest time from the first byte to the end of the head, and from there to the end of the
        body, in seconds.
    idle_timeout_s : float
        Longest wait for the first or next request of a connection, in seconds.
    stall_timeout_s : float
        Longest time without progress while response bytes wait to be sent, in seconds.
    max_connections : int
        Maximum number of open connections.
    address_share : float
        Part of them that one caller address may have.
    min_bytes_per_second : float
        Least rate at which a body must come and a response that is buffered must be read, over
        `RATE_PERIOD_S`; 0 for none.
    congestion_timeout_s : float
        Longest time without progress while a response waits for its caller to read, in seconds.
    """

    __slots__ = (
        "address_share",
        "body_timeout_s",
        "congestion_timeout_s",
        "head_timeout_s",
        "idle_timeout_s",
        "max_body_bytes",
        "max_connections",
        "max_head_bytes",
        "min_bytes_per_second",
        "stall_timeout_s",
    )

    def __init__(
        self,
        max_head_bytes: int = 32 * 1024,
        max_body_bytes: int = 8 * 1024 * 1024,
        head_timeout_s: float = 10.0,
        body_timeout_s: float = 30.0,
        idle_timeout_s: float = 75.0,
        stall_timeout_s: float = 60.0,
        max_connections: int = 10_000,
        address_share: float = 1.0,
        min_bytes_per_second: float = 0.0,
        congestion_timeout_s: float = 60.0,
    ) -> None:
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.head_timeout_s = head_timeout_s
        self.body_timeout_s = body_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.stall_timeout_s = stall_timeout_s
        self.max_connections = max_connections
        self.address_share = address_share
        self.min_bytes_per_second = min_bytes_per_second
        self.congestion_timeout_s = congestion_timeout_s

    @property
    def max_per_address(self) -> int:
        """Return the maximum number of open connections of one caller address."""
        return max(1, int(self.max_connections * self.address_share))

    def read_timeout_s(self, phase: ReadPhase) -> float:
        """Return the longest duration of a phase, in seconds."""
        if phase is ReadPhase.IDLE:
            return self.idle_timeout_s
        return self.head_timeout_s if phase is ReadPhase.HEAD else self.body_timeout_s


class CallerRequest:
    """Represent one complete request of a caller.

    Attributes
    ----------
    method, target : str
        Method and request target as sent.
    headers : list of (bytes, bytes)
        Header fields in the order sent.
    body : bytes
        Decoded body.
    keep_alive : bool
        Whether the connection may stay open after the response.
    accepts_chunked : bool
        Whether the response may use chunked transfer coding, as in HTTP/1.1.
    head_cost : int
        Memory that the head takes, in bytes.
    organisation : str
        Name of the caller's organisation where it was found by the head, else empty.
    """

    __slots__ = (
        "accepts_chunked",
        "body",
        "head_cost",
        "headers",
        "keep_alive",
        "method",
        "organisation",
        "target",
    )

    def __init__(self, method: str, target: str, headers: list[tuple[bytes, bytes]]) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""
        self.keep_alive = True
        self.accepts_chunked = True
        self.head_cost = 0
        self.organisation = ""

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header, empty if it is absent.

        Parameters
        ----------
        name : bytes
            Name in lower case.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return b""
