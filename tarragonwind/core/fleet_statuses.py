"""Derive the live members, and whether a daemon reaches a majority of its fleet."""

from __future__ import annotations

from collections.abc import Iterable

from tarragonwind.core.member_views import Health, MemberView, has_majority


class FleetStatus:
    """Combine a daemon's membership view with the platform's host list.

    Parameters
    ----------
    view : MemberView
        View of the daemon.
    now : float
        Current time, in seconds.

    Attributes
    ----------
    live : tuple of str
        Sorted names of the live members, this daemon included unless it leaves.
    isolated : bool
        Whether the daemon cannot reach a majority of the fleet.
    listed : frozenset of str
        Hosts that the platform lists as live, empty before the first list.
    heard_at : float
        Time of the last message from any member, in seconds.
    """

    __slots__ = (
        "_listed_leaving",
        "_outdated",
        "_reaches_majority",
        "_view",
        "heard_at",
        "isolated",
        "listed",
        "live",
    )

    def __init__(self, view: MemberView, now: float) -> None:
        self._view = view
        self._listed_leaving: frozenset[str] = frozenset()
        self._outdated = False
        self._reaches_majority = True
        self.live: tuple[str, ...] = (view.own.name,)
        self.isolated = False
        self.listed: frozenset[str] = frozenset()
        self.heard_at = now

    def set_listed(self, live: Iterable[str], leaving: Iterable[str]) -> None:
        """Replace the platform's host list: the hosts listed as live and as leaving."""
        self.listed = frozenset(live)
        self._listed_leaving = frozenset(leaving)
        self._outdated = True

    def invalidate(self) -> None:
        """Recompute the status at the next `refresh`."""
        self._outdated = True

    def refresh(self, now: float, isolation_timeout_s: float) -> bool:
        """Update the status and return whether `live` or `isolated` changed.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        isolation_timeout_s : float
            Time without a message from any member after which the daemon is isolated.
        """
        before = (self.live, self.isolated)
        if self._outdated:
            self._outdated = False
            self._reaches_majority = self._compute_majority()
            self.live = self._compute_live()
        silent = self._view.running_count() > 0 and now - self.heard_at > isolation_timeout_s
        self.isolated = silent or not self._reaches_majority
        return before != (self.live, self.isolated)

    def _compute_live(self) -> tuple[str, ...]:
        names = set(self._view.participants())
        if not self._view.own.leaving:
            names.add(self._view.own.name)
        return tuple(sorted(names - self._listed_leaving))

    def _compute_majority(self) -> bool:
        own_name = self._view.own.name
        members = self._view.members.values()
        fleet = self.listed or {own_name, *self._view.members}
        ended = {m.name for m in members if m.leaving and m.health is Health.DEAD}
        return has_majority([own_name, *self._view.running()], fleet - ended)
