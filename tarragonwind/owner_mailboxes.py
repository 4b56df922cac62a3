"""Pass the messages of hosts to the pool owners of this host, a part in each round of the loop."""

from __future__ import annotations

from tarragonwind.core.owner_inboxes import OwnerInbox
from tarragonwind.core.pool_owners import PoolOwners
from tarragonwind.messages import Message
from tarragonwind.ports import Timers


class OwnerMailbox:
    """Collect messages until the sockets that are ready have been read, then handle some of them.

    Parameters
    ----------
    timers : Timers
        Clock and timers.
    owners : PoolOwners
        Pool owners of this host.
    """

    __slots__ = ("_inbox", "_is_scheduled", "_owners", "_timers")

    def __init__(self, timers: Timers, owners: PoolOwners) -> None:
        self._timers = timers
        self._owners = owners
        self._inbox = OwnerInbox()
        self._is_scheduled = False

    def put(self, host: str, msg: Message) -> None:
        """Add a message from a host."""
        self._inbox.put(self._timers.now(), host, msg)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled and len(self._inbox):
            self._is_scheduled = True
            self._timers.call_later(0.0, self._handle)

    def _handle(self) -> None:
        """Handle a part of the messages; the rest waits for the next round."""
        self._is_scheduled = False
        now = self._timers.now()
        try:
            self._owners.on_messages(now, self._inbox.take(now))
        finally:
            self._schedule()
