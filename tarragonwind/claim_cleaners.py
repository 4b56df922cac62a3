"""Free the keys of claims whose requests were never dispatched."""

from __future__ import annotations

from dataclasses import replace

from loguru import logger

from tarragonwind.claim_values import Claim, build_claim_write, decode_claim
from tarragonwind.core.claim_records import ClaimState
from tarragonwind.delays import delay
from tarragonwind.errors import StoreError
from tarragonwind.futures import spawn
from tarragonwind.ports import Store, Timers

RETRY_PERIOD_S = 1.0


class ClaimCleaner:
    """Overwrite unused claims as released, and retry while the store is unavailable.

    Parameters
    ----------
    store : Store
        Store of the claims.
    timers : Timers
        Clock and timers.
    prefix : str
        Key prefix of claims.
    """

    def __init__(self, store: Store, timers: Timers, prefix: str) -> None:
        self._store = store
        self._timers = timers
        self._prefix = prefix
        self._unused: dict[str, Claim] = {}
        self._cleaning = False

    def is_unused(self, claim_id: str) -> bool:
        """Return whether a claim of this daemon was never dispatched and is still to be freed."""
        return claim_id in self._unused

    def release(self, claim: Claim) -> None:
        """Free the key of a claim that was never dispatched."""
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
                await delay(self._timers, RETRY_PERIOD_S)
        self._cleaning = False

    async def _free(self, claim: Claim) -> bool:
        """Overwrite an unused claim; return whether the key needs no further attempt.

        The overwrite keeps a late copy of the claim's write from taking the key.
        """
        if self._timers.now() >= claim.lease.ends_at:
            return True
        item = await self._store.get(self._prefix + claim.key)
        if item is not None:
            stored = decode_claim(item)
            other = stored.claim_id != claim.record.claim_id
            if other and stored.state is not ClaimState.RELEASED:
                return True
        mod_revision = item.mod_revision if item else 0
        compare, put = build_claim_write(self._prefix, claim, mod_revision)
        result = await self._store.commit([compare], [put])
        return result.succeeded
