"""Tell the requests that an organisation's rate refuses when to return, one after the other.

In a burst, callers that are all told the same short time return together and are refused again,
though the rate can serve them once the burst has ended.
"""

from __future__ import annotations


class ReturnTimes:
    """Spread the return times of the refused requests of one organisation.

    Attributes
    ----------
    next_at : float
        Earliest return time of the next refused request, in seconds.
    """

    __slots__ = ("next_at",)

    def __init__(self) -> None:
        self.next_at = 0.0

    def add(
        self, now: float, min_wait_s: float, tokens: int, tokens_per_s: float, timeout_s: float
    ) -> float:
        """Return how long a refused request is to wait before it returns.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        min_wait_s : float
            Time until the rate could admit the request if no other returned, in seconds.
        tokens : int
            Tokens of the request.
        tokens_per_s : float
            Rate that the requests refused by this host may use, above 0.
        timeout_s : float
            Time limit of the request, in seconds. One that would return later takes no turn.

        Returns
        -------
        float
            Seconds to wait, at least `min_wait_s`.
        """
        return_at = max(self.next_at, now + min_wait_s)
        if return_at - now < timeout_s:
            self.next_at = return_at + tokens / tokens_per_s
        return return_at - now
