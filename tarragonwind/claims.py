"""Claim idempotency keys in the store, so that the work under a key runs at most once."""

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

SETTLE_LIMIT_S = 2.0
"""Time to find out what became of a claim, in seconds; the request waits for it."""
SETTLE_PAUSE_S = 0.05
LEASE_SAFETY_MARGIN_S = 5.0
"""Time before its lease can lapse from which a claim no longer allows a dispatch, in seconds."""
DONE_PERIOD_S = 1.0
FLEET_DONE_WRITES_PER_S = 50.0
"""Transactions a second in which all daemons together record what is done."""
MAX_KNOWN_CLAIMS = 20_000
"""Claims that a daemon remembers, the latest."""
UNAVAILABLE_RETRY_S = 5.0


class Claims:
    """Claim, release and finish keys.

    Parameters
    ----------
    store : Store
        Store that holds the claims.
    members : Members
        Live daemons; their number sets the pace of what can wait.
    writers : ClaimWriters
        Way of a claim's first write to the store.
    timers : Timers
        Clock and timer subscriptions.
    rng : random.Random
        Source of claim ids.
    root : str
        What the claims' keys begin with.
    """

    def __init__(
        self,
        store: Store,
        members: Members,
        writers: ClaimWriteRouter,
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
        self._writers = writers
        self._known: OrderedDict[str, Claim] = OrderedDict()
        self._pending: set[str] = set()
        self._cleaner = ClaimCleaner(store, timers, self._prefix)
        self._finished: dict[str, Claim] = {}
        self._recording = False
        self._highest_revision = 0

    def claim(
        self, organisation: str, route: str, idempotency_key: str, ttl_s: int
    ) -> Future[Claim]:
        """Claim a key before its work is dispatched.

        Parameters
        ----------
        organisation, route, idempotency_key : str
            What names the work.
        ttl_s : int
            Time for which the key stays taken, in seconds.

        Returns
        -------
        Future of Claim
            It fails with `RequestError`: the key is in use (outcome unknown), was run, or the store
            is away (not run).
        """
        return spawn(self._claim(digest_key(organisation, route, idempotency_key), ttl_s))

    def is_valid(self, claim: Claim) -> bool:
        """Tell whether the claim allows a dispatch; ask right before it."""
        held = self._known.get(claim.key) is claim
        return held and self._timers.now() < claim.lease.ends_at - LEASE_SAFETY_MARGIN_S

    def release(self, claim: Claim) -> None:
        """Free the key of work that was never dispatched."""
        if self._known.get(claim.key) is claim:
            del self._known[claim.key]
        self._cleaner.give_up(claim)

    def finish(self, claim: Claim) -> None:
        """Note that the work was performed and answered; it is recorded some time later."""
        claim.record = replace(claim.record, state=ClaimState.DONE)
        self._finished[claim.record.claim_id] = claim
        if not self._recording:
            self._recording = True
            period_s = max(DONE_PERIOD_S, len(self._members.live()) / FLEET_DONE_WRITES_PER_S)
            self._timers.call_later(period_s, self._record_finished)

    async def _claim(self, key: str, ttl_s: int) -> Claim:
        self._refuse_known(key)
        self._pending.add(key)
        try:
            return await self._acquire(key, ttl_s)
        except StoreError as exc:
            logger.warning("event=claim_failed why={!r}", str(exc))
            raise RequestError(
                ErrorKind.STORE_UNAVAILABLE,
                "the idempotency key can't be claimed now, and the work was not run",
                UNAVAILABLE_RETRY_S,
            ) from exc
        finally:
            self._pending.discard(key)

    def _refuse_known(self, key: str) -> None:
        """Refuse a key that this daemon knows to be taken, without a call to the store."""
        known = self._known.get(key)
        if known is not None and self._timers.now() >= known.lease.ends_at:
            del self._known[key]
            known = None
        if known is not None:
            raise build_conflict_error(known.record.state)
        if key in self._pending:
            raise build_conflict_error(ClaimState.CLAIMED)

    async def _acquire(self, key: str, ttl_s: int) -> Claim:
        lease = await self._leases.find(ttl_s)
        claim_id = f"{self._members.name}-{self._rng.getrandbits(64):016x}"
        record = ClaimRecord(claim_id, self._members.name, self._timers.wall(), ClaimState.CLAIMED)
        claim = Claim(key, record, lease)
        if not await self._try_first(claim):
            await self._settle_or_give_up(claim)
        self._remember(claim)
        return claim

    async def _try_first(self, claim: Claim) -> bool:
        """Take a key that nobody has named yet; return whether that is certain."""
        seen = self._highest_revision
        try:
            claim.mod_revision = await self._writers.submit(
                *build_claim_write(self._prefix, claim, 0)
            )
        except StoreError as exc:
            if not exc.maybe_applied:
                self._leases.forget(claim.lease)
                raise
        if not claim.mod_revision:
            return False
        self._note_revision(claim.mod_revision, seen)
        return True

    def _note_revision(self, revision: int, seen: int) -> None:
        """Notice a store that came back old: a write's revision is above all seen before it."""
        if revision > seen:
            self._highest_revision = max(self._highest_revision, revision)
            return
        logger.error("event=store_behind revision={} seen={}", revision, seen)
        self._highest_revision = revision
        spawn(self._assert_again())

    async def _assert_again(self) -> None:
        """Write the latest claims again where the store has lost them."""
        batcher = WriteBatcher(self._store, self._timers)
        latest = list(self._known.values())[-MAX_QUEUED_WRITES:]
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

    async def _settle_or_give_up(self, claim: Claim) -> None:
        try:
            await self._settle(claim)
        except StoreError:
            self._cleaner.give_up(claim)
            raise

    async def _settle(self, claim: Claim) -> None:
        """Find out who holds the key, and take it while it is free.

        Each try compares with what was just read, so that an earlier copy of the write that is
        still under way takes effect instead of it or not at all.
        """
        give_up_at = self._timers.now() + SETTLE_LIMIT_S
        failure = StoreError("the claim could not be settled in time", maybe_applied=True)
        while self._timers.now() < give_up_at:
            try:
                item = await self._store.get(self._prefix + claim.key)
                if self._is_held(claim, item):
                    return
                compare, put = build_claim_write(
                    self._prefix, claim, item.mod_revision if item else 0
                )
                seen = self._highest_revision
                result = await self._store.commit([compare], [put])
                if result.succeeded:
                    claim.mod_revision = result.revision
                    self._note_revision(result.revision, seen)
                    return
            except StoreError as exc:
                failure = StoreError(str(exc), maybe_applied=True)
            await delay(self._timers, SETTLE_PAUSE_S)
        raise failure

    def _is_held(self, claim: Claim, item: KeyValue | None) -> bool:
        """Tell whether the key is this claim's; raise RequestError when it is another's."""
        if item is None:
            return False
        standing = decode_claim(item)
        if standing.claim_id == claim.record.claim_id:
            claim.mod_revision = item.mod_revision
            return True
        if standing.state is ClaimState.RELEASED or self._cleaner.is_unused(standing.claim_id):
            return False
        raise build_conflict_error(standing.state)

    def _remember(self, claim: Claim) -> None:
        self._known[claim.key] = claim
        while len(self._known) > MAX_KNOWN_CLAIMS:
            self._known.popitem(last=False)

    def _record_finished(self) -> None:
        self._recording = False
        finished = list(self._finished.values())
        self._finished.clear()
        for claim in finished:
            if self._known.get(claim.key) is claim:
                spawn(self._record(claim))

    async def _record(self, claim: Claim) -> None:
        compare, put = build_claim_write(self._prefix, claim, claim.mod_revision)
        try:
            if not await self._writers.submit(compare, put):
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
    """Return the claims of one daemon.

    Parameters
    ----------
    store : Store
        Store of the claims.
    members, peers : Members, Peers
        Live daemons and messages to them.
    timers : Timers
        Clock and timer subscriptions.
    rng : random.Random
        Source of claim ids.
    root : str
        What the claims' keys begin with, without a slash at its end.
    """
    writers = ClaimWriteRouter(store, members, peers, timers)
    return Claims(store, members, writers, timers, rng, root)
