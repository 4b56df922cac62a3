"""Record the requests and actions of a stand-in as JSON lines."""

from __future__ import annotations

import json
import time
from typing import Any, TextIO


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
