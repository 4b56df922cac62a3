"""Test that a start imports no more than it needs."""

import subprocess
import sys

START = """
import sys

sys.path[:] = {path!r}
from tarragonwind.platform_start import import_daemon

import_daemon()
"""


def test_a_start_leaves_out_what_only_packaging_needs(tmp_path):
    heavy = tmp_path / "pkg_resources.py"
    heavy.write_text("print('imported')\n\ndef declare_namespace(name):\n    pass\n")
    code = START.format(path=[str(tmp_path), *sys.path])
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=True
    )
    assert done.stdout == ""
