"""Register this host in the store under a lease, and track the leases of other hosts."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgpack
from loguru import logger

from tarragonwind.core.fleet_shares import FleetShares
from tarragonwind.core.ip_addresses import check_ip_address
from tarragonwind.core.mirror_states import MirrorItem
from tarragonwind.delays import delay
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future, spawn
from tarragonwind.ports import Address, Members, Put, Store, Timers
from tarragonwind.store_mirrors import StoreMirror

LEASE_TTL_S = 4
"""Time to live of a host's lease, and so the longest that a dead host counts in the fleet size."""
RENEW_PERIOD_S = 1.2
"""Mean interval between lease renewals; two in a row may be lost before the lease expires."""
TICK_PERIOD_S = 0.25
"""Interval between updates of the fleet shares."""
MAX_PORT = 65_535
MAX_DISCOVERED_PER_BATCH = 4
"""Hosts reported per batch of changes: enough to join, without contacting all of a large fleet."""

OnDiscovered = Callable[[str, Address], None]
"""Callback with the name and peer address of a host that may have just started."""


def pack_address(address: Address) -> bytes:
    """Return the value of a host's key: its encoded peer address."""
    return bytes(msgpack.packb([address.host, address.port]))


def unpack_address(value: bytes) -> Address:
    """Return the peer address encoded in the value of a host's key.

    Additional trailing values, which a later build may write, are ignored.

    Raises
    ------
    ValueError
        If the value is not a valid address.
    """
    fields = msgpack.unpackb(value)
    if not isinstance(fields, list) or [type(one) for one in fields[:2]] != [str, int]:
        raise ValueError(f"expected an array of host and port, got {type(fields).__name__}")
    if not 0 < fields[1] <= MAX_PORT:
        raise ValueError(f"expected a port from 1 to {MAX_PORT}, got {fields[1]}")
    return Address(check_ip_address(fields[0]), fields[1])


class HostLease:
    """Keep one host's key in the store by renewing its lease.

    Parameters
    ----------
    key : str
        Key of this host.
    value : bytes
        Value of the key, see `pack_address`.
    store : Store
        Store that holds the key.
    timers : Timers
        Clock and timers.
    rng : random.Random
        Random source for the jitter of renewals.
    on_failed : callable, optional
        Called with the reason when a renewal fails.
    """

    def __init__(
        self,
        key: str,
        value: bytes,
        store: Store,
        timers: Timers,
        rng: random.Random,
        on_failed: Callable[[str], None] | None = None,
    ) -> None:
        self._key = key
        self._value = value
        self._store = store
        self._timers = timers
        self._rng = rng
        self._on_failed = on_failed
        self._lease_id = 0
        self._stopped = False
        self._era_changed = False
        self._pause_end: Future[None] | None = None
        store.subscribe_era(self._on_new_era)

    def start(self) -> None:
        """Register the key and start renewing its lease."""
        spawn(self._run())

    def stop(self) -> None:
        """Stop renewing and revoke the lease instead of letting it expire."""
        self._stopped = True
        if self._lease_id:
            self._store.revoke_lease(self._lease_id).add_callback(log_failed_revocation)

    async def _run(self) -> None:
        while not self._stopped:
            self._era_changed = False
            try:
                await self._renew()
            except StoreError as exc:
                logger.debug("event=lease_not_renewed key={} why={!r}", self._key, str(exc))
                if self._on_failed is not None:
                    self._on_failed(str(exc))
            if not self._era_changed:
                await self._pause(RENEW_PERIOD_S * self._rng.uniform(0.8, 1.2))

    async def _pause(self, seconds: float) -> None:
        """Wait until the next renewal, or until the store's era changes."""
        self._pause_end = delay(self._timers, seconds)
        await self._pause_end

    def _on_new_era(self, era: int) -> None:
        """Register anew: the older copy may lack the lease, or have given its id to another."""
        self._lease_id = 0
        self._era_changed = True
        if self._pause_end is not None and not self._pause_end.done():
            self._pause_end.set_result(None)

    async def _renew(self) -> None:
        if self._lease_id and await self._store.renew_lease(self._lease_id) > 0:
            return
        lease_id = await self._store.grant_lease(LEASE_TTL_S)
        await self._store.commit([], [Put(self._key, self._value, lease_id)])
        self._lease_id = lease_id
        logger.info("event=host_registered key={} lease={}", self._key, lease_id)


def log_failed_revocation(fut: Future[None]) -> None:
    """Log a failed revocation; the lease expires after its time to live."""
    try:
        fut.result()
    except StoreError as exc:
        logger.debug("event=lease_not_revoked why={!r}", str(exc))


class FleetMonitor:
    """Update the fleet shares from the membership and the leases, and report new hosts.

    Parameters
    ----------
    prefix : str
        Key prefix of the hosts' keys.
    mirror : StoreMirror
        Mirror that contains these keys.
    members : Members
        Membership of the fleet.
    timers : Timers
        Clock and timers.
    on_tick : callable
        Called after each update.
    on_discovered : callable
        Called with the name and address of a host that holds a lease and is not known to run.
    rng : random.Random
        Random source for choosing among many such hosts.

    Attributes
    ----------
    shares : FleetShares
        Size of the fleet and this side's fraction of it.
    """

    def __init__(
        self,
        prefix: str,
        mirror: StoreMirror,
        members: Members,
        timers: Timers,
        on_tick: Callable[[], None],
        on_discovered: OnDiscovered,
        rng: random.Random,
    ) -> None:
        self._on_discovered = on_discovered
        self._rng = rng
        self.shares = FleetShares(members.name)
        self._prefix = prefix
        self._mirror = mirror
        self._members = members
        self._timers = timers
        self._on_tick = on_tick
        self._leased: frozenset[str] = frozenset()
        mirror.subscribe(self._on_changes)
        timers.call_every(TICK_PERIOD_S, self._update_shares)

    def _on_changes(self, changes: list[MirrorItem]) -> None:
        leases = {
            item.key.removeprefix(self._prefix): item.value
            for item in changes
            if item.key.startswith(self._prefix)
        }
        if not leases:
            return
        held = {name: value for name, value in leases.items() if value is not None}
        self._leased = frozenset(self._leased - leases.keys() | held.keys())
        # Before the configuration that came with the leases lets the host serve.
        self._update_shares()
        running = set(self._members.running())
        unknown = {name: value for name, value in held.items() if name not in running}
        for name in self._rng.sample(sorted(unknown), min(MAX_DISCOVERED_PER_BATCH, len(unknown))):
            self._report_discovered(name, unknown[name])

    def _report_discovered(self, name: str, value: bytes) -> None:
        try:
            address = unpack_address(value)
        except ValueError as exc:
            logger.warning("event=host_unreadable name={} why={!r}", name, str(exc))
            return
        self._on_discovered(name, address)

    def _update_shares(self) -> None:
        members = self._members
        self.shares.set_live(self._timers.now(), members.live(), members.leaving_hosts())
        recovering = self._timers.now() < self._mirror.recovered_at + LEASE_TTL_S
        unavailable = self._mirror.unavailable_since is not None
        self.shares.set_leased(self._leased, unavailable or recovering)
        self._on_tick()
