"""Keep this host registered in the store under a lease, and tell which hosts are."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgpack
from loguru import logger

from tarragonwind.core.fleet_shares import FleetShares
from tarragonwind.core.mirror_states import MirrorItem
from tarragonwind.delays import delay
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future, spawn
from tarragonwind.ports import Address, Members, Put, Store, Timers
from tarragonwind.store_mirrors import StoreMirror

LEASE_TTL_S = 4
"""Life of a host's lease: a dead host counts as a part of the fleet for no longer."""
KEEP_PERIOD_S = 1.2
"""Time between two renewals, so that two may be lost, in seconds."""
TICK_PERIOD_S = 0.25
"""Time between two looks at who lives, in seconds."""
LAST_PORT = 65_535
MAX_DISCOVERED_PER_BATCH = 4
"""Hosts of one batch of changes that are turned to: enough to join, and few in a large fleet."""

OnDiscovered = Callable[[str, Address], None]
"""Tells of a host that may have started just now."""


def pack_address(address: Address) -> bytes:
    """Return the value of a host's key: where it listens for the other hosts."""
    return bytes(msgpack.packb([address.host, address.port]))


def unpack_address(value: bytes) -> Address:
    """Return the address in the value of a host's key.

    Raises
    ------
    ValueError
        When the value holds none.
    """
    fields = msgpack.unpackb(value)
    if not isinstance(fields, list) or [type(one) for one in fields] != [str, int]:
        raise ValueError("the value is no address")
    if not 0 < fields[1] <= LAST_PORT:
        raise ValueError("the port is out of range")
    return Address(*fields)


class HostLease:
    """Hold one host's key in the store.

    Parameters
    ----------
    key : str
        Key of this host.
    value : bytes
        What others learn of it.
    store : Store
        The store.
    timers : Timers
        Clock and timer subscriptions.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self, key: str, value: bytes, store: Store, timers: Timers, rng: random.Random
    ) -> None:
        self._key = key
        self._value = value
        self._store = store
        self._timers = timers
        self._rng = rng
        self._lease_id = 0
        self._stopped = False

    def start(self) -> None:
        """Register, and renew from then on."""
        spawn(self._keep())

    def stop(self) -> None:
        """End the lease: a planned stop needs no lapse."""
        self._stopped = True
        if self._lease_id:
            self._store.revoke_lease(self._lease_id).add_callback(log_lost_revocation)

    async def _keep(self) -> None:
        while not self._stopped:
            try:
                await self._renew()
            except StoreError as exc:
                logger.debug("event=lease_not_renewed key={} why={!r}", self._key, str(exc))
            await delay(self._timers, KEEP_PERIOD_S * self._rng.uniform(0.8, 1.2))

    async def _renew(self) -> None:
        if self._lease_id and await self._store.renew_lease(self._lease_id) > 0:
            return
        lease_id = await self._store.grant_lease(LEASE_TTL_S)
        await self._store.commit([], [Put(self._key, self._value, lease_id)])
        self._lease_id = lease_id
        logger.info("event=host_registered key={} lease={}", self._key, lease_id)


def log_lost_revocation(fut: Future[None]) -> None:
    """Log that a lease could not be ended; it lapses by itself."""
    try:
        fut.result()
    except StoreError as exc:
        logger.debug("event=lease_not_revoked why={!r}", str(exc))


class FleetMonitor:
    """Keep the parts of the fleet up to date from members and leases.

    Parameters
    ----------
    prefix : str
        What the keys of hosts begin with.
    mirror : StoreMirror
        Mirror that holds these keys.
    members : Members
        Live hosts.
    timers : Timers
        Clock and timer subscriptions.
    on_tick : callable
        Called after each look.
    on_discovered : callable
        Tells the membership of a host that holds a lease and isn't known to run.
    rng : random.Random
        Source of randomness for the choice among many such hosts.
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
        self._leased: set[str] = set()
        mirror.subscribe(self._on_changes)
        timers.call_every(TICK_PERIOD_S, self._look)

    def _on_changes(self, changes: list[MirrorItem]) -> None:
        running = set(self._members.running())
        strangers: dict[str, bytes] = {}
        for item in changes:
            if not item.key.startswith(self._prefix):
                continue
            name = item.key.removeprefix(self._prefix)
            if item.value is None:
                self._leased.discard(name)
                continue
            self._leased.add(name)
            if name not in running:
                strangers[name] = item.value
        for name in self._rng.sample(
            sorted(strangers), min(MAX_DISCOVERED_PER_BATCH, len(strangers))
        ):
            self._meet(name, strangers[name])

    def _meet(self, name: str, value: bytes) -> None:
        try:
            address = unpack_address(value)
        except ValueError as exc:
            logger.warning("event=host_unreadable name={} why={!r}", name, str(exc))
            return
        self._on_discovered(name, address)

    def _look(self) -> None:
        members = self._members
        self.shares.set_live(self._timers.now(), members.live(), members.leaving_hosts())
        self.shares.set_leased(self._leased, self._mirror.unavailable_since is not None)
        self._on_tick()
