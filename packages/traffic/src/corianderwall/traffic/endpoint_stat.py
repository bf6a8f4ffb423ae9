"""Statistics of one endpoint, from load reports and from the attempts of this node."""

from math import exp

from corianderwall.model.endpoint import Endpoint, EndpointState

REPORT_TIME_CONSTANT_S = 2.0
"""Time constant of the smoothing: the weight of a report falls to 1/e in this time."""
REPORT_TTL_S = 3.0
"""Age at which a reported load no longer counts."""
RAMP_S = 10.0
"""Time after its start in which an endpoint ramps up to its full rate of calls."""
MIN_RAMP = 0.1
"""Fraction of its calls that an endpoint receives right after its start."""
SLOWNESS_GAIN = 0.1
FAILURE_GAIN = 0.1
FAILURE_COST_WEIGHT = 9.0
"""Weight of the failure rate in the cost."""
SLOWNESS_TTL_S = 10.0
"""Time without a latency sample after which the slowness no longer counts."""
MIN_SLOWNESS = 0.5
MAX_LATENCY_RATIO = 20.0
MIN_REFUSAL_BACKOFF_S = 0.05
MAX_REFUSAL_BACKOFF_S = 2.0
"""Bounds of the backoff after a refusal, in which other endpoints are preferred."""
MAX_BACKOFF_DOUBLINGS = 6


class EndpointStat:
    """The estimated load, relative latency and failure rate of one endpoint."""

    __slots__ = (
        "_backoff_doublings",
        "_last_report_at",
        "_last_sample_at",
        "_other_running",
        "_ramp_start",
        "backoff_until",
        "consecutive_failures",
        "ejections",
        "endpoint",
        "failure_rate",
        "leased",
        "outstanding",
        "probe_successes",
        "probing",
        "samples",
        "slowness",
        "suspected",
        "tier",
        "tier_index",
    )

    def __init__(self, endpoint: Endpoint, *, tier: int, ramp_start: float) -> None:
        self.endpoint = endpoint
        self.tier = tier
        self.tier_index = -1
        self.outstanding = 0
        self.slowness = 1.0
        self._backoff_doublings = 0
        self.failure_rate = 0.0
        self.samples = 0
        self.consecutive_failures = 0
        self.ejections = 0
        self.probing = False
        self.probe_successes = 0
        self.backoff_until = 0.0
        self.leased = False
        self.suspected = False
        self._ramp_start = ramp_start
        self._last_report_at = float("-inf")
        self._other_running = 0.0
        self._last_sample_at = float("-inf")

    @property
    def accepts_work(self) -> bool:
        """Whether the endpoint is announced as ready and its node not suspected."""
        return self.endpoint.state is EndpointState.READY and not self.suspected

    def report_load(self, running: int, now: float) -> None:
        """Record a reported number of running calls, less the calls of this node.

        Reports are smoothed, since nodes that all follow the latest report would shift their calls
        to the same endpoints at once.
        """
        others = max(0, running - self.outstanding)
        age_s = now - self._last_report_at
        gain = 1.0 if age_s > REPORT_TTL_S else 1.0 - exp(-age_s / REPORT_TIME_CONSTANT_S)
        self._other_running += gain * (others - self._other_running)
        self._last_report_at = now

    def observe(self, *, failed: bool, latency_ratio: float | None, now: float) -> None:
        """Record an attempt; `latency_ratio` is relative to the mean of its route, if known."""
        self.failure_rate += FAILURE_GAIN * (failed - self.failure_rate)
        self.samples += 1
        self.consecutive_failures = self.consecutive_failures + 1 if failed else 0
        if not failed:
            self._backoff_doublings = 0
        if latency_ratio is not None and (not failed or latency_ratio > self.slowness):
            self._last_sample_at = now
            self.slowness += SLOWNESS_GAIN * (min(latency_ratio, MAX_LATENCY_RATIO) - self.slowness)

    def back_off(self, retry_after_s: float, jitter: float, now: float) -> None:
        """Back off from the endpoint, twice as long for each refusal since its last success."""
        backoff_s = MIN_REFUSAL_BACKOFF_S * 2**self._backoff_doublings
        self._backoff_doublings = min(MAX_BACKOFF_DOUBLINGS, self._backoff_doublings + 1)
        self.backoff_until = (
            now + min(MAX_REFUSAL_BACKOFF_S, max(backoff_s, retry_after_s)) * jitter
        )

    def estimate_ramp(self, now: float) -> float:
        """Return the fraction of its calls that the endpoint receives during its ramp, up to 1."""
        age = now - self._ramp_start
        return 1.0 if age >= RAMP_S else max(MIN_RAMP, age / RAMP_S)

    def estimate_load(self, now: float) -> float:
        """Return the calls per slot, including the next call."""
        freshness = 1.0 - (now - self._last_report_at) / REPORT_TTL_S
        others = self._other_running * freshness if freshness > 0 else 0.0
        return (self.outstanding + others + 1.0) / self.endpoint.slots

    def estimate_cost(self, now: float) -> float:
        """Return the load, weighted by the failure rate and the relative slowness."""
        cost = self.estimate_load(now) * (1.0 + FAILURE_COST_WEIGHT * self.failure_rate)
        freshness = max(0.0, 1.0 - (now - self._last_sample_at) / SLOWNESS_TTL_S)
        return cost * (1.0 + (max(MIN_SLOWNESS, self.slowness) - 1.0) * freshness)
