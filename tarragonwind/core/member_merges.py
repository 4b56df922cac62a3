"""Merge received member records into a view and refute suspicions of the daemon itself."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from tarragonwind.core.broadcast_queues import BroadcastQueue
from tarragonwind.core.member_views import Health, Member, MemberView
from tarragonwind.core.probe_times import ProbeTimes, choose_times


class MemberMerger:
    """Merge member records into a view and queue the newer ones for broadcast.

    Parameters
    ----------
    view : MemberView
        View to update.
    broadcasts : BroadcastQueue
        Queue of the records to broadcast.
    invalidate : callable
        Called when the set of running members may have changed.

    Attributes
    ----------
    trusted : bool
        Whether this daemon broadcasts suspicions and deaths of other members.
    on_dead : callable
        Called with the name of each member marked dead.
    suspects : set of str
        Names of the members under suspicion.
    """

    __slots__ = ("_broadcasts", "_invalidate", "_view", "on_dead", "suspects", "trusted")

    def __init__(
        self, view: MemberView, broadcasts: BroadcastQueue, invalidate: Callable[[], None]
    ) -> None:
        self._view = view
        self._broadcasts = broadcasts
        self._invalidate = invalidate
        self.trusted = True
        self.on_dead: Callable[[str], None] = lambda host: None
        self.suspects: set[str] = set()

    def times(self) -> ProbeTimes:
        """Return the probe timings for the current fleet size."""
        return choose_times(len(self._view.members) + 1)

    def apply(self, now: float, member: Member) -> None:
        """Merge a received record; refute one that contradicts this daemon's own state."""
        if member.name == self._view.own.name:
            self._refute(now, member)
            return
        known = self._view.get(member.name)
        if known is None:
            self._add(now, member)
        elif member.supersedes(known):
            self._apply_newer(now, known, member)

    def suspect(self, now: float, name: str) -> None:
        """Mark a live member suspect after it failed a direct and an indirect probe."""
        member = self._view.get(name)
        if member is not None and member.health is Health.ALIVE:
            self.apply(now, replace(member, health=Health.SUSPECT))

    def check_suspects(self, now: float) -> None:
        """Mark the suspects dead whose suspicion timeout has expired."""
        for name in list(self.suspects):
            if now >= self.suspicion_deadline(name):
                known = self._view.members[name]
                self._replace(now, known, replace(known, health=Health.DEAD))

    def suspicion_deadline(self, name: str) -> float:
        """Return the time at which a suspect is marked dead, in seconds."""
        return self._view.members[name].changed_at + self.times().suspicion_timeout_s

    def restart_suspicions(self, now: float) -> None:
        """Restart the suspicion timeout of every suspect and broadcast the suspicions again."""
        for name in self.suspects:
            self._view.members[name].changed_at = now
            self._broadcast(now, name)

    def adopt_better_health(self, now: float, received: Member) -> None:
        """Replace a suspicion or death by the better health in a majority member's record.

        Only a record of the same incarnation has this effect.
        """
        known = self._view.get(received.name)
        if known is None or received.incarnation != known.incarnation:
            return
        if known.health > received.health:
            self._replace(now, known, received)

    def drop_failure_broadcasts(self) -> None:
        """Stop broadcasting suspicions and deaths, since this daemon itself may be isolated."""

        def is_failure_record(name: str) -> bool:
            member = self._view.get(name)
            return member is not None and member.health is not Health.ALIVE

        self._broadcasts.forget(is_failure_record)

    def raise_incarnation(self, leaving: bool, above: int = 0) -> None:
        """Raise the daemon's own incarnation above `above` and broadcast its record."""
        own = self._view.own
        incarnation = max(own.incarnation, above) + 1
        self._view.put_own(replace(own, incarnation=incarnation, leaving=leaving))
        self._broadcasts.add(own.name)

    def _apply_newer(self, now: float, known: Member, member: Member) -> None:
        if member.health is Health.DEAD and now - known.heard_at < self.times().recent_contact_s:
            if known.health is not Health.ALIVE:
                return
            member = replace(member, health=Health.SUSPECT)
        self._replace(now, known, member)

    def _add(self, now: float, member: Member) -> None:
        member.changed_at = now
        self._view.put(member)
        self._update_suspects(member)
        if member.health is not Health.DEAD:
            self._broadcast(now, member.name)
            self._invalidate()

    def _replace(self, now: float, known: Member, member: Member) -> None:
        member.heard_at = known.heard_at
        member.changed_at = now
        self._view.put(member)
        self._update_suspects(member)
        if member.health is Health.ALIVE or self.trusted:
            self._broadcast(now, member.name)
        self._invalidate()
        if member.health is Health.DEAD and known.health is not Health.DEAD:
            self.on_dead(member.name)

    def _update_suspects(self, member: Member) -> None:
        if member.health is Health.SUSPECT:
            self.suspects.add(member.name)
        else:
            self.suspects.discard(member.name)

    def _refute(self, now: float, received: Member) -> None:
        own = self._view.own
        if own.health is Health.DEAD or received.incarnation < own.incarnation:
            return
        same = received.health is Health.ALIVE and received.leaving == own.leaving
        if received.incarnation == own.incarnation and same:
            return
        self.raise_incarnation(own.leaving, received.incarnation)
        self._broadcasts.schedule_push(now)

    def _broadcast(self, now: float, name: str) -> None:
        self._broadcasts.add(name)
        self._broadcasts.schedule_push(now)
