"""Record of what was sent, answered and run."""

import json
import pathlib
import time
from typing import Any


class Record:
    """Writes lines with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def find_time_s(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._started_s

    def write(self, what: str, **fields: Any) -> float:
        """Writes a line and returns its time."""
        now_s = self.find_time_s()
        words = " ".join(
            f"{name}={json.dumps(fields[name])}" for name in fields
        )
        self._file.write(f"{now_s:8.3f} {what} {words}\n")
        return now_s

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
