"""Generate seeded arrival traces with tiers, organisations, bursts and a few long requests."""

from __future__ import annotations

import random
from dataclasses import dataclass

FIRST_TOKEN_LIMITS_S = (2.0, 4.0, 8.0, 20.0)
"""Limit for the first token of each tier, in seconds."""

LIMIT_S_PER_TOKEN = 0.08
"""Addition to the limit for the whole answer, per output token, in seconds."""

LIMIT_S_PER_PROMPT_TOKEN = 0.005
"""Addition to the limit for the first token, per prompt token, in seconds."""

TIER_SHARES = (0.2, 0.3, 0.3, 0.2)
"""Fraction of the requests in each tier."""

LONG_REQUEST_FRACTION = 0.03
"""Fraction of the requests that are a hundred times as long as the others."""

BURST_PERIOD_S = 20.0
"""Time from the start of one burst of arrivals to the next, in seconds."""

BURST_LENGTH_S = 4.0
"""Duration of a burst, in seconds."""

BURST_FACTOR = 2.0
"""Arrival rate in a burst, relative to the rate outside."""

PREFILL_SPEEDUP = 10.0
"""Prompt tokens that an engine prefills in the time of generating one."""


@dataclass(slots=True)
class Arrival:
    """One request of a trace.

    Attributes
    ----------
    number : int
        Position in the trace.
    at : float
        Time of arrival, in seconds.
    host : int
        Index of the entry host that receives it from the load balancer.
    tier : int
        Importance, 0 the highest.
    organisation : str
        Organisation of the caller.
    prompt_tokens, output_tokens : int
        True lengths, in tokens.
    prefixes : tuple of int
        Hashes of the prompt prefixes, the shortest first.
    disconnects_at : float
        Time at which the caller disconnects, in seconds.
    """

    number: int
    at: float
    host: int
    tier: int
    organisation: str
    prompt_tokens: int
    output_tokens: int
    prefixes: tuple[int, ...] = ()
    disconnects_at: float = float("inf")

    @property
    def cost_tokens(self) -> float:
        """Return the true cost, in output tokens."""
        return self.prompt_tokens / PREFILL_SPEEDUP + self.output_tokens

    @property
    def first_byte_deadline(self) -> float:
        """Return the deadline of the first token."""
        return (
            self.at
            + FIRST_TOKEN_LIMITS_S[self.tier]
            + LIMIT_S_PER_PROMPT_TOKEN * self.prompt_tokens
        )

    @property
    def total_deadline(self) -> float:
        """Return the deadline of the whole answer."""
        return self.first_byte_deadline + LIMIT_S_PER_TOKEN * self.output_tokens


ORGANISATIONS = ("scaravilli", "conca", "ortigia", "bagheria", "enna")
ORGANISATION_SHARES = (0.45, 0.3, 0.15, 0.06, 0.04)


def draw_trace(
    seed: int, load: float, tokens_per_s: float, length_s: float, host_count: int
) -> list[Arrival]:
    """Generate a trace whose offered work is `load` times the capacity of a pool.

    Parameters
    ----------
    seed : int
        Seed of the trace.
    load : float
        Offered work relative to capacity.
    tokens_per_s : float
        Capacity of the pool, in output tokens per second.
    length_s : float
        Duration of the trace, in seconds.
    host_count : int
        Number of entry hosts.
    """
    rng = random.Random(f"trace {seed}")
    mean_cost = _mean_cost()
    burst_fraction = BURST_LENGTH_S / BURST_PERIOD_S
    base_rate = (
        load * tokens_per_s / mean_cost / (1 - burst_fraction + burst_fraction * BURST_FACTOR)
    )
    arrivals: list[Arrival] = []
    at = 0.0
    while True:
        in_burst = at % BURST_PERIOD_S < BURST_LENGTH_S
        at += rng.expovariate(base_rate * (BURST_FACTOR if in_burst else 1.0))
        if at >= length_s:
            return arrivals
        arrivals.append(_draw_arrival(rng, len(arrivals), at, host_count))


def _draw_arrival(rng: random.Random, number: int, at: float, host_count: int) -> Arrival:
    is_long = rng.random() < LONG_REQUEST_FRACTION
    return Arrival(
        number=number,
        at=at,
        host=rng.randrange(host_count),
        tier=rng.choices(range(4), TIER_SHARES)[0],
        organisation=rng.choices(ORGANISATIONS, ORGANISATION_SHARES)[0],
        prompt_tokens=rng.randint(4_000, 8_000) if is_long else rng.randint(20, 80),
        output_tokens=rng.randint(700, 1_300) if is_long else rng.randint(5, 35),
    )


def _mean_cost() -> float:
    long_cost = 6_000 / PREFILL_SPEEDUP + 1_000
    short_cost = 50 / PREFILL_SPEEDUP + 20
    return LONG_REQUEST_FRACTION * long_cost + (1 - LONG_REQUEST_FRACTION) * short_cost
