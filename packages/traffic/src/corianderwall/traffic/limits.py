"""The connection budget and the adaptive concurrency limit of one endpoint."""

from dataclasses import dataclass

OWN_CONNECTIONS_PER_SLOT = 2
OWN_CONNECTIONS_DIVISOR = 8
WINDOW_S = 0.25
MIN_WINDOW_SAMPLES = 50
BASELINE_GAIN = 0.05
"""Smoothing factor of the baseline latency, applied once per window."""
SLOWDOWN_THRESHOLD = 1.5
"""Ratio of a window's mean latency to the baseline above which the limit falls."""
REFUSAL_DECREASE_FACTOR = 0.85
"""Factor on the limit after a refusal."""
MIN_DECREASE_FACTOR = 0.5
"""Lowest factor on the limit after a slow window."""


@dataclass(frozen=True, slots=True)
class ConnectionBudget:
    """The connections of an endpoint kept for its owner and those leased to other nodes."""

    own: int
    leased: int


def divide_connections(slots: int, connections: int) -> ConnectionBudget:
    """Divide the connections so that the owner alone can always fill the endpoint's slots."""
    wanted = max(slots * OWN_CONNECTIONS_PER_SLOT, connections // OWN_CONNECTIONS_DIVISOR)
    own = min(connections, max(1, wanted))
    return ConnectionBudget(own, connections - own)


class AdaptiveLimit:
    """A concurrency limit that falls when calls slow down or are refused, and else grows by one.

    It starts at `slots`, stays between 1 and `ceiling`, and grows only while it is reached. A
    refusal by the endpoint lowers it immediately, but at most once in a window.
    """

    __slots__ = (
        "_baseline_s",
        "_count",
        "_limit",
        "_limit_reached",
        "_sum_s",
        "_was_refused",
        "_window_end",
        "ceiling",
    )

    def __init__(self, *, slots: int, ceiling: int, now: float) -> None:
        self.ceiling = max(1, ceiling)
        self._limit = float(min(self.ceiling, max(1, slots)))
        self._baseline_s = 0.0
        self._limit_reached = False
        self._was_refused = False
        self._start_window(now)

    @property
    def value(self) -> int:
        """The maximum number of concurrent calls."""
        return int(self._limit)

    def observe(self, latency_s: float, running: int, now: float) -> None:
        """Record the latency of a call that ended while `running` calls ran."""
        self._sum_s += latency_s
        self._count += 1
        self._limit_reached = self._limit_reached or running >= self.value
        if now >= self._window_end and self._count >= MIN_WINDOW_SAMPLES:
            self._close_window(now)

    def record_refusal(self, now: float) -> None:
        """Record a refusal by the endpoint."""
        if not self._was_refused:
            self._was_refused = True
            self._set_limit(self._limit * REFUSAL_DECREASE_FACTOR)
        elif now >= self._window_end:
            self._start_window(now)

    def _close_window(self, now: float) -> None:
        mean_s = self._sum_s / self._count
        if not self._baseline_s:
            self._baseline_s = mean_s
        if mean_s > self._baseline_s * SLOWDOWN_THRESHOLD:
            factor = self._baseline_s * SLOWDOWN_THRESHOLD / mean_s
            self._set_limit(self._limit * max(MIN_DECREASE_FACTOR, factor))
        elif self._limit_reached and not self._was_refused:
            self._set_limit(self._limit + 1)
        self._baseline_s += BASELINE_GAIN * (mean_s - self._baseline_s)
        self._start_window(now)

    def _set_limit(self, limit: float) -> None:
        self._limit = min(float(self.ceiling), max(1.0, limit))

    def _start_window(self, now: float) -> None:
        self._window_end = now + WINDOW_S
        self._sum_s = 0.0
        self._count = 0
        self._limit_reached = False
        self._was_refused = False
