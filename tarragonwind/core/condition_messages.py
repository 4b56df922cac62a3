"""Define the messages that tell the owner of a pool what upstreams say of their condition.

Hosts of earlier builds don't know these messages, see `schedulers.create_condition_sender`.
"""

from __future__ import annotations

from dataclasses import field

from tarragonwind.messages import Message, message
from tarragonwind.records import dataclass


@message(40, level=2)
@dataclass(slots=True)
class PoolBrittle(Message):
    """Tell that the upstreams of a pool fall over where they have to reject requests.

    Attributes
    ----------
    pool : str
        Pool of the upstreams.
    rejections_per_s : int
        Rejected requests per second that an upstream endures.
    age_ms : int
        Time since the response that said so, in milliseconds.
    """

    pool: str
    rejections_per_s: int
    age_ms: int


@message(41, level=2)
@dataclass(slots=True)
class UpstreamCold(Message):
    """Tell that an upstream is cold, as it said in a response.

    Attributes
    ----------
    pool, upstream : str
        Upstream with its pool.
    incarnation : int
        Start of the upstream.
    cold_ms : int
        Time for which it stays cold, in milliseconds; 0 if it is warm.
    """

    pool: str
    upstream: str
    incarnation: int
    cold_ms: int


@message(42, level=2)
@dataclass(slots=True)
class PermitSizes(Message):
    """Tell the memory that requests need at an engine, before `PermitAsk` or `PermitSync`.

    Attributes
    ----------
    pool : str
        Pool of the requests.
    sizes : list of list
        Permit id, and prompt tokens with the maximum of output tokens, of each request.
    """

    pool: str
    sizes: list[list[int]] = field(default_factory=list)


CONDITION_MESSAGES = (PoolBrittle, UpstreamCold, PermitSizes)
"""Classes of the messages that hosts of earlier builds don't know."""
