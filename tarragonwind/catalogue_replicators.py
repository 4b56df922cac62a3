"""Replicate the catalogue between daemons: broadcast, anti-entropy gossip and snapshots."""

from __future__ import annotations

import random

from loguru import logger

from tarragonwind.catalogue_messages import (
    FULL_SNAPSHOT,
    CatalogueAsk,
    CatalogueChanges,
    CatalogueNumber,
    CataloguePart,
    CataloguePartAsk,
)
from tarragonwind.catalogue_snapshots import SnapshotReceiver, SnapshotServer
from tarragonwind.core.catalogue_states import CatalogueState, Divergence
from tarragonwind.core.catalogues import Catalogue
from tarragonwind.core.changes import Change, from_wire, to_wire
from tarragonwind.core.hash_rings import RING_COUNT, choose_neighbours
from tarragonwind.delays import delay
from tarragonwind.futures import Future, spawn
from tarragonwind.ports import Members, Peers, Timer, Timers
from tarragonwind.records import dataclass

GOSSIP_PERIOD_S = 1.0
"""Time between gossip rounds, in seconds."""
GOSSIP_FANOUT = 2
ANNOUNCE_DELAY_S = 0.15
"""Delay between a new catalogue in force and its announcement to neighbours, in seconds."""
MIN_REQUEST_INTERVAL_S = 0.3
"""Minimum time between requests for missing changes, in seconds."""
BROADCAST_FANOUT = 8
"""Children of each daemon in the broadcast tree."""
MAX_BROADCAST_HOPS = 6
MAX_CHANGES_PER_ANSWER = 200
MAX_ANSWER_BYTES = 512 * 1024
NUMBER_POLL_PERIOD_S = 0.2
"""Time between requests for the numbers of hosts that are behind, in seconds."""


@dataclass(frozen=True, slots=True)
class HostNumber:
    """Represent the last known change number in force on a host.

    Attributes
    ----------
    host : str
        Name of the daemon.
    number : int
        Number that the host last announced, 0 if it has announced none.
    age_s : float
        Time since the announcement in seconds, infinity if there was none.
    """

    host: str
    number: int
    age_s: float


def broadcast_children(live: tuple[str, ...], origin: str, host: str) -> tuple[str, ...]:
    """Return a host's children in the broadcast tree rooted at `origin`.

    The live daemons, in cyclic order from the origin, form a complete tree with `BROADCAST_FANOUT`
    children per node.
    """
    if origin not in live or host not in live:
        return ()
    first = live.index(origin)
    ordered = live[first:] + live[:first]
    position = ordered.index(host)
    start = position * BROADCAST_FANOUT + 1
    return ordered[start : start + BROADCAST_FANOUT]


class CatalogueReplicator:
    """Replicate changes, change numbers and snapshots to and from the other daemons.

    Parameters
    ----------
    state : CatalogueState
        Catalogue in force on this daemon.
    members : Members
        Membership of the fleet.
    peers : Peers
        Message transport to the other daemons.
    timers : Timers
        Clock and timers.
    rng : random.Random
        Random number generator for the choice of peers and jitter.
    """

    def __init__(
        self,
        state: CatalogueState,
        members: Members,
        peers: Peers,
        timers: Timers,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._members = members
        self._peers = peers
        self._timers = timers
        self._rng = rng
        self._server = SnapshotServer()
        self._receiver = SnapshotReceiver()
        self._last_numbers: dict[str, tuple[int, float]] = {}
        self._requested_at = float("-inf")
        self._reported_fork_number = 0
        self._neighbours_live: tuple[str, ...] = ()
        self._neighbours: list[str] = []
        self._announcing = False
        self._timer: Timer | None = None
        self._stopped = False
        state.subscribe(self._on_in_force)
        peers.subscribe(CatalogueNumber, self._on_number)
        peers.subscribe(CatalogueChanges, self._on_changes)
        peers.subscribe(CatalogueAsk, self._on_ask)
        peers.subscribe(CataloguePartAsk, self._on_part_ask)
        peers.subscribe(CataloguePart, self._on_part)

    def start(self) -> None:
        """Start the gossip rounds."""
        self._gossip()

    def stop(self) -> None:
        """Stop the gossip rounds; requests of other daemons are still answered."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()

    def live_peers(self) -> list[str]:
        """Return the live daemons except this one."""
        return [host for host in self._members.live() if host != self._members.name]

    def neighbours(self) -> list[str]:
        """Return the daemons that numbers are gossiped with.

        The membership protocol probes the same ones, so connections to them are open.
        """
        live = self._members.live()
        if live != self._neighbours_live:
            self._neighbours_live = live
            self._neighbours = choose_neighbours(self._members.name, live, RING_COUNT)
        return self._neighbours

    def _drop_dead_hosts(self) -> None:
        live = set(self._members.live())
        self._last_numbers = {
            host: known for host, known in self._last_numbers.items() if host in live
        }

    def broadcast(self, changes: list[Change]) -> None:
        """Broadcast changes that this daemon applied first."""
        self._forward(self._members.name, 0, [to_wire(change) for change in changes])

    def _forward(self, origin: str, hops: int, values: list[list[object]]) -> None:
        if hops >= MAX_BROADCAST_HOPS:
            return
        msg = CatalogueChanges(origin, hops + 1, values)
        for host in broadcast_children(self._members.live(), origin, self._members.name):
            self._peers.send(host, msg)

    def _gossip(self) -> None:
        if self._stopped:
            return
        self._drop_dead_hosts()
        neighbours = self.neighbours()
        for host in self._rng.sample(neighbours, min(GOSSIP_FANOUT, len(neighbours))):
            self._peers.send(host, self._number_message(wants_answer=True))
        if self._state.behind or self._state.divergence is not Divergence.NONE:
            self._request_from_any()
        period_s = MIN_REQUEST_INTERVAL_S if self._state.behind else GOSSIP_PERIOD_S
        pause_s = period_s * self._rng.uniform(0.75, 1.25)
        self._timer = self._timers.call_later(pause_s, self._gossip)

    def _on_in_force(self, catalogue: Catalogue) -> None:
        """Schedule an announcement of the number, for neighbours that missed the broadcast."""
        if not self._announcing and not self._stopped:
            self._announcing = True
            pause_s = ANNOUNCE_DELAY_S * self._rng.uniform(0.75, 1.25)
            self._timers.call_later(pause_s, self._announce)

    def _announce(self) -> None:
        self._announcing = False
        for host in self.neighbours():
            self._peers.send(host, self._number_message(wants_answer=False))

    def _number_message(self, wants_answer: bool) -> CatalogueNumber:
        in_force = self._state.in_force
        return CatalogueNumber(in_force.number, in_force.digest, wants_answer)

    def _on_number(self, host: str, msg: CatalogueNumber) -> None:
        self._last_numbers[host] = (msg.number, self._timers.now())
        self._state.observe_number(msg.number)
        in_force = self._state.in_force
        if msg.number > in_force.number:
            self._request_changes(host)
        elif msg.number == in_force.number and msg.digest != in_force.digest:
            self._report_fork(host)
        if msg.wants_answer:
            self._peers.send(host, self._number_message(wants_answer=False))

    def _report_fork(self, host: str) -> None:
        if self._reported_fork_number == self._state.number:
            return
        self._reported_fork_number = self._state.number
        logger.error(
            "event=catalogue_forked number={} peer={} hint=put_the_latest_entries_again",
            self._state.number,
            host,
        )

    def _request_changes(self, host: str) -> None:
        """Request missing changes from a peer, unless a request or a snapshot is in progress."""
        now = self._timers.now()
        if now - self._requested_at < MIN_REQUEST_INTERVAL_S or self._receiver.busy(now):
            return
        since = self._state.number
        if self._state.divergence is not Divergence.NONE:
            since = FULL_SNAPSHOT
        if self._peers.send(host, CatalogueAsk(since)):
            self._requested_at = now
            pause_s = MIN_REQUEST_INTERVAL_S * self._rng.uniform(1.05, 1.25)
            self._timers.call_later(pause_s, self._retry_request)

    def _retry_request(self) -> None:
        """Retry with any peer if this daemon is still behind."""
        if self._state.behind and not self._stopped:
            self._request_from_any()

    def _request_from_any(self) -> None:
        """Request missing changes from a random peer, one with a higher number if known."""
        live_peers = self.live_peers()
        if not live_peers:
            return
        ahead = [host for host in live_peers if self._number_of(host) > self._state.number]
        self._request_changes(self._rng.choice(ahead or live_peers))

    def _number_of(self, host: str) -> int:
        return self._last_numbers.get(host, (0, 0.0))[0]

    def _on_ask(self, host: str, msg: CatalogueAsk) -> None:
        changes = None
        if msg.since != FULL_SNAPSHOT:
            changes = self._state.changes_since(msg.since)
        if changes is None or not _fits_answer(changes):
            self._peers.send(host, self._server.first_part(self._state.in_force))
        elif changes:
            values = [to_wire(change) for change in changes]
            self._peers.send(host, CatalogueChanges("", 0, values))
        else:
            self._peers.send(host, self._number_message(wants_answer=False))

    def _on_changes(self, host: str, msg: CatalogueChanges) -> None:
        try:
            changes = [from_wire(values) for values in msg.changes]
        except ValueError as exc:
            logger.warning("event=catalogue_message_wrong peer={} why={!r}", host, str(exc))
            return
        if msg.origin:
            self._forward(msg.origin, msg.hops, msg.changes)
        applied = self._state.apply_changes(changes)
        if applied:
            self._log_in_force("changes", host)
        if self._state.behind:
            self._request_changes(host)

    def _log_in_force(self, how: str, host: str) -> None:
        number = self._state.number
        logger.info("event=catalogue_in_force number={} how={} peer={}", number, how, host)

    def _on_part_ask(self, host: str, msg: CataloguePartAsk) -> None:
        self._peers.send(host, self._server.answer(msg, self._state.in_force))

    def _on_part(self, host: str, msg: CataloguePart) -> None:
        if msg.number <= self._state.number:
            return
        try:
            ask = self._receiver.add_part(host, msg, self._timers.now())
        except (TypeError, ValueError) as exc:
            logger.warning("event=catalogue_message_wrong peer={} why={!r}", host, str(exc))
            self._receiver.reset()
            return
        if ask is not None:
            self._peers.send(host, ask)
            return
        catalogue = self._receiver.finish()
        if catalogue is not None and self._state.install_snapshot(catalogue):
            self._log_in_force("handover", host)

    def numbers(self) -> list[HostNumber]:
        """Return the last known number in force on each live daemon, sorted by host."""
        now = self._timers.now()
        found = [HostNumber(self._members.name, self._state.number, 0.0)]
        for host in self.live_peers():
            number, at = self._last_numbers.get(host, (0, float("-inf")))
            found.append(HostNumber(host, number, now - at))
        return sorted(found, key=lambda item: item.host)

    def request_numbers(self, hosts: list[str] | None = None) -> None:
        """Request the numbers of the given daemons, by default of all live ones."""
        for host in self.live_peers() if hosts is None else hosts:
            self._peers.send(host, self._number_message(wants_answer=True))

    def wait_in_force(self, number: int, timeout_s: float) -> Future[list[HostNumber]]:
        """Wait until a change number is in force on each live daemon.

        Returns
        -------
        Future of list of HostNumber
            Daemons that are still behind at the timeout; empty if none is.
        """
        return spawn(self._wait_in_force(number, timeout_s))

    async def _wait_in_force(self, number: int, timeout_s: float) -> list[HostNumber]:
        deadline = self._timers.now() + timeout_s
        while True:
            late = [item for item in self.numbers() if item.number < number]
            if not late or self._timers.now() >= deadline:
                return late
            self.request_numbers([item.host for item in late if item.host != self._members.name])
            await delay(self._timers, NUMBER_POLL_PERIOD_S)


def _fits_answer(changes: list[Change]) -> bool:
    """Return whether changes are small enough to be sent instead of a snapshot."""
    size = sum(len(change.doc or b"") for change in changes)
    return len(changes) <= MAX_CHANGES_PER_ANSWER and size <= MAX_ANSWER_BYTES
