"""How big the answers of each route are."""

from dataclasses import dataclass, field

SIZE_WEIGHT = 0.2
"""Weight of the newest answer in the mean size of a route's answers."""


@dataclass(slots=True)
class AnswerSizes:
    """The mean size of each route's answers, in bytes; newer ones count more."""

    _means: dict[str, float] = field(default_factory=dict)

    def note(self, route: str, size: int) -> None:
        """Take the size of one more answer of `route`."""
        kept = self._means.get(route, float(size))
        self._means[route] = kept + SIZE_WEIGHT * (size - kept)

    def estimate(self, route: str) -> float:
        """Return the expected size of an answer of `route`, 0 if none has been seen."""
        return self._means.get(route, 0.0)
