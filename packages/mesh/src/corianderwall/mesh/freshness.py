"""How long ago it was certain that no newer configuration than the active one existed."""

import math

DEFAULT_BOUND_S = 2.5
"""The platform's bound on the time after which a configuration is active everywhere."""
WATCH_FRACTION = 0.8
"""Fraction of the bound after which a watch ends, so that its result is in time; the rest covers
the pause before the next watch and the way of the response."""
MIN_WATCH_S = 0.25
"""Shortest watch; with the pause between watches at most two requests a second."""


class ConfigurationFreshness:
    """The latest instant at which the store had no newer version than the active one.

    Versions only grow, so a later version takes over the instants of the earlier ones. Instants are
    monotonic seconds of this host.
    """

    def __init__(self, bound_s: float = DEFAULT_BOUND_S) -> None:
        self._bound_s = bound_s
        self._confirmed_at = -math.inf
        self._distrusted_until = -math.inf

    def confirm(self, at: float, now: float) -> None:
        """Record that the store had no newer version at `at`."""
        if now >= self._distrusted_until:
            self._confirmed_at = max(self._confirmed_at, at)

    def distrust_store(self, now: float) -> None:
        """Ignore the store for a while, since it has come back from an earlier copy.

        It may have lost a version that this node lacks; peers that have it send it meanwhile.
        """
        self._distrusted_until = now + self._bound_s

    def merge(self, age_ms: float | None, asked_at: float) -> None:
        """Take over the age that a peer with no newer version has sent after `asked_at`.

        The age is counted from the request, because a response may be read long after it came in.
        """
        if age_ms is not None:
            self._confirmed_at = max(self._confirmed_at, asked_at - age_ms / 1000)

    def compute_age_ms(self, now: float) -> float | None:
        """Return the age for a peer, None without any confirmation."""
        if math.isinf(self._confirmed_at):
            return None
        return round((now - self._confirmed_at) * 1000, 1)

    def is_fresh(self, now: float) -> bool:
        """Return whether a version that has to be active everywhere can't be missing here."""
        return now - self._confirmed_at <= self._bound_s

    def limit_watch(self, longest_s: float, now: float) -> float:
        """Return how long a watch may wait to confirm the version before the last time expires."""
        left_s = self._confirmed_at + self._bound_s * WATCH_FRACTION - now
        return max(MIN_WATCH_S, min(longest_s, left_s))
