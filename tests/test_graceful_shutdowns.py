"""Test the steps of a planned stop."""

from bench.virtual_clocks import VirtualTimers
from tarragonwind.graceful_shutdowns import PEER_FLUSH_S, GracefulShutdown
from tarragonwind.settings import StopSettings


class Parts:
    """Stand for the gateway and the membership, and write down what they are told."""

    def __init__(self):
        self.told = []
        self.in_progress = 1
        self.unsent_bytes = 0

    def announce_close(self):
        self.told.append("announce_close")

    def leave(self):
        self.told.append("leave")

    def stop(self):
        self.told.append("close_door")

    def close_idle(self):
        self.told.append("close_idle")


def start():
    parts, timers = Parts(), VirtualTimers()
    cfg = StopSettings(notice_s=2.0, grace_s=3.0)
    stop = GracefulShutdown(parts, parts, timers, cfg, lambda: parts.told.append("end"))
    stop.begin()
    stop.begin()
    return parts, timers


def test_the_door_stays_open_for_the_notice_and_requests_end_in_the_grace():
    parts, timers = start()
    timers.advance(1.9)
    assert parts.told == ["announce_close", "leave"]
    timers.advance(0.2)
    assert parts.told[2:] == ["close_door", "close_idle"]
    timers.advance(1.0)
    parts.in_progress = 0
    timers.advance(PEER_FLUSH_S + 0.2)
    assert parts.told[4:] == ["end"]


def test_a_request_that_does_not_end_holds_the_stop_up_no_longer_than_the_grace():
    parts, timers = start()
    timers.advance(2.0 + 3.0 + PEER_FLUSH_S + 0.1)
    assert parts.told[-1] == "end"
