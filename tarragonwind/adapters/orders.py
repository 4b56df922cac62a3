"""Issue orders to upstreams under a leased claim, within the weight store's rate limit."""

from __future__ import annotations

import json
import math

from loguru import logger

from tarragonwind.core.orders import (
    PAUSE_GAP_S,
    Claim,
    DesiredState,
    LoadRateLimiter,
    OrderKind,
    OrderPlanner,
    may_issue,
)
from tarragonwind.errors import StoreError
from tarragonwind.futures import Future, spawn
from tarragonwind.ports import (
    Address,
    Compare,
    HttpError,
    HttpRequest,
    HttpResponse,
    HttpTransport,
    Put,
    Store,
    Timers,
)
from tarragonwind.records import dataclass

CLAIM_TTL_S = 15
ORDER_TIMEOUT_S = 3.0
TICK_PERIOD_S = 0.25
RENEW_PERIOD_S = 3.0
REPORT_PERIOD_S = 1.0
DEFAULT_RETRY_AFTER_S = 1.0
JSON_HEADERS = [(b"Content-Type", b"application/json")]


def claim_key(pool: str) -> str:
    """Return the store key of the claim to issue orders for a pool."""
    return f"orders/{pool}"


@dataclass(slots=True)
class Lease:
    """Represent a store lease and the time before which it can't have expired."""

    lease_id: int
    until: float


class OrderRunner:
    """Acquire the claim of one pool and issue its orders.

    Parameters
    ----------
    pool, host : str
        Names of the pool and of this host.
    store : Store
        Store that holds the claims.
    http : HttpTransport
        HTTP client for upstreams and the weight store.
    timers : Timers
        Clock and timers.
    weights : Address
        Address of the weight store.
    rate_per_s : float
        Maximum number of loads that begin per second.
    """

    def __init__(
        self,
        pool: str,
        host: str,
        store: Store,
        http: HttpTransport,
        timers: Timers,
        weights: Address,
        rate_per_s: float,
    ) -> None:
        self.planner = OrderPlanner(LoadRateLimiter(rate_per_s))
        self.claim: Claim | None = None
        self._pool = pool
        self._host = host
        self._store = store
        self._http = http
        self._timers = timers
        self._weights = weights
        self._addresses: dict[str, Address] = {}
        self._lease: Lease | None = None
        self._last_tick_at = timers.now()
        self._renewed_at = -math.inf
        self._reported_at = -math.inf
        self._busy = False
        self._timer = timers.call_every(TICK_PERIOD_S, self.tick)

    def set_desired(self, desired: list[DesiredState], addresses: dict[str, Address]) -> None:
        """Replace the desired states and the upstreams' addresses."""
        self._addresses = dict(addresses)
        self.planner.set_desired(desired)

    def stop(self) -> None:
        """Issue no more orders; the claim in the store expires with its lease."""
        self._timer.cancel()
        self.claim = None

    def tick(self) -> None:
        """Renew the claim and read the upstreams' states if due, and issue the next order."""
        now = self._timers.now()
        if now - self._last_tick_at > PAUSE_GAP_S:
            self._reset_after_pause(now)
        self._last_tick_at = now
        if not self._busy:
            self._busy = True
            spawn(self._work(now)).add_callback(self._on_work_done)

    def _reset_after_pause(self, now: float) -> None:
        """Discard the state read before a pause of this process; renew the claim immediately."""
        logger.warning(
            "event=orders_paused pool={} gap_s={:.1f}", self._pool, now - self._last_tick_at
        )
        self.planner.clear_reports()
        self._renewed_at = -math.inf
        self._reported_at = -math.inf

    def _on_work_done(self, fut: Future[None]) -> None:
        self._busy = False
        fut.result()

    async def _work(self, now: float) -> None:
        if now - self._renewed_at >= RENEW_PERIOD_S:
            self._renewed_at = now
            await self._try_renew_claim()
        if self.claim is None:
            return
        if now - self._reported_at >= REPORT_PERIOD_S:
            self._reported_at = now
            await self._read_reports()
        await self._issue_next()

    async def _try_renew_claim(self) -> None:
        """Renew the claim; if the store is unavailable, the last renewal stays valid."""
        try:
            await self._renew_claim()
        except StoreError as exc:
            logger.warning("event=order_claim_unsure pool={} error={}", self._pool, exc)

    async def _renew_claim(self) -> None:
        """Grant or renew the lease, then acquire the claim; drop both if the lease expired."""
        asked_at = self._timers.now()
        if self._lease is None:
            lease_id = await self._store.grant_lease(CLAIM_TTL_S)
            self._lease = Lease(lease_id, asked_at + CLAIM_TTL_S)
        else:
            remaining_s = await self._store.renew_lease(self._lease.lease_id)
            if remaining_s <= 0.0:
                self._lease = None
                self.claim = None
                return
            self._lease.until = asked_at + remaining_s
        await self._acquire_claim()

    async def _acquire_claim(self) -> None:
        """Acquire the claim if it is free.

        Reads it back after the write, because the response to a write that took effect may be lost.
        """
        lease = self._lease
        if lease is None:
            return
        key = claim_key(self._pool)
        item = await self._store.get(key)
        if item is None:
            value = self._host.encode()
            ops = [Put(key, value, lease.lease_id)]
            await self._store.commit([Compare(key, 0)], [*ops])
            item = await self._store.get(key)
        if item is None or item.lease_id != lease.lease_id:
            self.claim = None
            return
        acquired_at = self._timers.now()
        if self.claim is not None and self.claim.fencing == item.mod_revision:
            acquired_at = self.claim.acquired_at
        self.claim = Claim(item.mod_revision, acquired_at, lease.until)

    async def _read_reports(self) -> None:
        for upstream, address in sorted(self._addresses.items()):
            try:
                response = await self._http.fetch(
                    address, HttpRequest("GET", "/load"), ORDER_TIMEOUT_S
                )
                self.planner.record_report(upstream, str(json.loads(response.body)["version"]))
            except (HttpError, ValueError, KeyError, TypeError) as exc:
                logger.warning("event=upstream_state_unknown upstream={} error={}", upstream, exc)

    async def _issue_next(self) -> None:
        desired = self.planner.next_order(self._timers.now())
        if desired is None:
            return
        if desired.order.kind is OrderKind.LOAD and not await self._reserve_load(desired):
            return
        now = self._timers.now()
        claim = self.claim
        if claim is None or not may_issue(
            now, claim, self._last_tick_at, ORDER_TIMEOUT_S, desired.checks_fencing
        ):
            return
        self.planner.record_issued(now, desired.order)
        await self._send(desired, claim)

    async def _reserve_load(self, desired: DesiredState) -> bool:
        """Request one load from the weight store; return whether it may begin."""
        if not self.planner.take_load(self._timers.now()):
            return False
        doc = {"upstream": desired.order.upstream, "version": desired.order.version}
        req = HttpRequest("POST", "/loads", JSON_HEADERS, json.dumps(doc).encode())
        try:
            response = await self._http.fetch(self._weights, req, ORDER_TIMEOUT_S)
        except HttpError as exc:
            logger.warning("event=weight_store_failed pool={} error={}", self._pool, exc)
            return False
        if response.status == 429:
            self.planner.delay(self._timers.now(), _retry_after_s(response))
        return response.status == 200

    async def _send(self, desired: DesiredState, claim: Claim) -> None:
        order = desired.order
        doc = {
            "kind": order.kind.value,
            "version": order.version,
            "role": order.role,
            "generation": order.generation,
            "fencing": claim.fencing,
        }
        address = self._addresses.get(order.upstream)
        if address is None:
            return
        req = HttpRequest("POST", "/orders", JSON_HEADERS, json.dumps(doc).encode())
        status: int | str
        try:
            response = await self._http.fetch(address, req, ORDER_TIMEOUT_S)
            status = response.status
        except HttpError as exc:
            status = f"unknown ({exc})"
        logger.info(
            "event=order_issued upstream={} kind={} version={} fencing={} status={}",
            order.upstream,
            order.kind.value,
            order.version,
            claim.fencing,
            status,
        )


def _retry_after_s(response: HttpResponse) -> float:
    for name, value in response.headers:
        if name.lower() == b"retry-after":
            try:
                return max(0.0, float(value))
            except ValueError:
                break
    return DEFAULT_RETRY_AFTER_S
