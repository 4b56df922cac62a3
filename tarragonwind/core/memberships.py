"""Decide who is alive: sparse probes, suspicion with refutation, and spreading by gossip.

Each daemon probes its successors on a few hash rings of the running members, so the cost of a
daemon doesn't depend on the size of the fleet. A probe that fails is repeated through other
members before the target is suspected; a suspect that doesn't refute in time is dead.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

from tarragonwind.core.member_views import (
    Health,
    Member,
    MemberView,
    has_majority,
    pack_member,
    unpack_member,
)
from tarragonwind.core.membership_messages import (
    Ack,
    Ping,
    PingRequest,
    Push,
    RelayedAck,
    Sync,
)
from tarragonwind.core.rendezvous import choose_neighbours
from tarragonwind.messages import Message, MessageError

RING_COUNT = 4
"""Successors that a daemon probes in turn."""
RELAY_COUNT = 3
"""Members that are asked to repeat a failed probe."""
SMALL_FLEET_MEMBERS = 16
MAX_PROBE_UPDATES = 6
MAX_PUSH_UPDATES = 40
UPDATE_SENDS = 2 * RING_COUNT
"""Sends of one update: a push to each neighbour, and as many repeats on probes."""
PUSH_DELAY_S = 0.02
"""Time that news waits for more news before it is pushed."""
TOMBSTONE_S = 120.0
"""Time for which a dead member that is not listed is remembered."""
MISMATCHES_BEFORE_SYNC = 3
SYNC_BYTES_PER_S = 150.0
"""Long-term rate that exchanges of whole views stay under."""
RECORD_BYTES = 45
STRANGER_SYNC_PERIOD_S = 0.5
JOIN_PERIOD_S = 0.25
JOIN_CONTACTS = 2


@dataclass(frozen=True, slots=True)
class ProbeTimes:
    """Hold the periods of probing.

    Attributes
    ----------
    period_s : float
        Time between two probes of one daemon.
    direct_s, relayed_s : float
        Time for the direct answer, and then for one through other members.
    suspicion_s : float
        Time in which a suspect must refute.
    fresh_s : float
        Time after a message of a member in which its death isn't taken on hearsay.
    alone_s : float
        Time without a message of anybody after which a daemon is isolated.
    pause_s : float
        Lateness of the own timer that is taken for a pause of the process.
    rejoin_s : float
        Time between two attempts to reach a dead or unknown listed host.
    """

    period_s: float
    direct_s: float
    relayed_s: float
    suspicion_s: float
    fresh_s: float
    alone_s: float
    pause_s: float
    rejoin_s: float


SMALL_FLEET_TIMES = ProbeTimes(0.25, 0.25, 0.25, 0.4, 0.4, 1.0, 0.6, 0.5)
LARGE_FLEET_TIMES = ProbeTimes(0.5, 0.5, 0.5, 2.0, 1.0, 2.5, 1.5, 2.0)


@dataclass(frozen=True, slots=True)
class Outgoing:
    """Hold a message that is to be sent."""

    host: str
    msg: Message


@dataclass(slots=True)
class Probe:
    """Hold one probe in progress.

    Attributes
    ----------
    target : str
        Member that is probed.
    deadline : float
        When the present attempt has failed, in seconds.
    relayed : bool
        Whether other members are trying by now.
    """

    target: str
    deadline: float
    relayed: bool = False


@dataclass(slots=True)
class Relay:
    """Hold a probe that is made for another member."""

    requester: str
    seq: int
    deadline: float


class FactSource:
    """Provide the facts that ride on probes; the adapter fills it."""

    def collect(self) -> list[list]:
        """Return the facts for one message."""
        return []

    def consume(self, sender: str, facts: Any) -> None:
        """Take the facts of a message."""


class MembershipCore:
    """Keep the view of one daemon.

    Parameters
    ----------
    own : Member
        Record of this daemon.
    rng : random.Random
        Source of the random choices.
    now : float
        Seconds on any monotonic clock, the same in all calls.
    facts : FactSource, optional
        Facts to attach to probes.

    Attributes
    ----------
    view : MemberView
        Records of the other members.
    stale : bool
        Whether the process was paused and has not compared its view with a peer since.
    joined : bool
        Whether the view was once compared with another member's.
    """

    def __init__(
        self, own: Member, rng: random.Random, now: float, facts: FactSource | None = None
    ) -> None:
        self.own = own
        self.view = MemberView()
        self.stale = False
        self.joined = False
        self.on_changed: Callable[[], None] = lambda: None
        self.on_resumed: Callable[[], None] = lambda: None
        self.on_dead: Callable[[str], None] = lambda host: None
        self._rng = rng
        self._facts = facts or FactSource()
        self._outbox: list[Outgoing] = []
        self._listed: frozenset[str] | None = None
        self._listed_leaving: frozenset[str] = frozenset()
        self._contacts: set[str] = set()
        self._seq = rng.randrange(1 << 16)
        self._probes: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}
        self._sends_left: dict[str, int] = {}
        self._neighbours: list[str] | None = None
        self._probe_index = 0
        self._next_probe = now
        self._next_rejoin = now
        self._next_join = now
        self._push_at: float | None = None
        self._mismatches = 0
        self._synced_at = float("-inf")
        self._heard_at = now
        self._due = now
        self._live: tuple[str, ...] = (own.name,)
        self._isolated = False
        self._suspects: set[str] = set()

    # What others ask.

    def live(self) -> tuple[str, ...]:
        """Return the sorted names of the members that take part, this one included."""
        return self._live

    @property
    def isolated(self) -> bool:
        """Tell whether this daemon can't reach the larger part of the fleet."""
        return self._isolated

    def times(self) -> ProbeTimes:
        """Return the periods for the present size of the fleet."""
        if len(self.view.members) < SMALL_FLEET_MEMBERS:
            return SMALL_FLEET_TIMES
        return LARGE_FLEET_TIMES

    def take_outbox(self) -> list[Outgoing]:
        """Return and forget the messages to send."""
        outbox = self._outbox
        self._outbox = []
        return outbox

    def due(self) -> float:
        """Return the time of the next `tick`."""
        return self._due

    # What happens to the daemon.

    def add_contact(self, name: str) -> None:
        """Note a host whose address is known and that may be running."""
        if name != self.own.name:
            self._contacts.add(name)

    def knows_others(self) -> bool:
        """Tell whether any other host is known, be it by name only."""
        return bool(self._contacts or self.view.members)

    def set_listed(self, now: float, live: Iterable[str], leaving: Iterable[str]) -> None:
        """Take the platform's list: hosts that it calls live and leaving."""
        self._listed = frozenset(live)
        self._listed_leaving = frozenset(leaving)
        for name in self._listed:
            self.add_contact(name)
        self._contacts &= self._listed | self._listed_leaving | set(self.view.members)
        self._note_change(now)

    def leave(self, now: float) -> None:
        """Announce the planned stop: the daemon still runs but takes part no longer."""
        if self.own.leaving:
            return
        self.own = replace(self.own, leaving=True, incarnation=self.own.incarnation + 1)
        self._spread_own()
        self._note_change(now)
        self._push(now)

    def depart(self, now: float) -> None:
        """Announce that the process ends now."""
        self.own = replace(self.own, leaving=True, health=Health.DEAD)
        record = [pack_member(self.own)]
        for name in self._ring_neighbours():
            self._send(name, Push(record, []))

    def push_facts(self, now: float) -> None:
        """Send the attached facts to the neighbours soon, without waiting for a probe."""
        self._schedule_push(now)

    def on_unreachable(self, now: float, host: str) -> None:
        """Take note that a connection to a host broke or was refused; probe it at once."""
        member = self.view.get(host)
        if member is None or member.health is Health.DEAD:
            return
        member.heard_at = float("-inf")
        for probe in self._probes.values():
            if probe.target == host:
                if not probe.relayed:
                    probe.deadline = now
                    self._plan(now)
                return
        self._start_probe(now, host)
        self._plan(now)

    def on_message(self, now: float, sender: str, msg: Message) -> None:
        """Take a message of the protocol.

        Raises
        ------
        MessageError
            When a field is malformed.
        """
        self._check_pause(now)
        self._heard_at = now
        member = self.view.get(sender)
        if member is not None:
            member.heard_at = now
        handle = _HANDLERS[type(msg)]
        handle(self, now, sender, msg)
        self._plan(now)

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._check_pause(now)
        self._check_probes(now)
        self._check_suspects(now)
        if now >= self._next_probe:
            self._probe_next(now)
        if not self.joined and now >= self._next_join:
            self._join(now)
        if now >= self._next_rejoin:
            self._rejoin(now)
        if self._mismatches >= MISMATCHES_BEFORE_SYNC:
            self._sync_if_allowed(now)
        if self._push_at is not None and now >= self._push_at:
            self._push(now)
        if self._update_isolated(now):
            self.on_changed()
        self._plan(now)

    # Timing.

    def _plan(self, now: float) -> None:
        due = min(self._next_probe, self._next_rejoin)
        if not self.joined:
            due = min(due, self._next_join)
        if self._push_at is not None:
            due = min(due, self._push_at)
        for probe in self._probes.values():
            due = min(due, probe.deadline)
        for name in self._suspects:
            due = min(due, self._verdict_at(name, now))
        self._due = max(due, now)

    def _check_pause(self, now: float) -> None:
        if now - self._due > self.times().pause_s:
            self._due = now
            self._resume(now)

    def _resume(self, now: float) -> None:
        self.stale = True
        self._heard_at = now
        self._probes.clear()
        self._relays.clear()
        self._synced_at = float("-inf")
        for name in self._suspects:
            self.view.members[name].changed_at = now
        self._forget_verdicts()
        self.own = replace(self.own, incarnation=self.own.incarnation + 1)
        self._spread_own()
        self._note_change(now)
        self.on_resumed()
        for name in self._ring_neighbours():
            self._send(name, self._build_sync(answer=True))

    # Probing.

    def _ring_neighbours(self) -> list[str]:
        if self._neighbours is None:
            self._neighbours = choose_neighbours(self.own.name, self.view.running(), RING_COUNT)
        return self._neighbours

    def _probe_next(self, now: float) -> None:
        self._next_probe = now + self.times().period_s * self._rng.uniform(0.9, 1.1)
        neighbours = self._ring_neighbours()
        if not neighbours:
            return
        self._probe_index += 1
        self._start_probe(now, neighbours[self._probe_index % len(neighbours)])

    def _start_probe(self, now: float, target: str) -> None:
        seq = self._next_seq()
        self._probes[seq] = Probe(target, now + self.times().direct_s)
        self._send(target, self._build_ping(seq, target))

    def _check_probes(self, now: float) -> None:
        for seq, probe in list(self._probes.items()):
            if now < probe.deadline:
                continue
            if probe.relayed:
                del self._probes[seq]
                self._suspect(now, probe.target)
            else:
                probe.relayed = True
                probe.deadline = now + self.times().relayed_s
                self._ask_relays(seq, probe.target)
        for seq, relay in list(self._relays.items()):
            if now >= relay.deadline:
                del self._relays[seq]

    def _ask_relays(self, seq: int, target: str) -> None:
        relays = [name for name in self.view.running() if name != target]
        for name in self._rng.sample(relays, min(RELAY_COUNT, len(relays))):
            self._send(name, PingRequest(seq, target))

    def _suspect(self, now: float, target: str) -> None:
        member = self.view.get(target)
        if member is None or member.health is not Health.ALIVE:
            return
        self._apply(now, replace(member, health=Health.SUSPECT))

    def _check_suspects(self, now: float) -> None:
        for name in list(self._suspects):
            if now >= self._verdict_at(name, now):
                self._apply(now, replace(self.view.members[name], health=Health.DEAD))

    def _verdict_at(self, name: str, now: float) -> float:
        member = self.view.members[name]
        times = self.times()
        return max(member.changed_at + times.suspicion_s, member.heard_at + times.fresh_s)

    def _forget_dead(self, now: float) -> None:
        listed = self._listed or frozenset()
        for member in list(self.view.members.values()):
            old = member.health is Health.DEAD and now - member.changed_at >= TOMBSTONE_S
            if old and member.name not in listed:
                self.view.remove(member.name)
                self._contacts.discard(member.name)
                self._sends_left.pop(member.name, None)

    def _forget_verdicts(self) -> None:
        """Spread no longer what this daemon says of others; it may be the one that is cut off."""
        for name in list(self._sends_left):
            member = self.view.get(name)
            if member is not None and member.health is not Health.ALIVE:
                del self._sends_left[name]

    # Joining and coming back.

    def _join(self, now: float) -> None:
        self._next_join = now + JOIN_PERIOD_S
        contacts = sorted(self._contacts)
        for name in self._rng.sample(contacts, min(JOIN_CONTACTS, len(contacts))):
            self._send(name, self._build_sync(answer=True))

    def _rejoin(self, now: float) -> None:
        self._next_rejoin = now + self.times().rejoin_s * self._rng.uniform(0.8, 1.2)
        self._forget_dead(now)
        lost = [m.name for m in self.view.members.values() if m.health is Health.DEAD]
        unknown = [name for name in self._contacts if self.view.get(name) is None]
        candidates = sorted(lost + unknown)
        if candidates:
            name = self._rng.choice(candidates)
            self._send(name, self._build_ping(self._next_seq(), name))

    def _sync_if_allowed(self, now: float) -> None:
        size = RECORD_BYTES * (len(self.view.members) + 1)
        if now - self._synced_at < max(1.0, size / SYNC_BYTES_PER_S):
            return
        neighbours = self._ring_neighbours()
        if neighbours:
            self._synced_at = now
            self._mismatches = 0
            self._send(self._rng.choice(neighbours), self._build_sync(answer=True))

    # Messages out.

    def _next_seq(self) -> int:
        self._seq += 1
        return self._seq

    def _send(self, host: str, msg: Message) -> None:
        self._outbox.append(Outgoing(host, msg))

    def _build_ping(self, seq: int, target: str) -> Ping:
        return Ping(
            seq,
            self.own.incarnation,
            self.own.leaving,
            self.view.digest(self.own),
            self._take_updates(MAX_PROBE_UPDATES, target),
            self._facts.collect(),
        )

    def _build_push(self) -> Push:
        return Push(self._take_updates(MAX_PUSH_UPDATES, ""), self._facts.collect())

    def _build_sync(self, answer: bool) -> Sync:
        trusted = not self.stale and not self._isolated
        records = [pack_member(self.own)]
        for member in self.view.members.values():
            if member.health is not Health.DEAD or trusted:
                records.append(pack_member(member))
        return Sync(records, answer)

    def _take_updates(self, count: int, target: str) -> list[list]:
        names = sorted(self._sends_left, key=lambda name: -self._sends_left[name])[:count]
        member = self.view.get(target)
        if member is not None and member.health is not Health.ALIVE and target not in names:
            names = [target, *names[: count - 1]]
        updates = []
        for name in names:
            record = self.own if name == self.own.name else self.view.get(name)
            if record is not None:
                updates.append(pack_member(record))
            if name in self._sends_left:
                self._sends_left[name] -= 1
                if self._sends_left[name] <= 0:
                    del self._sends_left[name]
        return updates

    def _spread(self, now: float, name: str) -> None:
        self._sends_left[name] = UPDATE_SENDS
        self._schedule_push(now)

    def _spread_own(self) -> None:
        self.view.forget_digest()
        self._sends_left[self.own.name] = UPDATE_SENDS

    def _schedule_push(self, now: float) -> None:
        if self._push_at is None:
            self._push_at = now + PUSH_DELAY_S

    def _push(self, now: float) -> None:
        self._push_at = None
        for name in self._ring_neighbours():
            msg = self._build_push()
            if msg.updates or msg.facts:
                self._send(name, msg)

    # Messages in.

    def _on_ping(self, now: float, sender: str, msg: Ping) -> None:
        self._take_common(now, sender, msg)
        ack = Ack(
            msg.seq,
            self.own.incarnation,
            self.own.leaving,
            self.view.digest(self.own),
            self._take_updates(MAX_PROBE_UPDATES, sender),
            self._facts.collect(),
        )
        self._send(sender, ack)

    def _on_ack(self, now: float, sender: str, msg: Ack) -> None:
        self._take_common(now, sender, msg)
        probe = self._probes.get(msg.seq)
        if probe is not None and probe.target == sender:
            del self._probes[msg.seq]
        relay = self._relays.pop(msg.seq, None)
        if relay is not None:
            self._send(relay.requester, RelayedAck(relay.seq, sender))

    def _take_common(self, now: float, sender: str, msg: Ping | Ack) -> None:
        if not isinstance(msg.incarnation, int) or not isinstance(msg.seq, int):
            raise MessageError("a probe's numbers have the wrong type")
        member = self.view.get(sender)
        if member is None:
            self._sync_with_stranger(now, sender)
        else:
            known = replace(
                member,
                incarnation=msg.incarnation,
                health=Health.ALIVE,
                leaving=bool(msg.leaving),
            )
            if known.incarnation > member.incarnation:
                self._apply(now, known)
        self._take_updates_of(now, msg.updates)
        if msg.digest == self.view.digest(self.own):
            self._mismatches = max(0, self._mismatches - 1)
            self.stale = False
        else:
            self._mismatches += 1
        self._facts.consume(sender, msg.facts)

    def _sync_with_stranger(self, now: float, sender: str) -> None:
        if now - self._synced_at >= STRANGER_SYNC_PERIOD_S:
            self._synced_at = now
            self._send(sender, self._build_sync(answer=True))

    def _on_ping_request(self, now: float, sender: str, msg: PingRequest) -> None:
        member = self.view.get(msg.target) if isinstance(msg.target, str) else None
        if member is None:
            return
        seq = self._next_seq()
        self._relays[seq] = Relay(sender, msg.seq, now + self.times().relayed_s)
        self._send(msg.target, self._build_ping(seq, msg.target))

    def _on_relayed_ack(self, now: float, sender: str, msg: RelayedAck) -> None:
        probe = self._probes.get(msg.seq)
        if probe is not None and probe.target == msg.target:
            del self._probes[msg.seq]

    def _on_push(self, now: float, sender: str, msg: Push) -> None:
        self._take_updates_of(now, msg.updates)
        self._facts.consume(sender, msg.facts)

    def _on_sync(self, now: float, sender: str, msg: Sync) -> None:
        self._take_updates_of(now, msg.records)
        self.joined = True
        self._mismatches = 0
        if msg.answer:
            self._send(sender, self._build_sync(answer=False))
        else:
            self.stale = False

    def _take_updates_of(self, now: float, records: Any) -> None:
        if not isinstance(records, list):
            raise MessageError("records are an array")
        for record in records:
            self._apply(now, unpack_member(record))

    # Merging.

    def _apply(self, now: float, member: Member) -> None:
        if member.name == self.own.name:
            self._refute(now, member)
            return
        known = self.view.get(member.name)
        if known is None:
            self._add(now, member)
            return
        if not member.supersedes(known):
            return
        if member.health is Health.DEAD and now - known.heard_at < self.times().fresh_s:
            if known.health is not Health.ALIVE:
                return
            member = replace(member, health=Health.SUSPECT)
        self._replace(now, known, member)

    def _add(self, now: float, member: Member) -> None:
        member.changed_at = now
        self.view.put(member)
        if member.health is Health.SUSPECT:
            self._suspects.add(member.name)
        self._contacts.add(member.name)
        if member.health is not Health.DEAD:
            self._spread(now, member.name)
            self._note_change(now)

    def _replace(self, now: float, known: Member, member: Member) -> None:
        member.heard_at = known.heard_at
        member.changed_at = now
        self.view.put(member)
        if member.health is Health.SUSPECT:
            self._suspects.add(member.name)
        else:
            self._suspects.discard(member.name)
        if member.health is not Health.DEAD or not self._isolated:
            self._spread(now, member.name)
        self._note_change(now)
        if member.health is Health.DEAD and known.health is not Health.DEAD:
            self.on_dead(member.name)

    def _refute(self, now: float, said: Member) -> None:
        own = self.own
        if own.health is Health.DEAD or said.incarnation < own.incarnation:
            return
        same = said.health is Health.ALIVE and said.leaving == own.leaving
        if said.incarnation == own.incarnation and same:
            return
        self.own = replace(own, incarnation=said.incarnation + 1)
        self._spread_own()
        self._schedule_push(now)

    def _note_change(self, now: float) -> None:
        self._neighbours = None
        names = [n for n in self.view.taking_part() if n not in self._listed_leaving]
        if not self.own.leaving:
            names.append(self.own.name)
        live = tuple(sorted(names))
        changed = live != self._live
        self._live = live
        if self._update_isolated(now) or changed:
            self.on_changed()

    def _update_isolated(self, now: float) -> bool:
        isolated = self._is_alone(now) or not self._reaches_majority()
        changed = isolated != self._isolated
        self._isolated = isolated
        if isolated and changed:
            self._forget_verdicts()
        return changed

    def _is_alone(self, now: float) -> bool:
        others = self.view.running()
        return bool(others) and now - self._heard_at > self.times().alone_s

    def _reaches_majority(self) -> bool:
        fleet = self._listed
        if fleet is None:
            fleet = frozenset(m.name for m in self.view.members.values() if not m.leaving)
        leaving = {m.name for m in self.view.members.values() if m.leaving}
        fleet = (fleet - leaving) | {self.own.name}
        return has_majority([self.own.name, *self.view.running()], fleet)


_HANDLERS: dict[type[Message], Callable[[MembershipCore, float, str, Any], None]] = {
    Ping: MembershipCore._on_ping,
    Ack: MembershipCore._on_ack,
    PingRequest: MembershipCore._on_ping_request,
    RelayedAck: MembershipCore._on_relayed_ack,
    Push: MembershipCore._on_push,
    Sync: MembershipCore._on_sync,
}

PROTOCOL_MESSAGES = tuple(_HANDLERS)
"""Classes of message that `MembershipCore.on_message` takes."""
