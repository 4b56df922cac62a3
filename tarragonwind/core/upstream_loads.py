"""Follow the load, the speed and the health of one upstream."""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass

from tarragonwind.core.corrections import Correction
from tarragonwind.core.entries import UpstreamEntry, UpstreamState

HISTORY_LENGTH = 256
"""Changes of the number in flight that are remembered to compare reports with."""


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """Set how upstreams are loaded and judged.

    Attributes
    ----------
    work_ahead_s : float
        Work in flight on an engine, in seconds of its full speed, above which none is added.
    report_half_life_s : float
        Age at which a load report counts half.
    slowness_weight : float
        Weight of one observation in the running estimate of slowness.
    slowness_half_life_s : float
        Time in which the estimate returns half-way to normal without observations.
    max_slowness : float
        Bound on the estimate, and its reciprocal.
    outlier_slowness : float
        Slowness relative to the pool's fastest at which an upstream is only probed.
    retry_min_s, retry_max_s : float
        First and longest time without work after failures to connect.
    failures_to_eject : int
        Failed answers in a row that eject an upstream.
    prefill_speedup : float
        Prompt tokens read in the time of generating one.
    first_byte_steps : float
        Tokens' time that an answer takes to begin, beside the reading of its prompt.
    batch_slowdown : float
        Part of a token's time at full batch that comes from the other requests of the batch.
    deadline_margin : float
        Factor on the expected length of an answer that has to be whole by a deadline.
    failure_weight : float
        Weight of one answer in the running share of failures.
    failure_half_life_s : float
        Time in which that share halves without answers.
    failure_penalty : float
        Factor by which an upstream that fails every request is the later choice.
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
    """Hold what an owner knows about one upstream.

    Attributes
    ----------
    entry : UpstreamEntry
        Its entry in the catalogue.
    in_flight : int
        Permits out.
    work : int
        Estimated tokens of these permits.
    share : float
        Part of the upstream that this owner may use; others use the rest.
    """

    __slots__ = (
        "_failed_share",
        "_failed_share_at",
        "_failures",
        "_first_byte_times",
        "_history",
        "_probing",
        "_report_at",
        "_report_extra",
        "_retry_at",
        "_retry_s",
        "_settings",
        "_token_times",
        "entry",
        "in_flight",
        "share",
        "work",
    )

    def __init__(self, entry: UpstreamEntry, settings: LoadSettings) -> None:
        self.entry = entry
        self.in_flight = 0
        self.work = 0
        self.share = 1.0
        self._settings = settings
        self._failures = 0
        self._failed_share = 0.0
        self._failed_share_at = 0.0
        self._history: deque[tuple[float, int]] = deque(maxlen=HISTORY_LENGTH)
        self._retry_at = 0.0
        self._retry_s = 0.0
        self._probing = False
        self._first_byte_times = _create_correction(settings)
        self._token_times = _create_correction(settings)
        self._report_extra = 0.0
        self._report_at = -math.inf

    @property
    def ejected(self) -> bool:
        """Tell whether the upstream is without work until a probe has succeeded."""
        return self._retry_s > 0

    def is_available(self) -> bool:
        """Tell whether the upstream counts as capacity now."""
        return self.entry.state is UpstreamState.LIVE and not self.ejected

    def has_room(self, now: float) -> bool:
        """Tell whether one more request fits what the upstream can batch."""
        if self.entry.state is not UpstreamState.LIVE:
            return False
        if self.ejected:
            return now >= self._retry_at and not self._probing
        if self.in_flight == 0:
            return True
        if self.in_flight + self._foreign_in_flight(now) >= self.entry.slots * self.share:
            return False
        return self.work < self.entry.tokens_per_s * self._settings.work_ahead_s * self.share

    def add(self, now: float, cost_tokens: int) -> None:
        """Count a permit."""
        self._history.append((now, self.in_flight))
        self.in_flight += 1
        self.work += cost_tokens
        if self.ejected:
            self._probing = True

    def release(self, now: float, cost_tokens: int) -> None:
        """Count a permit out."""
        self._history.append((now, self.in_flight))
        self.in_flight -= 1
        self.work -= cost_tokens
        if self.ejected and self.in_flight == 0:
            self._probing = False

    def failure_rate(self, now: float) -> float:
        """Return the running share of requests that failed, 0 to 1."""
        idle_s = max(0.0, now - self._failed_share_at)
        return float(self._failed_share * 0.5 ** (idle_s / self._settings.failure_half_life_s))

    def _note_answer(self, now: float, failed: bool) -> None:
        share = self.failure_rate(now)
        self._failed_share = share + self._settings.failure_weight * (float(failed) - share)
        self._failed_share_at = now

    def on_success(self, now: float) -> None:
        """Note a whole answer."""
        self._note_answer(now, failed=False)
        self._failures = 0
        self._retry_s = 0.0
        self._probing = False

    def on_connect_failed(self, now: float, rng: random.Random) -> None:
        """Note that a connection was refused: no work until a probe later on."""
        self._eject(now, rng)

    def on_refused(self, now: float) -> None:
        """Note that the upstream had no room: what others have there is taken for its slots."""
        self._report_extra = max(self._report_extra, float(self.entry.slots - self.in_flight))
        self._report_at = now

    def on_failed(self, now: float, rng: random.Random, may_eject: bool = True) -> None:
        """Note a failed answer; several in a row eject the upstream.

        Parameters
        ----------
        now : float
            Time in seconds.
        rng : random.Random
            Source of jitter.
        may_eject : bool
            Whether enough others take work; if not, an upstream that answers is better than none.
        """
        self._note_answer(now, failed=True)
        self._failures += 1
        if not may_eject:
            self._retry_s = 0.0
            self._probing = False
        elif self.ejected or self._failures >= self._settings.failures_to_eject:
            self._eject(now, rng)

    def on_report(self, now: float, in_flight: int, age_s: float) -> None:
        """Note a load report: work that others than this owner have there.

        Parameters
        ----------
        now : float
            Time in seconds.
        in_flight : int
            Requests that the upstream said it had.
        age_s : float
            Age of the report, in seconds.
        """
        own_in_flight = self._in_flight_at(now - age_s)
        self._report_extra = max(0.0, float(in_flight - own_in_flight))
        self._report_at = now - age_s

    def on_first_byte(self, now: float, predicted_s: float, observed_s: float) -> None:
        """Correct the expected time to the first byte by one finished request."""
        self._first_byte_times.observe(now, predicted_s, observed_s)

    def on_tokens(self, now: float, predicted_s: float, observed_s: float) -> None:
        """Correct the expected time of a token by one finished request."""
        self._token_times.observe(now, predicted_s, observed_s)

    def slowness(self, now: float) -> float:
        """Return how many times slower than its entry says the upstream is."""
        return max(self._first_byte_times.ratio(now), self._token_times.ratio(now))

    def first_byte_s(self, now: float, prompt_tokens: float) -> float:
        """Return the expected time to the first byte of one more request, in seconds."""
        steps = self._settings.first_byte_steps + prompt_tokens / self._settings.prefill_speedup
        return steps * self._nominal_step_s(now) * self._first_byte_times.ratio(now)

    def min_first_byte_s(self, now: float, prompt_tokens: float) -> float:
        """Return the time to the first byte that a request takes at least, in seconds."""
        steps = self._settings.first_byte_steps + prompt_tokens / self._settings.prefill_speedup
        alone = 1.0 - self._settings.batch_slowdown
        least_step_s = alone * self.entry.slots / self.entry.tokens_per_s
        return steps * least_step_s * min(1.0, self._first_byte_times.ratio(now))

    def token_s(self, now: float) -> float:
        """Return the expected time of one token of one more request, in seconds."""
        return self._nominal_step_s(now) * self._token_times.ratio(now)

    def _nominal_step_s(self, now: float) -> float:
        slots = self.entry.slots
        own = self.in_flight / self.share
        running = min(slots, own + 1 + self._foreign_in_flight(now))
        full_step_s = slots / self.entry.tokens_per_s
        shared = self._settings.batch_slowdown
        return full_step_s * (1.0 - shared + shared * running / slots)

    def _in_flight_at(self, then: float) -> int:
        in_flight = self.in_flight
        for changed_at, before in reversed(self._history):
            if changed_at <= then:
                break
            in_flight = before
        return in_flight

    def _foreign_in_flight(self, now: float) -> float:
        age_s = max(0.0, now - self._report_at)
        if age_s > 10 * self._settings.report_half_life_s:
            return 0.0
        return self._report_extra * 0.5 ** (age_s / self._settings.report_half_life_s)

    def _eject(self, now: float, rng: random.Random) -> None:
        self._failures = 0
        if now < self._retry_at and self.ejected:
            return
        longer_s = max(self._settings.retry_min_s, self._retry_s * 2)
        self._retry_s = min(self._settings.retry_max_s, longer_s)
        self._retry_at = now + self._retry_s * (0.75 + 0.5 * rng.random())
        self._probing = False


def _create_correction(settings: LoadSettings) -> Correction:
    return Correction(
        settings.slowness_weight, settings.slowness_half_life_s, settings.max_slowness
    )
