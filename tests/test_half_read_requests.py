"""Test requests of which a host has read a part when its graceful shutdown begins."""

import socket
import time

import pytest

from tarragonwind.graceful_shutdowns import GracefulShutdown
from tarragonwind.settings import StopSettings
from tests.test_gateways import AUTH, GatewayHarness

NOTICE_S = 0.3
GRACE_S = 3.0
REST_AFTER_S = 1.0
"""Time from the start of the shutdown to the rest of the request: within the grace period."""
BODY = b'{"model": "m", "messages": [{"role": "user", "content": "hello"}], "max_tokens": 2}'
HEAD = b"\r\n".join(
    [
        b"POST /v1/chat/completions HTTP/1.1",
        b"Host: a",
        *(f"{name}: {value}".encode() for name, value in AUTH.items()),
        b"Content-Length: %d" % len(BODY),
        b"\r\n",
    ]
)


class FakeMembership:
    """Accept the announcement that the host leaves."""

    def leave(self) -> None:
        pass


@pytest.fixture
def stopping():
    """Yield a gateway and a shutdown that ends its event loop, as that of a daemon does."""
    harness = GatewayHarness()
    loop = harness.runner.loop
    cfg = StopSettings(notice_s=NOTICE_S, grace_s=GRACE_S)
    yield harness, GracefulShutdown(harness.gateway, FakeMembership(), loop.timers, cfg, loop.stop)
    harness.close()


@pytest.mark.parametrize("sent", [len(HEAD) // 2, len(HEAD) + len(BODY) // 2], ids=["head", "body"])
def test_a_request_that_is_half_read_at_a_stop_is_answered_within_the_grace_period(stopping, sent):
    harness, shutdown = stopping
    caller = socket.create_connection(("127.0.0.1", harness.gateway.address.port))
    caller.settimeout(GRACE_S)
    caller.sendall((HEAD + BODY)[:sent])
    time.sleep(0.1)
    harness.runner.call(shutdown.begin)
    time.sleep(REST_AFTER_S)
    caller.sendall((HEAD + BODY)[sent:])
    assert caller.recv(4_096).startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))
