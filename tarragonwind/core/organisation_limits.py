"""Limit concurrent requests by organisation and route, and request rates by organisation."""

from __future__ import annotations

from dataclasses import field

from tarragonwind.core.entries import OrganisationEntry, RouteEntry
from tarragonwind.errors import ErrorKind, RequestError
from tarragonwind.records import dataclass

BURST_S = 1.0
"""Burst size of the rate limit, in seconds at the sustained rate."""

DURATION_WEIGHT = 0.1
"""Weight of one request in the moving average of durations."""

MIN_RETRY_AFTER_S = 0.1
"""Minimum retry-after time of a refusal."""


@dataclass(slots=True)
class _TokenBucket:
    """Limit a rate with a token bucket."""

    filled_at: float
    tokens: float

    def fill(self, now: float, rate_per_s: float) -> None:
        burst = max(1.0, rate_per_s * BURST_S)
        self.tokens = min(burst, self.tokens + max(0.0, now - self.filled_at) * rate_per_s)
        self.filled_at = now


@dataclass(slots=True)
class _Concurrency:
    """Count requests in progress and average their duration."""

    count: int = 0
    mean_duration_s: float = 1.0

    def release(self, duration_s: float) -> None:
        self.count -= 1
        self.mean_duration_s += DURATION_WEIGHT * (duration_s - self.mean_duration_s)

    def expected_release_s(self) -> float:
        return self.mean_duration_s / max(1, self.count)


@dataclass(slots=True)
class Admission:
    """Hold one admitted request, to be released with `OrganisationLimits.end`."""

    organisation: str
    route: str
    started_at: float
    ended: bool = field(default=False)


class OrganisationLimits:
    """Enforce the catalogue's limits on the requests of one host."""

    __slots__ = ("_buckets", "_organisations", "_routes")

    def __init__(self) -> None:
        self._buckets: dict[str, _TokenBucket] = {}
        self._organisations: dict[str, _Concurrency] = {}
        self._routes: dict[str, _Concurrency] = {}

    def check(self, now: float, organisation: OrganisationEntry) -> None:
        """Refuse what `admit` would refuse for its organisation now; nothing is counted.

        Raises
        ------
        RequestError
            Of kind ``over_limit``.
        """
        usage = self._organisations.get(organisation.name)
        if usage is not None:
            self._check_concurrency(usage, organisation)
        bucket = self._buckets.get(organisation.name)
        if bucket is not None:
            self._check_rate(now, bucket, organisation)

    def admit(self, now: float, organisation: OrganisationEntry, route: RouteEntry) -> Admission:
        """Admit one request, or refuse it without counting it.

        Raises
        ------
        RequestError
            Of kind ``over_limit``, with an estimate of the time until a request is admitted.
        """
        organisation_usage = self._organisations.setdefault(organisation.name, _Concurrency())
        self._check_concurrency(organisation_usage, organisation)
        route_usage = self._routes.setdefault(route.name, _Concurrency())
        if route_usage.count >= route.max_in_progress:
            raise _refusal(
                f"route {route.name} has {route_usage.count} requests in progress, its limit on "
                "this host",
                route_usage.expected_release_s(),
            )
        self._take_token(now, organisation)
        organisation_usage.count += 1
        route_usage.count += 1
        return Admission(organisation.name, route.name, now)

    def end(self, now: float, admission: Admission) -> None:
        """Release an admitted request; repeated calls have no effect."""
        if admission.ended:
            return
        admission.ended = True
        duration_s = now - admission.started_at
        self._organisations[admission.organisation].release(duration_s)
        self._routes[admission.route].release(duration_s)

    def in_progress(self, organisation: str) -> int:
        """Return the number of an organisation's requests in progress."""
        usage = self._organisations.get(organisation)
        return usage.count if usage is not None else 0

    def evict_idle(self, now: float, idle_s: float = 60.0) -> None:
        """Evict the state of organisations without requests for `idle_s` seconds."""
        for name in [name for name, usage in self._organisations.items() if not usage.count]:
            bucket = self._buckets.get(name)
            if bucket is None or now - bucket.filled_at >= idle_s:
                del self._organisations[name]
                self._buckets.pop(name, None)

    def _take_token(self, now: float, organisation: OrganisationEntry) -> None:
        rate_per_s = organisation.requests_per_s
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            bucket = _TokenBucket(now, max(1.0, rate_per_s * BURST_S))
            self._buckets[organisation.name] = bucket
        self._check_rate(now, bucket, organisation)
        bucket.tokens -= 1.0

    @staticmethod
    def _check_concurrency(usage: _Concurrency, organisation: OrganisationEntry) -> None:
        if usage.count >= organisation.max_in_progress:
            raise _refusal(
                f"organisation {organisation.name} has {usage.count} requests in "
                "progress, its limit on this host",
                usage.expected_release_s(),
            )

    @staticmethod
    def _check_rate(now: float, bucket: _TokenBucket, organisation: OrganisationEntry) -> None:
        rate_per_s = organisation.requests_per_s
        bucket.fill(now, rate_per_s)
        if bucket.tokens < 1.0:
            raise _refusal(
                f"organisation {organisation.name} asks more often than its "
                f"{rate_per_s:g} requests a second on this host",
                (1.0 - bucket.tokens) / rate_per_s,
            )


def _refusal(message: str, retry_after_s: float) -> RequestError:
    return RequestError(
        ErrorKind.OVER_LIMIT, message, max(MIN_RETRY_AFTER_S, round(retry_after_s + 0.0005, 3))
    )
