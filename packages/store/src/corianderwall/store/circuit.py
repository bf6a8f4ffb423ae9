"""Circuit breaker for platform calls that allows one probe at a time after repeated failures."""

from dataclasses import dataclass
from random import Random
from typing import Protocol

from automat import TypeMachineBuilder

from corianderwall.store.backoff import Backoff

FAILURES_TO_OPEN = 5
PROBE_TIMEOUT_S = 10.0


class CircuitCycle(Protocol):
    """State machine of a circuit breaker: closed, open, probing."""

    def trip(self) -> None:
        """Open the circuit, so that calls are refused."""

    def probe(self) -> None:
        """Allow one call as a probe."""

    def recover(self) -> None:
        """Close the circuit, so that all calls are allowed."""

    def read_state(self) -> str:
        """Return the state: closed, open or probing."""


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
    """Decides whether a call may be sent; callers pass in the time and the random generator."""

    def __init__(self, *, backoff: Backoff | None = None) -> None:
        self._backoff = backoff or Backoff(base_s=0.5, cap_s=10.0)
        self._cycle = _create_cycle(_CircuitCore())
        self._failures = 0
        self._trips_in_row = 0
        self._next_probe_at = 0.0

    @property
    def state(self) -> str:
        """Return the state: closed, open or probing."""
        return self._cycle.read_state()

    def permit(self, now: float) -> bool:
        """Return whether a call may be sent; the first after an open circuit's delay probes."""
        if self.state == "closed":
            return True
        if now < self._next_probe_at:
            return False
        self._cycle.probe()
        # A probe whose outcome is never recorded must not block later probes forever.
        self._next_probe_at = now + PROBE_TIMEOUT_S
        return True

    def compute_wait(self, now: float) -> float:
        """Return the seconds until the next probe."""
        return max(0.0, self._next_probe_at - now)

    def record_success(self) -> None:
        """Record that the platform responded, and close the circuit."""
        self._failures = 0
        self._trips_in_row = 0
        self._cycle.recover()

    def record_failure(self, now: float, random: Random) -> None:
        """Record that the platform did not respond or reported that it is unavailable."""
        self._failures += 1
        if self.state == "closed" and self._failures < FAILURES_TO_OPEN:
            return
        if self.state == "open":
            return
        self._cycle.trip()
        self._trips_in_row += 1
        self._next_probe_at = now + self._backoff.compute_delay(self._trips_in_row, random)
