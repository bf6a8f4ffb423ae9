"""Holds back calls whose nested calls would be refused by a service that warms up.

Load pattern: two services start cold at once, and the calls of one need the other. Each nested call
that is refused wastes the work of its parent at an endpoint that may run few calls.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from corianderwall.mesh.ratelimit import RateLimit

WINDOW_S = 1.0
"""Time over which the starts of a route are counted to find its rate."""
SHRINK_FACTOR = 0.5
"""Factor on the rate of a route after a call of it was wasted."""
SHRINK_INTERVAL_S = 0.2
"""Shortest time between two reductions; the calls that run meanwhile started at the former rate."""
GROWTH_PER_S = 1.0
"""Increase of the rate with each call whose nested calls were served."""
END_AFTER_S = 1.0
"""Time without a wasted call after which the limit of a route ends. With 2 s, calls of services
that were warm already were held back in the model."""


@dataclass(slots=True)
class _RouteLimit:
    limit: RateLimit = field(default_factory=RateLimit)
    starts: deque[float] = field(default_factory=deque)
    wasted_at: float = -math.inf


@dataclass(slots=True)
class NestedLimits:
    """Rate limits of the routes whose calls were wasted; instants are monotonic seconds."""

    _routes: dict[str, _RouteLimit] = field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        """Return whether no route is limited."""
        return not self._routes

    def permits(self, route: str, now: float) -> bool:
        """Return whether a call on `route` may start."""
        return self.estimate_wait(route, now) <= 0.0

    def estimate_wait(self, route: str, now: float, ahead: int = 0) -> float:
        """Return the seconds until a call on `route` may start."""
        entry = self._find(route, now)
        return entry.limit.estimate_wait(now, ahead) if entry is not None else 0.0

    def take(self, route: str, now: float) -> None:
        """Count the start of a call on `route`."""
        entry = self._find(route, now)
        if entry is not None:
            entry.limit.take(now)
            entry.starts.append(now)

    def record_end(self, route: str, now: float, *, wasted: bool, rate_per_s: float) -> None:
        """Record the end of a call; `wasted` if it failed as a nested call was refused.

        `rate_per_s` is the rate of starts at the endpoint, from which a new limit starts.
        """
        entry = self._find(route, now)
        if not wasted:
            if entry is not None and entry.limit.rate_per_s is not None:
                entry.limit.set_rate(entry.limit.rate_per_s + GROWTH_PER_S, now)
            return
        if entry is None:
            entry = self._routes[route] = _RouteLimit()
            entry.limit.set_rate(rate_per_s * SHRINK_FACTOR, now)
        elif now - entry.wasted_at >= SHRINK_INTERVAL_S:
            rate_per_s = min(entry.limit.rate_per_s or rate_per_s, len(entry.starts) / WINDOW_S)
            entry.limit.set_rate(rate_per_s * SHRINK_FACTOR, now)
        else:
            return
        entry.wasted_at = now

    def _find(self, route: str, now: float) -> _RouteLimit | None:
        entry = self._routes.get(route)
        if entry is None:
            return None
        if now - entry.wasted_at > END_AFTER_S:
            del self._routes[route]
            return None
        while entry.starts and entry.starts[0] <= now - WINDOW_S:
            entry.starts.popleft()
        return entry
