"""Decide who may hold how much of a host's memory: input, bodies and unread responses.

Each connection has a holding, which counts for its caller's address and, once it is known, for its
organisation. Room for a body is reserved before the body is read, so that bodies that are being
read can be completed. While room is short, holders wait with their reading paused; those that get
none within `WAIT_S` are refused, and stalled ones are shed, first those of groups that hold more
than their fair share.
"""

from __future__ import annotations

import enum
from collections import Counter
from dataclasses import field
from typing import Protocol

from tarragonwind.records import dataclass

MEGABYTE = 1_000_000
PROCESS_BYTES = 110 * MEGABYTE
"""Part of a host's memory that is not lent out: the idle process takes 50 to 60 MB, parsing the
largest JSON body up to 48 MB for a moment."""
LENT_FRACTION = 0.75
"""Part of the rest that is lent out; the allocator needs the remainder for fragmentation."""
MIN_SIZE_BYTES = 16 * MEGABYTE
CONNECTION_BYTES = 4 * 1024
"""Memory of a connection without input: its parser, objects and registration take 2 KiB."""
SHED_BYTES = 16 * 1024
"""Least size of a holding that is shed for others that wait."""
SMALL_BYTES = 256 * 1024
"""Largest reservation that may use the part kept free for small ones, in bytes."""
LARGE_FRACTION = 0.75
"""Part of the account that larger reservations may use."""
RESPONSE_BYTES = 64 * 1024
"""Unread response bytes above which a holder counts as one that reads its response slowly."""
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
"""Most unread response bytes buffered for one connection."""
RESPONSE_FRACTION = 0.125
"""Part of the free room that one connection's unread response may take."""
PROGRESS_BYTES = 16 * 1024
"""Bytes that a slow reader must take for its progress to count."""
WAIT_S = 0.8
"""Longest wait for room, in seconds; callers give up on a host that hasn't read them after 1 s."""
STALLED_S = 0.4
"""Time without progress after which a holder may be shed for others that wait, in seconds."""
FAIR = 1.0


class Stage(enum.IntEnum):
    """Define what a connection does, the furthest from being served first."""

    HEAD = 0
    WAITING = 1
    BODY = 2
    IDLE = 3
    SERVING = 4


class Holder(Protocol):
    """Receive the decisions on a holding."""

    def on_memory_granted(self) -> None:
        """Continue, as the room that was waited for is reserved."""

    def on_memory_refused(self) -> None:
        """Refuse the request, as there was no room in time."""

    def on_memory_shed(self) -> None:
        """Free what is held."""


class NoHolder(Holder):
    """Ignore the decisions on a holding that was closed."""

    def on_memory_granted(self) -> None:
        """Ignore it."""

    def on_memory_refused(self) -> None:
        """Ignore it."""

    def on_memory_shed(self) -> None:
        """Ignore it."""


NO_HOLDER = NoHolder()


class Holding:
    """Count what one connection holds.

    Attributes
    ----------
    address, organisation : str
        Caller's address and organisation; the latter is empty while it is unknown.
    stage : Stage
        What the connection does.
    progress_at : float
        Time of the last progress, in seconds.
    input_bytes, body_bytes, output_bytes : int
        Bytes of heads and unparsed input, of the body or the room reserved for it, and of unread
        responses.
    """

    __slots__ = (
        "_output_mark",
        "address",
        "body_bytes",
        "holder",
        "input_bytes",
        "open",
        "organisation",
        "output_bytes",
        "progress_at",
        "stage",
        "waiting_since",
        "wanted_bytes",
    )

    def __init__(self, address: str, holder: Holder, now: float) -> None:
        self.address = address
        self.organisation = ""
        self.holder = holder
        self.stage = Stage.IDLE
        self.progress_at = now
        self.input_bytes = 0
        self.body_bytes = 0
        self.output_bytes = 0
        self.wanted_bytes = 0
        self.waiting_since = now
        self.open = True
        self._output_mark = 0

    @property
    def total(self) -> int:
        """Return all bytes held."""
        return CONNECTION_BYTES + self.input_bytes + self.body_bytes + self.output_bytes

    def note_output(self, size: int, now: float) -> None:
        """Record the size of the unread response, and whether it has become less."""
        if size > self._output_mark or size + PROGRESS_BYTES <= self._output_mark:
            if size < self._output_mark or not self.output_bytes:
                self.progress_at = now
            self._output_mark = size


@dataclass(slots=True)
class Settlement:
    """Contain the holders to notify of decisions."""

    granted: list[Holding] = field(default_factory=list)
    refused: list[Holding] = field(default_factory=list)
    shed: list[Holding] = field(default_factory=list)


class MemoryAccount:
    """Keep the account of one host.

    Parameters
    ----------
    size_bytes : int
        Bytes that may be lent out.

    Attributes
    ----------
    used_bytes : int
        Bytes that are lent out.
    """

    __slots__ = (
        "_addresses",
        "_holdings",
        "_organisations",
        "_waiting",
        "size_bytes",
        "used_bytes",
    )

    def __init__(self, size_bytes: int) -> None:
        self.size_bytes = size_bytes
        self.used_bytes = 0
        self._holdings: set[Holding] = set()
        self._waiting: dict[Holding, None] = {}
        self._addresses: Counter[str] = Counter()
        self._organisations: Counter[str] = Counter()

    @property
    def waiting_count(self) -> int:
        """Return the number of holders that wait for room."""
        return len(self._waiting)

    @property
    def short(self) -> bool:
        """Return whether decisions are due: someone waits, or more is held than may be."""
        return bool(self._waiting) or self.used_bytes > self.size_bytes

    @property
    def free_bytes(self) -> int:
        """Return the room that is left."""
        return max(0, self.size_bytes - self.used_bytes)

    def largest(self, count: int) -> list[tuple[str, int]]:
        """Return the addresses and organisations that hold most, with their bytes."""
        addresses = [(f"address {name}", held) for name, held in self._addresses.items()]
        named = [(f"organisation {name}", held) for name, held in self._organisations.items()]
        return sorted([*addresses, *named], key=lambda row: -row[1])[:count]

    def open(self, address: str, holder: Holder, now: float) -> Holding:
        """Return the holding of a new connection."""
        holding = Holding(address, holder, now)
        self._holdings.add(holding)
        self._add(holding, CONNECTION_BYTES)
        return holding

    def close(self, holding: Holding) -> int:
        """Free all that a connection holds; return its size. Further calls have no effect."""
        if not holding.open:
            return 0
        holding.open = False
        # The holder refers to its holding, and would form a ring of references with it.
        holding.holder = NO_HOLDER
        total = holding.total
        self._add(holding, -total)
        self._holdings.discard(holding)
        self._waiting.pop(holding, None)
        return total

    def set_organisation(self, holding: Holding, organisation: str) -> None:
        """Count what is held, and will be, for an organisation."""
        if holding.organisation == organisation or not holding.open:
            return
        total = holding.total
        self._add(holding, -total)
        holding.organisation = organisation
        self._add(holding, total)

    def set_input(self, holding: Holding, size: int) -> None:
        """Set the bytes of heads and unparsed input."""
        if holding.open:
            self._add(holding, size - holding.input_bytes)
            holding.input_bytes = size

    def set_body(self, holding: Holding, size: int) -> None:
        """Set the bytes held for a body that has been read, 0 to free them."""
        if holding.open:
            self._waiting.pop(holding, None)
            self._add(holding, size - holding.body_bytes)
            holding.body_bytes = size

    def set_output(self, holding: Holding, size: int, now: float) -> None:
        """Set the bytes of responses that have not been read."""
        if holding.open:
            holding.note_output(size, now)
            self._add(holding, size - holding.output_bytes)
            holding.output_bytes = size

    def response_allowance(self) -> int:
        """Return the bytes of a response that may be buffered for a caller that reads slowly."""
        share = int(self.free_bytes * RESPONSE_FRACTION)
        return min(MAX_RESPONSE_BYTES, max(RESPONSE_BYTES, share))

    def reserve(self, holding: Holding, size: int, now: float) -> bool:
        """Reserve room for a body, or wait for it.

        Parameters
        ----------
        holding : Holding
            Holding of the connection.
        size : int
            Bytes of room, with those that it has reserved already.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the room is reserved; otherwise `settle` will decide.
        """
        # A request within the limits must fit when nobody else holds anything.
        holding.wanted_bytes = min(size, int(self.size_bytes * LARGE_FRACTION) // 2)
        if not self._waiting and self._fits(holding):
            self._grant(holding)
            return True
        holding.waiting_since = now
        holding.stage = Stage.WAITING
        self._waiting[holding] = None
        return False

    def settle(self, now: float) -> Settlement:
        """Decide on those that wait, and on those that are shed for them."""
        settlement = Settlement(granted=self._grant_waiting())
        if self._waiting or self.used_bytes > self.size_bytes:
            settlement.shed = self._choose_shed(now)
        for holding in list(self._waiting):
            if now - holding.waiting_since >= WAIT_S:
                del self._waiting[holding]
                settlement.refused.append(holding)
        return settlement

    def _add(self, holding: Holding, size: int) -> None:
        self.used_bytes += size
        self._count(self._addresses, holding.address, size)
        if holding.organisation:
            self._count(self._organisations, holding.organisation, size)

    @staticmethod
    def _count(groups: Counter[str], name: str, size: int) -> None:
        groups[name] += size
        if groups[name] <= 0:
            del groups[name]

    def _fits(self, holding: Holding) -> bool:
        limit = self.size_bytes
        if holding.wanted_bytes > SMALL_BYTES:
            limit = int(limit * LARGE_FRACTION)
        return self.used_bytes + holding.wanted_bytes - holding.body_bytes <= limit

    def _grant(self, holding: Holding) -> None:
        self._add(holding, holding.wanted_bytes - holding.body_bytes)
        holding.body_bytes = holding.wanted_bytes
        holding.stage = Stage.BODY

    def _grant_waiting(self) -> list[Holding]:
        """Grant what fits, those of the groups that hold least first."""
        granted = []
        blocked = False
        for holding in sorted(self._waiting, key=self._waiting_order):
            small = holding.wanted_bytes <= SMALL_BYTES
            if (small or not blocked) and self._fits(holding):
                del self._waiting[holding]
                self._grant(holding)
                granted.append(holding)
            elif not small:
                # What becomes free is kept for the first of the large ones.
                blocked = True
        return granted

    def _waiting_order(self, holding: Holding) -> tuple[bool, float]:
        return self._overshare(holding) > FAIR, holding.waiting_since

    def _overshare(self, holding: Holding) -> float:
        """Return what a holding's groups hold as a multiple of their fair share."""
        size = max(1, self.size_bytes)
        address = self._addresses[holding.address] * len(self._addresses) / size
        if not holding.organisation:
            return address
        organisations = max(1, len(self._organisations))
        organisation = self._organisations[holding.organisation] * organisations / size
        return max(address, organisation)

    def _choose_shed(self, now: float) -> list[Holding]:
        """Return whose memory is freed for those that wait, and for what is held too much."""
        excess_bytes = max(0, self.used_bytes - self.size_bytes)
        wanted_bytes = excess_bytes + sum(one.wanted_bytes for one in self._waiting)
        candidates = [one for one in self._holdings if self._may_shed(one, now, excess_bytes > 0)]
        candidates.sort(key=lambda one: self._shed_order(one, now))
        chosen: list[Holding] = []
        freed_bytes = 0
        for holding in candidates:
            if freed_bytes >= wanted_bytes:
                break
            chosen.append(holding)
            freed_bytes += holding.total
        return chosen

    def _may_shed(self, holding: Holding, now: float, over_size: bool) -> bool:
        stalled = now - holding.progress_at >= STALLED_S
        if holding.output_bytes >= RESPONSE_BYTES:
            return stalled
        if holding.stage is Stage.SERVING or holding.stage is Stage.WAITING:
            return False
        if over_size:
            return stalled or holding.stage is not Stage.IDLE
        return stalled and holding.total >= SHED_BYTES

    def _shed_order(self, holding: Holding, now: float) -> tuple[bool, bool, int, int]:
        """Order by fair share, recent progress, distance from being served, and size."""
        fair = self._overshare(holding) <= FAIR
        recent = now - holding.progress_at < STALLED_S
        return fair, recent, int(holding.stage), -holding.total


def compute_account_size(memory_bytes: int) -> int:
    """Return the size of the account for a host with this much memory, in bytes."""
    return max(MIN_SIZE_BYTES, int((memory_bytes - PROCESS_BYTES) * LENT_FRACTION))
