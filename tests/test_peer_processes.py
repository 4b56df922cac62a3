"""Test the transport and membership with real processes that are stopped, continued or killed."""

import signal

import pytest

from bench.peers import ProcessFleet


@pytest.mark.process
def test_a_stopped_process_is_removed_and_rejoins_and_a_killed_one_is_removed():
    fleet = ProcessFleet(4, 100.0)
    try:
        fleet.wait_for(4)
        fleet.processes[3].send_signal(signal.SIGSTOP)
        lines = fleet.wait_for(3, skip=3)
        assert not any(line["isolated"] for line in lines)
        fleet.processes[3].send_signal(signal.SIGCONT)
        assert not any(line["isolated"] for line in fleet.wait_for(4))
        fleet.processes[0].kill()
        fleet.wait_for(3, skip=0)
    finally:
        fleet.kill_all()
