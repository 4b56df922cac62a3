"""Test the order and timing of a graceful shutdown."""

from bench.virtual_clocks import VirtualTimers
from tarragonwind.graceful_shutdowns import PEER_FLUSH_S, GracefulShutdown
from tarragonwind.settings import StopSettings


class FakeComponents:
    """Replace the gateway and the membership, and record the calls made to them."""

    def __init__(self):
        self.calls = []
        self.in_progress = 1
        self.unsent_bytes = 0
        self.unread = 0
        self.ends_at = None

    def set_end(self, ends_at):
        self.ends_at = ends_at

    def end_requests(self):
        self.calls.append("end_requests")

    def announce_close(self):
        self.calls.append("announce_close")

    def leave(self):
        self.calls.append("leave")

    def stop(self):
        self.calls.append("stop")

    def close_idle(self):
        self.calls.append("close_idle")
        return self.unread


def start_shutdown():
    components, timers = FakeComponents(), VirtualTimers()
    cfg = StopSettings(notice_s=2.0, grace_s=3.0)
    shutdown = GracefulShutdown(
        components, components, timers, cfg, lambda: components.calls.append("end")
    )
    shutdown.begin()
    shutdown.begin()
    return components, timers


def test_requests_are_accepted_during_the_notice_and_drained_in_the_grace_period():
    components, timers = start_shutdown()
    timers.advance(1.9)
    assert components.calls == ["announce_close", "leave"]
    timers.advance(0.2)
    assert components.calls[2] == "stop"
    assert set(components.calls[3:]) == {"close_idle"}
    timers.advance(1.0)
    assert set(components.calls[3:]) == {"close_idle"}
    components.in_progress = 0
    timers.advance(PEER_FLUSH_S + 0.2)
    assert set(components.calls[3:-1]) == {"close_idle"}
    assert components.calls[-1] == "end"


def test_requests_that_are_to_be_read_delay_the_end():
    components, timers = start_shutdown()
    components.in_progress = 0
    components.unread = 1
    timers.advance(2.0 + 1.0)
    assert "end" not in components.calls
    components.unread = 0
    timers.advance(PEER_FLUSH_S + 0.2)
    assert components.calls[-1] == "end"


def test_an_unfinished_request_does_not_delay_the_end_beyond_the_grace_period():
    components, timers = start_shutdown()
    began_at = timers.now()
    timers.advance(2.0 + 3.0 + PEER_FLUSH_S + 0.1)
    assert components.calls[-1] == "end"
    assert components.ends_at == began_at + 2.0 + 3.0


def test_requests_that_have_not_ended_are_answered_before_the_end():
    components, timers = start_shutdown()
    timers.advance(2.0 + 3.0 + 0.1)
    assert components.calls[-1] == "end_requests"
    timers.advance(PEER_FLUSH_S)
    assert components.calls[-1] == "end"


def test_nothing_is_ended_where_all_requests_have_ended():
    components, timers = start_shutdown()
    components.in_progress = 0
    timers.advance(2.0 + 3.0 + PEER_FLUSH_S + 0.1)
    assert "end_requests" not in components.calls
