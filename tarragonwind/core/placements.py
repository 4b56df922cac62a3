"""Select the upstream with the least expected completion time for a request."""

from __future__ import annotations

import heapq
import random
from collections.abc import Collection, Iterable

from tarragonwind.core.kept_prefixes import KeptPrefixes
from tarragonwind.core.prefix_hints import PrefixHints
from tarragonwind.core.queues import QueuedRequest
from tarragonwind.core.upstream_loads import LoadSettings, UpstreamLoad
from tarragonwind.records import dataclass

MAX_CANDIDATES = 12
"""Maximum number of upstreams compared for one request. Larger sets are sampled at random, so that
the cost per request stays nearly independent of the size of the pool."""
MAX_SLOWDOWN_FACTOR = 1.5
"""Maximum expected completion time, relative to the fastest upstream, if no upstream can meet the
deadline."""


@dataclass(frozen=True, slots=True)
class Placement:
    """Hold the estimated times of one request on one upstream.

    Attributes
    ----------
    load : UpstreamLoad
        Load of the upstream.
    expected_s : float
        Expected time to the complete response, in seconds.
    first_byte_s : float
        Expected time to the first byte, in seconds.
    token_s : float
        Expected time of each token after the first, in seconds.
    cached_share : float
        Fraction of the prompt that is probably in the upstream's prefix cache, 0 to 1.
    """

    load: UpstreamLoad
    expected_s: float
    first_byte_s: float
    token_s: float
    cached_share: float


@dataclass(frozen=True, slots=True)
class PrefixPlacement(Placement):
    """Hold the estimated times of a request whose parts are followed.

    Attributes
    ----------
    full_first_byte_s : float
        Expected time to the first byte if nothing of the prompt is kept, in seconds.
    eviction_s : float
        Time for which other requests are expected to read again what is evicted, in seconds.
    """

    full_first_byte_s: float
    eviction_s: float


def choose_busiest_with_room(now: float, loads: list[UpstreamLoad]) -> list[UpstreamLoad]:
    """Return only the upstream with room that has the most in flight, or all when none has room."""
    with_room = [load for load in loads if load.has_room(now)]
    if not with_room:
        return loads
    return [max(with_room, key=lambda load: load.in_flight)]


def prefer_warm(now: float, loads: list[UpstreamLoad], req: QueuedRequest) -> list[UpstreamLoad]:
    """Return the warm upstreams with room that have not failed a request, or all without one."""
    if all(load.strict.cold is None for load in loads):
        return loads
    warm = [
        load
        for load in loads
        if not load.strict.is_cold(now) and load.has_room(now) and load.entry.name not in req.avoid
    ]
    return warm or loads


class Placer:
    """Place requests on upstreams by expected completion time.

    Parameters
    ----------
    settings : LoadSettings
        Parameters of the load model.
    hints : PrefixHints
        Prompt prefixes that upstreams probably have in their caches.
    rtt_s : dict of str to float
        Round-trip time to each data centre, in seconds.
    kept : KeptPrefixes, optional
        Parts of prompts that engines probably keep.
    """

    __slots__ = ("_hints", "_kept", "_rtt_s", "_settings")

    def __init__(
        self,
        settings: LoadSettings,
        hints: PrefixHints,
        rtt_s: dict[str, float] | None = None,
        kept: KeptPrefixes | None = None,
    ) -> None:
        self._kept = kept
        self._settings = settings
        self._hints = hints
        self._rtt_s = rtt_s or {}

    def estimate(self, now: float, load: UpstreamLoad, req: QueuedRequest) -> Placement:
        """Estimate the times of a request on one upstream."""
        if req.parts and self._kept is not None:
            kept = self._kept.kept_tokens(now, load.entry.name, req.parts)
            cached = min(1.0, kept / max(1, req.prompt_tokens))
        else:
            cached = self._hints.cached_share(load.entry.name, req.prefixes)
        rtt_s = self._rtt_s.get(load.entry.data_centre, 0.0)
        first_byte_s = rtt_s + load.first_byte_s(now, req.prompt_tokens * (1.0 - cached))
        token_s = load.token_s(now)
        prompt_cost = req.prompt_tokens / self._settings.prefill_speedup
        output_tokens = max(1.0, req.cost_tokens - prompt_cost)
        return Placement(
            load=load,
            expected_s=first_byte_s + output_tokens * token_s,
            first_byte_s=first_byte_s,
            token_s=token_s,
            cached_share=cached,
        )

    def meets_deadline(self, now: float, placement: Placement, req: QueuedRequest) -> bool:
        """Return True if the complete response is expected by the deadline.

        Always true for a request whose deadline only bounds the first byte.
        """
        if not req.deadline_is_total:
            return True
        margin = self._settings.deadline_margin
        tokens = req.output_tokens * margin
        return now + placement.first_byte_s + tokens * placement.token_s <= req.deadline

    def should_place_now(
        self,
        now: float,
        with_capacity: Iterable[UpstreamLoad],
        fastest: UpstreamLoad | None,
        req: QueuedRequest,
    ) -> bool:
        """Return True if a request should be placed now, False if it should wait.

        A request waits if the fastest upstream would meet its deadline and none of those with
        spare capacity would, or if no upstream meets it and those with spare capacity are much
        slower than the fastest.

        Parameters
        ----------
        now : float
            Time in seconds.
        with_capacity : iterable of UpstreamLoad
            Upstreams with spare capacity.
        fastest : UpstreamLoad or None
            The fastest available upstream, with or without spare capacity.
        req : QueuedRequest
            The request.
        """
        loads = list(with_capacity)
        if not loads:
            return False
        if fastest is None or any(self._can_meet(now, load, req) for load in loads):
            return True
        best = self.estimate(now, fastest, req)
        if self.meets_deadline(now, best, req):
            return False
        bound_s = MAX_SLOWDOWN_FACTOR * best.expected_s
        return any(self.estimate(now, load, req).expected_s <= bound_s for load in loads)

    def _can_meet(self, now: float, load: UpstreamLoad, req: QueuedRequest) -> bool:
        return self.meets_deadline(now, self.estimate(now, load, req), req)

    def choose(
        self, now: float, rng: random.Random, loads: Iterable[UpstreamLoad], req: QueuedRequest
    ) -> Placement | None:
        """Choose among the upstreams with spare capacity; return None if there is none.

        Upstreams that have already failed this request are used only if no other is left. An
        upstream that is many times slower than the fastest gets one request at a time.
        """
        return self.choose_with_room(now, rng, [load for load in loads if load.has_room(now)], req)

    def choose_with_room(
        self, now: float, rng: random.Random, loads: list[UpstreamLoad], req: QueuedRequest
    ) -> Placement | None:
        """Choose among upstreams that are known to have room, see `choose`."""
        candidates = loads
        if req.avoid:
            candidates = [load for load in loads if load.entry.name not in req.avoid] or loads
        if not candidates:
            return None
        candidates = self._sample(now, rng, candidates, req)
        placements = [self.estimate(now, load, req) for load in candidates]
        if req.parts and self._kept is not None:
            placements = [self._with_prefix(now, each, req, self._kept) for each in placements]
        rng.shuffle(placements)
        placements = self._suitable(now, placements, req) or placements
        return self._least_cost(now, self._without_outliers(now, placements))

    def _sample(
        self, now: float, rng: random.Random, candidates: list[UpstreamLoad], req: QueuedRequest
    ) -> list[UpstreamLoad]:
        """Return a random sample of candidates, and some of those that may keep the prompt."""
        if len(candidates) <= MAX_CANDIDATES:
            return candidates
        sample = rng.sample(candidates, MAX_CANDIDATES)
        holders = self._kept.holders(req.parts) if req.parts and self._kept is not None else ()
        if not holders:
            return sample
        keeping = self._most_kept(now, candidates, holders, req)
        names = {load.entry.name for load in sample}
        return sample + [load for load in keeping if load.entry.name not in names]

    def _most_kept(
        self,
        now: float,
        candidates: list[UpstreamLoad],
        holders: Collection[str],
        req: QueuedRequest,
    ) -> list[UpstreamLoad]:
        """Return the candidates that keep most of a prompt, at most `MAX_CANDIDATES`."""
        keeping = [load for load in candidates if load.entry.name in holders]
        kept = self._kept
        if kept is None or len(keeping) <= MAX_CANDIDATES:
            return keeping
        return heapq.nlargest(
            MAX_CANDIDATES,
            keeping,
            key=lambda load: kept.kept_tokens(now, load.entry.name, req.parts),
        )

    def _with_prefix(
        self, now: float, placement: Placement, req: QueuedRequest, kept: KeptPrefixes
    ) -> Placement:
        """Return a placement with the times that depend on what the upstream keeps."""
        load = placement.load
        unread = req.prompt_tokens * (1.0 - placement.cached_share)
        used = load.strict.memory.used
        lost = kept.eviction_tokens(now, load.entry.name, req.memory_tokens + unread, used)
        token_s = (load.first_byte_s(now, 1_000.0) - load.first_byte_s(now, 0.0)) / 1_000.0
        saved = req.prompt_tokens * placement.cached_share
        return PrefixPlacement(
            load=load,
            expected_s=placement.expected_s,
            first_byte_s=placement.first_byte_s,
            token_s=placement.token_s,
            cached_share=placement.cached_share,
            full_first_byte_s=placement.first_byte_s + saved * token_s,
            eviction_s=lost * token_s,
        )

    def _suitable(
        self, now: float, placements: list[Placement], req: QueuedRequest
    ) -> list[Placement]:
        """Return the placements that meet the deadline, or the fastest ones if none does."""
        available = [placement for placement in placements if placement.load.is_available()]
        meeting = [placement for placement in available if self.meets_deadline(now, placement, req)]
        if meeting or not available:
            return meeting
        best_s = min(placement.expected_s for placement in available)
        return [
            placement
            for placement in available
            if placement.expected_s <= MAX_SLOWDOWN_FACTOR * best_s
        ]

    def _least_cost(self, now: float, placements: list[Placement]) -> Placement:
        """Return the placement with the least expected completion time.

        The time is weighted by the upstream's failure rate, so that an upstream that fails part
        of its requests is used only if the others are full.
        """
        penalty = self._settings.failure_penalty

        def cost_s(placement: Placement) -> float:
            cost = placement.expected_s * (1.0 + penalty * placement.load.failure_rate(now))
            return cost + placement.eviction_s if type(placement) is PrefixPlacement else cost

        return min(placements, key=cost_s)

    def _without_outliers(self, now: float, placements: list[Placement]) -> list[Placement]:
        slowdowns = [placement.load.slowness(now) for placement in placements]
        bound = min(slowdowns) * self._settings.outlier_slowness
        if max(slowdowns) <= bound:
            return placements
        pairs = zip(placements, slowdowns, strict=True)
        return [
            placement
            for placement, slowness in pairs
            if slowness <= bound or placement.load.in_flight == 0
        ] or placements
