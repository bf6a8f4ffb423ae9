"""How many times longer than usual work takes on an endpoint's host at this moment."""

import math
import re
from dataclasses import dataclass

FRESH_S = 1.0
"""Age from which a value no longer counts; hosts change their speed every few 100 ms."""
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 20.0
"""Bounds on the value; known hosts take between half and 2.5 times as long as usual."""
SLOWDOWN_POSITION = 3
"""Position of the value in the header, behind running calls, waiting calls and slots."""
PERCENT = 100.0
_NUMBER = re.compile(rb"\d+(?:\.\d+)?")


def parse_slowdown(header: bytes | None) -> float | None:
    """Return the slowdown that a load header names in percent, None if it names none."""
    numbers = _NUMBER.findall(header) if header is not None else []
    if len(numbers) <= SLOWDOWN_POSITION:
        return None
    slowdown = float(numbers[SLOWDOWN_POSITION]) / PERCENT
    return max(MIN_SLOWDOWN, min(slowdown, MAX_SLOWDOWN)) if slowdown > 0 else None


def fade(slowdown: float, age_s: float) -> float:
    """Return the slowdown expected from one of that age, which tends to 1 as the value ages."""
    return 1.0 + (slowdown - 1.0) * min(1.0, max(0.0, 1.0 - age_s / FRESH_S))


@dataclass(slots=True)
class Slowdown:
    """The newest value of one endpoint; instants are monotonic seconds."""

    value: float = 1.0
    read_at: float = -math.inf

    def record(self, header: bytes | None, now: float) -> None:
        """Keep the value of a load header that came at `now`, if it has one."""
        slowdown = parse_slowdown(header)
        if slowdown is not None:
            self.value = slowdown
            self.read_at = now

    def estimate(self, now: float) -> float:
        """Return the expected slowdown at `now`, 1 without a fresh value."""
        return fade(self.value, now - self.read_at)

    def read_fresh(self, now: float) -> float | None:
        """Return the newest value if it still counts."""
        return self.value if now - self.read_at < FRESH_S else None

    def average(self, value_then: float | None, now: float) -> float:
        """Return the mean slowdown of a call that began at `value_then` (None: unknown)."""
        values = [value for value in (value_then, self.read_fresh(now)) if value is not None]
        return sum(values) / len(values) if values else 1.0
