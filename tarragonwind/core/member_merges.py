"""Merge what is said of members into a view, and answer what is said of the daemon itself."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from tarragonwind.core.broadcast_queues import BroadcastQueue
from tarragonwind.core.member_views import Health, Member, MemberView
from tarragonwind.core.probe_times import ProbeTimes, choose_times


class MemberMerger:
    """Apply records to a view and pass on what was new.

    Parameters
    ----------
    view : MemberView
        View to change.
    broadcasts : BroadcastQueue
        Queue of the records to spread.
    note_change : callable
        Called when the running members may have changed.

    Attributes
    ----------
    trusted : bool
        Whether this daemon spreads what it says against others.
    on_dead : callable
        Called with the name of each member that has become dead.
    suspects : set of str
        Members under suspicion.
    """

    __slots__ = ("_broadcasts", "_note_change", "_view", "on_dead", "suspects", "trusted")

    def __init__(
        self, view: MemberView, broadcasts: BroadcastQueue, note_change: Callable[[], None]
    ) -> None:
        self._view = view
        self._broadcasts = broadcasts
        self._note_change = note_change
        self.trusted = True
        self.on_dead: Callable[[str], None] = lambda host: None
        self.suspects: set[str] = set()

    def times(self) -> ProbeTimes:
        """Return the periods for the present size of the fleet."""
        return choose_times(len(self._view.members) + 1)

    def apply(self, now: float, member: Member) -> None:
        """Merge a record of any member."""
        if member.name == self._view.own.name:
            self._refute(now, member)
            return
        known = self._view.get(member.name)
        if known is None:
            self._add(now, member)
        elif member.supersedes(known):
            self._apply_newer(now, known, member)

    def suspect(self, now: float, name: str) -> None:
        """Suspect a member that has not answered."""
        member = self._view.get(name)
        if member is not None and member.health is Health.ALIVE:
            self.apply(now, replace(member, health=Health.SUSPECT))

    def check_suspects(self, now: float) -> None:
        """Call the suspects dead that have not refuted in time."""
        for name in list(self.suspects):
            if now >= self.verdict_at(name):
                known = self._view.members[name]
                self._replace(now, known, replace(known, health=Health.DEAD))

    def verdict_at(self, name: str) -> float:
        """Return when a suspect is called dead, in seconds."""
        return self._view.members[name].changed_at + self.times().suspicion_timeout_s

    def restart_suspicions(self, now: float) -> None:
        """Give every suspect its whole time again, and tell of the suspicions anew."""
        for name in self.suspects:
            self._view.members[name].changed_at = now
            self._spread(now, name)

    def retract_verdict(self, now: float, said: Member) -> None:
        """Take back an own verdict that a member in touch with the larger part doesn't share."""
        known = self._view.get(said.name)
        if known is None or said.incarnation != known.incarnation:
            return
        if known.health > said.health:
            self._replace(now, known, said)

    def forget_verdicts(self) -> None:
        """Spread no longer what this daemon says of others; it may be the one that is cut off."""

        def is_verdict(name: str) -> bool:
            member = self._view.get(name)
            return member is not None and member.health is not Health.ALIVE

        self._broadcasts.forget(is_verdict)

    def raise_incarnation(self, leaving: bool, above: int = 0) -> None:
        """Raise the daemon's own incarnation, above another one, and spread it."""
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
        self._follow_suspicion(member)
        if member.health is not Health.DEAD:
            self._spread(now, member.name)
            self._note_change()

    def _replace(self, now: float, known: Member, member: Member) -> None:
        member.heard_at = known.heard_at
        member.changed_at = now
        self._view.put(member)
        self._follow_suspicion(member)
        if member.health is Health.ALIVE or self.trusted:
            self._spread(now, member.name)
        self._note_change()
        if member.health is Health.DEAD and known.health is not Health.DEAD:
            self.on_dead(member.name)

    def _follow_suspicion(self, member: Member) -> None:
        if member.health is Health.SUSPECT:
            self.suspects.add(member.name)
        else:
            self.suspects.discard(member.name)

    def _refute(self, now: float, said: Member) -> None:
        own = self._view.own
        if own.health is Health.DEAD or said.incarnation < own.incarnation:
            return
        same = said.health is Health.ALIVE and said.leaving == own.leaving
        if said.incarnation == own.incarnation and same:
            return
        self.raise_incarnation(own.leaving, said.incarnation)
        self._broadcasts.schedule_push(now)

    def _spread(self, now: float, name: str) -> None:
        self._broadcasts.add(name)
        self._broadcasts.schedule_push(now)
