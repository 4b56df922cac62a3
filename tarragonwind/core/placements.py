"""Choose the upstream that should complete a request first."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from tarragonwind.core.prefix_hints import PrefixHints
from tarragonwind.core.queues import QueuedRequest
from tarragonwind.core.upstream_loads import LoadSettings, UpstreamLoad

MAX_CANDIDATES = 12
"""Upstreams with room that are compared for one ask; of more, as many are drawn, so that an ask
costs the owner of a large pool little more than that of a small one."""
MAX_SLOWDOWN_FACTOR = 1.5
"""How much longer than on the fastest upstream an answer may take that meets no deadline."""


@dataclass(frozen=True, slots=True)
class Placement:
    """Hold a choice.

    Attributes
    ----------
    load : UpstreamLoad
        The upstream.
    expected_s : float
        Expected time to the whole answer, in seconds.
    first_byte_s : float
        Expected time to the first byte, in seconds.
    token_s : float
        Expected time of each token after the first, in seconds.
    cached_share : float
        Part of the prompt that is probably cached.
    """

    load: UpstreamLoad
    expected_s: float
    first_byte_s: float
    token_s: float
    cached_share: float


class Placer:
    """Compare upstreams by expected completion.

    Parameters
    ----------
    settings : LoadSettings
        How upstreams are judged.
    hints : PrefixHints
        What upstreams probably have cached.
    rtt_s : dict of str to float
        Way to each data centre and back, in seconds.
    """

    __slots__ = ("_distance_s", "_hints", "_settings")

    def __init__(
        self,
        settings: LoadSettings,
        hints: PrefixHints,
        rtt_s: dict[str, float] | None = None,
    ) -> None:
        self._settings = settings
        self._hints = hints
        self._distance_s = rtt_s or {}

    def estimate(self, now: float, load: UpstreamLoad, ask: QueuedRequest) -> Placement:
        """Estimate an ask's times on one upstream."""
        cached = self._hints.cached_share(load.entry.name, ask.prefixes)
        rtt_s = self._distance_s.get(load.entry.data_centre, 0.0)
        first_byte_s = rtt_s + load.first_byte_s(now, ask.prompt_tokens * (1.0 - cached))
        token_s = load.token_s(now)
        prompt_cost = ask.prompt_tokens / self._settings.prefill_speedup
        output_tokens = max(1.0, ask.cost_tokens - prompt_cost)
        return Placement(
            load=load,
            expected_s=first_byte_s + output_tokens * token_s,
            first_byte_s=first_byte_s,
            token_s=token_s,
            cached_share=cached,
        )

    def meets_deadline(self, now: float, placement: Placement, ask: QueuedRequest) -> bool:
        """Tell whether an ask's whole answer is expected by its deadline, if that bounds it."""
        if not ask.deadline_is_total:
            return True
        margin = self._settings.deadline_margin
        tokens = ask.output_tokens * margin
        return now + placement.first_byte_s + tokens * placement.token_s <= ask.deadline

    def should_place_now(
        self,
        now: float,
        roomy: Iterable[UpstreamLoad],
        fastest: UpstreamLoad | None,
        ask: QueuedRequest,
    ) -> bool:
        """Tell whether an upstream with room suits an ask; it waits for a faster one if not.

        Parameters
        ----------
        now : float
            Time in seconds.
        roomy : iterable of UpstreamLoad
            Upstreams with room.
        fastest : UpstreamLoad or None
            The fastest that takes work, with room or without.
        ask : WaitingAsk
            The ask.
        """
        placements = [self.estimate(now, load, ask) for load in roomy]
        if fastest is None or any(self.meets_deadline(now, one, ask) for one in placements):
            return bool(placements)
        best = self.estimate(now, fastest, ask)
        if self.meets_deadline(now, best, ask):
            return False
        return any(one.expected_s <= MAX_SLOWDOWN_FACTOR * best.expected_s for one in placements)

    def choose(
        self, now: float, rng: random.Random, loads: Iterable[UpstreamLoad], ask: QueuedRequest
    ) -> Placement | None:
        """Choose among upstreams that have room, or None when none has.

        Upstreams that have failed this request are taken only when no other is left. An upstream
        that is many times slower than the fastest gets one request at a time.
        """
        roomy = [load for load in loads if load.has_room(now)]
        wanted = [load for load in roomy if load.entry.name not in ask.avoid] or roomy
        if not wanted:
            return None
        if len(wanted) > MAX_CANDIDATES:
            wanted = rng.sample(wanted, MAX_CANDIDATES)
        placements = [self.estimate(now, load, ask) for load in wanted]
        rng.shuffle(placements)
        placements = self._suitable(now, placements, ask) or placements
        return self._least_cost(now, self._without_outliers(now, placements))

    def _suitable(
        self, now: float, placements: list[Placement], ask: QueuedRequest
    ) -> list[Placement]:
        """Return the placements that meet an ask's deadline, or the fastest when none does."""
        working = [one for one in placements if one.load.is_available()]
        meeting = [one for one in working if self.meets_deadline(now, one, ask)]
        if meeting or not working:
            return meeting
        best_s = min(one.expected_s for one in working)
        return [one for one in working if one.expected_s <= MAX_SLOWDOWN_FACTOR * best_s]

    def _least_cost(self, now: float, placements: list[Placement]) -> Placement:
        """Return the placement with the least expected completion.

        One that fails a part of its requests is the later choice: it is used when others are full.
        """
        penalty = self._settings.failure_penalty

        def cost_s(placement: Placement) -> float:
            return placement.expected_s * (1.0 + penalty * placement.load.failure_rate(now))

        return min(placements, key=cost_s)

    def _without_outliers(self, now: float, placements: list[Placement]) -> list[Placement]:
        slownesses = [one.load.slowness(now) for one in placements]
        bound = min(slownesses) * self._settings.outlier_slowness
        if max(slownesses) <= bound:
            return placements
        pairs = zip(placements, slownesses, strict=True)
        return [
            one for one, slowness in pairs if slowness <= bound or one.load.in_flight == 0
        ] or placements
