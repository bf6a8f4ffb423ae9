"""Tracks the response sizes of each route."""

from dataclasses import dataclass, field

SIZE_WEIGHT = 0.2
"""Weight of the newest response in the mean response size of a route."""


@dataclass(slots=True)
class ResponseSizes:
    """Exponentially weighted mean of the response sizes of each route, in bytes."""

    _means: dict[str, float] = field(default_factory=dict)

    def record(self, route: str, size: int) -> None:
        """Record the size of a response on `route`."""
        previous = self._means.get(route, float(size))
        self._means[route] = previous + SIZE_WEIGHT * (size - previous)

    def estimate(self, route: str) -> float:
        """Return the expected size of a response on `route`, 0 if none is recorded."""
        return self._means.get(route, 0.0)
