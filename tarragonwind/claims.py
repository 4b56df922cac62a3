"""Claim idempotency keys in the store, so that the request of a key runs at most once."""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import replace

from loguru import logger

from tarragonwind.claim_cleaners import ClaimCleaner
from tarragonwind.claim_values import Claim, build_claim_write, build_conflict_error, decode_claim
from tarragonwind.claim_writers import ClaimWriteRouter
from tarragonwind.core.claim_records import (
    ClaimRecord,
    ClaimState,
    digest_key,
)
from tarragonwind.delays import delay
from tarragonwind.errors import ErrorKind, RequestError, StoreError
from tarragonwind.futures import Future, spawn
from tarragonwind.ports import KeyValue, Members, Peers, Store, Timers
from tarragonwind.shared_leases import SharedLeases
from tarragonwind.write_batches import MAX_QUEUED_WRITES, WriteBatcher

RESOLVE_TIMEOUT_S = 2.0
"""Timeout for resolving a claim write with unknown outcome, in seconds; the request waits."""
RESOLVE_RETRY_S = 0.05
LEASE_SAFETY_MARGIN_S = 5.0
"""Time before lease expiry at which a claim stops allowing a dispatch, in seconds."""
DONE_WRITE_PERIOD_S = 1.0
MAX_FLEET_DONE_WRITES_PER_S = 50.0
"""Fleet-wide limit of transactions that record finished claims, per second."""
MAX_CACHED_CLAIMS = 20_000
"""Maximum number of claims that a daemon caches; the oldest are evicted."""
UNAVAILABLE_RETRY_AFTER_S = 5.0


class Claims:
    """Claim, release and finish idempotency keys.

    Parameters
    ----------
    store : Store
        Store that holds the claims.
    members : Members
        Live daemons; their number sets the period at which finished claims are recorded.
    router : ClaimWriteRouter
        Routes the first write of a claim to the store.
    timers : Timers
        Clock and timers.
    rng : random.Random
        Random number generator for claim ids.
    root : str
        Prefix of all store keys, without a trailing slash.
    """

    def __init__(
        self,
        store: Store,
        members: Members,
        router: ClaimWriteRouter,
        timers: Timers,
        rng: random.Random,
        root: str,
    ) -> None:
        self._store = store
        self._members = members
        self._timers = timers
        self._rng = rng
        self._prefix = f"{root}/claims/"
        self._leases = SharedLeases(store, timers)
        self._router = router
        self._cached: OrderedDict[str, Claim] = OrderedDict()
        self._pending: set[str] = set()
        self._cleaner = ClaimCleaner(store, timers, self._prefix)
        self._finished: dict[str, Claim] = {}
        self._write_scheduled = False
        self._highest_revision = 0

    def claim(
        self, organisation: str, route: str, idempotency_key: str, ttl_s: int
    ) -> Future[Claim]:
        """Claim a key before its request is dispatched.

        Parameters
        ----------
        organisation, route, idempotency_key : str
            Together they identify the request.
        ttl_s : int
            Minimum time for which the key stays claimed, in seconds.

        Returns
        -------
        Future of Claim
            It fails with `RequestError` if the key is in use (outcome unknown), its request was
            already run, or the store is unavailable (not run).
        """
        return spawn(self._claim(digest_key(organisation, route, idempotency_key), ttl_s))

    def is_valid(self, claim: Claim) -> bool:
        """Return whether the claim allows a dispatch; call it right before dispatching.

        A host that was paused past its lease must not dispatch.
        """
        held = self._cached.get(claim.key) is claim
        return held and self._timers.now() < claim.lease.ends_at - LEASE_SAFETY_MARGIN_S

    def release(self, claim: Claim) -> None:
        """Free the key of a request that was never dispatched."""
        if self._cached.get(claim.key) is claim:
            del self._cached[claim.key]
        self._cleaner.release(claim)

    def finish(self, claim: Claim) -> None:
        """Mark the request as executed and answered; the store is updated later, in a batch."""
        claim.record = replace(claim.record, state=ClaimState.DONE)
        self._finished[claim.record.claim_id] = claim
        if not self._write_scheduled:
            self._write_scheduled = True
            period_s = max(
                DONE_WRITE_PERIOD_S, len(self._members.live()) / MAX_FLEET_DONE_WRITES_PER_S
            )
            self._timers.call_later(period_s, self._write_finished)

    async def _claim(self, key: str, ttl_s: int) -> Claim:
        self._reject_cached(key)
        self._pending.add(key)
        try:
            return await self._acquire(key, ttl_s)
        except StoreError as exc:
            logger.warning("event=claim_failed why={!r}", str(exc))
            raise RequestError(
                ErrorKind.STORE_UNAVAILABLE,
                "the idempotency key can't be claimed now, and the work was not run",
                UNAVAILABLE_RETRY_AFTER_S,
            ) from exc
        finally:
            self._pending.discard(key)

    def _reject_cached(self, key: str) -> None:
        """Reject a key that this daemon has already claimed, without a call to the store."""
        cached = self._cached.get(key)
        if cached is not None and self._timers.now() >= cached.lease.ends_at:
            del self._cached[key]
            cached = None
        if cached is not None:
            raise build_conflict_error(cached.record.state)
        if key in self._pending:
            raise build_conflict_error(ClaimState.CLAIMED)

    async def _acquire(self, key: str, ttl_s: int) -> Claim:
        lease = await self._leases.find(ttl_s)
        claim_id = f"{self._members.name}-{self._rng.getrandbits(64):016x}"
        record = ClaimRecord(claim_id, self._members.name, self._timers.wall(), ClaimState.CLAIMED)
        claim = Claim(key, record, lease)
        if not await self._try_create(claim):
            await self._resolve_or_release(claim)
        self._add_to_cache(claim)
        return claim

    async def _try_create(self, claim: Claim) -> bool:
        """Try to create the key; return True only if it was certainly created."""
        highest_before = self._highest_revision
        try:
            claim.mod_revision = await self._router.submit(
                *build_claim_write(self._prefix, claim, 0)
            )
        except StoreError as exc:
            if not exc.maybe_applied:
                self._leases.forget(claim.lease)
                raise
        if not claim.mod_revision:
            return False
        self._check_revision(claim.mod_revision, highest_before)
        return True

    def _check_revision(self, revision: int, highest_before: int) -> None:
        """Detect a store restored from an old backup, and rewrite the claims that it has lost.

        The revision of a write must be higher than every revision seen before the write.
        """
        if revision > highest_before:
            self._highest_revision = max(self._highest_revision, revision)
            return
        logger.error("event=store_behind revision={} seen={}", revision, highest_before)
        self._highest_revision = revision
        spawn(self._rewrite_claims())

    async def _rewrite_claims(self) -> None:
        """Rewrite the latest cached claims that are missing in the store."""
        batcher = WriteBatcher(self._store, self._timers)
        latest = list(self._cached.values())[-MAX_QUEUED_WRITES:]
        for claim in latest:
            self._leases.forget(claim.lease)
        try:
            copies = [
                replace(claim, lease=await self._leases.find(claim.lease.ttl_s)) for claim in latest
            ]
            results = [batcher.submit(*build_claim_write(self._prefix, copy, 0)) for copy in copies]
            for claim, copy, result in zip(latest, copies, results, strict=True):
                revision = await result
                if revision:
                    claim.lease, claim.mod_revision = copy.lease, revision
        except StoreError as exc:
            logger.error("event=claims_not_written_again why={!r}", str(exc))
        logger.info("event=claims_written_again checked={}", len(latest))

    async def _resolve_or_release(self, claim: Claim) -> None:
        try:
            await self._resolve(claim)
        except StoreError:
            self._cleaner.release(claim)
            raise

    async def _resolve(self, claim: Claim) -> None:
        """Read the key until its holder is known, and claim it if it is free.

        Each attempt is conditional on the revision just read, so of this write and an earlier copy
        of it that is still in flight, at most one takes effect.
        """
        deadline = self._timers.now() + RESOLVE_TIMEOUT_S
        failure = StoreError(
            f"the outcome of the claim write is unknown after {RESOLVE_TIMEOUT_S} s",
            maybe_applied=True,
        )
        while self._timers.now() < deadline:
            try:
                item = await self._store.get(self._prefix + claim.key)
                if self._is_held(claim, item):
                    return
                compare, put = build_claim_write(
                    self._prefix, claim, item.mod_revision if item else 0
                )
                highest_before = self._highest_revision
                result = await self._store.commit([compare], [put])
                if result.succeeded:
                    claim.mod_revision = result.revision
                    self._check_revision(result.revision, highest_before)
                    return
            except StoreError as exc:
                failure = StoreError(str(exc), maybe_applied=True)
            await delay(self._timers, RESOLVE_RETRY_S)
        raise failure

    def _is_held(self, claim: Claim, item: KeyValue | None) -> bool:
        """Return whether this claim holds the key; raise RequestError if another claim does."""
        if item is None:
            return False
        stored = decode_claim(item)
        if stored.claim_id == claim.record.claim_id:
            claim.mod_revision = item.mod_revision
            return True
        if stored.state is ClaimState.RELEASED or self._cleaner.is_unused(stored.claim_id):
            return False
        raise build_conflict_error(stored.state)

    def _add_to_cache(self, claim: Claim) -> None:
        self._cached[claim.key] = claim
        while len(self._cached) > MAX_CACHED_CLAIMS:
            self._cached.popitem(last=False)

    def _write_finished(self) -> None:
        self._write_scheduled = False
        finished = list(self._finished.values())
        self._finished.clear()
        for claim in finished:
            if self._cached.get(claim.key) is claim:
                spawn(self._write_done(claim))

    async def _write_done(self, claim: Claim) -> None:
        compare, put = build_claim_write(self._prefix, claim, claim.mod_revision)
        try:
            if not await self._router.submit(compare, put):
                await self._store.commit([compare], [put])
        except StoreError as exc:
            logger.warning("event=claim_not_recorded why={!r}", str(exc))
            self.finish(claim)


def create_claims(
    store: Store,
    members: Members,
    peers: Peers,
    timers: Timers,
    rng: random.Random,
    root: str,
) -> Claims:
    """Create the claims of one daemon.

    Parameters
    ----------
    store : Store
        Store of the claims.
    members, peers : Members, Peers
        Live daemons and messages to them.
    timers : Timers
        Clock and timers.
    rng : random.Random
        Random number generator for claim ids.
    root : str
        Prefix of all store keys, without a trailing slash.
    """
    router = ClaimWriteRouter(store, members, peers, timers)
    return Claims(store, members, router, timers, rng, root)
