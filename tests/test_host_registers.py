"""Test what an owner remembers of hosts."""

from tarragonwind.core.host_registers import HostRegister


def test_a_lost_host_ends_after_its_time_and_states_anew_when_it_comes_back():
    hosts = HostRegister()
    hosts.note_statement(0.0, "h1")
    hosts.note_statement(0.0, "h2")
    hosts.lose(1.0, ["h1", "h2"])
    hosts.lose(3.0, ["h1", "h2"])
    assert hosts.take_back({"h2"}) == ["h2"]
    assert not hosts.has_stated("h2")
    assert hosts.take_ended(0.5) == []
    assert hosts.take_ended(1.0) == ["h1"]
    assert not hosts.is_lost("h1")
    assert not hosts.has_stated("h1")


def test_a_silent_host_is_named_once_in_a_period():
    hosts = HostRegister()
    hosts.note_statement(5.0, "h1")
    hosts.lose(6.0, ["h2"])
    assert hosts.take_silent(10.0, ["h1", "h2"], before=4.0) == []
    assert hosts.take_silent(10.0, ["h1", "h2"], before=5.0) == ["h1"]
    assert hosts.take_silent(11.0, ["h1", "h2"], before=6.0) == []
