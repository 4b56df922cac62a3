"""Test the start: which imports it skips, and that a SIGHUP meanwhile doesn't end the process."""

import os
import signal
import subprocess
import sys

import pytest

START = """
import sys

sys.path[:] = {path!r}
from tarragonwind.platform_start import import_daemon

import_daemon()
"""


def test_the_start_does_not_import_pkg_resources(tmp_path):
    module = tmp_path / "pkg_resources.py"
    module.write_text("print('imported')\n\ndef declare_namespace(name):\n    pass\n")
    code = START.format(path=[str(tmp_path), *sys.path])
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=True
    )
    assert result.stdout == ""


SIGNALLED_START = """
import os, runpy, signal, sys

class SignalOnImport:
    def find_spec(self, name, path=None, target=None):
        if name == {name!r}:
            os.kill(os.getpid(), signal.SIGHUP)

for name in ("socket", "json", "dataclasses"):
    sys.modules.pop(name, None)
sys.meta_path.insert(0, SignalOnImport())
runpy.run_module("tarragonwind.platform_start", run_name="__main__")
"""


@pytest.mark.parametrize("name", ["socket", "tarragonwind.platform.addresses", "json", "msgpack"])
def test_a_sighup_during_the_first_imports_does_not_end_the_process(name):
    """It was ignored only after these imports, which take 50 ms and more beside other load."""
    environment = {**os.environ, "TARRAGONWIND_CONFIG": "/nonexistent/settings.json"}
    result = subprocess.run(
        [sys.executable, "-c", SIGNALLED_START.format(name=name)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env=environment,
    )
    assert result.returncode != -signal.SIGHUP
    assert "/nonexistent/settings.json" in result.stderr


def test_the_start_does_not_import_pydantic(tmp_path):
    """Guards against a return after a loss of power that a third of each start makes longer."""
    module = tmp_path / "pydantic.py"
    module.write_text("raise RuntimeError('imported')\n")
    code = START.format(path=[str(tmp_path), *sys.path])
    subprocess.run([sys.executable, "-c", code], timeout=60, check=True)
