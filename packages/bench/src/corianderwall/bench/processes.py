"""Processes that a measurement starts and ends: stand-ins, nodes, load generators."""

import atexit
import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from corianderwall.model.endpoint import Address

STOP_TIMEOUT_S = 20.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True)
class Usage:
    """Processor seconds and resident bytes of a process."""

    cpu_s: float
    resident_bytes: int


class ChildProcess:
    """One program run as a process; it is ended by its own id only."""

    def __init__(self, module: str, *arguments: str) -> None:
        self._start([sys.executable, "-m", module, *arguments])

    @classmethod
    def run(cls, *command: str) -> "ChildProcess":
        """Start a program by its path."""
        child = cls.__new__(cls)
        child._start(list(command))
        return child

    def _start(self, command: list[str]) -> None:
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        # An interrupted measurement leaves no process behind.
        atexit.register(self.kill)

    @property
    def process_id(self) -> int:
        """Return the id of the process."""
        return self._process.pid

    def read_line(self) -> str:
        """Return the next line that the process prints, empty at its end."""
        assert self._process.stdout is not None
        return self._process.stdout.readline().strip()

    def read_address(self) -> Address:
        """Return the address in the line `listening HOST:PORT`."""
        line = self.read_line()
        word, _, address = line.partition(" ")
        if word != "listening":
            raise RuntimeError(f"the process did not start: {line!r}")
        host, _, port = address.rpartition(":")
        return Address(host=host, port=int(port))

    def read_usage(self) -> Usage:
        """Return what the process has used so far."""
        fields = Path(f"/proc/{self.process_id}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        resident = int(fields[21]) * os.sysconf("SC_PAGE_SIZE")
        return Usage(ticks / TICKS_PER_S, resident)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    @property
    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self._process.poll() is not None

    def wait(self) -> int:
        """Wait for the end of the process and return its exit status."""
        return self._process.wait(STOP_TIMEOUT_S)

    def kill(self) -> None:
        """End the process at once."""
        if self._process.poll() is None:
            self._process.kill()
            self._process.wait(STOP_TIMEOUT_S)
        if self._process.stdout is not None:
            self._process.stdout.close()
