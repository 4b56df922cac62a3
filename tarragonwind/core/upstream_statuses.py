"""Define what a host reports about an upstream."""

from __future__ import annotations

from tarragonwind.records import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Describe an upstream as seen from the responding host.

    Attributes
    ----------
    name, pool, version : str
        Name, pool and version of the upstream.
    state : str
        ``live``, ``leaving`` or ``unreachable``.
    in_progress, slots : int
        Requests in progress, and requests that the upstream can serve concurrently.
    tokens_per_s : float
        Throughput in tokens per second.
    failures : int
        Failed requests to the upstream since the daemon started.
    report_age_s : float
        Age of the last load report in seconds, -1 if there was none.
    """

    name: str
    pool: str
    version: str
    state: str
    in_progress: int
    slots: int
    tokens_per_s: float
    failures: int
    report_age_s: float
