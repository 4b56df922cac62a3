"""Let whole simulated fleets lose all their hosts, and bring them back in generated orders."""

import random
from dataclasses import dataclass, field

from bench.simulated_fleets import SimulatedFleet

REQUEST_S = 0.3
TIMELY_S = 1.0
"""Time from a request to its permit up to which it counts as served, in seconds."""
HISTORY_S = 4.0
REQUESTS_PER_HOST_S = 1.0
STORE_STATES = ["there", "away", "older copy", "slow"]
SLOWNESS = 60.0


@dataclass
class Service:
    """Count the requests of some time, and those that got their permit in time."""

    asked: int = 0
    served: int = 0
    waits_s: list = field(default_factory=list)

    def share(self):
        return self.served / max(1, self.asked)


@dataclass
class Order:
    """Describe in which order the hosts of a fleet are lost and come back.

    Attributes
    ----------
    dark : bool
        Whether they lose power, or are only killed.
    down_s, spread_s : float
        Time until the first host is back, and from then until the last one is.
    again_after_s : float or None
        Time after the first return at which all are lost once more.
    store : str
        One of `STORE_STATES`.
    store_from_s, store_for_s : float
        Begin of the store's trouble before the loss, and its length.
    """

    dark: bool
    down_s: float
    spread_s: float
    again_after_s: float | None
    store: str
    store_from_s: float
    store_for_s: float


def draw_order(rng):
    return Order(
        dark=rng.random() < 0.7,
        down_s=rng.choice([0.1, 0.6, 1.5, 6.0]),
        spread_s=rng.choice([0.0, 0.3, 2.0]),
        again_after_s=rng.choice([None, None, 0.05, 0.5, 1.5]),
        store=rng.choice(STORE_STATES),
        store_from_s=rng.choice([0.0, 3.0]),
        store_for_s=rng.choice([1.0, 4.0, 7.0]),
    )


class ReturningFleet:
    """Send requests to random hosts of a fleet, and lose and return its hosts."""

    def __init__(self, size, seed, share=None):
        self.rng = random.Random(seed)
        self.fleet = SimulatedFleet(
            size,
            seed,
            engine_count=max(8, size),
            slots=4,
            share=share,
            has_processors=share is not None,
        )
        self.fleet.start_all()
        self.copy = None
        self.fleet.advance(3.0)
        self.copy = self.fleet.store.copy()
        self.fleet.advance(HISTORY_S)

    def load(self, seconds):
        """Send requests and return what became of them."""
        fleet, service = self.fleet, Service()
        end = fleet.clock.now() + seconds
        while fleet.clock.now() < end:
            fleet.advance(self.rng.expovariate(REQUESTS_PER_HOST_S * len(fleet.names)))
            self.send(fleet.hosts[self.rng.choice(fleet.names)], service)
        fleet.advance(TIMELY_S)
        return service

    def send(self, host, service):
        asked_at = self.fleet.clock.now()
        service.asked += 1
        if host.alive:
            host.work("request", host.costs.request_s, lambda: self.ask(host, service, asked_at))

    def ask(self, host, service, asked_at):
        if not host.ready or host.pause_guard.held() is not None:
            return

        def granted(permit):
            if self.fleet.clock.now() - asked_at <= TIMELY_S:
                service.served += 1
            self.fleet.clock.call_later(
                REQUEST_S, lambda: host.alive and self.fleet.finish(host, permit, REQUEST_S)
            )

        self.fleet.request(host, granted, lambda exc: None)

    def play(self, order):
        """Lose all hosts and bring them back; return when the last host and the store are."""
        fleet = self.fleet
        now = fleet.clock.now()
        lost_at = now + order.store_from_s
        store_back = self.trouble_store(order, now)
        self.load_until(lost_at)
        self.lose(order.dark)
        fleet.advance(order.down_s)
        fleet.start_all(order.spread_s)
        back_at = fleet.clock.now() + order.spread_s
        if order.again_after_s is not None:
            fleet.advance(order.again_after_s)
            self.lose(order.dark)
            fleet.advance(order.down_s)
            fleet.start_all(order.spread_s)
            back_at = max(back_at, fleet.clock.now() + order.spread_s)
        return max(back_at, store_back)

    def load_until(self, at):
        if at > self.fleet.clock.now():
            self.load(at - self.fleet.clock.now())

    def lose(self, dark):
        for name in self.fleet.names:
            self.fleet.kill(name, dark)

    def trouble_store(self, order, now):
        """Begin the trouble of the store; return when it is over."""
        store = self.fleet.store
        if order.store == "there":
            return now
        if order.store == "older copy":
            at = order.store_from_s + order.store_for_s / 4
            self.fleet.clock.call_later(at, lambda: store.restore(self.copy))
            return now + at
        if order.store == "away":
            store.away = True
        else:
            store.slowness = SLOWNESS
        self.fleet.clock.call_later(order.store_for_s, self.end_trouble)
        return now + order.store_for_s

    def end_trouble(self):
        self.fleet.store.away = False
        self.fleet.store.slowness = 1.0
