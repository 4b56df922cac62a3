"""Test that the start skips imports that only packaging tools need."""

import subprocess
import sys

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
