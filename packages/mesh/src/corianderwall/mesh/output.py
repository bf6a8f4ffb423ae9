"""Non-blocking log output to standard output."""

import asyncio
import os
import sys
from collections.abc import Callable
from io import TextIOBase

from absl import logging as absl_logging

from corianderwall.mesh.settings import HostSettings
from corianderwall.node.logs import LogSettings, start_logs

FLUSH_DELAY_S = 0.2
"""Longest delay of a line, so that a burst of lines is written at once."""
MAX_BUFFERED_BYTES = 256 * 1024
"""Size of the buffer for a slow reader; when it is full, new lines are dropped and counted."""


class LineOutput(TextIOBase):
    """Buffers whole lines and writes them to a non-blocking descriptor.

    `dropped` counts the lines that were dropped since the reader was too slow or gone.
    """

    def __init__(self, descriptor: int, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._loop = loop
        self._buffer = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Buffer `text`, one or more whole lines, or count it as dropped if the buffer is full."""
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return len(text)
        self._buffer += text.encode()
        if self._timer is None:
            self._timer = self._loop.call_later(FLUSH_DELAY_S, self.write_buffered)
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are written in batches."""

    def write_buffered(self) -> None:
        """Write as much of the buffer as the reader accepts."""
        self._timer = None
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone, so there is nowhere to report this error.
            self.dropped += self._buffer.count(b"\n")
            written = len(self._buffer)
        del self._buffer[:written]
        if self._buffer:
            self._timer = self._loop.call_later(FLUSH_DELAY_S, self.write_buffered)


def start_output(settings: HostSettings, read_version: Callable[[], int]) -> LineOutput:
    """Write all logs to standard output as JSON lines."""
    start_logs(LogSettings(), node=settings.name, zone=settings.zone, read_version=read_version)
    output = LineOutput(sys.stdout.fileno(), asyncio.get_running_loop())
    absl_logging.get_absl_handler().python_handler.stream = output
    # Otherwise absl writes each line to standard error too.
    absl_logging.set_stderrthreshold("fatal")
    return output
