"""Claim idempotency keys in the store, so that the work under a key runs at most once."""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass, replace

from loguru import logger

from tarragonwind.claim_writers import ClaimWriters
from tarragonwind.core.claim_records import (
    ClaimRecord,
    ClaimState,
    digest_key,
    pack_claim,
    unpack_claim,
)
from tarragonwind.delays import delay
from tarragonwind.errors import ErrorKind, RequestError, StoreError
from tarragonwind.futures import Future, spawn
from tarragonwind.ports import Compare, KeyValue, Members, Peers, Put, Store, Timers
from tarragonwind.shared_leases import SharedLease, SharedLeases

SETTLE_LIMIT_S = 2.0
"""Time to find out what became of a claim, in seconds; the request waits for it."""
SETTLE_PAUSE_S = 0.05
HELD_MARGIN_S = 5.0
"""Time before its lease can lapse from which a claim no longer allows a dispatch, in seconds."""
DONE_PERIOD_S = 1.0
FLEET_DONE_WRITES_PER_S = 50.0
"""Transactions a second in which all daemons together record what is done."""
CLEAN_PERIOD_S = 1.0
MAX_KNOWN_CLAIMS = 20_000
"""Claims that a daemon remembers, the latest."""
UNAVAILABLE_RETRY_S = 5.0
IN_USE_RETRY_S = 2.0


@dataclass(slots=True, eq=False)
class Claim:
    """Hold one key that this daemon has claimed.

    Attributes
    ----------
    key : str
        Digest of organisation, route and idempotency key.
    record : ClaimRecord
        What the store holds, as far as this daemon knows.
    mod_revision : int
        Revision of the claim's write.
    lease : SharedLease
        Lease that it ends with.
    """

    key: str
    record: ClaimRecord
    lease: SharedLease
    mod_revision: int = 0


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
        writers: ClaimWriters,
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
        self._unused: dict[str, Claim] = {}
        self._finished: dict[str, Claim] = {}
        self._cleaning = False
        self._recording = False

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

    def still_held(self, claim: Claim) -> bool:
        """Tell whether the claim allows a dispatch; ask right before it."""
        held = self._known.get(claim.key) is claim
        return held and self._timers.now() < claim.lease.ends_at - HELD_MARGIN_S

    def release(self, claim: Claim) -> None:
        """Free the key of work that was never dispatched."""
        if self._known.get(claim.key) is claim:
            del self._known[claim.key]
        self._give_up(claim)

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
            raise refusal(known.record.state)
        if key in self._pending:
            raise refusal(ClaimState.CLAIMED)

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
        try:
            claim.mod_revision = await self._writers.submit(*self._write(claim, 0))
        except StoreError as exc:
            if not exc.maybe_applied:
                self._leases.forget(claim.lease)
                raise
        return claim.mod_revision > 0

    async def _settle_or_give_up(self, claim: Claim) -> None:
        try:
            await self._settle(claim)
        except StoreError:
            self._give_up(claim)
            raise

    def _write(self, claim: Claim, mod_revision: int) -> tuple[Compare, Put]:
        name = self._prefix + claim.key
        put = Put(name, pack_claim(claim.record), claim.lease.lease_id)
        return Compare(name, mod_revision), put

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
                compare, put = self._write(claim, item.mod_revision if item else 0)
                result = await self._store.commit([compare], [put])
                if result.succeeded:
                    claim.mod_revision = result.revision
                    return
            except StoreError as exc:
                failure = StoreError(str(exc), maybe_applied=True)
            await delay(self._timers, SETTLE_PAUSE_S)
        raise failure

    def _is_held(self, claim: Claim, item: KeyValue | None) -> bool:
        """Tell whether the key is this claim's; raise RequestError when it is another's."""
        if item is None:
            return False
        standing = read_claim(item)
        if standing.claim_id == claim.record.claim_id:
            claim.mod_revision = item.mod_revision
            return True
        if standing.state is ClaimState.RELEASED or standing.claim_id in self._unused:
            return False
        raise refusal(standing.state)

    def _remember(self, claim: Claim) -> None:
        self._known[claim.key] = claim
        while len(self._known) > MAX_KNOWN_CLAIMS:
            self._known.popitem(last=False)

    def _give_up(self, claim: Claim) -> None:
        """Free the key of a claim that was never dispatched, as soon as the store allows."""
        claim.record = replace(claim.record, state=ClaimState.RELEASED)
        self._unused[claim.record.claim_id] = claim
        if not self._cleaning:
            self._cleaning = True
            spawn(self._clean())

    async def _clean(self) -> None:
        while self._unused:
            try:
                for claim in list(self._unused.values()):
                    if await self._free(claim):
                        del self._unused[claim.record.claim_id]
            except StoreError as exc:
                logger.warning("event=claim_not_freed why={!r}", str(exc))
            if self._unused:
                await delay(self._timers, CLEAN_PERIOD_S)
        self._cleaning = False

    async def _free(self, claim: Claim) -> bool:
        """Write over an unused claim, so that no late copy of it can take the key."""
        if self._timers.now() >= claim.lease.ends_at:
            return True
        item = await self._store.get(self._prefix + claim.key)
        if item is not None:
            standing = read_claim(item)
            other = standing.claim_id != claim.record.claim_id
            if other and standing.state is not ClaimState.RELEASED:
                return True
        compare, put = self._write(claim, item.mod_revision if item else 0)
        result = await self._store.commit([compare], [put])
        return result.succeeded

    def _record_finished(self) -> None:
        self._recording = False
        finished = list(self._finished.values())
        self._finished.clear()
        for claim in finished:
            if self._known.get(claim.key) is claim:
                spawn(self._record(claim))

    async def _record(self, claim: Claim) -> None:
        compare, put = self._write(claim, claim.mod_revision)
        try:
            if not await self._writers.submit(compare, put):
                await self._store.commit([compare], [put])
        except StoreError as exc:
            logger.warning("event=claim_not_recorded why={!r}", str(exc))
            self.finish(claim)


def read_claim(item: KeyValue) -> ClaimRecord:
    """Return the record of a key; raise StoreError for a value of another form."""
    try:
        return unpack_claim(item.value)
    except (KeyError, TypeError, ValueError) as exc:
        raise StoreError(f"the value at {item.key} is no claim") from exc


def refusal(state: ClaimState) -> RequestError:
    """Return the error for a key that is taken."""
    if state is ClaimState.DONE:
        return RequestError(ErrorKind.KEY_ALREADY_RUN, "the work under this key was run")
    return RequestError(
        ErrorKind.KEY_IN_USE,
        "the work under this key was begun; its outcome is not known here",
        IN_USE_RETRY_S,
    )


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
    writers = ClaimWriters(store, members, peers, timers)
    return Claims(store, members, writers, timers, rng, root)
