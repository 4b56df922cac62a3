"""Run the membership protocol on the peer transport and the event loop's timers."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import field

from loguru import logger

from tarragonwind.adapters.payload_slots import PayloadSlot, PayloadSlots
from tarragonwind.adapters.peer_handshakes import PeerIdentity
from tarragonwind.adapters.peer_transports import PeerTransport
from tarragonwind.core.member_views import DEFAULT_SIZE, Health, Member
from tarragonwind.core.memberships import (
    PROTOCOL_MESSAGES,
    MembershipCore,
    Outgoing,
)
from tarragonwind.core.rendezvous import choose_owner, rank_names, select_large_hosts
from tarragonwind.messages import Message
from tarragonwind.ports import Address, Gossip, Members, Timer, Timers
from tarragonwind.records import dataclass

SEED_PERIOD_S = 1.0
"""Interval between attempts to connect to the seeds that have not responded yet, in seconds."""
JOIN_TIMEOUT_S = 3.0
"""Time without any response after which a daemon starts as a fleet of one, in seconds."""


@dataclass(frozen=True, slots=True)
class ListedHost:
    """Represent one entry of the platform's host list."""

    name: str
    address: Address
    data_centre: str
    leaving: bool


@dataclass(slots=True)
class MembershipSettings:
    """Configure the membership.

    Attributes
    ----------
    seeds : list of Address
        Peer addresses to connect to at start; some may be unreachable.
    size : int
        CPU capacity of this host, in hundredths of a core.
    """

    seeds: list[Address] = field(default_factory=list)
    size: int = DEFAULT_SIZE


class Membership(Members, Gossip):
    """Determine the live daemons from probes between peers and the platform's host list.

    Parameters
    ----------
    peers : PeerTransport
        Transport between daemons.
    timers : Timers
        Clock and timers.
    cfg : MembershipSettings
        Seeds and size of this host.
    rng : random.Random
        Random number generator of the protocol.
    """

    def __init__(
        self, peers: PeerTransport, timers: Timers, cfg: MembershipSettings, rng: random.Random
    ) -> None:
        identity = peers.identity
        self.name = identity.name
        self._peers = peers
        self._timers = timers
        self._payloads = PayloadSlots()
        own = Member(
            identity.name,
            identity.address,
            identity.data_centre,
            int(timers.wall()),
            size=cfg.size,
        )
        self._core = MembershipCore(own, rng, timers.now(), self._payloads)
        self._core.on_changed = self._notify_changed
        self._core.on_resumed = self._notify_resumed
        self._core.on_dead(peers.drop)
        self._changed: list[Callable[[], None]] = []
        self._resumed: list[Callable[[], None]] = []
        self._owners: dict[str, str] = {}
        self._large: list[str] | None = None
        self._leaving: tuple[str, ...] = ()
        self._leaving_version = -1
        self._seeds = [seed for seed in cfg.seeds if seed != identity.address]
        self._pending_seeds = set(self._seeds)
        self._timer: Timer | None = None
        self._timer_due = float("inf")
        self._seed_timer: Timer | None = None
        self._flushing = False
        self._join_timed_out = False
        for cls in PROTOCOL_MESSAGES:
            peers.subscribe(cls, self._on_message)
        peers.subscribe_connected(self._on_connected)
        peers.subscribe_lost(self._on_lost)

    def start(self) -> None:
        """Start probing and connecting to the seeds."""
        self._connect_seeds()
        self._timers.call_later(JOIN_TIMEOUT_S, self._on_join_timeout)
        self._seed_timer = self._timers.call_every(SEED_PERIOD_S, self._connect_seeds)
        self._flush_core()

    def set_seeds(self, seeds: list[Address]) -> None:
        """Add seeds, and connect to those that are not known yet."""
        known = {member.address for member in self.members()}
        added = [seed for seed in seeds if seed not in known and seed not in self._seeds]
        self._seeds += added
        self._pending_seeds.update(added)
        if added:
            self._seed_timer = self._timers.call_every(SEED_PERIOD_S, self._connect_seeds)

    def stop(self) -> None:
        """Announce the exit of the process to the neighbours and cancel the timers."""
        self._core.announce_exit()
        self._flush_core()
        for timer in (self._timer, self._seed_timer):
            if timer is not None:
                timer.cancel()

    def live(self) -> tuple[str, ...]:
        """Return the sorted names of live daemons, except those in a graceful shutdown."""
        return self._core.live()

    def leaving_hosts(self) -> tuple[str, ...]:
        """Return the names of daemons that announced a graceful shutdown, including exited ones."""
        version = self._core.view.version
        if version != self._leaving_version:
            self._leaving_version = version
            self._leaving = tuple(member.name for member in self.members() if member.leaving)
        return self._leaving

    def running(self) -> tuple[str, ...]:
        """Return the names of daemons that may send: live ones and those in a graceful shutdown."""
        stopping = (
            member.name
            for member in self.members()
            if member.leaving and member.health is not Health.DEAD
        )
        return (*self.live(), *stopping)

    def owner_of(self, key: str) -> str:
        """Return the live daemon on a large host that owns a key; this one if none is live."""
        owner = self._owners.get(key)
        if owner is None:
            if self._large is None:
                self._large = select_large_hosts(self._live_sizes()) or [self.name]
            owner = choose_owner(key, self._large)
            self._owners[key] = owner
        return owner

    def _live_sizes(self) -> dict[str, int]:
        live = set(self._core.live())
        return {member.name: member.size for member in self.members() if member.name in live}

    def rank(self, key: str, count: int) -> list[str]:
        """Return the `count` highest-ranked live daemons for a key, regardless of host size."""
        return rank_names(key, self._core.live(), count)

    @property
    def isolated(self) -> bool:
        """Return whether this daemon cannot reach a majority of the fleet."""
        return self._core.isolated

    @property
    def stale(self) -> bool:
        """Return whether this process was paused or isolated and has not synchronised since."""
        return self._core.stale

    @property
    def leaving(self) -> bool:
        """Return whether this daemon has announced a graceful shutdown."""
        return self._core.own.leaving

    def joined(self) -> bool:
        """Return whether the view was synchronised, no peer is known, or joining timed out."""
        no_peer_known = not self._seeds and not self._core.has_known_peers()
        return self._core.joined or self._join_timed_out or no_peer_known

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback for changes of the live daemons or of `isolated`."""
        self._changed.append(callback)

    def subscribe_resumed(self, callback: Callable[[], None]) -> None:
        """Register a callback for detected pauses of this process."""
        self._resumed.append(callback)

    def leave(self) -> None:
        """Announce the graceful shutdown of this daemon."""
        self._core.leave(self._timers.now())
        self._flush_core()

    def neighbours(self) -> list[str]:
        """Return the few daemons that this one probes, to which it keeps open connections."""
        return self._core.neighbours()

    def members(self) -> list[Member]:
        """Return the records of all known members, this daemon's first."""
        return [self._core.own, *self._core.view.members.values()]

    def set_listed(self, hosts: list[ListedHost]) -> None:
        """Replace the platform's host list."""
        for host in hosts:
            member = self._core.view.get(host.name)
            if member is None or member.health is Health.DEAD:
                self._peers.set_address(host.name, host.address)
        live = [host.name for host in hosts if not host.leaving]
        leaving = [host.name for host in hosts if host.leaving]
        self._core.set_listed(self._timers.now(), live, leaving)
        self._flush_core()

    def add_discovered_host(self, name: str, address: Address) -> None:
        """Connect to a host that may have just started; no effect if it is known to run."""
        member = self._core.view.get(name)
        if member is None or member.health is Health.DEAD:
            self._peers.set_address(name, address)
        self._core.sync_with_new_host(self._timers.now(), name)
        self._flush_core()

    def attach(
        self,
        name: str,
        provider: Callable[[], bytes | None],
        consumer: Callable[[str, bytes], None],
    ) -> None:
        """Piggyback a small payload on every probe, see `tarragonwind.ports.Gossip`."""
        self._payloads.attach(PayloadSlot(name, provider, consumer))

    def push_payloads(self) -> None:
        """Push the payloads to the neighbours without waiting for the next probe."""
        self._core.push_payloads(self._timers.now())
        self._flush_core()

    def _on_join_timeout(self) -> None:
        self._join_timed_out = True

    def _connect_seeds(self) -> None:
        for seed in sorted(self._pending_seeds, key=str):
            self._peers.connect_to(seed)
        if not self._pending_seeds and self._seed_timer is not None:
            self._seed_timer.cancel()

    def _on_connected(self, identity: PeerIdentity) -> None:
        self._pending_seeds.discard(identity.address)
        self._core.add_contact(identity.name)
        self._flush_core()

    def _on_lost(self, host: str) -> None:
        self._core.on_unreachable(self._timers.now(), host)
        self._flush_core()

    def _on_message(self, sender: str, msg: Message) -> None:
        self._core.on_message(self._timers.now(), sender, msg)
        self._flush_core()

    def _on_timer(self) -> None:
        self._timer = None
        now = self._timers.now()
        if now >= self._core.due():
            self._core.tick(now)
        self._flush_core()

    def _flush_core(self) -> None:
        """Send the core's queued messages and arm the timer for its next tick.

        Sending may call back into this method; the outer call then sends the added messages.
        """
        if self._flushing:
            return
        self._flushing = True
        while outbox := self._core.take_outbox():
            for outgoing in outbox:
                self._send(outgoing)
        self._flushing = False
        self._arm_timer()

    def _send(self, outgoing: Outgoing) -> None:
        member = self._core.view.get(outgoing.host)
        if member is not None:
            self._peers.set_address(member.name, member.address)
        self._peers.send(outgoing.host, outgoing.msg)

    def _arm_timer(self) -> None:
        due = self._core.due()
        if self._timer is not None and due >= self._timer_due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due = due
        self._timer = self._timers.call_later(due - self._timers.now(), self._on_timer)

    def _notify_changed(self) -> None:
        self._owners.clear()
        self._large = None
        for member in self._core.view.take_changed():
            self._peers.set_address(member.name, member.address)
        logger.info(
            "event=members_changed live={} isolated={}", len(self._core.live()), self.isolated
        )
        for callback in self._changed:
            callback()

    def _notify_resumed(self) -> None:
        logger.warning("event=resumed_after_pause hint=check_for_a_stopped_or_overloaded_host")
        for callback in self._resumed:
            callback()


def create_membership(
    peers: PeerTransport, timers: Timers, cfg: MembershipSettings, rng: random.Random
) -> Membership:
    """Create the membership of a daemon; call `start` on it once the loop runs."""
    return Membership(peers, timers, cfg, rng)
