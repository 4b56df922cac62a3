"""Simulate the allotments of a fleet over a network with lost hosts and partitions."""

import random
from collections import deque

from bench.virtual_clocks import VirtualTimers
from tarragonwind.allotments import AllotmentRunner
from tarragonwind.core.allotments import AllotmentSettings
from tarragonwind.core.entries import OrganisationEntry
from tarragonwind.core.fleet_shares import FleetShares
from tarragonwind.core.rendezvous import choose_owner
from tarragonwind.errors import ErrorKind, RequestError
from tarragonwind.host_leases import LEASE_TTL_S, RENEW_PERIOD_S, TICK_PERIOD_S
from tarragonwind.ports import Members, Peers

WINDOW_S = 8.0
RATE = 80_000
LIMIT = RATE * WINDOW_S + RATE
SETTINGS = AllotmentSettings(WINDOW_S, 0.1, 0.04 * LIMIT)
BOUND = LIMIT * (1.0 + SETTINGS.overage) + SETTINGS.slack_tokens
REQUEST_TOKENS = 3_000
ORGANISATION = OrganisationEntry(
    name="officina", owner="o", token_sha256=[], tokens_per_s=RATE, token_burst=RATE
)
LOSS_DETECTION_S = (2.6, 3.4)
"""Range of the times within which a host of a large fleet detects that others are lost."""
RETURN_DETECTION_S = (0.2, 1.5)
STORE_LOSS_DETECTION_S = 1.0
LATENCY_S = (0.002, 0.02)
LATE_S = (0.1, 0.5)
"""Range of the times that messages take between hosts on a busy machine."""


class SimulatedHost(Members, Peers):
    """Run the allotments of one host, with its own view of the fleet."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.alive = True
        self.view = tuple(fleet.names)
        self.leased = set(fleet.names)
        self.group = 0
        self.store_lost_at = None
        self.lease_end = None
        self.listeners = []
        self.handlers = {}
        self.shares = FleetShares(name)
        self.update_shares()
        self.runner = AllotmentRunner(self, self, self, SETTINGS, self.shares.retained_fraction)

    def live(self):
        return self.view

    def owner_of(self, key):
        return choose_owner(key, self.view)

    def subscribe(self, *args):
        if len(args) == 1:
            self.listeners.append(args[0])
        else:
            self.handlers[args[0]] = args[1]

    def send(self, host, msg):
        self.fleet.send(self, host, msg)
        return True

    def now(self):
        return self.fleet.timers.now()

    def call_every(self, period_s, callback):
        """Run a timer of this host, at a phase of its own, until it stops."""
        self.fleet.timers.call_later(
            self.fleet.rng.uniform(0, period_s), lambda: self.run_every(period_s, callback)
        )

    def run_every(self, period_s, callback):
        if self.alive:
            callback()
            self.fleet.timers.call_later(period_s, lambda: self.run_every(period_s, callback))

    def update_shares(self):
        lost_at = self.store_lost_at
        unavailable = lost_at is not None and self.now() - lost_at >= STORE_LOSS_DETECTION_S
        if lost_at is None:
            self.leased = self.fleet.leased_hosts()
        self.shares.set_live(self.now(), self.view, ())
        self.shares.set_leased(self.leased, unavailable)

    def update_view(self):
        self.view = tuple(
            name
            for name in self.fleet.names
            if self.fleet.hosts[name].alive and self.fleet.hosts[name].group == self.group
        )
        for listener in self.listeners:
            listener()


class AllotmentFleet:
    """Run the hosts of a fleet under the load of one organisation and record what they admit."""

    def __init__(self, size, seed=1, latency_s=LATENCY_S):
        self.rng = random.Random(seed)
        self.latency_s = latency_s
        self.timers = VirtualTimers()
        self.names = [f"h{number:02}" for number in range(size)]
        self.weights = dict.fromkeys(self.names, 1.0)
        self.admitted = []
        self.refused = 0
        self.hosts = {}
        for name in self.names:
            self.start(name)
        self.timers.advance(WINDOW_S + 1.0)

    def start(self, name):
        """Start a host, or start it again without memory."""
        host = self.hosts[name] = SimulatedHost(self, name)
        host.call_every(TICK_PERIOD_S, host.update_shares)
        host.runner._on_members()
        self.schedule_views(RETURN_DETECTION_S)

    def lose(self, names):
        """Stop hosts without notice."""
        for name in names:
            self.hosts[name].alive = False
            self.hosts[name].lease_end = self.expiry()
        self.schedule_views(LOSS_DETECTION_S)

    def cut(self, names, alone, store):
        """Cut hosts off from the others, together or each alone, and from the store or not."""
        for number, name in enumerate(names, start=1):
            host = self.hosts[name]
            host.group = number if alone else 1
            if store:
                host.store_lost_at = self.timers.now()
                host.lease_end = self.expiry()
        self.schedule_views(LOSS_DETECTION_S)

    def heal(self):
        """End all partitions."""
        for host in self.hosts.values():
            host.group = 0
            host.store_lost_at = None
            if host.alive:
                host.lease_end = None
        self.schedule_views(RETURN_DETECTION_S)

    def expiry(self):
        return self.timers.now() + LEASE_TTL_S - self.rng.uniform(0, RENEW_PERIOD_S)

    def leased_hosts(self):
        now = self.timers.now()
        return {
            name
            for name in self.names
            if name not in self.hosts
            or self.hosts[name].lease_end is None
            or self.hosts[name].lease_end > now
        }

    def schedule_views(self, delay_range):
        for host in self.hosts.values():
            self.timers.call_later(self.rng.uniform(*delay_range), host.update_view)

    def send(self, sender, name, msg):
        receiver = self.hosts[name]

        def deliver():
            if sender.alive and receiver.alive and sender.group == receiver.group:
                receiver.handlers[type(msg)](sender.name, msg)

        if sender.alive and sender.group == receiver.group:
            self.timers.call_later(self.rng.uniform(*self.latency_s), deliver)

    def load(self, seconds, ratio):
        """Apply a load, as a ratio of the organisation's rate, to the running hosts."""
        end = self.timers.now() + seconds
        while self.timers.now() < end:
            names = [name for name in self.names if self.hosts[name].alive]
            weights = [self.weights[name] for name in names]
            self.submit(self.hosts[self.rng.choices(names, weights)[0]])
            self.timers.advance(REQUEST_TOKENS / (ratio * RATE))

    def submit(self, host):
        now = self.timers.now()
        try:
            host.runner.take(now, ORGANISATION, REQUEST_TOKENS)
        except RequestError as exc:
            assert exc.kind is ErrorKind.OVER_ALLOTMENT
            self.refused += 1
        else:
            self.admitted.append((now, REQUEST_TOKENS))

    def largest_window(self):
        """Return the most tokens admitted in any window."""
        largest = total = 0
        window = deque()
        for at, tokens in self.admitted:
            window.append((at, tokens))
            total += tokens
            while window[0][0] <= at - WINDOW_S:
                total -= window.popleft()[1]
            largest = max(largest, total)
        return largest
