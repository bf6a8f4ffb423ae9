"""Slots, queue and behaviour of an upstream stand-in, without sockets or clocks."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from corianderwall.standins.upstream_settings import (
    BadKind,
    Fault,
    Switches,
    UpstreamSettings,
)


@dataclass(slots=True, eq=False)
class Job:
    """A call that runs or waits; `deadline` is in Unix seconds, `start` runs it."""

    start: Callable[[], None]
    deadline: float
    started: bool = False


class WorkQueue:
    """At most `slots` jobs run and `queue` jobs wait, in order of arrival."""

    def __init__(self, slots: int, queue: int) -> None:
        self.running = 0
        self._slots = slots
        self._queue = queue
        self._waiting: deque[Job] = deque()

    @property
    def waiting(self) -> int:
        """Return the number of waiting jobs."""
        return len(self._waiting)

    def submit(self, job: Job) -> bool:
        """Start or queue `job`; return False if it is shed."""
        if self.running < self._slots:
            self._start(job)
            return True
        if len(self._waiting) >= self._queue:
            return False
        self._waiting.append(job)
        return True

    def remove(self, job: Job) -> None:
        """Remove `job`, which has ended or was cancelled, and start the next one."""
        if not job.started:
            if job in self._waiting:
                self._waiting.remove(job)
            return
        self.running -= 1
        if self._waiting and self.running < self._slots:
            self._start(self._waiting.popleft())

    def _start(self, job: Job) -> None:
        self.running += 1
        job.started = True
        job.start()


@dataclass(frozen=True, slots=True)
class Plan:
    """How one call is processed: its duration, status and fault."""

    work_s: float
    status: int
    fault: Fault | None


class Behaviour:
    """Decides how each call is processed; random choices come from `rng`."""

    def __init__(self, settings: UpstreamSettings, rng: random.Random, started: float) -> None:
        self.switches = settings.switches
        self._settings = settings
        self._rng = rng
        self._started = started
        self._calls = 0

    def replace_switches(self, switches: Switches) -> None:
        """Use `switches` for all later calls."""
        self.switches = switches

    def make_plan(self, path: str, running: int, now: float, fault: Fault | None) -> Plan:
        """Return the plan for the next call; `fault` is the one that its header requests."""
        self._calls += 1
        switches = self.switches
        work_ms = switches.work_ms
        if switches.work_spread:
            work_ms *= 1 + switches.work_spread * (2 * self._rng.random() - 1)
        work_ms *= self._get_cold_factor(now)
        status = 200
        for rule in switches.rules:
            if not path.startswith(rule.path_prefix) or running < rule.min_running:
                continue
            if now - self._started < rule.after_s or self._calls <= rule.after_calls:
                continue
            if self._rng.random() >= rule.share:
                continue
            if rule.kind is BadKind.FAIL:
                status = rule.status
            else:
                work_ms += rule.extra_ms
        if fault is None and switches.fault_shares:
            fault = self._draw_fault()
        return Plan(work_ms / 1000, status, fault)

    def _get_cold_factor(self, now: float) -> float:
        settings = self._settings
        cold_s = settings.cold_start_ms / 1000
        age = now - self._started
        if age >= cold_s:
            return 1
        return settings.cold_factor - (settings.cold_factor - 1) * age / cold_s

    def _draw_fault(self) -> Fault | None:
        draw = self._rng.random()
        for fault, share in self.switches.fault_shares.items():
            draw -= share
            if draw < 0:
                return fault
        return None


class LaggedValue:
    """A number with its history, to report it with a lag."""

    def __init__(self) -> None:
        self._history: deque[tuple[float, float]] = deque(maxlen=10_000)

    def record(self, now: float, value: float) -> None:
        """Record a new value."""
        self._history.append((now, value))

    def read(self, at: float) -> float:
        """Return the value at the time `at`, or 0 before the first record."""
        value = 0.0
        for instant, recorded in self._history:
            if instant > at:
                break
            value = recorded
        return value
