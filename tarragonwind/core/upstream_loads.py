"""Track the load, speed and health of one upstream."""

from __future__ import annotations

import math
import random
from collections import deque

from tarragonwind.core.corrections import Correction
from tarragonwind.core.engine_memories import EngineMemory
from tarragonwind.core.entries import UpstreamEntry, UpstreamState
from tarragonwind.core.request_pacers import RequestPacer
from tarragonwind.core.strict_limits import StrictLimits
from tarragonwind.core.upstream_conditions import UpstreamConditions
from tarragonwind.records import dataclass

HISTORY_LENGTH = 256
"""Number of in-flight count changes kept, to compute this owner's part of a load report."""


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """Configure the load model and the health checks of upstreams.

    Attributes
    ----------
    work_ahead_s : float
        Limit of the work in flight on an engine, in seconds at its full speed.
    report_half_life_s : float
        Age at which the weight of a load report has halved, in seconds.
    slowness_weight : float
        Weight of one observation in the moving average of slowness.
    slowness_half_life_s : float
        Half-life of the slowness estimate without observations, in seconds.
    max_slowness : float
        Upper bound of the slowness estimate; its reciprocal is the lower bound.
    outlier_slowness : float
        Slowness, relative to the pool's fastest upstream, above which an upstream gets one request
        at a time.
    retry_min_s, retry_max_s : float
        Initial and maximum back-off of an ejected upstream, in seconds.
    failures_to_eject : int
        Consecutive failed responses that eject an upstream.
    prefill_speedup : float
        Prompt tokens processed in the time it takes to generate one token.
    first_byte_steps : float
        Time to the first byte beyond prompt processing, in decode steps.
    batch_slowdown : float
        Fraction of the time per token at full batch that is due to the other requests in it.
    deadline_margin : float
        Safety factor on the expected output length of a request with a total deadline.
    failure_weight : float
        Weight of one response in the moving average of the failure rate.
    failure_half_life_s : float
        Half-life of the failure rate without responses, in seconds.
    failure_penalty : float
        Relative increase of the placement cost of an upstream that fails every request.
    """

    work_ahead_s: float = 30.0
    report_half_life_s: float = 1.0
    slowness_weight: float = 0.2
    slowness_half_life_s: float = 10.0
    max_slowness: float = 32.0
    outlier_slowness: float = 5.0
    retry_min_s: float = 0.5
    retry_max_s: float = 15.0
    failures_to_eject: int = 5
    prefill_speedup: float = 10.0
    first_byte_steps: float = 1.0
    batch_slowdown: float = 0.5
    deadline_margin: float = 3.0
    failure_weight: float = 0.1
    failure_half_life_s: float = 5.0
    failure_penalty: float = 20.0


class UpstreamLoad:
    """Track one upstream's load, speed and health from the view of one pool owner.

    Attributes
    ----------
    entry : UpstreamEntry
        Catalogue entry of the upstream.
    in_flight : int
        Permits granted and not yet released.
    work : int
        Estimated work of these permits, in tokens.
    share : float
        Fraction of the upstream's capacity that this owner may use, above 0 and at most 1.
    limit_per_s : float or None
        Requests per second that the upstream takes from all hosts together, None for no limit.
    strict : StrictLimits
        Limits that hold over all hosts also while several of them grant.
    """

    __slots__ = (
        "_consecutive_failures",
        "_failure_rate",
        "_failure_rate_at",
        "_first_byte_correction",
        "_history",
        "_limit_changed_at",
        "_pacer",
        "_probing",
        "_report_at",
        "_reported_others",
        "_retry_at",
        "_retry_s",
        "_settings",
        "_token_correction",
        "entry",
        "in_flight",
        "limit_per_s",
        "share",
        "strict",
        "work",
    )

    def __init__(
        self,
        entry: UpstreamEntry,
        settings: LoadSettings,
        conditions: UpstreamConditions | None = None,
        is_local: bool = False,
    ) -> None:
        self.entry = entry
        self.in_flight = 0
        self.work = 0
        self.share = 1.0
        self.limit_per_s: float | None = None
        conditions = conditions or UpstreamConditions()
        memory = EngineMemory(entry.pool, conditions.memories, is_local)
        self.strict = StrictLimits(entry.pool, conditions.brittle, memory)
        self._limit_changed_at = -math.inf
        self._pacer: RequestPacer | None = None
        self._settings = settings
        self._consecutive_failures = 0
        self._failure_rate = 0.0
        self._failure_rate_at = 0.0
        self._history: deque[tuple[float, int]] = deque(maxlen=HISTORY_LENGTH)
        self._retry_at = 0.0
        self._retry_s = 0.0
        self._probing = False
        self._first_byte_correction = _create_correction(settings)
        self._token_correction = _create_correction(settings)
        self._reported_others = 0.0
        self._report_at = -math.inf

    @property
    def ejected(self) -> bool:
        """Return True if the upstream gets no work until a probe has succeeded."""
        return self._retry_s > 0

    def is_available(self) -> bool:
        """Return True if the upstream is live and not ejected."""
        return self.entry.state is UpstreamState.LIVE and not self.ejected

    def has_room(self, now: float) -> bool:
        """Return True if the upstream can accept one more request, or a probe if it is ejected."""
        if self.entry.state is not UpstreamState.LIVE:
            return False
        if self._pacer is not None and not self._is_within_limit(now, self._pacer):
            return False
        if not self.strict.allows(now, self.in_flight, self.entry.slots):
            return False
        if self.ejected:
            return now >= self._retry_at and not self._probing
        if self.in_flight == 0:
            return True
        free = self.entry.slots * self.share - self.in_flight
        if free <= 0 or (self._reported_others and self._other_in_flight(now) >= free):
            return False
        return self.work < self.entry.tokens_per_s * self._settings.work_ahead_s * self.share

    def is_unrestricted(self, now: float) -> bool:
        """Return whether the upstream is warm and has named no limit of requests."""
        return self.limit_per_s is None and not self.strict.is_cold(now)

    def _is_within_limit(self, now: float, pacer: RequestPacer) -> bool:
        pacer.set_limit(now, (self.limit_per_s or 0.0) * self.share)
        return pacer.allows(now)

    def on_limit(self, now: float, limit_per_s: float, named_at: float) -> None:
        """Apply a limit that the upstream named, unless something newer is known.

        Parameters
        ----------
        now, named_at : float
            Time, and time of the response with the limit, in seconds.
        limit_per_s : float
            Requests per second that the upstream takes from all hosts together.
        """
        if named_at <= self._limit_changed_at:
            return
        self._limit_changed_at = named_at
        self.limit_per_s = limit_per_s
        if self._pacer is None:
            self._pacer = RequestPacer(now, limit_per_s * self.share)

    def on_no_limit(self, now: float, granted_at: float) -> None:
        """End the limit, as a request that was granted after it was named got no limit."""
        if self.limit_per_s is None or granted_at <= self._limit_changed_at:
            return
        self._limit_changed_at = now
        self.limit_per_s = None
        self._pacer = None

    def add(self, now: float, cost_tokens: int) -> None:
        """Add a granted permit."""
        if self._pacer is not None:
            self._pacer.take(now)
        self.strict.take(now)
        self._history.append((now, self.in_flight))
        self.in_flight += 1
        self.work += cost_tokens
        if self.ejected:
            self._probing = True

    def release(self, now: float, cost_tokens: int) -> None:
        """Remove a released permit."""
        self._history.append((now, self.in_flight))
        self.in_flight -= 1
        self.work -= cost_tokens
        # The permit may have been the probe, and may come back unused.
        self._probing = False

    def failure_rate(self, now: float) -> float:
        """Return the moving average of the failure rate, 0 to 1."""
        idle_s = max(0.0, now - self._failure_rate_at)
        return float(self._failure_rate * 0.5 ** (idle_s / self._settings.failure_half_life_s))

    def _record_response(self, now: float, failed: bool) -> None:
        rate = self.failure_rate(now)
        self._failure_rate = rate + self._settings.failure_weight * (float(failed) - rate)
        self._failure_rate_at = now

    def on_success(self, now: float) -> None:
        """Record a complete response and end an ejection."""
        self._record_response(now, failed=False)
        self._consecutive_failures = 0
        self._retry_s = 0.0
        self._probing = False

    def on_connect_failed(self, now: float, rng: random.Random) -> None:
        """Record a failed connection attempt and eject the upstream."""
        self._eject(now, rng)

    def on_refused(self, now: float) -> None:
        """Record a refusal for lack of capacity: assume that others use the remaining slots."""
        self.strict.on_rejected(now)
        self._reported_others = max(self._reported_others, float(self.entry.slots - self.in_flight))
        self._report_at = now

    def on_failed(self, now: float, rng: random.Random, may_eject: bool = True) -> None:
        """Record a failed response; several in a row eject the upstream.

        Parameters
        ----------
        now : float
            Time in seconds.
        rng : random.Random
            Source of the back-off jitter.
        may_eject : bool
            Whether enough other upstreams are available. If not, the upstream is kept in use, as
            one that sometimes fails is better than none.
        """
        self._record_response(now, failed=True)
        self._consecutive_failures += 1
        if not may_eject:
            self._retry_s = 0.0
            self._probing = False
        elif self.ejected or self._consecutive_failures >= self._settings.failures_to_eject:
            self._eject(now, rng)

    def on_report(self, now: float, in_flight: int, age_s: float) -> None:
        """Record a load report and derive the in-flight requests of other owners from it.

        Parameters
        ----------
        now : float
            Time in seconds.
        in_flight : int
            Requests in flight according to the upstream.
        age_s : float
            Age of the report, in seconds.
        """
        own_in_flight = self._in_flight_at(now - age_s)
        self._reported_others = max(0.0, float(in_flight - own_in_flight))
        self._report_at = now - age_s

    def on_first_byte(self, now: float, predicted_s: float, observed_s: float) -> None:
        """Update the first-byte correction with the times of one finished request."""
        self._first_byte_correction.observe(now, predicted_s, observed_s)

    def on_tokens(self, now: float, predicted_s: float, observed_s: float) -> None:
        """Update the time-per-token correction with the times of one finished request."""
        self._token_correction.observe(now, predicted_s, observed_s)

    def slowness(self, now: float) -> float:
        """Return the factor by which the upstream is slower than its catalogue entry."""
        return max(self._first_byte_correction.ratio(now), self._token_correction.ratio(now))

    def first_byte_s(self, now: float, prompt_tokens: float) -> float:
        """Return the expected time to the first byte of an additional request, in seconds."""
        steps = self._settings.first_byte_steps + prompt_tokens / self._settings.prefill_speedup
        return steps * self._nominal_step_s(now) * self._first_byte_correction.ratio(now)

    def min_first_byte_s(self, now: float, prompt_tokens: float) -> float:
        """Return the lower bound of the time to the first byte of a request, in seconds."""
        steps = self._settings.first_byte_steps + prompt_tokens / self._settings.prefill_speedup
        unloaded_fraction = 1.0 - self._settings.batch_slowdown
        least_step_s = unloaded_fraction * self.entry.slots / self.entry.tokens_per_s
        return steps * least_step_s * min(1.0, self._first_byte_correction.ratio(now))

    def token_s(self, now: float) -> float:
        """Return the expected time per token of an additional request, in seconds."""
        return self._nominal_step_s(now) * self._token_correction.ratio(now)

    def _nominal_step_s(self, now: float) -> float:
        slots = self.entry.slots
        own = self.in_flight / self.share
        running = min(slots, own + 1 + self._other_in_flight(now))
        full_step_s = slots / self.entry.tokens_per_s
        slowdown = self._settings.batch_slowdown
        return full_step_s * (1.0 - slowdown + slowdown * running / slots)

    def _in_flight_at(self, at: float) -> int:
        in_flight = self.in_flight
        for changed_at, before in reversed(self._history):
            if changed_at <= at:
                break
            in_flight = before
        return in_flight

    def _other_in_flight(self, now: float) -> float:
        if not self._reported_others:
            return 0.0
        age_s = max(0.0, now - self._report_at)
        if age_s > 10 * self._settings.report_half_life_s:
            return 0.0
        return self._reported_others * 0.5 ** (age_s / self._settings.report_half_life_s)

    def _eject(self, now: float, rng: random.Random) -> None:
        self._consecutive_failures = 0
        if now < self._retry_at and self.ejected:
            return
        doubled_s = max(self._settings.retry_min_s, self._retry_s * 2)
        self._retry_s = min(self._settings.retry_max_s, doubled_s)
        self._retry_at = now + self._retry_s * (0.75 + 0.5 * rng.random())
        self._probing = False


def _create_correction(settings: LoadSettings) -> Correction:
    return Correction(
        settings.slowness_weight, settings.slowness_half_life_s, settings.max_slowness
    )
