"""Generate a random schedule of faults from a seed; faults overlap and some are repeated."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

FIRST_FAULT_S = 1.0
MEAN_GAP_S = 1.1
MAX_DURATION_S = 4.0
LONG_KINDS = frozenset(["crash_prompts", "crash_requests", "evacuate", "name_limit"])
"""Kinds of faults that promises allow to show for some seconds before they bind."""
LONG_DURATION_S = 9.0


@dataclass(frozen=True, slots=True)
class Fault:
    """Hold one scheduled fault.

    Attributes
    ----------
    at_s, for_s : float
        Start after the beginning of the load, and duration, in seconds.
    kind : str
        A key of `FAULT_KINDS`.
    target : str
        Name of a host, back end or zone, empty for faults of the store and the configuration.
    """

    at_s: float
    for_s: float
    kind: str
    target: str


@dataclass(frozen=True, slots=True)
class Targets:
    """Name the hosts, back ends, links and zones that faults can be injected into."""

    hosts: tuple[str, ...]
    back_ends: tuple[str, ...]
    links: tuple[str, ...]
    zones: tuple[str, ...]


Chooser = Callable[[random.Random, Targets], str]

FAULT_KINDS: dict[str, Chooser] = {}
"""Functions that choose the target of a fault, by kind; filled by `fault_kind`."""


def fault_kind(*kinds: str) -> Callable[[Chooser], Chooser]:
    """Register a function that chooses the target of some fault kinds."""

    def register(choose: Chooser) -> Chooser:
        for kind in kinds:
            FAULT_KINDS[kind] = choose
        return choose

    return register


@fault_kind("kill_host", "stop_host", "pause_host")
def choose_host(rng: random.Random, targets: Targets) -> str:
    """Choose a random host."""
    return rng.choice(targets.hosts)


@fault_kind(
    "silent",
    "fall_silent",
    "cut_streams",
    "break_off_streams",
    "unframed",
    "announce_leaving",
    "want_pause",
    "endless",
    "fail",
    "full",
    "name_limit",
    "drain",
    "restart_back_end",
)
def choose_back_end(rng: random.Random, targets: Targets) -> str:
    """Choose a random back end."""
    return rng.choice(targets.back_ends)


@fault_kind("link_reset", "link_black_hole", "link_frozen", "link_slow", "link_cut_answers")
def choose_link(rng: random.Random, targets: Targets) -> str:
    """Choose the link to a random back end."""
    return rng.choice(targets.links)


@fault_kind("evacuate")
def choose_zone(rng: random.Random, targets: Targets) -> str:
    """Choose a random zone."""
    return rng.choice(targets.zones)


@fault_kind(
    "store_away",
    "store_silent",
    "store_loses_answers",
    "store_forgets",
    "store_goes_back",
    "configure",
    "crash_prompts",
    "crash_requests",
    "surge",
)
def choose_no_target(rng: random.Random, targets: Targets) -> str:
    """Return an empty target: there is one store and one operator, and callers choose freely."""
    return ""


def generate_faults(seed: int, seconds: float, targets: Targets) -> list[Fault]:
    """Return the faults of a run, ordered by start time."""
    rng = random.Random(seed)
    kinds = sorted(FAULT_KINDS)
    faults = []
    at_s = FIRST_FAULT_S
    while at_s < seconds - MAX_DURATION_S:
        kind = rng.choice(kinds)
        target = FAULT_KINDS[kind](rng, targets)
        for_s = LONG_DURATION_S if kind in LONG_KINDS else rng.uniform(0.3, MAX_DURATION_S)
        faults.append(Fault(at_s, for_s, kind, target))
        if rng.random() < 0.2:
            # Repeat the fault soon, while the first one is active or being recovered from.
            again_for_s = LONG_DURATION_S if kind in LONG_KINDS else 1.0
            faults.append(Fault(at_s + rng.uniform(0.1, 1.0), again_for_s, kind, target))
        at_s += rng.expovariate(1.0 / MEAN_GAP_S)
    return sorted(faults, key=lambda fault: fault.at_s)
