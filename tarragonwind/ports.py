"""Define the ports: interfaces that the core and the daemon use and adapters implement."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import field
from typing import Protocol, TypeVar

from tarragonwind.futures import Future
from tarragonwind.messages import OWN_LEVEL, Message
from tarragonwind.records import dataclass

MessageT = TypeVar("MessageT", bound=Message)


class Timer(Protocol):
    """Represent one scheduled callback."""

    def cancel(self) -> None:
        """Cancel the callback; has no effect if it has run or was cancelled."""


class Timers(Protocol):
    """Provide clocks and scheduled callbacks."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def wall(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` once, `delay_s` seconds from now."""

    def call_every(self, period_s: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` every `period_s` seconds until cancelled."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """Represent one key and its value, as read from the store.

    Attributes
    ----------
    key : str
        Full key.
    value : bytes
        Value, at most one megabyte.
    mod_revision : int
        Store revision of the last write of the key.
    lease_id : int
        Lease that the key is bound to, 0 for none.
    """

    key: str
    value: bytes
    mod_revision: int
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Compare:
    """Require that a key was last written at a revision; 0 requires that it doesn't exist."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write a key, optionally bound to a lease."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Remove a key."""

    key: str


@dataclass(frozen=True, slots=True)
class TxnResult:
    """Report whether a transaction's comparisons held, and the store revision after it."""

    succeeded: bool
    revision: int


@dataclass(frozen=True, slots=True)
class RangeResult:
    """Contain the sorted keys under a prefix, and the store's era and revision of the read.

    Attributes
    ----------
    items : list of KeyValue
        Existing keys; those of later pages may be newer than `revision`.
    revision : int
        Revision of the store when the first page was read.
    era : int
        Era of the store, 0 for a store that has none.
    last_revision : int
        Revision of the store when the last page was read, 0 for a read of one page.
    """

    items: list[KeyValue]
    revision: int
    era: int = 0
    last_revision: int = 0


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """Describe one change: the new value of a key, or its removal (`value` is None)."""

    key: str
    value: bytes | None
    mod_revision: int


DEFAULT_POLL_S = 2.5
"""Longest wait of one call of a watch, in seconds. With the timeout's margin, a stalled connection
is detected within 3 s, the time after which a host must apply what the store has accepted."""


@dataclass(slots=True)
class Watch:
    """Represent a running watch of a key prefix.

    Attributes
    ----------
    cancel : callable
        Cancels the watch and closes its connection.
    known_revision : int
        Revision up to which the watcher has the changes from elsewhere; they may be left out.
    batch_delay_s : float
        Time for which a store that is polled lets changes gather, in seconds.
    poll_s : float
        Longest wait of one call to a store that is polled, in seconds.
    pending_call : int
        Number of the call that waits at a store that is polled, 0 for none.
    """

    cancel: Callable[[], None] = field(default=lambda: None)
    known_revision: int = 0
    batch_delay_s: float = 0.0
    poll_s: float = DEFAULT_POLL_S
    pending_call: int = 0


class Store(ABC):
    """Access the platform's key-value service.

    Each call is counted; a watch counts as one call. Every returned future may fail with
    `tarragonwind.errors.StoreError`.
    """

    @abstractmethod
    def get(self, key: str) -> Future[KeyValue | None]:
        """Read one key."""

    @abstractmethod
    def read_range(self, prefix: str) -> Future[RangeResult]:
        """Read all keys that begin with `prefix`."""

    @abstractmethod
    def commit(self, compares: list[Compare], ops: list[Put | Delete]) -> Future[TxnResult]:
        """Apply `ops` in one transaction if all `compares` hold."""

    @abstractmethod
    def grant_lease(self, ttl_s: int) -> Future[int]:
        """Create a lease and return its id."""

    @abstractmethod
    def renew_lease(self, lease_id: int) -> Future[float]:
        """Renew a lease and return its remaining time in seconds; 0 if it has expired."""

    @abstractmethod
    def revoke_lease(self, lease_id: int) -> Future[None]:
        """Revoke a lease and remove its keys."""

    @abstractmethod
    def watch(
        self,
        prefix: str,
        from_revision: int,
        on_events: Callable[[list[WatchEvent]], None],
        on_end: Callable[[str], None],
        era: int = 0,
    ) -> Watch:
        """Watch changes under `prefix`, starting at a revision.

        Parameters
        ----------
        prefix : str
            Prefix of the keys to watch.
        from_revision : int
            First revision to report.
        on_events : callable
            Called with each batch of changes, in order.
        on_end : callable
            Called once with the reason if the watch is interrupted or rejected.
        era : int
            Era of the store to which the revision belongs; the watch ends with the era.
        """

    @abstractmethod
    def subscribe_era(self, listener: Callable[[int], None]) -> None:
        """Call `listener` with each era of the store after the first, if it has eras."""


@dataclass(frozen=True, slots=True)
class Address:
    """Represent a TCP endpoint by its IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(slots=True)
class HttpRequest:
    """Represent a complete HTTP request to an external system.

    Attributes
    ----------
    method, target : str
        Method and request target.
    headers : list of (bytes, bytes)
        Header fields except Host and Content-Length, which the transport adds.
    body : bytes
        Complete body.
    authority : str
        Value of the Host header field; if empty, the address to which the request is sent.
    """

    method: str
    target: str
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    authority: str = ""


@dataclass(slots=True)
class HttpResponse:
    """Represent a complete HTTP response from an external system."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class HttpError(Exception):
    """Signal an HTTP exchange without a complete response.

    Parameters
    ----------
    message : str
        Description of the failure.
    sent : bool
        Whether any byte of the request may have reached the server.
    disconnected : bool
        Whether the server's end of the connection has closed or reset it.
    """

    def __init__(self, message: str, sent: bool, disconnected: bool = False) -> None:
        super().__init__(message)
        self.sent = sent
        self.disconnected = disconnected


class HttpTransport(ABC):
    """Send HTTP requests; never retries a request by itself."""

    @abstractmethod
    def fetch(self, address: Address, req: HttpRequest, timeout_s: float) -> Future[HttpResponse]:
        """Send a request and wait for the complete response.

        The future may fail with `HttpError`.
        """

    @abstractmethod
    def stream(
        self,
        address: Address,
        req: HttpRequest,
        on_data: Callable[[bytes], None],
        on_end: Callable[[str], None],
    ) -> Callable[[], None]:
        """Send a request and pass on the response body as it arrives.

        Returns
        -------
        callable
            Cancels the exchange. Otherwise `on_end` is called once, with the reason for the end.
        """


class Members(ABC):
    """Provide the membership of the fleet as this daemon sees it."""

    name: str
    """Name of this daemon."""

    @abstractmethod
    def live(self) -> tuple[str, ...]:
        """Return the sorted names of the live participating daemons, including this one."""

    @property
    def isolated(self) -> bool:
        """Return whether this daemon can't reach the majority of the fleet."""
        return False

    def leaving_hosts(self) -> tuple[str, ...]:
        """Return the names of daemons that have announced a graceful shutdown."""
        return ()

    def running(self) -> tuple[str, ...]:
        """Return the names of daemons that may send: live ones and those in a graceful shutdown."""
        return (*self.live(), *self.leaving_hosts())

    @abstractmethod
    def owner_of(self, key: str) -> str:
        """Return the live daemon that owns a key, by rendezvous hashing."""

    @abstractmethod
    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the set of live daemons."""


class Peers(ABC):
    """Send messages between daemons.

    Messages of each pair of daemons arrive in order; those in flight are lost if the connection
    breaks.
    """

    @abstractmethod
    def send(self, host: str, msg: Message) -> bool:
        """Queue a message to a daemon, or to this one; return False if it is unreachable now."""

    @abstractmethod
    def subscribe(self, cls: type[MessageT], callback: Callable[[str, MessageT], None]) -> None:
        """Call `callback` with the sender's name and the message, for each message of a class."""

    def supports(self, host: str, level: int) -> bool:
        """Return whether a daemon is known to read messages of a protocol level.

        Without a handshake every daemon is of the sender's own build.
        """
        return level <= OWN_LEVEL


class Gossip(ABC):
    """Piggyback small payloads on membership probes, which carry them to all daemons."""

    @abstractmethod
    def attach(
        self,
        name: str,
        provider: Callable[[], bytes | None],
        consumer: Callable[[str, bytes], None],
    ) -> None:
        """Register a payload slot.

        Parameters
        ----------
        name : str
            Short name of the slot, the same on all daemons.
        provider : callable
            Returns the current value for the next message, or None. The values of all slots in one
            message are limited to 200 bytes in total; a slot that doesn't fit goes first in the
            next message.
        consumer : callable
            Called with the sender's name and the value. Values may repeat and arrive in any order,
            so it must merge them, and the provider must return the merged value from then on.
        """

    @abstractmethod
    def push_payloads(self) -> None:
        """Send the payloads to a few daemons now; call it when a provided value has changed."""
