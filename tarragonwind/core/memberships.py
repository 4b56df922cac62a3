"""Detect failed hosts and disseminate membership by a SWIM-style gossip protocol.

Each daemon probes its successors on a few hash rings of the running members, so the cost per
daemon does not depend on the size of the fleet. After a failed direct probe, other members probe
the target indirectly before it is marked suspect. A suspect that does not refute the suspicion by
raising its incarnation within the suspicion timeout is marked dead.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from tarragonwind.core.broadcast_queues import BroadcastQueue
from tarragonwind.core.fleet_statuses import FleetStatus
from tarragonwind.core.hash_rings import RING_COUNT
from tarragonwind.core.member_merges import MemberMerger
from tarragonwind.core.member_views import Health, Member, MemberView, check_list, unpack_member
from tarragonwind.core.membership_builders import MessageBuilder, PayloadSource
from tarragonwind.core.membership_messages import (
    Ack,
    Compare,
    Ping,
    PingRequest,
    Push,
    RelayedAck,
    Sync,
    check_buckets,
    check_probe,
)
from tarragonwind.core.probe_times import ProbeTimes
from tarragonwind.core.probes import ProbeTable, Relay
from tarragonwind.messages import Message
from tarragonwind.records import dataclass

RELAY_COUNT = 3
"""Members that send an indirect probe after a failed direct one."""
DEAD_RETENTION_S = 120.0
"""Time after which the record of a dead member that the platform does not list is removed."""
MISMATCHES_BEFORE_COMPARE = 3
"""Excess of mismatching over matching view digests that starts a comparison."""
COMPARE_PERIOD_S = 2.0
"""Minimum interval between two view comparisons that a daemon starts."""
CONTACT_SYNC_PERIOD_S = 0.5
"""Minimum interval between two full view exchanges that a daemon starts."""
REJOIN_ATTEMPTS_PER_S = 2.0
"""Approximate rate at which the whole fleet tries to reach one dead host."""
JOIN_PERIOD_S = 0.25
JOIN_CONTACTS = 2


@dataclass(frozen=True, slots=True)
class Outgoing:
    """Hold an outgoing message and the host that it is addressed to."""

    host: str
    msg: Message


class MembershipCore:
    """Run the membership protocol of one daemon, without I/O.

    The caller passes in the time and the received messages, sends the messages of `take_outbox`,
    and calls `tick` at the time that `due` returns.

    Parameters
    ----------
    own : Member
        Record of this daemon.
    rng : random.Random
        Random source for probe jitter and the choice of members.
    now : float
        Seconds on a monotonic clock; all calls must use the same clock.
    payloads : PayloadSource, optional
        Payloads to piggyback on probes.

    Attributes
    ----------
    view : MemberView
        Records of all known members.
    stale : bool
        Whether the process was paused or isolated and has not synchronised its view with a peer
        since.
    joined : bool
        Whether the view has ever been synchronised with another member's.
    on_changed : callable
        Called after a change of `live` or `isolated`.
    on_resumed : callable
        Called after a pause of the process was detected.
    """

    def __init__(
        self, own: Member, rng: random.Random, now: float, payloads: PayloadSource | None = None
    ) -> None:
        self.view = MemberView(own)
        self.stale = False
        self.joined = False
        self.on_changed: Callable[[], None] = lambda: None
        self.on_resumed: Callable[[], None] = lambda: None
        self._rng = rng
        self._payloads = payloads or PayloadSource()
        self._outbox: list[Outgoing] = []
        self._contacts: set[str] = set()
        self._probes = ProbeTable(rng.randrange(1 << 16))
        self._broadcasts = BroadcastQueue(RING_COUNT, RING_COUNT)
        self._build = MessageBuilder(self.view, self._broadcasts, self._payloads)
        self._merger = MemberMerger(self.view, self._broadcasts, self.invalidate)
        self._status = FleetStatus(self.view, now)
        self._neighbours: list[str] | None = None
        self._probe_index = 0
        self._next_probe = now
        self._next_rejoin = now
        self._next_join = now
        self._mismatches = 0
        self._synced_at = float("-inf")
        self._compared_at = float("-inf")
        self._due = now

    @property
    def own(self) -> Member:
        """Return the record of this daemon."""
        return self.view.own

    def live(self) -> tuple[str, ...]:
        """Return the sorted names of the live members, this daemon included unless it leaves."""
        return self._status.live

    @property
    def isolated(self) -> bool:
        """Return whether this daemon cannot reach a majority of the fleet."""
        return self._status.isolated

    def times(self) -> ProbeTimes:
        """Return the probe timings for the current fleet size."""
        return self._merger.times()

    def has_known_peers(self) -> bool:
        """Return whether any other host is known, even if only by name."""
        return bool(self._contacts or self.view.members)

    def neighbours(self) -> list[str]:
        """Return the ring successors that this daemon probes and pushes updates to."""
        if self._neighbours is None:
            self._neighbours = self.view.rings.successors()
        return self._neighbours

    def take_outbox(self) -> list[Outgoing]:
        """Return the messages to send and clear the outbox."""
        outbox = self._outbox
        self._outbox = []
        return outbox

    def due(self) -> float:
        """Return the time at which `tick` must be called next."""
        return self._due

    def on_dead(self, callback: Callable[[str], None]) -> None:
        """Register the callback that receives the name of each member marked dead."""
        self._merger.on_dead = callback

    def add_contact(self, name: str) -> None:
        """Add a host with a known address as a candidate for joining."""
        if name != self.own.name:
            self._contacts.add(name)

    def sync_with_new_host(self, now: float, name: str) -> None:
        """Exchange views with a host that may have just started, unless it is known to run."""
        member = self.view.get(name)
        if name == self.own.name or (member is not None and member.health is not Health.DEAD):
            return
        self._contacts.add(name)
        self._send(name, self._build.sync(self.joined and self._is_trusted(), answer=True))
        self._schedule_tick(now)

    def set_listed(self, now: float, live: Iterable[str], leaving: Iterable[str]) -> None:
        """Replace the platform's host list: the hosts listed as live and as leaving."""
        self._status.set_listed(live, leaving)
        self._contacts = set(self._status.listed) - {self.own.name}
        self._finish(now)

    def leave(self, now: float) -> None:
        """Announce a graceful shutdown: the daemon keeps running but is no longer a live member."""
        if self.own.leaving:
            return
        self._merger.raise_incarnation(leaving=True)
        self.invalidate()
        self._push(now)
        self._finish(now)

    def announce_exit(self) -> None:
        """Announce that the process is exiting."""
        self.view.put_own(replace(self.own, leaving=True, health=Health.DEAD))
        for name in self.neighbours():
            self._send(name, self._build.final_push())

    def push_payloads(self, now: float) -> None:
        """Schedule a push of the payloads to the neighbours instead of waiting for a probe."""
        self._broadcasts.schedule_push(now)
        self._schedule_tick(now)

    def on_unreachable(self, now: float, host: str) -> None:
        """Probe a host immediately because a connection to it broke or was refused."""
        member = self.view.get(host)
        if member is None or member.health is Health.DEAD:
            return
        member.heard_at = float("-inf")
        probe = self._probes.find(host)
        if probe is None:
            self._start_probe(now, host)
        elif not probe.relayed:
            probe.deadline = now
        self._schedule_tick(now)

    def on_message(self, now: float, sender: str, msg: Message) -> None:
        """Handle a received protocol message.

        Raises
        ------
        MessageError
            If a field is malformed.
        """
        self._check_pause(now)
        self._status.heard_at = now
        member = self.view.get(sender)
        if member is not None:
            member.heard_at = now
        handle = _HANDLERS[type(msg)]
        handle(self, now, sender, msg)
        self._finish(now)

    def tick(self, now: float) -> None:
        """Run all actions that are due: probes, timeouts, joins and pushes."""
        self._check_pause(now)
        self._check_probes(now)
        self._merger.check_suspects(now)
        if now >= self._next_probe:
            self._probe_next(now)
        if not self.joined and now >= self._next_join:
            self._join(now)
        if now >= self._next_rejoin:
            self._rejoin(now)
        if self._mismatches >= MISMATCHES_BEFORE_COMPARE:
            self._compare_views(now)
        if self._broadcasts.push_at is not None and now >= self._broadcasts.push_at:
            self._push(now)
        self._finish(now)

    def invalidate(self) -> None:
        """Recompute neighbours and fleet status at the end of the current event."""
        self._neighbours = None
        self._status.invalidate()

    def _finish(self, now: float) -> None:
        was_isolated = self.isolated
        changed = self._status.refresh(now, self.times().isolation_timeout_s)
        if self.isolated and not was_isolated:
            self.stale = True
            self._merger.drop_failure_broadcasts()
        self._update_trust(now)
        if changed:
            self.on_changed()
        self._schedule_tick(now)

    def _update_trust(self, now: float) -> None:
        trusted = self._is_trusted()
        if trusted and not self._merger.trusted:
            self._probes.clear()
            self._merger.restart_suspicions(now)
        self._merger.trusted = trusted

    def _is_trusted(self) -> bool:
        """Return whether this daemon may broadcast suspicions and deaths of other members."""
        return not self.isolated and not self.stale

    def _schedule_tick(self, now: float) -> None:
        due = min(self._next_probe, self._next_rejoin, self._probes.first_deadline())
        if not self.joined:
            due = min(due, self._next_join)
        if self._broadcasts.push_at is not None:
            due = min(due, self._broadcasts.push_at)
        for name in self._merger.suspects:
            due = min(due, self._merger.suspicion_deadline(name))
        self._due = max(due, now)

    def _check_pause(self, now: float) -> None:
        if now - self._due > self.times().pause_threshold_s:
            self._due = now
            self._resume(now)

    def _resume(self, now: float) -> None:
        self.stale = True
        self._status.heard_at = now
        self._probes.clear()
        self._synced_at = float("-inf")
        self._merger.restart_suspicions(now)
        self._merger.drop_failure_broadcasts()
        self._merger.raise_incarnation(self.own.leaving)
        self._finish(now)
        self.on_resumed()
        for name in self.neighbours():
            self._send(name, self._build.sync(trusted=False, answer=True))

    def _send(self, host: str, msg: Message) -> None:
        self._outbox.append(Outgoing(host, msg))

    def _probe_next(self, now: float) -> None:
        self._next_probe = now + self.times().period_s * self._rng.uniform(0.9, 1.1)
        neighbours = self.neighbours()
        if neighbours:
            self._probe_index += 1
            self._start_probe(now, neighbours[self._probe_index % len(neighbours)])

    def _start_probe(self, now: float, target: str) -> None:
        seq = self._probes.start(target, now + self.times().direct_timeout_s)
        self._send(target, self._build.ping(seq, target))

    def _check_probes(self, now: float) -> None:
        for seq, probe in self._probes.take_late(now):
            if probe.relayed:
                self._merger.suspect(now, probe.target)
                self._send(probe.target, self._build.ping(self._probes.next_seq(), probe.target))
            else:
                probe.relayed = True
                probe.deadline = now + self.times().relayed_timeout_s
                self._send_ping_requests(seq, probe.target)

    def _send_ping_requests(self, seq: int, target: str) -> None:
        relays = [name for name in self.view.running() if name != target]
        for name in self._rng.sample(relays, min(RELAY_COUNT, len(relays))):
            self._send(name, PingRequest(seq, target))

    def _join(self, now: float) -> None:
        self._next_join = now + JOIN_PERIOD_S
        contacts = sorted(self._contacts)
        for name in self._rng.sample(contacts, min(JOIN_CONTACTS, len(contacts))):
            self._send(name, self._build.sync(trusted=False, answer=True))

    def _rejoin(self, now: float) -> None:
        """Ping a dead or unknown host, at a rate that is shared by the whole fleet."""
        self._next_rejoin = now + self.times().rejoin_period_s * self._rng.uniform(0.8, 1.2)
        for name in self.view.prune_dead(now - DEAD_RETENTION_S, self._status.listed):
            self._contacts.discard(name)
        unknown = [name for name in self._contacts if self.view.get(name) is None]
        candidates = sorted([*unknown, *self.view.failed()])
        if candidates and self._rng.random() < self._rejoin_chance(len(candidates)):
            name = self._rng.choice(candidates)
            self._send(name, self._build.ping(self._probes.next_seq(), name))

    def _rejoin_chance(self, candidate_count: int) -> float:
        if not self._is_trusted():
            return 1.0
        attempts_per_s = REJOIN_ATTEMPTS_PER_S * candidate_count / (self.view.running_count() + 1)
        return attempts_per_s * self.times().rejoin_period_s

    def _compare_views(self, now: float) -> None:
        neighbours = self.neighbours()
        if neighbours and now - self._compared_at >= COMPARE_PERIOD_S:
            self._compared_at = now
            self._mismatches = 0
            self._send(self._rng.choice(neighbours), self._build.compare())

    def _push(self, now: float) -> None:
        for name in self.neighbours():
            msg = self._build.push()
            if msg.updates or msg.payloads:
                self._send(name, msg)
        self._broadcasts.end_push(now)

    def _on_ping(self, now: float, sender: str, msg: Ping) -> None:
        self._handle_probe(now, sender, msg)
        self._send(sender, self._build.ack(msg.seq, sender))

    def _on_ack(self, now: float, sender: str, msg: Ack) -> None:
        self._handle_probe(now, sender, msg)
        relay = self._probes.end(msg.seq, sender)
        if relay is not None:
            self._send(relay.requester, RelayedAck(relay.seq, sender))

    def _handle_probe(self, now: float, sender: str, msg: Ping | Ack) -> None:
        check_probe(msg)
        member = self.view.get(sender)
        if member is None or member.health is Health.DEAD:
            self._sync_with(now, sender)
        if member is not None and msg.incarnation > member.incarnation:
            newer = replace(member, incarnation=msg.incarnation, leaving=bool(msg.leaving))
            self._merger.apply(now, replace(newer, health=Health.ALIVE))
        self._apply_records(now, msg.updates)
        if msg.digest == self.view.digest():
            self._mismatches = max(0, self._mismatches - 1)
            self.stale = False
        else:
            self._mismatches += 1
        self._payloads.consume(sender, msg.payloads)

    def _sync_with(self, now: float, host: str) -> None:
        """Exchange full views with a host that is missing or dead in this view."""
        if now - self._synced_at >= CONTACT_SYNC_PERIOD_S:
            self._synced_at = now
            self._send(host, self._build.sync(self._is_trusted(), answer=True))

    def _on_ping_request(self, now: float, sender: str, msg: PingRequest) -> None:
        if not isinstance(msg.target, str) or self.view.get(msg.target) is None:
            return
        relay = Relay(sender, msg.seq, now + self.times().relayed_timeout_s)
        seq = self._probes.start_relay(relay)
        self._send(msg.target, self._build.ping(seq, msg.target))

    def _on_relayed_ack(self, now: float, sender: str, msg: RelayedAck) -> None:
        self._probes.end(msg.seq, msg.target)

    def _on_push(self, now: float, sender: str, msg: Push) -> None:
        self._apply_records(now, msg.updates)
        self._payloads.consume(sender, msg.payloads)

    def _on_sync(self, now: float, sender: str, msg: Sync) -> None:
        if msg.trusted and not self._is_trusted():
            for record in check_list(msg.records):
                self._merger.adopt_better_health(now, unpack_member(record))
        self._apply_records(now, msg.records)
        self.joined = True
        self._mismatches = 0
        if msg.answer:
            buckets = check_buckets(msg.buckets)
            known = {record[0] for record in msg.records if self.view.has_record(record)}
            self._send(sender, self._build.sync(self._is_trusted(), False, buckets, known))
        else:
            self.stale = False

    def _on_compare(self, now: float, sender: str, msg: Compare) -> None:
        buckets = self.view.differing_buckets(check_list(msg.digests))
        if buckets:
            self._send(sender, self._build.sync(self._is_trusted(), True, buckets))

    def _apply_records(self, now: float, records: Any) -> None:
        """Merge received records; most are known, as each reaches a host on several ways."""
        for record in check_list(records):
            if not self.view.has_record(record):
                self._merger.apply(now, unpack_member(record))


_HANDLERS: dict[type[Message], Callable[[MembershipCore, float, str, Any], None]] = {
    Ping: MembershipCore._on_ping,
    Ack: MembershipCore._on_ack,
    PingRequest: MembershipCore._on_ping_request,
    RelayedAck: MembershipCore._on_relayed_ack,
    Push: MembershipCore._on_push,
    Sync: MembershipCore._on_sync,
    Compare: MembershipCore._on_compare,
}

PROTOCOL_MESSAGES = tuple(_HANDLERS)
"""Message classes that `MembershipCore.on_message` handles."""
