"""Circuit breaker for platform calls that allows one probe at a time after repeated failures."""

from dataclasses import dataclass
from random import Random
from typing import Protocol

from automat import TypeMachineBuilder

from corianderwall.store.backoff import Backoff

FAILURES_TO_OPEN = 5
PROBE_TIMEOUT_S = 10.0


class CircuitStateMachine(Protocol):
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


def _build_state_machine() -> "TypeMachineBuilder[CircuitStateMachine, _CircuitCore]":
    builder = TypeMachineBuilder(CircuitStateMachine, _CircuitCore)
    closed = builder.state("closed")
    opened = builder.state("open")
    probing = builder.state("probing")

    def count_trip(machine: CircuitStateMachine, core: _CircuitCore) -> None:
        core.trips += 1

    def do_nothing(machine: CircuitStateMachine, core: _CircuitCore) -> None:
        return None

    closed.upon(CircuitStateMachine.trip).to(opened)(count_trip)
    closed.upon(CircuitStateMachine.recover).loop()(do_nothing)
    opened.upon(CircuitStateMachine.trip).loop()(do_nothing)
    opened.upon(CircuitStateMachine.probe).to(probing)(do_nothing)
    opened.upon(CircuitStateMachine.recover).to(closed)(do_nothing)
    probing.upon(CircuitStateMachine.trip).to(opened)(count_trip)
    probing.upon(CircuitStateMachine.probe).loop()(do_nothing)
    probing.upon(CircuitStateMachine.recover).to(closed)(do_nothing)
    for name, state in (("closed", closed), ("open", opened), ("probing", probing)):
        state.upon(CircuitStateMachine.read_state).loop().returns(name)
    return builder


_create_state_machine = _build_state_machine().build()


class CircuitBreaker:
    """Decides whether a call may be sent; callers pass in the time and the random generator."""

    def __init__(self, *, backoff: Backoff | None = None) -> None:
        self._backoff = backoff or Backoff(base_s=0.5, cap_s=10.0)
        self._machine = _create_state_machine(_CircuitCore())
        self._consecutive_failures = 0
        self._consecutive_trips = 0
        self._next_probe_at = 0.0

    @property
    def state(self) -> str:
        """Return the state: closed, open or probing."""
        return self._machine.read_state()

    def permit(self, now: float) -> bool:
        """Return whether a call may be sent; the first after an open circuit's delay probes."""
        if self.state == "closed":
            return True
        if now < self._next_probe_at:
            return False
        self._machine.probe()
        # A probe whose outcome is never recorded must not block later probes forever.
        self._next_probe_at = now + PROBE_TIMEOUT_S
        return True

    def compute_wait(self, now: float) -> float:
        """Return the seconds until the next probe."""
        return max(0.0, self._next_probe_at - now)

    def record_success(self) -> None:
        """Record that the platform responded, and close the circuit."""
        self._consecutive_failures = 0
        self._consecutive_trips = 0
        self._machine.recover()

    def record_failure(self, now: float, random: Random) -> None:
        """Record that the platform did not respond or reported that it is unavailable."""
        self._consecutive_failures += 1
        if self.state == "closed" and self._consecutive_failures < FAILURES_TO_OPEN:
            return
        if self.state == "open":
            return
        self._machine.trip()
        self._consecutive_trips += 1
        self._next_probe_at = now + self._backoff.compute_delay(self._consecutive_trips, random)
