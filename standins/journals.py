"""Record the requests and actions of a stand-in as JSON lines."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any, TextIO

READ_LIMIT_S = 2.0
"""Time for which a reader waits for the end of a line that is being written, in seconds."""
READ_RETRY_S = 0.005


class Journal:
    """Append events to a file, or discard them without a path.

    Parameters
    ----------
    path : str
        File to append to, empty for none.
    source : str
        Name of the stand-in, written into each line.
    """

    def __init__(self, path: str, source: str) -> None:
        self._source = source
        self._file: TextIO | None = open(path, "a", buffering=1) if path else None  # noqa: SIM115

    def write(self, event: str, **fields: Any) -> None:
        """Append one event with the wall-clock time."""
        if self._file is None:
            return
        line = {"at": time.time(), "source": self._source, "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")


def read_journal(path: Path) -> list[dict[str, Any]]:
    """Return the events of a journal to which a stand-in may be writing.

    A read can return a part of the line that is being written; it is repeated until the last line
    is complete. A line that stays incomplete is an error.

    Raises
    ------
    ValueError
        If a line is no JSON document.
    """
    deadline = time.monotonic() + READ_LIMIT_S
    text = path.read_text()
    while text and not text.endswith("\n") and time.monotonic() < deadline:
        time.sleep(READ_RETRY_S)
        text = path.read_text()
    return [json.loads(line) for line in text.splitlines()]
