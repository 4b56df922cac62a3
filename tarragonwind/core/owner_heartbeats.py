"""Keep an owner's knowledge of the hosts in step: heartbeats, epochs and queries."""

from __future__ import annotations

import random

from tarragonwind.core.host_trackers import HostTracker
from tarragonwind.core.owner_settings import Send
from tarragonwind.core.permit_ledgers import PermitLedger
from tarragonwind.core.permit_messages import PermitBeat, PermitQuery
from tarragonwind.core.queues import TierQueue


class OwnerHeartbeats:
    """Send heartbeats and queries to the hosts that use one pool, while this host owns it.

    Parameters
    ----------
    pool : str
        Name of the pool.
    send : callable
        Sends a message to a host.
    rng : random.Random
        Source of epochs.
    queue : TierQueue
        Waiting requests.
    ledger : PermitLedger
        Granted permits.
    hosts : HostTracker
        Hosts that have sent their state, and lost hosts.
    query_after_s : float
        Time without the state of a host that holds permits after which it is queried, in seconds.
    period_s : float
        Interval of heartbeats to hosts with waiting requests, in seconds.

    Attributes
    ----------
    active : bool
        Whether this host considers itself the owner.
    epoch : int
        Changes whenever the owner has lost the state of the hosts.
    """

    __slots__ = (
        "_hosts",
        "_ledger",
        "_period_s",
        "_pool",
        "_query_after_s",
        "_queue",
        "_rng",
        "_send",
        "_sent_at",
        "active",
        "epoch",
    )

    def __init__(
        self,
        pool: str,
        send: Send,
        rng: random.Random,
        queue: TierQueue,
        ledger: PermitLedger,
        hosts: HostTracker,
        query_after_s: float,
        period_s: float,
    ) -> None:
        self._period_s = period_s
        self._sent_at: dict[str, float] = {}
        self.active = False
        self._pool = pool
        self._send = send
        self._rng = rng
        self._queue = queue
        self._ledger = ledger
        self._hosts = hosts
        self._query_after_s = query_after_s
        self.epoch = rng.getrandbits(31)

    def begin_epoch(self) -> None:
        """Change the epoch, so that every host sends its full state."""
        self.epoch = self._rng.getrandbits(31)

    def ensure_synced(self, host: str) -> bool:
        """Return whether a host has sent its state in this epoch; if not, send it a heartbeat."""
        if not self._hosts.has_reported(host) and not self._hosts.is_lost(host):
            self.send(host)
        return self._hosts.has_reported(host)

    def note_sent(self, now: float, host: str) -> None:
        """Record that a host was sent a message, which shows it that the owner is alive."""
        self._sent_at[host] = now

    def send(self, host: str) -> None:
        """Send a heartbeat, except to a lost host, which must fall back to its local share."""
        if not self.active or self._hosts.is_lost(host):
            return
        self._send(host, PermitBeat(self._pool, self.epoch, self._queue.count_of(host)))

    def send_to_waiting(self, now: float) -> None:
        """Send a heartbeat to each host with waiting requests that was sent nothing else lately."""
        if not self.active:
            return
        lately = now - self._period_s
        self._sent_at = {host: at for host, at in self._sent_at.items() if at > lately}
        for host, count in sorted(self._queue.counts_by_host().items()):
            if host not in self._sent_at:
                self._send(host, PermitBeat(self._pool, self.epoch, count))

    def query_silent(self, now: float) -> None:
        """Query hosts that have held permits for long and sent no state since."""
        if not self.active:
            return
        before = now - self._query_after_s
        old = self._ledger.hosts(granted_before=before)
        for host in self._hosts.take_overdue(now, old, before):
            self._send(host, PermitQuery(self._pool))
