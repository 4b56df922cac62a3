"""Choose the upstream that should complete a request first."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from tarragonwind.core.prefix_hints import PrefixHints
from tarragonwind.core.queues import WaitingAsk
from tarragonwind.core.upstream_loads import LoadSettings, UpstreamLoad


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
    """

    load: UpstreamLoad
    expected_s: float
    first_byte_s: float


class Placer:
    """Compare upstreams by expected completion.

    Parameters
    ----------
    settings : LoadSettings
        How upstreams are judged.
    hints : PrefixHints
        What upstreams probably have cached.
    distance_s : dict of str to float
        Way to each data centre and back, in seconds.
    """

    __slots__ = ("_distance_s", "_hints", "_settings")

    def __init__(
        self,
        settings: LoadSettings,
        hints: PrefixHints,
        distance_s: dict[str, float] | None = None,
    ) -> None:
        self._settings = settings
        self._hints = hints
        self._distance_s = distance_s or {}

    def expect(self, now: float, load: UpstreamLoad, ask: WaitingAsk) -> Placement:
        """Estimate an ask's times on one upstream."""
        cached = self._hints.cached_share(load.entry.name, ask.prefixes)
        prefill_s = load.prefill_s(ask.prompt_tokens * (1.0 - cached), now)
        distance_s = self._distance_s.get(load.entry.data_centre, 0.0)
        step_s = load.step_s(now)
        first_byte_s = distance_s + prefill_s + step_s
        prompt_cost = ask.prompt_tokens / self._settings.prefill_speedup
        output_tokens = max(1.0, ask.cost_tokens - prompt_cost)
        return Placement(load, first_byte_s + output_tokens * step_s, first_byte_s)

    def choose(
        self, now: float, rng: random.Random, loads: Iterable[UpstreamLoad], ask: WaitingAsk
    ) -> Placement | None:
        """Choose among upstreams that have room, or None when none has.

        Upstreams that have failed this request are taken only when no other is left. An upstream
        that is many times slower than the fastest gets one request at a time.
        """
        loads = [load for load in loads if load.has_room(now)]
        wanted = [load for load in loads if load.entry.name not in ask.avoid] or loads
        if not wanted:
            return None
        wanted = self._without_outliers(now, wanted)
        rng.shuffle(wanted)
        placements = [self.expect(now, load, ask) for load in wanted]
        return min(placements, key=lambda placement: placement.expected_s)

    def _without_outliers(self, now: float, loads: list[UpstreamLoad]) -> list[UpstreamLoad]:
        fastest = min(load.slowness(now) for load in loads)
        bound = fastest * self._settings.outlier_slowness
        kept = [load for load in loads if load.slowness(now) <= bound or load.in_flight == 0]
        return kept or loads
