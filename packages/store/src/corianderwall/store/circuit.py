"""Circuit breaker towards the platform: after repeated failures, one probe at a time."""

from dataclasses import dataclass
from random import Random
from typing import Protocol

from automat import TypeMachineBuilder

from corianderwall.store.backoff import Backoff

FAILURES_TO_OPEN = 5
PROBE_TIMEOUT_S = 10.0


class CircuitCycle(Protocol):
    """Life cycle of a circuit: closed, open, probing."""

    def trip(self) -> None:
        """Stop all calls."""

    def probe(self) -> None:
        """Let one call through."""

    def recover(self) -> None:
        """Let all calls through."""

    def read_state(self) -> str:
        """Return closed, open or probing."""


@dataclass(slots=True)
class _CircuitCore:
    trips: int = 0


def _build_cycle() -> "TypeMachineBuilder[CircuitCycle, _CircuitCore]":
    builder = TypeMachineBuilder(CircuitCycle, _CircuitCore)
    closed = builder.state("closed")
    opened = builder.state("open")
    probing = builder.state("probing")

    def count_trip(cycle: CircuitCycle, core: _CircuitCore) -> None:
        core.trips += 1

    def do_nothing(cycle: CircuitCycle, core: _CircuitCore) -> None:
        return None

    closed.upon(CircuitCycle.trip).to(opened)(count_trip)
    closed.upon(CircuitCycle.recover).loop()(do_nothing)
    opened.upon(CircuitCycle.trip).loop()(do_nothing)
    opened.upon(CircuitCycle.probe).to(probing)(do_nothing)
    opened.upon(CircuitCycle.recover).to(closed)(do_nothing)
    probing.upon(CircuitCycle.trip).to(opened)(count_trip)
    probing.upon(CircuitCycle.probe).loop()(do_nothing)
    probing.upon(CircuitCycle.recover).to(closed)(do_nothing)
    for name, state in (("closed", closed), ("open", opened), ("probing", probing)):
        state.upon(CircuitCycle.read_state).loop().returns(name)
    return builder


_create_cycle = _build_cycle().build()


class Circuit:
    """Decides whether a call may go out; time and randomness are passed in."""

    def __init__(self, *, backoff: Backoff | None = None) -> None:
        self._backoff = backoff or Backoff(base_s=0.5, cap_s=10.0)
        self._cycle = _create_cycle(_CircuitCore())
        self._failures = 0
        self._trips_in_row = 0
        self._next_probe_at = 0.0

    @property
    def state(self) -> str:
        """Return closed, open or probing."""
        return self._cycle.read_state()

    def permit(self, now: float) -> bool:
        """Return whether a call may go out; in an open circuit the first after the delay probes."""
        if self.state == "closed":
            return True
        if now < self._next_probe_at:
            return False
        self._cycle.probe()
        # A probe whose outcome is never recorded must not block the next one for good.
        self._next_probe_at = now + PROBE_TIMEOUT_S
        return True

    def compute_wait(self, now: float) -> float:
        """Return the seconds until the next probe."""
        return max(0.0, self._next_probe_at - now)

    def record_success(self) -> None:
        """Note that the platform answered."""
        self._failures = 0
        self._trips_in_row = 0
        self._cycle.recover()

    def record_failure(self, now: float, random: Random) -> None:
        """Note that the platform did not answer or said that it is down."""
        self._failures += 1
        if self.state == "closed" and self._failures < FAILURES_TO_OPEN:
            return
        if self.state == "open":
            return
        self._cycle.trip()
        self._trips_in_row += 1
        self._next_probe_at = now + self._backoff.compute_delay(self._trips_in_row, random)
