"""Test that the fleet of the demonstration is stopped as a whole."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from standins.fleets import wait_until

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("demo")]
FLEET_SIZE = 8


def children(pid):
    text = Path(f"/proc/{pid}/task/{pid}/children").read_text()
    return [int(child) for child in text.split()]


def is_running(pid):
    try:
        return Path(f"/proc/{pid}/stat").read_text().split(")")[1].split()[0] != "Z"
    except FileNotFoundError:
        return False


def restore_interrupt():
    """Let SIGINT end the process, also where a shell in the background has it ignored."""
    signal.signal(signal.SIGINT, signal.default_int_handler)


@pytest.mark.parametrize("end", ["TERM", "INT", "death"])
def test_a_fleet_that_stays_is_stopped_with_all_its_processes(end):
    command = [sys.executable, "-m", "standins.demo", "--stay"]
    demo = subprocess.Popen(
        command, stdout=subprocess.PIPE, text=True, preexec_fn=restore_interrupt
    )
    demo.stdout.readline()
    pids = children(demo.pid)
    assert len(pids) >= FLEET_SIZE
    if end == "death":
        os.kill(pids[-1], signal.SIGKILL)
    else:
        demo.send_signal(signal.Signals[f"SIG{end}"])
    assert demo.wait(30) == (1 if end == "death" else 0)
    wait_until(lambda: not any(is_running(pid) for pid in pids), "all processes have ended")
