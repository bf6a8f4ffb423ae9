"""Log lines on standard output that never hold the process up."""

import asyncio
import os
import sys
from collections.abc import Callable
from io import TextIOBase

from absl import logging as absl_logging

from corianderwall.mesh.settings import HostSettings
from corianderwall.node.logs import LogSettings, start_logs

FLUSH_S = 0.2
"""Longest time that a line is kept back, so that a burst of lines is written at once."""
MAX_KEPT_BYTES = 256 * 1024
"""Lines kept while the reader does not keep up; older ones stay, newer ones are counted."""


class LineOutput(TextIOBase):
    """Gathers whole lines and writes them to a descriptor that may refuse them.

    `dropped` counts the lines that were refused while the reader did not keep up.
    """

    def __init__(self, descriptor: int, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._loop = loop
        self._kept = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Keep `text`, some whole lines, for the next write, or count it as dropped."""
        if len(self._kept) > MAX_KEPT_BYTES:
            self.dropped += 1
            return len(text)
        self._kept += text.encode()
        if self._timer is None:
            self._timer = self._loop.call_later(FLUSH_S, self.write_kept)
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are written together."""

    def write_kept(self) -> None:
        """Write what is kept as far as the reader takes it."""
        self._timer = None
        try:
            written = os.write(self._descriptor, self._kept)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more: nothing is left that could be told to anyone.
            self.dropped += self._kept.count(b"\n")
            written = len(self._kept)
        del self._kept[:written]
        if self._kept:
            self._timer = self._loop.call_later(FLUSH_S, self.write_kept)


def start_output(settings: HostSettings, read_version: Callable[[], int]) -> LineOutput:
    """Send all logs to standard output as JSON lines."""
    start_logs(LogSettings(), node=settings.name, zone=settings.zone, read_version=read_version)
    output = LineOutput(sys.stdout.fileno(), asyncio.get_running_loop())
    absl_logging.get_absl_handler().python_handler.stream = output
    # Otherwise each line would go to standard error too.
    absl_logging.set_stderrthreshold("fatal")
    return output
