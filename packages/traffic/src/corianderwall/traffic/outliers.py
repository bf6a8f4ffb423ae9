"""Outlier detection: ejection of failing or slow endpoints, and probes to bring them back."""

import heapq
from random import Random

from corianderwall.traffic.endpoint_stat import EndpointStat

CONSECUTIVE_FAILURES_THRESHOLD = 5
MIN_SAMPLES = 20
FAILURE_RATE_THRESHOLD = 0.5
SLOWNESS_THRESHOLD = 3.0
"""Ratio of its latency to the mean of the route above which an endpoint is an outlier."""
MAX_EJECTED_FRACTION = 0.5
BASE_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
PROBE_SUCCESSES = 3


class OutlierDetector:
    """Ejects the outliers of one group, at most `MAX_EJECTED_FRACTION` of the group at a time."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._heap: list[tuple[float, str]] = []
        self._ejected_until: dict[str, float] = {}

    def is_ejected(self, name: str) -> bool:
        """Return whether the endpoint is ejected."""
        return name in self._ejected_until

    def count_ejected(self) -> int:
        """Return the number of ejected endpoints."""
        return len(self._ejected_until)

    def eject_if_outlier(self, stat: EndpointStat, group_size: int, now: float) -> bool:
        """Eject the endpoint if its last outcome makes it an outlier; return whether it did."""
        if self.is_ejected(stat.endpoint.name) or not _is_outlier(stat):
            return False
        if len(self._ejected_until) + 1 > group_size * MAX_EJECTED_FRACTION:
            return False
        self._eject(stat, now)
        return True

    def count_probe_success(self, stat: EndpointStat) -> None:
        """Count a success of an endpoint under probe; end the probing after enough of them."""
        if not stat.probing:
            return
        stat.probe_successes += 1
        if stat.probe_successes >= PROBE_SUCCESSES:
            stat.probing = False
            stat.ejections = 0

    def pop_due(self, now: float) -> list[str]:
        """Remove and return the endpoints whose ejection has ended, so that they are probed."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            until, name = heapq.heappop(self._heap)
            if self._ejected_until.get(name) == until:
                del self._ejected_until[name]
                due.append(name)
        return due

    def remove(self, name: str) -> None:
        """Remove an endpoint that has left."""
        self._ejected_until.pop(name, None)

    def _eject(self, stat: EndpointStat, now: float) -> None:
        stat.ejections += 1
        length_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2 ** (stat.ejections - 1))
        until = now + length_s * self._random.uniform(0.8, 1.2)
        self._ejected_until[stat.endpoint.name] = until
        heapq.heappush(self._heap, (until, stat.endpoint.name))


def start_probing(stat: EndpointStat) -> None:
    """Reset the statistics of an endpoint and allow it one call at a time."""
    stat.probing = True
    stat.probe_successes = 0
    stat.consecutive_failures = 0
    stat.failure_rate = 0.0
    stat.slowness = 1.0
    stat.samples = 0


def _is_outlier(stat: EndpointStat) -> bool:
    if stat.probing:
        return stat.consecutive_failures > 0
    if stat.consecutive_failures >= CONSECUTIVE_FAILURES_THRESHOLD:
        return True
    if stat.samples < MIN_SAMPLES:
        return False
    return stat.failure_rate > FAILURE_RATE_THRESHOLD or stat.slowness > SLOWNESS_THRESHOLD
