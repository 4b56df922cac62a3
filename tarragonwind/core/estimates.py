"""Estimate what a request costs, corrected by what was seen of requests like it."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

BYTES_PER_TOKEN = 4.0
"""Bytes of prompt text for a token, before a route has been seen."""

DEFAULT_OUTPUT_TOKENS = 200.0
"""Expected output of a request that is like none seen, in tokens."""

PREFILL_SPEEDUP = 10.0
"""Prompt tokens that an engine reads in the time of generating one."""

COUNTED_PREFILL_SPEEDUP = 65.0
"""Prompt tokens that cost a batching engine as much as one token of an answer, where the caller
counts both: reading them holds up all streams of a batch, a token takes part of one step."""

MIN_WEIGHT = 0.05
"""Least weight of one observation in a running mean."""

MAX_MEANS = 8_192
"""Running means that are kept; the least recently used goes first."""


@dataclass(frozen=True, slots=True)
class CostEstimate:
    """Hold the estimated work of one request.

    Attributes
    ----------
    cost_tokens : int
        Whole work, in output tokens.
    prompt_tokens : int
        Length of the prompt.
    output_tokens : int
        Length of the answer.
    """

    cost_tokens: int
    prompt_tokens: int
    output_tokens: int = 0


SERVICE_COST = CostEstimate(cost_tokens=1, prompt_tokens=0)
"""Work of one request to a plain service."""


@dataclass(frozen=True, slots=True)
class _MeanKey:
    """Name requests that are alike; empty and negative fields stand for any."""

    route: str
    organisation: str = ""
    size_class: int = -1


@dataclass(slots=True)
class _RunningMean:
    """Average observations, the first equally and then with a least weight."""

    value: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        self.count += 1
        self.value += max(MIN_WEIGHT, 1.0 / self.count) * (value - self.value)


class CostEstimator:
    """Keep running means by route, organisation and prompt length."""

    __slots__ = ("_bytes_per_token", "_outputs")

    def __init__(self) -> None:
        self._outputs: OrderedDict[_MeanKey, _RunningMean] = OrderedDict()
        self._bytes_per_token: OrderedDict[_MeanKey, _RunningMean] = OrderedDict()

    def estimate(
        self, route: str, organisation: str, prompt_bytes: int, max_tokens: int | None
    ) -> CostEstimate:
        """Estimate a request to an engine.

        Parameters
        ----------
        route, organisation : str
            Names in the catalogue.
        prompt_bytes : int
            Length of the prompt's text.
        max_tokens : int or None
            Most tokens that the caller wants.
        """
        prompt_tokens = self._prompt_tokens(route, prompt_bytes)
        output_tokens = DEFAULT_OUTPUT_TOKENS
        for key in _output_keys(route, organisation, prompt_bytes):
            mean = self._outputs.get(key)
            if mean is not None:
                self._outputs.move_to_end(key)
                output_tokens = mean.value
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
        """Learn from a request that was answered in full.

        Parameters
        ----------
        route, organisation : str
            Names in the catalogue.
        prompt_bytes : int
            Length of the prompt's text.
        output_tokens : int
            Tokens generated.
        prompt_tokens : int, optional
            Tokens that the engine counted in the prompt.
        """
        for key in _output_keys(route, organisation, prompt_bytes):
            _add(self._outputs, key, float(output_tokens))
        if prompt_tokens:
            _add(self._bytes_per_token, _MeanKey(route), prompt_bytes / prompt_tokens)

    def _prompt_tokens(self, route: str, prompt_bytes: int) -> int:
        mean = self._bytes_per_token.get(_MeanKey(route))
        bytes_per_token = mean.value if mean is not None else BYTES_PER_TOKEN
        return round(prompt_bytes / max(0.1, bytes_per_token))


def estimate_counted(
    prompt_tokens: int, max_tokens: int, expected_tokens: int | None
) -> CostEstimate:
    """Estimate a request whose prompt the caller has counted.

    Parameters
    ----------
    prompt_tokens, max_tokens : int
        Tokens of the prompt, and most tokens of the answer.
    expected_tokens : int or None
        The caller's estimate of the answer's tokens.
    """
    output_tokens = min(max_tokens, expected_tokens or max_tokens)
    cost_tokens = max(1, round(prompt_tokens / COUNTED_PREFILL_SPEEDUP + output_tokens))
    return CostEstimate(cost_tokens, prompt_tokens, output_tokens)


def _output_keys(route: str, organisation: str, prompt_bytes: int) -> tuple[_MeanKey, ...]:
    """Return the groups that a request belongs to, the narrowest first."""
    size_class = prompt_bytes.bit_length() // 2
    return (
        _MeanKey(route, organisation, size_class),
        _MeanKey(route, "", size_class),
        _MeanKey(route, organisation),
        _MeanKey(route),
    )


def _add(means: OrderedDict[_MeanKey, _RunningMean], key: _MeanKey, value: float) -> None:
    mean = means.get(key)
    if mean is None:
        mean = _RunningMean()
        means[key] = mean
    means.move_to_end(key)
    mean.add(value)
    if len(means) > MAX_MEANS:
        means.popitem(last=False)
