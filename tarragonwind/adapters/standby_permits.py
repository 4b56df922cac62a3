"""Look for another upstream while the upstream of a request is silent."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from loguru import logger

from tarragonwind.adapters.relays import Relay
from tarragonwind.core.permit_messages import Outcome
from tarragonwind.core.permit_requests import Permit
from tarragonwind.core.schedulers import DispatchReport, Scheduler, SchedulingRequest
from tarragonwind.errors import RequestError
from tarragonwind.futures import Future


class StandbyPermit:
    """Ask for a second permit of a request while the upstream of its dispatch is silent.

    The dispatch goes on until another upstream has room: a silent upstream may be sound.

    Parameters
    ----------
    scheduler : Scheduler
        Grants the permits.
    relay : Relay
        Dispatch in progress, which is abandoned once another upstream can take the request.
    permit : Permit
        Permit of that dispatch.
    create_request : callable
        Returns the scheduling request of a retry.
    may_leave : callable
        Returns whether the request may be dispatched to another upstream.
    is_usable : callable
        Returns whether this host may dispatch the request under a permit.
    connect : callable
        Returns a future of whether the upstream of a permit can be reached.
    take_budget : callable
        Charges the retry budget; returns False if it is used up.
    name : str
        Id of the request, for the log.
    """

    __slots__ = (
        "_asking",
        "_connect",
        "_create_request",
        "_is_usable",
        "_may_leave",
        "_name",
        "_permit",
        "_permit_id",
        "_relay",
        "_reported",
        "_scheduler",
        "_standby",
        "_take_budget",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        relay: Relay,
        permit: Permit,
        create_request: Callable[[], SchedulingRequest],
        may_leave: Callable[[], bool],
        is_usable: Callable[[Permit], bool],
        connect: Callable[[Permit], Future[bool]],
        take_budget: Callable[[], bool],
        name: str,
    ) -> None:
        self._name = name
        self._scheduler = scheduler
        self._relay = relay
        self._permit = permit
        self._create_request = create_request
        self._may_leave = may_leave
        self._is_usable = is_usable
        self._connect = connect
        self._take_budget = take_budget
        self._reported = False
        self._asking = False
        self._permit_id = 0
        self._standby: Permit | None = None
        relay.on_stalled = self._on_stalled
        relay.on_recovered = self.withdraw

    def take(self) -> Permit | None:
        """Return the standby permit and leave it to the caller; None if none is held."""
        permit = self._standby
        self._standby = None
        return permit

    def stop_asking(self) -> None:
        """Cancel the request for a standby permit."""
        if self._asking:
            self._asking = False
            self._scheduler.cancel(self._permit_id)

    def withdraw(self) -> None:
        """Cancel the request for a standby permit, or return the permit unused."""
        self.stop_asking()
        permit = self.take()
        if permit is not None:
            self._scheduler.on_finished(permit, DispatchReport(Outcome.UNUSED))

    def _on_stalled(self) -> None:
        """Report the silent upstream once, and ask for another one where a retry is allowed."""
        may_leave = self._may_leave()
        if not self._reported:
            self._reported = True
            self._scheduler.on_stalled(self._permit)
            logger.warning(
                "event=upstream_silent request={} upstream={} may_leave={}",
                self._name,
                self._permit.upstream,
                may_leave,
            )
        if may_leave and not self._asking and self._standby is None:
            self._ask()

    def _ask(self) -> None:
        request = self._create_request()
        avoid = [*request.avoid, self._permit.upstream]
        self._asking = True
        # A permit can be granted or refused before its id is known.
        self._permit_id = self._scheduler.request_permit(
            dataclasses.replace(request, avoid=avoid), self._on_granted, self._on_refused
        )

    def _on_granted(self, permit: Permit) -> None:
        self._asking = False
        self._standby = permit
        if not self._is_usable(permit):
            self.withdraw()
            return
        self._connect(permit).add_callback(lambda fut: self._on_connect_ended(permit, fut.result()))

    def _on_connect_ended(self, permit: Permit, connected: bool) -> None:
        if self._standby is not permit:
            # It was withdrawn in the meantime.
            return
        if connected and self._is_usable(permit) and self._take_budget():
            self._relay.abandon("the upstream was silent")
        else:
            self.withdraw()

    def _on_refused(self, exc: RequestError) -> None:
        self._asking = False
        logger.info(
            "event=no_other_upstream request={} kind={} why={!r}",
            self._name,
            exc.kind.value,
            exc.message,
        )
