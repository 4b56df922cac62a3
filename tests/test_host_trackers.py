"""Test how a pool's owner tracks the reports and losses of hosts."""

from tarragonwind.core.host_trackers import HostTracker


def test_a_lost_host_expires_and_a_returned_host_must_report_again():
    hosts = HostTracker()
    hosts.record_report(0.0, "h1")
    hosts.record_report(0.0, "h2")
    hosts.mark_lost(1.0, ["h1", "h2"])
    hosts.mark_lost(3.0, ["h1", "h2"])
    assert hosts.take_returned({"h2"}) == ["h2"]
    assert not hosts.has_reported("h2")
    assert hosts.take_expired(0.5) == []
    assert hosts.take_expired(1.0) == ["h1"]
    assert not hosts.is_lost("h1")
    assert not hosts.has_reported("h1")


def test_an_overdue_host_is_returned_once_per_period():
    hosts = HostTracker()
    hosts.record_report(5.0, "h1")
    hosts.mark_lost(6.0, ["h2"])
    assert hosts.take_overdue(10.0, ["h1", "h2"], before=4.0) == []
    assert hosts.take_overdue(10.0, ["h1", "h2"], before=5.0) == ["h1"]
    assert hosts.take_overdue(11.0, ["h1", "h2"], before=6.0) == []
