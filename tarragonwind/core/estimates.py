"""Estimate the cost of a request from moving averages over similar requests."""

from __future__ import annotations

from collections import OrderedDict

from tarragonwind.records import dataclass

BYTES_PER_TOKEN = 4.0
"""Prompt bytes per token of a route without observations."""

DEFAULT_OUTPUT_TOKENS = 200.0
"""Expected output tokens of a request without similar predecessors."""

PREFILL_SPEEDUP = 10.0
"""Prompt tokens that an engine processes in the time it takes to generate one token."""

COUNTED_PREFILL_SPEEDUP = 65.0
"""Prompt tokens that cost a batching engine as much as one output token, for requests with token
counts from the caller. Prefill delays all streams of a batch; an output token only takes a part of
one decode step."""

MIN_WEIGHT = 0.05
"""Minimum weight of one observation in a moving average."""

MAX_AVERAGES = 8_192
"""Maximum number of averages kept; the least recently used one is evicted first."""


@dataclass(frozen=True, slots=True)
class CostEstimate:
    """Hold the estimated work of one request.

    Attributes
    ----------
    cost_tokens : int
        Total work, in output-token equivalents.
    prompt_tokens : int
        Length of the prompt, in tokens.
    output_tokens : int
        Expected length of the output, in tokens.
    """

    cost_tokens: int
    prompt_tokens: int
    output_tokens: int = 0


SERVICE_COST = CostEstimate(cost_tokens=1, prompt_tokens=0)
"""Cost of a request to a service, which has no tokens."""


@dataclass(frozen=True, slots=True)
class _GroupKey:
    """Identify a group of similar requests; empty and negative fields match any value."""

    route: str
    organisation: str = ""
    size_class: int = -1


@dataclass(slots=True)
class _MovingAverage:
    """Average observations: arithmetic mean first, then exponential with `MIN_WEIGHT`."""

    value: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        self.count += 1
        self.value += max(MIN_WEIGHT, 1.0 / self.count) * (value - self.value)


class CostEstimator:
    """Estimate request costs from moving averages by route, organisation and prompt length."""

    __slots__ = ("_bytes_per_token_averages", "_output_averages")

    def __init__(self) -> None:
        self._output_averages: OrderedDict[_GroupKey, _MovingAverage] = OrderedDict()
        self._bytes_per_token_averages: OrderedDict[_GroupKey, _MovingAverage] = OrderedDict()

    def estimate(
        self, route: str, organisation: str, prompt_bytes: int, max_tokens: int | None
    ) -> CostEstimate:
        """Estimate the cost of a request to an engine.

        Parameters
        ----------
        route, organisation : str
            Names in the catalogue.
        prompt_bytes : int
            Length of the prompt's text, in bytes.
        max_tokens : int or None
            Maximum number of output tokens requested by the caller.
        """
        prompt_tokens = self._prompt_tokens(route, prompt_bytes)
        output_tokens = DEFAULT_OUTPUT_TOKENS
        for key in _output_keys(route, organisation, prompt_bytes):
            average = self._output_averages.get(key)
            if average is not None:
                self._output_averages.move_to_end(key)
                output_tokens = average.value
                break
        if max_tokens is not None:
            output_tokens = min(output_tokens, float(max_tokens))
        cost_tokens = prompt_tokens / PREFILL_SPEEDUP + output_tokens
        return CostEstimate(max(1, round(cost_tokens)), prompt_tokens, round(output_tokens))

    def observe(
        self,
        route: str,
        organisation: str,
        prompt_bytes: int,
        output_tokens: int,
        prompt_tokens: int | None = None,
    ) -> None:
        """Update the averages with a completely answered request.

        Parameters
        ----------
        route, organisation : str
            Names in the catalogue.
        prompt_bytes : int
            Length of the prompt's text, in bytes.
        output_tokens : int
            Number of generated tokens.
        prompt_tokens : int, optional
            Prompt tokens as counted by the engine.
        """
        for key in _output_keys(route, organisation, prompt_bytes):
            _add(self._output_averages, key, float(output_tokens))
        if prompt_tokens:
            _add(self._bytes_per_token_averages, _GroupKey(route), prompt_bytes / prompt_tokens)

    def _prompt_tokens(self, route: str, prompt_bytes: int) -> int:
        average = self._bytes_per_token_averages.get(_GroupKey(route))
        bytes_per_token = average.value if average is not None else BYTES_PER_TOKEN
        return round(prompt_bytes / max(0.1, bytes_per_token))


def estimate_counted(
    prompt_tokens: int, max_tokens: int, expected_tokens: int | None
) -> CostEstimate:
    """Estimate the cost of a request whose caller provides token counts.

    Parameters
    ----------
    prompt_tokens, max_tokens : int
        Number of prompt tokens and maximum number of output tokens.
    expected_tokens : int or None
        The caller's estimate of the number of output tokens.
    """
    output_tokens = min(max_tokens, expected_tokens or max_tokens)
    cost_tokens = max(1, round(prompt_tokens / COUNTED_PREFILL_SPEEDUP + output_tokens))
    return CostEstimate(cost_tokens, prompt_tokens, output_tokens)


def _output_keys(route: str, organisation: str, prompt_bytes: int) -> tuple[_GroupKey, ...]:
    """Return the groups of similar requests that a request belongs to, the narrowest first."""
    size_class = prompt_bytes.bit_length() // 2
    return (
        _GroupKey(route, organisation, size_class),
        _GroupKey(route, "", size_class),
        _GroupKey(route, organisation),
        _GroupKey(route),
    )


def _add(averages: OrderedDict[_GroupKey, _MovingAverage], key: _GroupKey, value: float) -> None:
    average = averages.get(key)
    if average is None:
        average = _MovingAverage()
        averages[key] = average
    averages.move_to_end(key)
    average.add(value)
    if len(averages) > MAX_AVERAGES:
        averages.popitem(last=False)
