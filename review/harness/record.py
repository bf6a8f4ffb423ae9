"""The record of a case: what was sent, answered and run."""

import json
import time
from pathlib import Path


class Record:
    """Writes one line for each event, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self._file = path.open("w")

    def write(self, event: str, **fields: object) -> None:
        """Write an event."""
        at = round(time.monotonic() - self.began, 3)
        self._file.write(json.dumps({"at": at, "event": event} | fields) + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
