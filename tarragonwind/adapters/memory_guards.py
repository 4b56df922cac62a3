"""Carry out the decisions of the memory account, log and count them, and return freed memory."""

from __future__ import annotations

from loguru import logger

from tarragonwind.adapters.allocators import map_large_blocks, release_free_memory
from tarragonwind.core.memory_accounts import (
    Holder,
    Holding,
    MemoryAccount,
    NoHolder,
    Stage,
    compute_account_size,
)
from tarragonwind.ports import Timer, Timers
from tarragonwind.telemetry import Telemetry

SETTLE_S = 0.05
"""Time between two decisions while memory is short, in seconds."""
LOG_S = 1.0
"""Shortest time between two log lines on decisions, in seconds."""
RETURN_DELAY_S = 1.0
"""Time from the release of much memory to its return to the system, in seconds."""
RETURN_PERIOD_S = 3.0
"""Shortest time between two returns, in seconds; one takes about 10 ms."""
RETURN_BYTES = 512 * 1024
"""Released bytes from which memory is returned."""
LARGEST_COUNT = 3
UNLIMITED_BYTES = 1 << 50


class MemoryGuard:
    """Connect the memory account with the connections of all servers of a host.

    Parameters
    ----------
    timers : Timers
        Clock and timers.
    account : MemoryAccount, optional
        Account of the host; without one nothing is limited.
    telemetry : Telemetry, optional
        Counts the decisions.
    """

    def __init__(
        self,
        timers: Timers,
        account: MemoryAccount | None = None,
        telemetry: Telemetry | None = None,
    ) -> None:
        self.account = account or MemoryAccount(UNLIMITED_BYTES)
        self._timers = timers
        self._telemetry = telemetry
        self._settle_timer: Timer | None = None
        self._return_timer: Timer | None = None
        self._released_bytes = 0
        self._returned_at = -RETURN_PERIOD_S
        self._logged_at = -LOG_S
        self._unlogged: dict[str, int] = {}

    @property
    def limited(self) -> bool:
        """Return whether there is a limit."""
        return self.account.size_bytes < UNLIMITED_BYTES

    def open(self, address: str, holder: Holder) -> Holding:
        """Return the holding of a new connection."""
        holding = self.account.open(address, holder, self._timers.now())
        if self.account.used_bytes > self.account.size_bytes:
            self._settle_soon()
        return holding

    def close(self, holding: Holding) -> None:
        """Free what a connection holds."""
        self._note_released(self.account.close(holding))

    def set_input(self, holding: Holding, size: int) -> None:
        """Charge heads and unparsed input."""
        released = holding.input_bytes - size
        if released:
            self.account.set_input(holding, size)
            if released > 0:
                self._note_released(released)
            if self.account.used_bytes > self.account.size_bytes:
                self._settle_soon()

    def set_output(self, holding: Holding, size: int) -> int:
        """Charge an unread response; return how much of it may be buffered."""
        self.account.set_output(holding, size, self._timers.now())
        if self.account.used_bytes > self.account.size_bytes:
            self._settle_soon()
        return self.account.response_allowance()

    def set_body(self, holding: Holding, size: int) -> None:
        """Charge a body that has been read."""
        released = holding.body_bytes - size
        if released:
            self.account.set_body(holding, size)
            self._note_released(released)

    def reserve(self, holding: Holding, size: int) -> bool:
        """Reserve room for a body; return whether it may be read now."""
        if self.account.reserve(holding, size, self._timers.now()):
            return True
        self._count("waited", 1)
        self._settle_soon()
        return False

    def note_refused_connection(self, address: str) -> None:
        """Count a connection that was closed because its address or the host has too many."""
        self._count("connection", 1)
        self._log(address)

    def has_room(self, size: int) -> bool:
        """Return whether something of this size fits."""
        return not self.account.short and size <= self.account.free_bytes

    def report(self) -> None:
        """Set the gauges."""
        if self._telemetry is not None:
            self._telemetry.memory_held.set(self.account.used_bytes)
            self._telemetry.memory_size.set(self.account.size_bytes)
            self._telemetry.memory_waiting.set(self.account.waiting_count)

    def _note_released(self, size: int) -> None:
        if size <= 0 or not self.limited:
            return
        if self.account.waiting_count:
            self._settle_soon(0.0)
        self._released_bytes += size
        if self._released_bytes >= RETURN_BYTES and self._return_timer is None:
            next_s = self._returned_at + RETURN_PERIOD_S - self._timers.now()
            delay_s = max(RETURN_DELAY_S, next_s)
            self._return_timer = self._timers.call_later(delay_s, self._return_memory)

    def _return_memory(self) -> None:
        self._return_timer = None
        self._released_bytes = 0
        self._returned_at = self._timers.now()
        release_free_memory()

    def _settle_soon(self, delay_s: float = SETTLE_S) -> None:
        if self._settle_timer is None:
            self._settle_timer = self._timers.call_later(delay_s, self._settle)

    def _settle(self) -> None:
        self._settle_timer = None
        settlement = self.account.settle(self._timers.now())
        for holding in settlement.granted:
            holding.holder.on_memory_granted()
        for holding in settlement.refused:
            holding.holder.on_memory_refused()
        for holding in settlement.shed:
            if holding.open:
                holding.holder.on_memory_shed()
        self._count("refused", len(settlement.refused))
        self._count("shed", len(settlement.shed))
        if settlement.refused or settlement.shed:
            self._log(settlement.shed[0].address if settlement.shed else "-")
        if self.account.short:
            self._settle_soon()

    def _count(self, decision: str, count: int) -> None:
        if not count:
            return
        self._unlogged[decision] = self._unlogged.get(decision, 0) + count
        if self._telemetry is not None:
            self._telemetry.memory_decisions.add(count, decision)

    def _log(self, address: str) -> None:
        """Log what was decided since the last line, at most one line in `LOG_S`."""
        now = self._timers.now()
        if now - self._logged_at < LOG_S:
            return
        self._logged_at = now
        decided, self._unlogged = self._unlogged, {}
        logger.warning(
            "event=memory_short used={} size={} waiting={} decided={} address={} largest={}",
            self.account.used_bytes,
            self.account.size_bytes,
            self.account.waiting_count,
            ",".join(f"{name}:{count}" for name, count in decided.items()) or "-",
            address,
            "; ".join(f"{name}: {held}" for name, held in self.account.largest(LARGEST_COUNT)),
        )


def create_memory_guard(timers: Timers, memory_bytes: int, telemetry: Telemetry) -> MemoryGuard:
    """Return the guard of a host with this much memory."""
    map_large_blocks()
    account = MemoryAccount(compute_account_size(memory_bytes))
    return MemoryGuard(timers, account, telemetry)


class TunnelHolding(NoHolder):
    """Hold what a tunnel buffers; tunnels end by themselves and are never shed."""

    __slots__ = ("_holding", "_memory")

    def __init__(self, memory: MemoryGuard, address: str) -> None:
        self._memory = memory
        self._holding = memory.open(address, self)
        self._holding.stage = Stage.SERVING

    def set_buffered(self, size: int) -> None:
        """Charge the bytes that wait in both directions."""
        self._memory.set_input(self._holding, size)

    def close(self) -> None:
        """Free what is held."""
        self._memory.close(self._holding)
