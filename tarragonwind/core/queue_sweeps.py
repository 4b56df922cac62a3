"""Find the waiting requests of a pool that can't be served in time."""

from __future__ import annotations

from collections.abc import Iterator

from tarragonwind.core.permit_ledgers import PermitLedger
from tarragonwind.core.queues import LEVEL_COUNT, QueuedRequest, TierQueue
from tarragonwind.core.wait_estimates import WaitEstimates, max_wait_s
from tarragonwind.errors import ErrorKind
from tarragonwind.records import dataclass


@dataclass(frozen=True, slots=True)
class Unmeetable:
    """Hold a request that can't be served in time.

    Attributes
    ----------
    req : QueuedRequest
        The request.
    kind : ErrorKind
        Why it can't.
    hold_s : float
        Time for which upstreams want no requests of its host, in seconds.
    """

    req: QueuedRequest
    kind: ErrorKind
    hold_s: float = 0.0


def find_unmeetable(
    now: float, queue: TierQueue, ledger: PermitLedger, waits: WaitEstimates, is_owner: bool
) -> Iterator[Unmeetable]:
    """Yield the waiting requests to refuse, lowest priorities first; they may be removed meanwhile.

    Parameters
    ----------
    now : float
        Time in seconds.
    queue : TierQueue
        Waiting requests.
    ledger : PermitLedger
        Load of the upstreams.
    waits : WaitEstimates
        Expected waits.
    is_owner : bool
        Whether this host considers itself the owner; otherwise only what has expired is found.
    """
    waits_s = waits.by_level_s() if is_owner else [0.0] * LEVEL_COUNT
    for req in queue.lowest_first():
        if req.deadline <= now:
            yield Unmeetable(req, ErrorKind.DEADLINE_PASSED)
        elif is_owner and not ledger.has_live(req.version, req.homes):
            yield Unmeetable(req, ErrorKind.NO_UPSTREAM)
        elif not waits.is_feasible(now, req) or waits_s[req.level] > max_wait_s(now, req):
            yield Unmeetable(req, ErrorKind.DEADLINE_UNMEETABLE)
        elif waits.is_held_too_long(now, req):
            hold_s = waits.hold_left_s(now, req)
            yield Unmeetable(req, ErrorKind.DEADLINE_UNMEETABLE, hold_s)
