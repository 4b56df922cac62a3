"""Simulated model engine with continuous batching, a FIFO queue and a prefix cache."""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from bench.simulators import Simulator
from bench.traces import PREFILL_SPEEDUP


@dataclass(slots=True)
class Job:
    """One request in an engine.

    Attributes
    ----------
    prompt_tokens, output_tokens : int
        Lengths of prompt and answer, in tokens.
    on_start, on_first_token, on_end : callable
        Called when the job enters the batch, at its first token and at its last one.
    prefixes : tuple of int
        Hashes of the prompt prefixes, the shortest first.
    state : str
        ``new``, ``waiting``, ``running``, ``ended`` or ``cancelled``.
    prefill_tokens : float
        Prompt tokens that were not in the cache.
    started_at : float
        Time at which the job entered the batch, in seconds.
    start_progress : float
        Number of steps that the engine had run by then.
    cached_share : float
        Fraction of the prompt that was in the cache.
    prefilled_before_cancel : float
        Upper bound of the prompt tokens prefilled until the job was cancelled.
    """

    prompt_tokens: int
    output_tokens: int
    on_start: Callable[[], None]
    on_first_token: Callable[[], None]
    on_end: Callable[[], None]
    prefixes: tuple[int, ...] = ()
    state: str = "new"
    prefill_tokens: float = 0.0
    started_at: float = 0.0
    start_progress: float = 0.0
    cached_share: float = 0.0
    prefilled_before_cancel: float = 0.0


class FakeEngine:
    """Run up to `slots` jobs concurrently; the time of a step grows with the batch size.

    Parameters
    ----------
    simulator : Simulator
        Source of simulated time.
    slots : int
        Largest batch; further jobs wait in a FIFO queue.
    tokens_per_s : float
        Throughput with a full batch, in output tokens per second.
    max_prefixes : int
        Capacity of the LRU prefix cache; 0 disables it.
    """

    def __init__(
        self, simulator: Simulator, slots: int, tokens_per_s: float, max_prefixes: int = 0
    ) -> None:
        self.slots = slots
        self.tokens_per_s = tokens_per_s
        self.slowness = 1.0
        self.running = 0
        self.waiting: deque[Job] = deque()
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.prefilled_tokens = 0.0
        self.on_cached: Callable[[tuple[int, ...]], None] = lambda prefixes: None
        self.on_evicted: Callable[[int], None] = lambda prefix: None
        self._max_prefixes = max_prefixes
        self._simulator = simulator
        self._progress = 0.0
        self._progress_at = 0.0
        self._milestones: list[tuple[float, int, Job, bool]] = []
        self._numbers = itertools.count()
        self._plan_number = 0

    @property
    def in_flight(self) -> int:
        """Return the number of running and waiting jobs."""
        return self.running + len(self.waiting)

    def submit(self, job: Job) -> None:
        """Queue a job, or start it if a slot is free."""
        self._advance()
        job.state = "waiting"
        self.waiting.append(job)
        self._start_waiting()
        self._schedule_next()

    def cancel(self, job: Job) -> None:
        """Cancel a job whose caller has disconnected."""
        self._advance()
        if job.state == "running":
            self.running -= 1
            job.prefilled_before_cancel = (self._progress - job.start_progress) * PREFILL_SPEEDUP
        elif job.state == "waiting":
            self.waiting.remove(job)
        job.state = "cancelled"
        self._start_waiting()
        self._schedule_next()

    def set_slowness(self, slowness: float) -> None:
        """Set the factor by which steps take longer."""
        self._advance()
        self.slowness = slowness
        self._schedule_next()

    def _step_s(self) -> float:
        full_step_s = self.slots / self.tokens_per_s
        return full_step_s * (0.5 + 0.5 * self.running / self.slots) * self.slowness

    def _advance(self) -> None:
        now = self._simulator.now
        if self.running:
            self._progress += (now - self._progress_at) / self._step_s()
        self._progress_at = now

    def _start_waiting(self) -> None:
        while self.waiting and self.running < self.slots:
            self._start(self.waiting.popleft())

    def _start(self, job: Job) -> None:
        self.running += 1
        job.state = "running"
        job.started_at = self._simulator.now
        job.start_progress = self._progress
        job.cached_share = self._cached_share(job.prefixes)
        job.prefill_tokens = job.prompt_tokens * (1.0 - job.cached_share)
        self.prefilled_tokens += job.prefill_tokens
        self._cache_prefixes(job.prefixes)
        first = self._progress + job.prefill_tokens / PREFILL_SPEEDUP + 1
        heapq.heappush(self._milestones, (first, next(self._numbers), job, False))
        end = first + job.output_tokens - 1
        heapq.heappush(self._milestones, (end, next(self._numbers), job, True))
        job.on_start()

    def _schedule_next(self) -> None:
        self._plan_number += 1
        while self._milestones and self._milestones[0][2].state == "cancelled":
            heapq.heappop(self._milestones)
        if not self._milestones or not self.running:
            return
        plan = self._plan_number
        due = (
            self._simulator.now + max(0.0, self._milestones[0][0] - self._progress) * self._step_s()
        )
        self._simulator.call_at(due, lambda: self._on_milestone(plan))

    def _on_milestone(self, plan: int) -> None:
        if plan != self._plan_number:
            return
        self._advance()
        reached: list[tuple[Job, bool]] = []
        while self._milestones and self._milestones[0][0] <= self._progress + 1e-6:
            _, _, job, is_end = heapq.heappop(self._milestones)
            if job.state == "running":
                reached.append((job, is_end))
            if job.state == "running" and is_end:
                job.state = "ended"
                self.running -= 1
        self._start_waiting()
        self._schedule_next()
        for job, is_end in reached:
            if is_end:
                job.on_end()
            else:
                job.on_first_token()

    def _cached_share(self, prefixes: tuple[int, ...]) -> float:
        for count in range(len(prefixes), 0, -1):
            if prefixes[count - 1] in self.cache:
                return count / (len(prefixes) + 1)
        return 0.0

    def _cache_prefixes(self, prefixes: tuple[int, ...]) -> None:
        if not self._max_prefixes:
            return
        for prefix in prefixes:
            self.cache[prefix] = None
            self.cache.move_to_end(prefix)
        while len(self.cache) > self._max_prefixes:
            evicted, _ = self.cache.popitem(last=False)
            self.on_evicted(evicted)
        if prefixes:
            self.on_cached(prefixes)
