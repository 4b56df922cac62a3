"""Charge a request's tokens to its organisation's allotment, once."""

from __future__ import annotations

from tarragonwind.adapters.gateway_contexts import Allotments
from tarragonwind.core.classifications import RequestClass


class AllotmentCharge:
    """Hold what one request was charged, for a refund.

    Parameters
    ----------
    allotments : Allotments or None
        Token allotments of organisations; None if not configured.
    """

    __slots__ = ("_allotments", "_request_class", "_taken_at")

    def __init__(self, allotments: Allotments | None) -> None:
        self._allotments = allotments
        self._request_class: RequestClass | None = None
        self._taken_at = 0.0

    def take(self, now: float, request_class: RequestClass) -> None:
        """Charge the tokens, or raise `RequestError` when the allotment is used up."""
        if self._allotments is None:
            return
        self._allotments.take(now, request_class.organisation, request_class.allotment_tokens)
        self._request_class = request_class
        self._taken_at = now

    def refund(self) -> None:
        """Refund the tokens of a request that was sent to no upstream."""
        request_class = self._request_class
        if self._allotments is not None and request_class is not None:
            self._allotments.refund(
                request_class.organisation, request_class.allotment_tokens, self._taken_at
            )
