"""Run the soak test briefly with one seed and with each regression seed."""

import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest

from soak.runs import Soak, run_seed
from soak.schedules import Fault
from standins.fleets import FleetProcess

pytestmark = pytest.mark.process
REGRESSIONS = Path(__file__).parent.parent / "soak" / "regressions" / "seeds.txt"
SHORT_S = 8.0


def regression_seeds():
    lines = REGRESSIONS.read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


@pytest.mark.parametrize("seed", [11, *regression_seeds()])
def test_a_short_run_violates_no_invariant(seed):
    assert run_seed(seed, SHORT_S) == []


SLOW_STOPPING_PROCESS = """
import signal, sys, time
signal.signal(signal.SIGTERM, lambda *_: (time.sleep(0.5), sys.exit()))
print("up", flush=True)
# Short sleeps: a signal that comes just before a sleep is handled after it.
while True:
    time.sleep(0.05)
"""


def start_slow_stopping_host():
    """Return a soak with a host that takes 0.5 s to stop, its process, and the restarted hosts."""
    process = subprocess.Popen(
        [sys.executable, "-c", SLOW_STOPPING_PROCESS], stdout=subprocess.PIPE
    )
    process.stdout.readline()
    started = []
    processes = {"front-0": FleetProcess("front-0", process, 0)}

    def start_host(name):
        started.append(name)
        processes[name] = FleetProcess(name, process, 0)

    site = SimpleNamespace(fleet=SimpleNamespace(processes=processes), start_host=start_host)
    return Soak(1, 1.0, site), process, started


def test_a_host_that_is_paused_during_its_graceful_stop_is_restarted():
    soak, process, started = start_slow_stopping_host()
    try:
        restart = soak.stop_host(Fault(0.0, 1.0, "stop_host", "front-0"))
        soak.pause_host(Fault(0.1, 1.0, "pause_host", "front-0"))
        restart()
    finally:
        process.kill()
        process.wait()
    assert started == ["front-0"]


def test_a_host_hit_by_two_faults_is_restarted_once():
    soak, process, started = start_slow_stopping_host()
    try:
        restart_after_stop = soak.stop_host(Fault(0.0, 1.0, "stop_host", "front-0"))
        restart_after_kill = soak.kill_host(Fault(0.1, 1.0, "kill_host", "front-0"))
        restart_after_kill()
        restart_after_stop()
    finally:
        process.kill()
        process.wait()
    assert started == ["front-0"]


def test_a_run_that_is_terminated_leaves_no_process_behind():
    seed = 987_654
    arguments = [sys.executable, "-m", "soak.runs", "--seed", str(seed), "--seconds", "60"]
    process = subprocess.Popen(arguments, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE)
    try:
        process.stderr.readline()
        started = find_processes(f"soak-{seed}-")
        process.terminate()
        process.wait(30)
        assert started
        assert find_processes(f"soak-{seed}-") == []
    finally:
        process.kill()
        process.wait()


def find_processes(text):
    """Return the ids of the processes whose command line contains a text."""
    found = []
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            if text in path.read_text():
                found.append(int(path.parent.name))
        except OSError:
            continue
    return found
