"""What this node knows of one endpoint: reports, corrected by what it sees itself."""

from corianderwall.model.endpoint import Endpoint, EndpointState
from corianderwall.model.outcome import AttemptOutcome

REPORT_LIFE_S = 3.0
"""Age at which a reported load counts nothing."""
RAMP_S = 10.0
"""Time from an endpoint's start to its full part of the calls."""
RAMP_FLOOR = 0.1
LATENCY_GAIN = 0.1
FAILURE_GAIN = 0.1
FAILURE_COST = 9.0
FORGET_S = 10.0
"""Time without a sample after which an observed latency counts nothing."""
MIN_LATENCY_RATIO = 0.5
MAX_LATENCY_RATIO = 8.0


class EndpointStat:
    """The load, latency and failures of one endpoint as this node estimates them."""

    __slots__ = (
        "_other_running",
        "_ramp_start",
        "_report_time",
        "_sample_time",
        "consecutive_failures",
        "ejections",
        "endpoint",
        "failure_rate",
        "index",
        "latency_s",
        "leased",
        "outstanding",
        "probe_successes",
        "probing",
        "refused_until",
        "samples",
        "suspected",
        "tier",
    )

    def __init__(self, endpoint: Endpoint, *, tier: int, ramp_start: float) -> None:
        self.endpoint = endpoint
        self.tier = tier
        self.index = -1
        self.outstanding = 0
        self.latency_s = 0.0
        self.failure_rate = 0.0
        self.samples = 0
        self.consecutive_failures = 0
        self.ejections = 0
        self.probing = False
        self.probe_successes = 0
        self.refused_until = 0.0
        self.leased = False
        self.suspected = False
        self._ramp_start = ramp_start
        self._report_time = float("-inf")
        self._other_running = 0
        self._sample_time = float("-inf")

    @property
    def accepts_work(self) -> bool:
        """Return whether the endpoint is announced as ready and not suspected."""
        return self.endpoint.state is EndpointState.READY and not self.suspected

    def report_load(self, running: int, now: float) -> None:
        """Take a reported number of running calls; what this node runs itself is taken out."""
        self._report_time = now
        self._other_running = max(0, running - self.outstanding)

    def observe(self, outcome: AttemptOutcome, now: float) -> None:
        """Take the outcome of one attempt that ran, or should have."""
        failed = outcome.is_failure
        self.failure_rate += FAILURE_GAIN * (failed - self.failure_rate)
        self.samples += 1
        self.consecutive_failures = self.consecutive_failures + 1 if failed else 0
        if not failed or outcome.latency_s > self.latency_s:
            self._observe_latency(outcome.latency_s, now)

    def estimate_ramp(self, now: float) -> float:
        """Return the part of its calls that a starting endpoint receives, up to 1."""
        age = now - self._ramp_start
        return 1.0 if age >= RAMP_S else max(RAMP_FLOOR, age / RAMP_S)

    def estimate_load(self, now: float) -> float:
        """Return calls per slot, the next one included."""
        freshness = 1.0 - (now - self._report_time) / REPORT_LIFE_S
        others = self._other_running * freshness if freshness > 0 else 0.0
        return (self.outstanding + others + 1.0) / self.endpoint.slots

    def estimate_cost(self, group_latency_s: float, now: float) -> float:
        """Return the load weighted by slowness and failures against the group's latency."""
        cost = self.estimate_load(now) * (1.0 + FAILURE_COST * self.failure_rate)
        if not self.latency_s or not group_latency_s:
            return cost
        ratio = self.latency_s / group_latency_s
        ratio = min(MAX_LATENCY_RATIO, max(MIN_LATENCY_RATIO, ratio))
        trust = max(0.0, 1.0 - (now - self._sample_time) / FORGET_S)
        return cost * (1.0 + (ratio - 1.0) * trust)

    def _observe_latency(self, latency_s: float, now: float) -> None:
        self._sample_time = now
        if not self.latency_s:
            self.latency_s = latency_s
        self.latency_s += LATENCY_GAIN * (latency_s - self.latency_s)
