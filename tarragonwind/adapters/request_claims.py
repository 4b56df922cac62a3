"""Claim the idempotency key of one request, so that no other host dispatches it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tarragonwind.core.classifications import RequestClass
from tarragonwind.errors import ErrorKind, RequestError

if TYPE_CHECKING:
    # Hosts without claims start without importing them.
    from tarragonwind.claims import Claim, Claims

CLAIM_TTL_S = 3_600
"""Lifetime of the claim on an idempotency key, in seconds."""


class RequestClaim:
    """Hold the claim of one request; a request without a key claims nothing.

    Parameters
    ----------
    claims : Claims or None
        Claims of this host; without them a request with a key is refused.
    """

    __slots__ = ("_claim", "_claims")

    def __init__(self, claims: Claims | None) -> None:
        self._claims = claims
        self._claim: Claim | None = None

    async def take(self, request_class: RequestClass) -> None:
        """Claim the key of a request, or raise `RequestError`."""
        if not request_class.idempotency_key:
            return
        if self._claims is None:
            raise RequestError(ErrorKind.STORE_UNAVAILABLE, "this host has no store for keys")
        self._claim = await self._claims.claim(
            request_class.organisation.name,
            request_class.route.name,
            request_class.idempotency_key,
            CLAIM_TTL_S,
        )

    def check(self) -> None:
        """Raise `RequestError` if the claim may have expired while the request waited."""
        if self._claim is None or self._claims is None or self._claims.is_valid(self._claim):
            return
        raise RequestError(
            ErrorKind.STORE_UNAVAILABLE, "the claim of the key lapsed while the request waited"
        )

    def settle(self, complete: bool, not_run: bool) -> None:
        """Finish or release the claim; with an unknown outcome it stays until it expires.

        Parameters
        ----------
        complete : bool
            Whether the caller has the complete response.
        not_run : bool
            Whether the request has certainly not run.
        """
        if self._claim is None or self._claims is None:
            return
        if complete:
            self._claims.finish(self._claim)
        elif not_run:
            self._claims.release(self._claim)
