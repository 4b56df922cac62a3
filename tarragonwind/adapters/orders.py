"""Give orders to upstreams under a claim in the store, at the pace of the weight store."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass

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

CLAIM_TTL_S = 15
ORDER_TIMEOUT_S = 3.0
TICK_PERIOD_S = 0.25
RENEW_PERIOD_S = 3.0
REPORT_PERIOD_S = 1.0
DEFAULT_HOLD_S = 1.0
JSON_HEADERS = [(b"Content-Type", b"application/json")]


def claim_key(pool: str) -> str:
    """Return the store's key of the claim to give orders for a pool."""
    return f"orders/{pool}"


@dataclass(slots=True)
class Lease:
    """Hold a lease of the store and the time until which it surely lasts."""

    lease_id: int
    until: float


class OrderRunner:
    """Hold the claim of one pool and issue its orders.

    Parameters
    ----------
    pool, host : str
        Pool, and the name of this host.
    store : Store
        Keeper of claims.
    caller : HttpCaller
        Way to upstreams and to the weight store.
    timers : Timers
        Clock and timer subscriptions.
    weights : Address
        Weight store.
    rate_per_s : float
        Loads that the weight store lets begin each second.
    """

    def __init__(
        self,
        pool: str,
        host: str,
        store: Store,
        caller: HttpTransport,
        timers: Timers,
        weights: Address,
        rate_per_s: float,
    ) -> None:
        self.planner = OrderPlanner(LoadRateLimiter(rate_per_s))
        self.claim: Claim | None = None
        self._pool = pool
        self._host = host
        self._store = store
        self._caller = caller
        self._timers = timers
        self._weights = weights
        self._addresses: dict[str, Address] = {}
        self._lease: Lease | None = None
        self._last_tick_at = timers.now()
        self._renewed_at = -math.inf
        self._reported_at = -math.inf
        self._busy = False
        self._timer = timers.call_every(TICK_PERIOD_S, self.tick)

    def set_desired(self, wanted: list[DesiredState], addresses: dict[str, Address]) -> None:
        """Replace the wanted states and the upstreams' addresses."""
        self._addresses = dict(addresses)
        self.planner.set_desired(wanted)

    def stop(self) -> None:
        """Give no more orders; the claim ends with its lease."""
        self._timer.cancel()
        self.claim = None

    def tick(self) -> None:
        """Do what is due: renew the claim, read the upstreams' states, issue one order."""
        now = self._timers.now()
        if now - self._last_tick_at > PAUSE_GAP_S:
            self._distrust(now)
        self._last_tick_at = now
        if not self._busy:
            self._busy = True
            spawn(self._work(now)).add_callback(self._end_work)

    def _distrust(self, now: float) -> None:
        """After a pause of this process, trust nothing that was read before it."""
        logger.warning(
            "event=orders_paused pool={} gap_s={:.1f}", self._pool, now - self._last_tick_at
        )
        self.planner.clear_reports()
        self._renewed_at = -math.inf
        self._reported_at = -math.inf

    def _end_work(self, fut: Future[None]) -> None:
        self._busy = False
        fut.result()

    async def _work(self, now: float) -> None:
        if now - self._renewed_at >= RENEW_PERIOD_S:
            self._renewed_at = now
            await self._try_hold_claim()
        if self.claim is None:
            return
        if now - self._reported_at >= REPORT_PERIOD_S:
            self._reported_at = now
            await self._read_reports()
        await self._issue_next()

    async def _try_hold_claim(self) -> None:
        """Hold the claim; while the store is away an earlier renewal serves its time."""
        try:
            await self._hold_claim()
        except StoreError as exc:
            logger.warning("event=order_claim_unsure pool={} error={}", self._pool, exc)

    async def _hold_claim(self) -> None:
        """Renew the lease or make the claim; without either there is no claim."""
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
        await self._read_claim()

    async def _read_claim(self) -> None:
        """Take the claim if it is free; an answer that was lost is settled by reading."""
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
                response = await self._caller.fetch(
                    address, HttpRequest("GET", "/load"), ORDER_TIMEOUT_S
                )
                self.planner.record_report(upstream, str(json.loads(response.body)["version"]))
            except (HttpError, ValueError, KeyError, TypeError) as exc:
                logger.warning("event=upstream_state_unknown upstream={} error={}", upstream, exc)

    async def _issue_next(self) -> None:
        wanted = self.planner.next_order(self._timers.now())
        if wanted is None:
            return
        if wanted.order.kind is OrderKind.LOAD and not await self._pass_weights(wanted):
            return
        now = self._timers.now()
        claim = self.claim
        if claim is None or not may_issue(
            now, claim, self._last_tick_at, ORDER_TIMEOUT_S, wanted.checks_fencing
        ):
            return
        self.planner.record_issued(now, wanted.order)
        await self._send(wanted, claim)

    async def _pass_weights(self, wanted: DesiredState) -> bool:
        """Ask the weight store for one load; return whether it may begin."""
        if not self.planner.take_load(self._timers.now()):
            return False
        doc = {"upstream": wanted.order.upstream, "version": wanted.order.version}
        req = HttpRequest("POST", "/loads", JSON_HEADERS, json.dumps(doc).encode())
        try:
            response = await self._caller.fetch(self._weights, req, ORDER_TIMEOUT_S)
        except HttpError as exc:
            logger.warning("event=weight_store_failed pool={} error={}", self._pool, exc)
            return False
        if response.status == 429:
            self.planner.delay(self._timers.now(), _retry_after_s(response))
        return response.status == 200

    async def _send(self, wanted: DesiredState, claim: Claim) -> None:
        order = wanted.order
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
            response = await self._caller.fetch(address, req, ORDER_TIMEOUT_S)
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
    return DEFAULT_HOLD_S
