"""Generate series of configurations that change each kind of field, and restore it."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from standins.platform_fleets import KEYS, merge_changes

Changes = dict[str, Any]
"""Arguments of `standins.platform_fleets.create_configuration`."""
ChangeMaker = Callable[[random.Random], list[Changes]]

SHORT_GAP_S = (0.05, 0.4)
LONG_GAP_S = (0.6, 1.2)
"""Shortest and longest time between two versions of a series, in seconds."""
SHORT_GAP_SHARE = 0.6
RAISED_IDLE_MS = (8_000, 10_000)
RAISED_S = 6.0
"""Time for which the idle limit stays raised at the end of a series, in seconds."""
LOAD_ROUTES = ("r-draft", "r-lookup", "r-stamp")

FIELD_CHANGES: dict[str, ChangeMaker] = {}
"""Functions that return the versions which change one kind of field; filled by `field_change`."""


def field_change(make: ChangeMaker) -> ChangeMaker:
    """Register a function that returns changes of one kind of field, one for each version."""
    FIELD_CHANGES[make.__name__] = make
    return make


@field_change
def change_idle_limit(rng: random.Random) -> list[Changes]:
    """Raise the idle limit and lower it, or the other way round."""
    values = [rng.randint(4_000, 6_000), rng.randint(1_000, 1_500)]
    rng.shuffle(values)
    return [{"limits": {"idleTimeoutMs": value}} for value in values]


@field_change
def change_timeout(rng: random.Random) -> list[Changes]:
    """Change the timeout of all routes."""
    return [{"timeout_ms": rng.randint(1_600, 4_500)}]


@field_change
def add_keys(rng: random.Random) -> list[Changes]:
    """Give each tenant a further key, and add a tenant."""
    tenants = {name: [key, f"{key}-next"] for name, key in KEYS.items()}
    return [{"tenants": {**tenants, "bottega": ["key-bottega"]}}]


@field_change
def remove_keys(rng: random.Random) -> list[Changes]:
    """Remove the keys that callers use, and restore them with the next version."""
    return [{"tenants": {name: [f"{key}-next"] for name, key in KEYS.items()}}, {"tenants": None}]


@field_change
def add_routes(rng: random.Random) -> list[Changes]:
    """Add routes, and leave out one of them again."""
    return [{"added_routes": ("search", "visit")}, {"added_routes": ("visit",)}]


@field_change
def drop_route(rng: random.Random) -> list[Changes]:
    """Drop a route that callers use, and restore it with the next version."""
    return [{"dropped_routes": (rng.choice(LOAD_ROUTES),)}, {"dropped_routes": ()}]


@field_change
def change_sizes(rng: random.Random) -> list[Changes]:
    """Lower the limits on requests, which callers stay within."""
    limits = {"maxHeaderBytes": 4_096, "maxBodyBytes": 1_000, "headerTimeoutMs": 1_000}
    return [{"limits": limits}]


def generate_series(rng: random.Random) -> list[tuple[float, Changes]]:
    """Return versions that change all kinds of fields in random order, then restore all.

    Each version holds the changes of those before it. At last the idle limit is raised for longer
    than connections are idle, and restored.

    Returns
    -------
    list of tuple
        Time since the previous version in seconds, and all changes of the version.
    """
    names = sorted(FIELD_CHANGES)
    rng.shuffle(names)
    series: list[tuple[float, Changes]] = []
    changes: Changes = {}
    for name in names:
        for change in FIELD_CHANGES[name](rng):
            changes = merge_changes(changes, change)
            series.append((choose_gap(rng), changes))
    raised = {"limits": {"idleTimeoutMs": rng.randint(*RAISED_IDLE_MS)}}
    return [*series, (choose_gap(rng), {}), (choose_gap(rng), raised), (RAISED_S, {})]


def choose_gap(rng: random.Random) -> float:
    """Return a time between two versions; most are so short that three follow within a second."""
    return rng.uniform(*(SHORT_GAP_S if rng.random() < SHORT_GAP_SHARE else LONG_GAP_S))
