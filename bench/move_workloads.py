"""Generate the requests of the moves experiment over simulated upstreams of two versions."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from bench.move_fleets import Fleet
from tarragonwind.core.move_trials import Outcome

POOL = "drafting"
ROUTES = ("questions", "dossiers", "chat")
ROUTE_WEIGHTS = (0.6, 0.3, 0.1)
BAD_ROUTE = "chat"
OLD_VERSION = "v1"
NEW_VERSION = "v2"
UPSTREAMS_PER_VERSION = 4
SLOTS = 8
BASE_FAILURE_RATE = 0.004
"""Failure rate of a version without a fault."""

FIRST_BYTE_S = 0.12
"""Median time to the first byte of an idle upstream, in seconds."""

TOKEN_S = 0.012
"""Median time per token of an idle upstream, in seconds."""

BURST_PERIOD_S = 20.0
BURST_S = 6.0
BURST_FACTOR = 2.5
"""Arrival rate in a burst, relative to the rate outside."""


class Fault(enum.Enum):
    """Kind of regression of the new version."""

    NONE = "none"
    FAILS = "fails"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class Scenario:
    """A new version, its regression and the faults during its move.

    Attributes
    ----------
    name : str
        Name in the results.
    fault : Fault
        Kind of regression.
    failure_rate : float
        Failure rate of regressed requests.
    slowdown : float
        Factor on the times of regressed requests.
    regresses_at : float
        Start of the regression, as a fraction of the duration of the move.
    high_load_only, one_route_only : bool
        Whether the regression is limited to high load or to `BAD_ROUTE`.
    store_down : tuple of float
        Start and end of an outage of the verdict store, as fractions of the duration of the
        move.
    pauses_owner : bool
        Whether the owner of the pool is paused when the regression starts.
    """

    name: str
    fault: Fault = Fault.NONE
    failure_rate: float = BASE_FAILURE_RATE
    slowdown: float = 1.0
    regresses_at: float = 0.0
    high_load_only: bool = False
    one_route_only: bool = False
    store_down: tuple[float, float] = (2.0, 2.0)
    pauses_owner: bool = False

    @property
    def is_good(self) -> bool:
        """Return whether the version has no regression, so that the move should complete."""
        return self.fault is Fault.NONE


class Controller(Protocol):
    """Interface of a rollout controller: the move tables of the core, or the baseline."""

    def choose(self, now: float, host: str, route: str) -> str:
        """Return the version for a request."""

    def dispatched(self, now: float, host: str, req: Request) -> None:
        """Record the dispatch of a request."""

    def first_byte(self, now: float, req: Request) -> None:
        """Record the first byte of a response."""

    def finished(self, now: float, req: Request) -> None:
        """Record the end of a request."""

    def packs_requests(self, host: str) -> bool:
        """Return whether to pack the new version's requests onto few upstreams."""


@dataclass(slots=True, eq=False)
class Upstream:
    """One simulated back end with its number of requests in flight."""

    version: str
    in_flight: int = 0


@dataclass(slots=True, eq=False)
class Request:
    """One request of the workload."""

    host: str
    route: str
    version: str
    upstream: Upstream
    in_flight_fraction: float
    first_byte_s: float
    tokens: int
    duration_s: float
    failed: bool
    trial: object = None


@dataclass(slots=True)
class Counts:
    """Requests sent and those that the new version served badly.

    Attributes
    ----------
    sent : list of (float, bool)
        Time of each request, and whether it went to the new version.
    bad_sent : list of float
        Times of requests that the new version failed or served slowly because of its fault.
    """

    sent: list[tuple[float, bool]] = field(default_factory=list)
    bad_sent: list[float] = field(default_factory=list)


class Workload:
    """Generate requests and dispatch them to versions that a controller chooses.

    The trace depends on the seed only, not on the controller.
    """

    def __init__(
        self,
        fleet: Fleet,
        scenario: Scenario,
        controller: Controller,
        seed: int,
        rate: float,
        starts_at: float,
        duration_s: float,
    ) -> None:
        self.counts = Counts()
        self._fleet = fleet
        self._scenario = scenario
        self._controller = controller
        self._rng = random.Random(seed)
        self._rate = rate
        self._regresses_at = starts_at + scenario.regresses_at * duration_s
        self._upstreams = {
            version: [Upstream(version) for _ in range(UPSTREAMS_PER_VERSION)]
            for version in (OLD_VERSION, NEW_VERSION)
        }

    def start(self) -> None:
        """Schedule the arrivals, the first one now."""
        self._arrive()

    def _arrive(self) -> None:
        now = self._fleet.now
        rng = self._rng
        host = rng.choice(self._fleet.live)
        route = rng.choices(ROUTES, ROUTE_WEIGHTS)[0]
        first_byte_s = FIRST_BYTE_S * rng.lognormvariate(0.0, 0.4)
        tokens = rng.randint(10, 60)
        token_s = TOKEN_S * rng.lognormvariate(0.0, 0.2)
        chance = rng.random()
        in_burst = now % BURST_PERIOD_S < BURST_S
        rate = self._rate * (BURST_FACTOR if in_burst else 1.0)
        self._fleet.call_later(rng.expovariate(rate), self._arrive)
        if host not in self._fleet.stopped:
            version = self._controller.choose(now, host, route)
            upstream = self._pick(host, version)
            self._dispatch(host, route, upstream, first_byte_s, tokens, token_s, chance)

    def _pick(self, host: str, version: str) -> Upstream:
        upstreams = self._upstreams[version]
        if version == NEW_VERSION and self._controller.packs_requests(host):
            free = [upstream for upstream in upstreams if upstream.in_flight < SLOTS]
            return (free or upstreams)[0]
        return min(upstreams, key=lambda upstream: upstream.in_flight)

    def _dispatch(
        self,
        host: str,
        route: str,
        upstream: Upstream,
        first_byte_s: float,
        tokens: int,
        token_s: float,
        chance: float,
    ) -> None:
        now = self._fleet.now
        fraction = upstream.in_flight / SLOTS
        is_new = upstream.version == NEW_VERSION
        is_bad = is_new and self._is_bad(now, route, fraction)
        slowness = (1.0 + 0.5 * fraction) * (self._scenario.slowdown if is_bad else 1.0)
        failed = chance < (self._scenario.failure_rate if is_bad else BASE_FAILURE_RATE)
        duration_s = (first_byte_s + tokens * token_s) * slowness
        req = Request(
            host=host,
            route=route,
            version=upstream.version,
            upstream=upstream,
            in_flight_fraction=fraction,
            first_byte_s=first_byte_s * slowness,
            tokens=tokens,
            duration_s=first_byte_s if failed else duration_s,
            failed=failed,
        )
        self.counts.sent.append((now, is_new))
        if is_bad and (failed or self._scenario.fault is Fault.SLOW):
            self.counts.bad_sent.append(now)
        upstream.in_flight += 1
        self._controller.dispatched(now, host, req)
        if not failed:
            self._fleet.call_later(
                req.first_byte_s, lambda: self._controller.first_byte(self._fleet.now, req)
            )
        self._fleet.call_later(req.duration_s, lambda: self._finish(req))

    def _finish(self, req: Request) -> None:
        req.upstream.in_flight -= 1
        self._controller.finished(self._fleet.now, req)

    def _is_bad(self, now: float, route: str, fraction: float) -> bool:
        scenario = self._scenario
        if scenario.is_good or now < self._regresses_at:
            return False
        if scenario.one_route_only and route != BAD_ROUTE:
            return False
        return fraction >= 0.6 or not scenario.high_load_only


class TableController:
    """Controller that uses the move tables of the core."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.on_finished: Callable[[float], None] = lambda now: None

    def choose(self, now: float, host: str, route: str) -> str:
        """Return the version for a request."""
        return self._fleet.tables[host].choose_version(now, self._fleet.rng, POOL, route)

    def dispatched(self, now: float, host: str, req: Request) -> None:
        """Start a trial for the request."""
        table = self._fleet.tables[host]
        req.trial = table.start(now, POOL, req.route, req.version, req.in_flight_fraction)

    def first_byte(self, now: float, req: Request) -> None:
        """Record the first byte in the trial."""
        if req.trial is not None:
            self._fleet.tables[req.host].first_byte(now, req.trial)  # type: ignore[arg-type]

    def finished(self, now: float, req: Request) -> None:
        """Finish the trial with the outcome of the request."""
        if req.trial is not None:
            outcome = Outcome.FAILED if req.failed else Outcome.OK
            self._fleet.finish(req.host, req.trial, outcome, req.tokens)  # type: ignore[arg-type]
        self.on_finished(now)

    def packs_requests(self, host: str) -> bool:
        """Return whether the table of the host packs requests."""
        return self._fleet.tables[host].packs_requests(POOL)


class FixedSchedule:
    """Baseline that raises the share at fixed times and rolls back above fixed thresholds.

    Parameters
    ----------
    rng : random.Random
        Source of randomness for the choice of versions.
    starts_at, duration_s : float
        Start and duration of the move, in seconds.
    """

    SHARES = (0.05, 0.10, 0.25, 0.50, 0.95, 1.0)
    WINDOW_S = 15.0
    EVALUATION_PERIOD_S = 0.25
    MIN_REQUESTS = 20
    FAILURE_RATE_LIMIT = 0.05
    SLOWNESS_LIMIT = 1.5

    def __init__(self, rng: random.Random, starts_at: float, duration_s: float) -> None:
        self._rng = rng
        self._starts_at = starts_at
        self._duration_s = duration_s
        self._window: list[tuple[float, bool, bool, float]] = []
        self._evaluated_at = 0.0
        self.taken_back_at: float | None = None

    def choose(self, now: float, host: str, route: str) -> str:
        """Choose a version at random, by the current share of the schedule."""
        if self.taken_back_at is not None or now < self._starts_at:
            return OLD_VERSION
        progress = (now - self._starts_at) / self._duration_s
        step = min(len(self.SHARES) - 1, int(progress * len(self.SHARES)))
        return NEW_VERSION if self._rng.random() < self.SHARES[step] else OLD_VERSION

    def dispatched(self, now: float, host: str, req: Request) -> None:
        """Do nothing: the schedule ignores this event."""

    def first_byte(self, now: float, req: Request) -> None:
        """Do nothing: the schedule ignores this event."""

    def packs_requests(self, host: str) -> bool:
        """Return False: requests are spread over all upstreams."""
        return False

    def finished(self, now: float, req: Request) -> None:
        """Evaluate the requests of the last `WINDOW_S` seconds."""
        is_new = req.version == NEW_VERSION
        self._window.append((now, is_new, req.failed, req.first_byte_s))
        while self._window[0][0] < now - self.WINDOW_S:
            del self._window[0]
        if self.taken_back_at is None and now - self._evaluated_at >= self.EVALUATION_PERIOD_S:
            self._evaluated_at = now
            self.taken_back_at = now if self._is_bad() else None

    def _is_bad(self) -> bool:
        new = [entry for entry in self._window if entry[1]]
        if len(new) < self.MIN_REQUESTS:
            return False
        if sum(entry[2] for entry in new) / len(new) > self.FAILURE_RATE_LIMIT:
            return True
        old = [entry for entry in self._window if not entry[1]]
        if len(old) < self.MIN_REQUESTS:
            return False
        old_s = sorted(entry[3] for entry in old)[len(old) // 2]
        return sorted(entry[3] for entry in new)[len(new) // 2] > self.SLOWNESS_LIMIT * old_s
