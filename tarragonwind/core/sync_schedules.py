"""Decide when a host sends its full state in a pool to the owner, and when the owner is silent.

A silent owner may be busy. The longer it is silent, the less it is sent: each state that it has to
read delays its answer to the others.
"""

from __future__ import annotations

import random

from tarragonwind.records import dataclass

MIN_JITTER = 0.75
"""Least random factor of the interval between two states sent in doubt."""
MAX_JITTER = 1.25
"""Largest random factor of this interval."""


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Set the timeouts and retry intervals of a permit client.

    Attributes
    ----------
    resync_after_s : float
        Time without a message of the owner after which the full state is sent again, in seconds. An
        answer to a state within this time ends the use of the local share.
    owner_timeout_s : float
        Time without a message of the owner after which the local share is used, in seconds.
    first_doubt_period_s, max_doubt_period_s : float
        Shortest and longest interval between two states sent in doubt, in seconds; it doubles.
    forget_doubt_s : float
        Time without such a state after which the interval begins anew, in seconds.
    resync_period_s : float
        Interval between retries of a message to the owner that could not be sent, in seconds.
    sync_period_s : float
        Interval of full synchronisation while requests wait or permits are held, in seconds.
    mismatches_to_resync : int
        Consecutive heartbeats with a wrong number of requests that trigger a synchronisation.
    """

    resync_after_s: float = 0.3
    owner_timeout_s: float = 0.6
    first_doubt_period_s: float = 0.15
    max_doubt_period_s: float = 2.4
    forget_doubt_s: float = 5.0
    resync_period_s: float = 0.25
    sync_period_s: float = 10.0
    mismatches_to_resync: int = 2


class SyncSchedule:
    """Schedule the full states that a host sends to the owner of one pool.

    A state is sent in doubt: after silence, or when the owner's heartbeats show that it lacks
    requests. The interval between such states doubles until the owner is in step again.

    Parameters
    ----------
    now : float
        Time in seconds.
    settings : ClientSettings
        Timeouts and intervals.
    rng : random.Random
        Source of the jitter.

    Attributes
    ----------
    owner_seen_at : float
        Time of the last message of the owner, in seconds.
    synced_at : float
        Time at which the full state was sent last, in seconds.
    needs_sync : bool
        Whether a message to the owner could not be sent.
    """

    __slots__ = (
        "_doubt_period_s",
        "_mismatches",
        "_rng",
        "_settings",
        "needs_sync",
        "owner_seen_at",
        "synced_at",
    )

    def __init__(self, now: float, settings: ClientSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._mismatches = 0
        self._doubt_period_s = settings.first_doubt_period_s
        self.owner_seen_at = now
        self.synced_at = now
        self.needs_sync = False

    def on_owner_seen(self, now: float) -> None:
        """Record a message of the owner."""
        self.owner_seen_at = now

    def on_owner_changed(self, now: float) -> None:
        """Give a new owner its time to answer."""
        self.owner_seen_at = now
        self._doubt_period_s = self._settings.first_doubt_period_s

    def on_synced(self, now: float) -> None:
        """Record that the full state was sent."""
        self.synced_at = now
        self.needs_sync = False
        self._mismatches = 0

    def on_heartbeat(self, now: float, matches: bool) -> bool:
        """Record whether the owner knows the right number of requests; return whether to sync."""
        if matches:
            self._mismatches = 0
            self._doubt_period_s = self._settings.first_doubt_period_s
            return False
        self._mismatches += 1
        enough = self._mismatches >= self._settings.mismatches_to_resync
        return enough and self.take_doubt(now)

    def is_silent(self, now: float) -> bool:
        """Return whether the owner has been silent for so long that the local share is used."""
        return now - self.owner_seen_at >= self._settings.owner_timeout_s

    def has_answered(self, now: float) -> bool:
        """Return whether a message of the owner that comes now answers the last state in time.

        A busy owner still sends answers to messages that it received long ago.
        """
        return now - self.synced_at <= self._settings.resync_after_s

    def take_doubt(self, now: float) -> bool:
        """Return whether the owner should be sent the state in doubt; the interval doubles."""
        since_s = now - self.synced_at
        if self.needs_sync:
            return since_s >= self._settings.resync_period_s
        if since_s >= self._settings.forget_doubt_s:
            self._doubt_period_s = self._settings.first_doubt_period_s
        if since_s < self._doubt_period_s:
            return False
        doubled_s = min(self._settings.max_doubt_period_s, 2.0 * self._doubt_period_s)
        self._doubt_period_s = doubled_s * self._rng.uniform(MIN_JITTER, MAX_JITTER)
        return True

    def is_due(self, now: float, has_pending: bool, has_content: bool) -> bool:
        """Return whether the owner should be sent the full state.

        Parameters
        ----------
        now : float
            Time in seconds.
        has_pending : bool
            Whether requests wait for permits of the owner.
        has_content : bool
            Whether requests wait or permits are held.
        """
        since_s = now - self.synced_at
        if self.needs_sync:
            return since_s >= self._settings.resync_period_s
        silent_from = self.owner_seen_at + self._settings.resync_after_s
        if has_pending and self.synced_at < silent_from <= now and self.take_doubt(now):
            return True
        return has_content and since_s >= self._settings.sync_period_s
