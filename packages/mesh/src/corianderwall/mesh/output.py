"""Log lines on standard output that never hold the process up."""

import os
import sys
from collections.abc import Callable
from io import TextIOBase

from absl import logging as absl_logging

from corianderwall.mesh.settings import HostSettings
from corianderwall.node.logs import LogSettings, start_logs


class LineOutput(TextIOBase):
    """Writes whole lines to a descriptor that may refuse them; refused lines are counted."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write `text`, or count it as dropped if the reader does not keep up."""
        try:
            os.write(self._descriptor, text.encode())
        except OSError:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: nothing is kept back."""


def start_output(settings: HostSettings, read_version: Callable[[], int]) -> LineOutput:
    """Send all logs to standard output as JSON lines."""
    start_logs(LogSettings(), node=settings.name, zone=settings.zone, read_version=read_version)
    output = LineOutput(sys.stdout.fileno())
    absl_logging.get_absl_handler().python_handler.stream = output
    # Otherwise each line would go to standard error too.
    absl_logging.set_stderrthreshold("fatal")
    return output
