"""Run the membership protocol over the transport and the timers."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger

from tarragonwind.adapters.payload_slots import PayloadSlot, PayloadSlots
from tarragonwind.adapters.peer_handshakes import PeerIdentity
from tarragonwind.adapters.peers import TcpPeers
from tarragonwind.core.member_views import DEFAULT_SIZE, Health, Member
from tarragonwind.core.memberships import (
    PROTOCOL_MESSAGES,
    MembershipCore,
    Outgoing,
)
from tarragonwind.core.rendezvous import choose_owner, rank_names, select_large_hosts
from tarragonwind.messages import Message
from tarragonwind.ports import Address, Gossip, Members, Timer, Timers

SEED_PERIOD_S = 1.0
"""Time between two attempts to reach the seeds that have not answered yet."""
JOIN_LIMIT_S = 3.0
"""Time after which a daemon that nobody answers goes on alone."""


@dataclass(frozen=True, slots=True)
class ListedHost:
    """Hold one host of the platform's list."""

    name: str
    address: Address
    data_centre: str
    leaving: bool


@dataclass(slots=True)
class MembershipSettings:
    """Hold what the membership needs to know.

    Attributes
    ----------
    seeds : list of Address
        Where to ask first; they may be away.
    size : int
        Processor that this host has, in hundredths of a core.
    """

    seeds: list[Address] = field(default_factory=list)
    size: int = DEFAULT_SIZE


class Membership(Members, Gossip):
    """Tell who is alive, from probes between peers joined with the platform's list."""

    def __init__(
        self, peers: TcpPeers, timers: Timers, cfg: MembershipSettings, rng: random.Random
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
        """Begin to probe and to look for the others."""
        self._connect_seeds()
        self._timers.call_later(JOIN_LIMIT_S, self._stop_joining)
        self._seed_timer = self._timers.call_every(SEED_PERIOD_S, self._connect_seeds)
        self._flush_core()

    def set_seeds(self, seeds: list[Address]) -> None:
        """Look for the others at further addresses too."""
        known = {member.address for member in self.members()}
        fresh = [seed for seed in seeds if seed not in known and seed not in self._seeds]
        self._seeds += fresh
        self._pending_seeds.update(fresh)
        if fresh:
            self._seed_timer = self._timers.call_every(SEED_PERIOD_S, self._connect_seeds)

    def stop(self) -> None:
        """Tell the neighbours that the process ends, and stop."""
        self._core.announce_exit()
        self._flush_core()
        for timer in (self._timer, self._seed_timer):
            if timer is not None:
                timer.cancel()

    def live(self) -> tuple[str, ...]:
        """Return the sorted names of live daemons that take part."""
        return self._core.live()

    def leaving_hosts(self) -> tuple[str, ...]:
        """Return the names of daemons that have announced their planned stop, ended ones too."""
        return tuple(member.name for member in self.members() if member.leaving)

    def running(self) -> tuple[str, ...]:
        """Return the names of daemons that may send: the live ones and those in a planned stop."""
        stopping = (
            member.name
            for member in self.members()
            if member.leaving and member.health is not Health.DEAD
        )
        return (*self.live(), *stopping)

    def owner_of(self, key: str) -> str:
        """Return the large live daemon that a key belongs to; this one when nobody takes part."""
        owner = self._owners.get(key)
        if owner is None:
            owner = choose_owner(key, select_large_hosts(self._live_sizes()) or (self.name,))
            self._owners[key] = owner
        return owner

    def _live_sizes(self) -> dict[str, int]:
        live = set(self._core.live())
        return {member.name: member.size for member in self.members() if member.name in live}

    def rank(self, key: str, count: int) -> list[str]:
        """Return the first live daemons for a key, the owner first."""
        return rank_names(key, self._core.live(), count)

    @property
    def isolated(self) -> bool:
        """Tell whether this daemon can't reach the larger part of the fleet."""
        return self._core.isolated

    @property
    def stale(self) -> bool:
        """Tell whether this process was paused and has not compared its view since."""
        return self._core.stale

    @property
    def leaving(self) -> bool:
        """Tell whether this daemon has announced its planned stop."""
        return self._core.own.leaving

    def joined(self) -> bool:
        """Tell whether the view was compared with another daemon's, or nobody has answered."""
        nobody_known = not self._seeds and not self._core.has_known_peers()
        return self._core.joined or self._join_timed_out or nobody_known

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the live daemons or of `isolated`."""
        self._changed.append(callback)

    def subscribe_resumed(self, callback: Callable[[], None]) -> None:
        """Call `callback` when this process finds that it was paused."""
        self._resumed.append(callback)

    def leave(self) -> None:
        """Announce the planned stop."""
        self._core.leave(self._timers.now())
        self._flush_core()

    def neighbours(self) -> list[str]:
        """Return a few live daemons, the same for long, that connections are kept with anyway."""
        return self._core.neighbours()

    def members(self) -> list[Member]:
        """Return the records of all known members, this one first."""
        return [self._core.own, *self._core.view.members.values()]

    def set_listed(self, hosts: list[ListedHost]) -> None:
        """Take the platform's list."""
        for host in hosts:
            member = self._core.view.get(host.name)
            if member is None or member.health is Health.DEAD:
                self._peers.set_address(host.name, host.address)
        live = [host.name for host in hosts if not host.leaving]
        leaving = [host.name for host in hosts if host.leaving]
        self._core.set_listed(self._timers.now(), live, leaving)
        self._flush_core()

    def add_discovered_host(self, name: str, address: Address) -> None:
        """Turn at once to a host that may have started just now; harmless when it is known."""
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
        """Let a small payload ride on every probe, see `tarragonwind.ports.Gossip`."""
        self._payloads.attach(PayloadSlot(name, provider, consumer))

    def push_payloads(self) -> None:
        """Send the payloads to the neighbours now."""
        self._core.push_payloads(self._timers.now())
        self._flush_core()

    def _stop_joining(self) -> None:
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
        """Send what the core decided and wait for its next time."""
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
        for member in self._core.view.members.values():
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
    peers: TcpPeers, timers: Timers, cfg: MembershipSettings, rng: random.Random
) -> Membership:
    """Return the membership of a daemon; call `start` on it once the loop runs."""
    return Membership(peers, timers, cfg, rng)
