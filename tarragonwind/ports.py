"""Name what the core and the daemon need from the outside; adapters provide it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from tarragonwind.futures import Future
from tarragonwind.messages import Message

MessageT = TypeVar("MessageT", bound=Message)


class Timer(Protocol):
    """Stand for one subscription to the timer service."""

    def cancel(self) -> None:
        """End the subscription; harmless when it has ended."""


class Timers(Protocol):
    """Tell the time and call subscribers when theirs has come."""

    def now(self) -> float:
        """Return seconds on the monotonic clock."""

    def wall(self) -> float:
        """Return seconds since the epoch."""

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` once, `delay_s` seconds from now."""

    def call_every(self, period_s: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` every `period_s` seconds until cancelled."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """Hold one key of the store.

    Attributes
    ----------
    key : str
        Full key.
    value : bytes
        At most one megabyte.
    mod_revision : int
        Store revision of the last write to the key.
    lease_id : int
        Lease that the key ends with, 0 for none.
    """

    key: str
    value: bytes
    mod_revision: int
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Compare:
    """Require that a key was last written at a revision; 0 requires that it does not exist."""

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
    """Tell whether a transaction's comparisons held, and the store's revision after it."""

    succeeded: bool
    revision: int


@dataclass(frozen=True, slots=True)
class RangeResult:
    """Hold the keys under a prefix, sorted, and the store's revision at the read."""

    items: list[KeyValue]
    revision: int


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """Report one change: the new state of a key, or its removal (`value` is None)."""

    key: str
    value: bytes | None
    mod_revision: int


@dataclass(slots=True)
class Watch:
    """Follow a prefix; `cancel` ends it.

    Attributes
    ----------
    cancel : callable
        Ends the watch and its connection.
    """

    cancel: Callable[[], None] = field(default=lambda: None)


class Store(ABC):
    """Reach the platform's key-value service. Each call is counted, a waiting watch as one.

    Every returned future may fail with `tarragonwind.errors.StoreError`.
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
        """Renew a lease and return the seconds that it now has; 0 when it has lapsed."""

    @abstractmethod
    def revoke_lease(self, lease_id: int) -> Future[None]:
        """End a lease and remove its keys."""

    @abstractmethod
    def watch(
        self,
        prefix: str,
        from_revision: int,
        on_events: Callable[[list[WatchEvent]], None],
        on_end: Callable[[str], None],
    ) -> Watch:
        """Follow changes under `prefix` from a revision on.

        Parameters
        ----------
        prefix : str
            Keys to follow.
        from_revision : int
            First revision wanted.
        on_events : callable
            Called with each batch of changes, in order.
        on_end : callable
            Called once with the reason when the watch is cut or refused.
        """


@dataclass(frozen=True, slots=True)
class Address:
    """Name a TCP endpoint by IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(slots=True)
class HttpRequest:
    """Hold a whole request to an outside system.

    Attributes
    ----------
    method, target : str
        Method and request target.
    headers : list of (bytes, bytes)
        Header fields without Host and Content-Length, which the client adds.
    body : bytes
        Whole body.
    authority : str
        Value of the Host field; empty for the address that the request goes to.
    """

    method: str
    target: str
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    authority: str = ""


@dataclass(slots=True)
class HttpResponse:
    """Hold a whole response of an outside system."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class HttpError(Exception):
    """Report an exchange that gave no whole response.

    Parameters
    ----------
    message : str
        What was seen.
    sent : bool
        Whether a byte of the request may have reached the other side.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class HttpTransport(ABC):
    """Exchange one request for one whole response; never repeats a request by itself."""

    @abstractmethod
    def fetch(self, address: Address, req: HttpRequest, timeout_s: float) -> Future[HttpResponse]:
        """Send a request and wait for the whole response.

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
        """Send a request and pass on the response's body as it comes.

        Returns
        -------
        callable
            Ends the exchange. `on_end` is called once otherwise, with the reason.
        """


class Members(ABC):
    """Tell which daemons are alive, as this daemon sees it."""

    name: str
    """Name of this daemon."""

    @abstractmethod
    def live(self) -> tuple[str, ...]:
        """Return the sorted names of live daemons that take part, this one included."""

    @property
    def isolated(self) -> bool:
        """Tell whether this daemon can't reach the larger part of the fleet."""
        return False

    def leaving_hosts(self) -> tuple[str, ...]:
        """Return the names of daemons that have announced their planned stop."""
        return ()

    def running(self) -> tuple[str, ...]:
        """Return the names of daemons that may send: the live ones and those in a planned stop."""
        return (*self.live(), *self.leaving_hosts())

    @abstractmethod
    def owner_of(self, key: str) -> str:
        """Return the live daemon that a key belongs to, by rendezvous hashing."""

    @abstractmethod
    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the live daemons."""


class Peers(ABC):
    """Carry messages between daemons; in order for each pair, lost when a connection breaks."""

    @abstractmethod
    def send(self, host: str, msg: Message) -> bool:
        """Queue a message to a daemon (this one included); false when it can't be reached now."""

    @abstractmethod
    def subscribe(self, cls: type[MessageT], callback: Callable[[str, MessageT], None]) -> None:
        """Call `callback` with the sender's name and each message of a class."""


class Gossip(ABC):
    """Let small facts ride on the probes between daemons, so that they reach all by themselves."""

    @abstractmethod
    def attach(
        self,
        name: str,
        provider: Callable[[], bytes | None],
        consumer: Callable[[str, bytes], None],
    ) -> None:
        """Add a slot.

        Parameters
        ----------
        name : str
            Short name of the slot, the same on all daemons.
        provider : callable
            Returns the present value for the next message, or None. The values of all slots on
            one message are bounded by 200 bytes; a slot that finds no room goes first on the next.
        consumer : callable
            Called with the sender's name and the value. Values repeat and come in any order, so
            it must merge them, and provide the merged value from then on.
        """

    @abstractmethod
    def broadcast(self) -> None:
        """Send the facts to a few daemons now; call it when a consumer or this daemon has news."""
