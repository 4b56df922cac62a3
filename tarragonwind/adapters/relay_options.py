"""Define how one relay treats its upstream, and the failure responses that it holds back."""

from __future__ import annotations

from collections.abc import Callable

from tarragonwind.adapters.caller_dialects import (
    NO_NOTICE,
    Headers,
    ResponseKind,
    UpstreamNotice,
)
from tarragonwind.core.response_matches import ResponseIdentity


def ignore_notice(notice: UpstreamNotice) -> None:
    """Ignore a notice; default of `Relay.on_notice`."""


def read_no_notice(status: int, headers: Headers) -> UpstreamNotice:
    """Return no notice; default of `RelayOptions.read_notice`."""
    return NO_NOTICE


def always_send() -> bool:
    """Return True; default of `RelayOptions.may_send`."""
    return True


class RelayOptions:
    """Configure one relay: upstream-specific callbacks and timeouts.

    Attributes
    ----------
    classify_response : callable
        Returns the `ResponseKind` for the status and header fields of a response.
    identify_response : callable
        Returns the `ResponseIdentity` in the status and header fields of a response.
    read_notice : callable
        Returns the `UpstreamNotice` in the status and header fields of a response.
    may_send : callable
        Returns whether the upstream may still get the request once a connection to it is open.
    request_name : str
        Id of the request, the same for all of its dispatches.
    first_byte_timeout_s, idle_timeout_s : float
        Longest wait for the response head, and between two reads of the body, in seconds.
    deadline_is_total : bool
        Whether `first_byte_timeout_s` bounds the whole response.
    buffers_failures : bool
        Whether a response with a server error status is buffered, so that the request can be
        retried on another upstream.
    first_byte_stall_s, event_stall_s : float
        Silence before the response, and between two reads of its body, after which
        `Relay.on_stalled` is called, in seconds; 0 disables the check.
    """

    __slots__ = (
        "deadline_is_total",
        "buffers_failures",
        "classify_response",
        "event_stall_s",
        "first_byte_stall_s",
        "first_byte_timeout_s",
        "identify_response",
        "idle_timeout_s",
        "may_send",
        "read_notice",
        "request_name",
    )

    def __init__(
        self,
        classify_response: Callable[[int, Headers], ResponseKind],
        identify_response: Callable[[int, Headers], ResponseIdentity],
        first_byte_timeout_s: float,
        idle_timeout_s: float,
        deadline_is_total: bool = False,
        buffers_failures: bool = False,
        first_byte_stall_s: float = 0.0,
        event_stall_s: float = 0.0,
        read_notice: Callable[[int, Headers], UpstreamNotice] = read_no_notice,
        may_send: Callable[[], bool] = always_send,
        request_name: str = "",
    ) -> None:
        self.classify_response = classify_response
        self.identify_response = identify_response
        self.first_byte_timeout_s = first_byte_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.deadline_is_total = deadline_is_total
        self.buffers_failures = buffers_failures
        self.first_byte_stall_s = first_byte_stall_s
        self.event_stall_s = event_stall_s
        self.read_notice = read_notice
        self.may_send = may_send
        self.request_name = request_name


class BufferedResponse:
    """Buffer a complete upstream response that has not been sent to the caller."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers) -> None:
        self.status = status
        self.headers = headers
        self.body = bytearray()
