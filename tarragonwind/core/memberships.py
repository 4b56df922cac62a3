"""Decide who is alive: sparse probes, suspicion with refutation, and spreading by gossip.

Each daemon probes its successors on a few hash rings of the running members, so the cost of a
daemon doesn't depend on the size of the fleet. A probe that fails is repeated through other
members before the target is suspected; a suspect that doesn't refute in time is dead.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace
from typing import Any

from tarragonwind.core.member_news import MemberNews
from tarragonwind.core.member_views import (
    BUCKET_COUNT,
    Health,
    Member,
    MemberView,
    has_majority,
    pack_member,
    unpack_member,
)
from tarragonwind.core.membership_messages import (
    Ack,
    Compare,
    Ping,
    PingRequest,
    Push,
    RelayedAck,
    Sync,
)
from tarragonwind.core.probe_times import ProbeTimes, choose_times
from tarragonwind.core.probes import ProbeTable, Relay
from tarragonwind.core.rendezvous import choose_neighbours
from tarragonwind.messages import Message, MessageError

RING_COUNT = 4
"""Successors that a daemon probes in turn."""
RELAY_COUNT = 3
"""Members that are asked to repeat a failed probe."""
MAX_PROBE_UPDATES = 6
MAX_PUSH_UPDATES = 40
TOMBSTONE_S = 120.0
"""Time for which a dead member that is not listed is remembered."""
MISMATCHES_BEFORE_SYNC = 3
COMPARE_PERIOD_S = 2.0
"""Shortest time between two comparisons of views that a daemon starts."""
CONTACT_SYNC_PERIOD_S = 0.5
"""Shortest time between two exchanges of whole views that a daemon starts."""
REJOIN_ATTEMPTS_PER_S = 2.0
"""Attempts a second that the whole fleet makes to reach one dead host, about."""
JOIN_PERIOD_S = 0.25
JOIN_CONTACTS = 2


@dataclass(frozen=True, slots=True)
class Outgoing:
    """Hold a message that is to be sent."""

    host: str
    msg: Message


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
        self.view = MemberView(own)
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
        self._probes = ProbeTable(rng.randrange(1 << 16))
        self._news = MemberNews(RING_COUNT, RING_COUNT)
        self._neighbours: list[str] | None = None
        self._probe_index = 0
        self._next_probe = now
        self._next_rejoin = now
        self._next_join = now
        self._mismatches = 0
        self._synced_at = float("-inf")
        self._compared_at = float("-inf")
        self._heard_at = now
        self._due = now
        self._live: tuple[str, ...] = (own.name,)
        self._isolated = False
        self._dirty = False
        self._reached_majority = True
        self._suspects: set[str] = set()

    # What others ask.

    @property
    def own(self) -> Member:
        """Return the record of this daemon."""
        return self.view.own

    def live(self) -> tuple[str, ...]:
        """Return the sorted names of the members that take part, this one included."""
        return self._live

    @property
    def isolated(self) -> bool:
        """Tell whether this daemon can't reach the larger part of the fleet."""
        return self._isolated

    def times(self) -> ProbeTimes:
        """Return the periods for the present size of the fleet."""
        return choose_times(len(self.view.members) + 1)

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
        self._note_change()
        self._finish(now)

    def leave(self, now: float) -> None:
        """Announce the planned stop: the daemon still runs but takes part no longer."""
        if self.own.leaving:
            return
        self._renew_own(self.own.incarnation + 1, leaving=True)
        self._note_change()
        self._push(now)
        self._finish(now)

    def depart(self, now: float) -> None:
        """Announce that the process ends now."""
        self.view.put_own(replace(self.own, leaving=True, health=Health.DEAD))
        record = [pack_member(self.own)]
        for name in self._ring_neighbours():
            self._send(name, Push(record, []))

    def push_facts(self, now: float) -> None:
        """Send the attached facts to the neighbours soon, without waiting for a probe."""
        self._news.schedule_push(now)
        self._plan(now)

    def on_unreachable(self, now: float, host: str) -> None:
        """Take note that a connection to a host broke or was refused; probe it at once."""
        member = self.view.get(host)
        if member is None or member.health is Health.DEAD:
            return
        member.heard_at = float("-inf")
        probe = self._probes.find(host)
        if probe is None:
            self._start_probe(now, host)
        elif not probe.relayed:
            probe.deadline = now
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
        self._finish(now)

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
            self._compare_views(now)
        if self._news.push_at is not None and now >= self._news.push_at:
            self._push(now)
        self._finish(now)

    # Timing.

    def _plan(self, now: float) -> None:
        due = min(self._next_probe, self._next_rejoin)
        if not self.joined:
            due = min(due, self._next_join)
        if self._news.push_at is not None:
            due = min(due, self._news.push_at)
        due = min(due, self._probes.first_deadline())
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
        self._synced_at = float("-inf")
        for name in self._suspects:
            self.view.members[name].changed_at = now
        self._forget_verdicts()
        self._renew_own(self.own.incarnation + 1, self.own.leaving)
        self._note_change()
        self._finish(now)
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
        seq = self._probes.start(target, now + self.times().direct_s)
        self._send(target, self._build_ping(seq, target))

    def _check_probes(self, now: float) -> None:
        for seq, probe in self._probes.take_late(now):
            if probe.relayed:
                self._suspect(now, probe.target)
            else:
                probe.relayed = True
                probe.deadline = now + self.times().relayed_s
                self._ask_relays(seq, probe.target)

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

    def _forget_verdicts(self) -> None:
        """Spread no longer what this daemon says of others; it may be the one that is cut off."""

        def is_verdict(name: str) -> bool:
            member = self.view.get(name)
            return member is not None and member.health is not Health.ALIVE

        self._news.forget(is_verdict)

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
        if candidates and self._rng.random() < self._rejoin_chance(len(candidates)):
            name = self._rng.choice(candidates)
            self._send(name, self._build_ping(self._probes.next_seq(), name))

    def _rejoin_chance(self, candidate_count: int) -> float:
        if self._isolated or self.stale:
            return 1.0
        wanted_per_s = REJOIN_ATTEMPTS_PER_S * candidate_count / (len(self.view.running()) + 1)
        return wanted_per_s * self.times().rejoin_s

    def _compare_views(self, now: float) -> None:
        neighbours = self._ring_neighbours()
        if neighbours and now - self._compared_at >= COMPARE_PERIOD_S:
            self._compared_at = now
            self._mismatches = 0
            self._send(self._rng.choice(neighbours), Compare(self.view.bucket_digests()))

    # Messages out.

    def _send(self, host: str, msg: Message) -> None:
        self._outbox.append(Outgoing(host, msg))

    def _build_ping(self, seq: int, target: str) -> Ping:
        return Ping(
            seq,
            self.own.incarnation,
            self.own.leaving,
            self.view.digest(),
            self._take_updates(MAX_PROBE_UPDATES, target),
            self._facts.collect(),
        )

    def _build_push(self) -> Push:
        return Push(self._take_updates(MAX_PUSH_UPDATES, ""), self._facts.collect())

    def _build_sync(self, answer: bool, buckets: Collection[int] = ()) -> Sync:
        trusted = not self.stale and not self._isolated
        records = []
        for member in self.view.in_buckets(buckets or range(BUCKET_COUNT)):
            if member.health is not Health.DEAD or trusted:
                records.append(pack_member(member))
        return Sync(records, list(buckets), answer, trusted)

    def _take_updates(self, count: int, target: str) -> list[list]:
        member = self.view.get(target)
        refutable = member is not None and member.health is not Health.ALIVE
        records = []
        for name in self._news.take(count, target if refutable else ""):
            record = self.own if name == self.own.name else self.view.get(name)
            if record is not None:
                records.append(pack_member(record))
        return records

    def _spread(self, now: float, name: str) -> None:
        self._news.add(name)
        self._news.schedule_push(now)

    def _renew_own(self, incarnation: int, leaving: bool) -> None:
        self.view.put_own(replace(self.own, incarnation=incarnation, leaving=leaving))
        self._news.add(self.own.name)

    def _push(self, now: float) -> None:
        for name in self._ring_neighbours():
            msg = self._build_push()
            if msg.updates or msg.facts:
                self._send(name, msg)
        self._news.end_push(now)

    # Messages in.

    def _on_ping(self, now: float, sender: str, msg: Ping) -> None:
        self._take_common(now, sender, msg)
        ack = Ack(
            msg.seq,
            self.own.incarnation,
            self.own.leaving,
            self.view.digest(),
            self._take_updates(MAX_PROBE_UPDATES, sender),
            self._facts.collect(),
        )
        self._send(sender, ack)

    def _on_ack(self, now: float, sender: str, msg: Ack) -> None:
        self._take_common(now, sender, msg)
        relay = self._probes.end(msg.seq, sender)
        if relay is not None:
            self._send(relay.requester, RelayedAck(relay.seq, sender))

    def _take_common(self, now: float, sender: str, msg: Ping | Ack) -> None:
        if not isinstance(msg.incarnation, int) or not isinstance(msg.seq, int):
            raise MessageError("a probe's numbers have the wrong type")
        member = self.view.get(sender)
        if member is None or member.health is Health.DEAD:
            self._sync_with(now, sender)
        if member is not None:
            known = replace(
                member,
                incarnation=msg.incarnation,
                health=Health.ALIVE,
                leaving=bool(msg.leaving),
            )
            if known.incarnation > member.incarnation:
                self._apply(now, known)
        self._take_updates_of(now, msg.updates)
        if msg.digest == self.view.digest():
            self._mismatches = max(0, self._mismatches - 1)
            self.stale = False
        else:
            self._mismatches += 1
        self._facts.consume(sender, msg.facts)

    def _sync_with(self, now: float, host: str) -> None:
        """Exchange whole views with a host that this view misses or calls dead."""
        if now - self._synced_at >= CONTACT_SYNC_PERIOD_S:
            self._synced_at = now
            self._send(host, self._build_sync(answer=True))

    def _on_ping_request(self, now: float, sender: str, msg: PingRequest) -> None:
        member = self.view.get(msg.target) if isinstance(msg.target, str) else None
        if member is None:
            return
        relay = Relay(sender, msg.seq, now + self.times().relayed_s)
        seq = self._probes.start_relay(relay)
        self._send(msg.target, self._build_ping(seq, msg.target))

    def _on_relayed_ack(self, now: float, sender: str, msg: RelayedAck) -> None:
        self._probes.end(msg.seq, msg.target)

    def _on_push(self, now: float, sender: str, msg: Push) -> None:
        self._take_updates_of(now, msg.updates)
        self._facts.consume(sender, msg.facts)

    def _on_sync(self, now: float, sender: str, msg: Sync) -> None:
        if msg.trusted and (self._isolated or self.stale):
            self._adopt(now, msg.records)
        self._take_updates_of(now, msg.records)
        self.joined = True
        self._mismatches = 0
        if msg.answer:
            self._send(sender, self._build_sync(False, _check_buckets(msg.buckets)))
        else:
            self.stale = False

    def _adopt(self, now: float, records: Any) -> None:
        """Forget own verdicts that a member in touch with the larger part doesn't share."""
        for record in _check_list(records):
            said = unpack_member(record)
            known = self.view.get(said.name)
            if known is None or said.incarnation != known.incarnation:
                continue
            if known.health > said.health:
                self._replace(now, known, said)

    def _on_compare(self, now: float, sender: str, msg: Compare) -> None:
        own = self.view.bucket_digests()
        if len(_check_list(msg.digests)) != len(own):
            raise MessageError(f"a comparison has {len(own)} digests")
        buckets = [index for index, digest in enumerate(own) if digest != msg.digests[index]]
        if buckets:
            self._send(sender, self._build_sync(True, buckets))

    def _take_updates_of(self, now: float, records: Any) -> None:
        for record in _check_list(records):
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
            self._note_change()

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
        self._note_change()
        if member.health is Health.DEAD and known.health is not Health.DEAD:
            self.on_dead(member.name)

    def _refute(self, now: float, said: Member) -> None:
        own = self.own
        if own.health is Health.DEAD or said.incarnation < own.incarnation:
            return
        same = said.health is Health.ALIVE and said.leaving == own.leaving
        if said.incarnation == own.incarnation and same:
            return
        self._renew_own(said.incarnation + 1, own.leaving)
        self._news.schedule_push(now)

    def _note_change(self) -> None:
        self._neighbours = None
        self._dirty = True

    def _finish(self, now: float) -> None:
        """Bring what follows from the view up to date, once for each event."""
        changed = False
        if self._dirty:
            self._dirty = False
            self._reached_majority = self._reaches_majority()
            changed = self._refresh_live()
        if self._update_isolated(now) or changed:
            self.on_changed()
        self._plan(now)

    def _refresh_live(self) -> bool:
        names = [n for n in self.view.taking_part() if n not in self._listed_leaving]
        if not self.own.leaving:
            names.append(self.own.name)
        live = tuple(sorted(names))
        changed = live != self._live
        self._live = live
        return changed

    def _update_isolated(self, now: float) -> bool:
        isolated = self._is_alone(now) or not self._reached_majority
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


def _check_list(value: Any) -> list:
    if not isinstance(value, list):
        raise MessageError("an array is missing")
    return value


def _check_buckets(value: Any) -> list[int]:
    buckets = _check_list(value)
    if not all(isinstance(bucket, int) for bucket in buckets):
        raise MessageError("a bucket is a number")
    return buckets


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
"""Classes of message that `MembershipCore.on_message` takes."""
