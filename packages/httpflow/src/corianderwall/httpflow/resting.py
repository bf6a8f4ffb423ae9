"""Learns how long connections to one upstream may rest before their reuse is a risk."""

import math
from dataclasses import dataclass

MIN_REST_S = 0.05
"""Shortest rest after which a reset is put down to it; below, the upstream has another fault."""
DROP_WITHIN_S = 0.1
"""Time from the request to the reset of a forgotten connection; some round trips on one host."""
SAFE_FRACTION = 0.5
"""Fraction of the rest of a dropped connection that counts as safe, since the upstream may have
dropped it long before it was used."""
PROVEN_FRACTION = 0.9
"""Fraction of a rest that worked that counts as safe; upstreams check their timeouts now and then.
"""
TRIAL_AFTER_S = 60.0
"""Time after a drop from which an idempotent call may try as long a rest again."""
FORGET_AFTER_S = 600.0
"""Time after the last drop at which it no longer counts, if no idempotent call has tried again."""


@dataclass(slots=True)
class ConnectionHistory:
    """The connections opened to one upstream, and those that it dropped without notice.

    A drop counts at once, but `forget_suspected` takes it back if no call was answered since: an
    upstream that crashes resets all its connections, rested or not. All instants are monotonic
    seconds, all rests seconds.
    """

    max_rest_s: float
    max_non_idempotent_rest_s: float
    opened: int = 0
    drops: int = 0
    _dropped_at: float = -math.inf
    _dropped_after_s: float = math.inf
    _suspected_at: float = -math.inf
    _suspected_after_s: float = math.inf
    _proven_s: float = 0.0

    def limit_rest_s(self, *, idempotent: bool, now: float) -> float:
        """Return how long a connection may have rested if a call is to reuse it."""
        dropped_after_s = min(self._dropped_after_s, self._suspected_after_s)
        since_s = now - max(self._dropped_at, self._suspected_at)
        if idempotent:
            limit_s = dropped_after_s if since_s < TRIAL_AFTER_S else math.inf
            return min(self.max_rest_s, limit_s)
        if since_s >= FORGET_AFTER_S:
            return self.max_non_idempotent_rest_s
        limit_s = max(dropped_after_s * SAFE_FRACTION, self._proven_s * PROVEN_FRACTION)
        return min(self.max_non_idempotent_rest_s, limit_s)

    def record_drop(self, rest_s: float, now: float) -> None:
        """Record that a connection was reset instead of taking a call after `rest_s`."""
        self.drops += 1
        self._suspected_at = now
        self._suspected_after_s = min(self._suspected_after_s, rest_s)
        if self._proven_s >= rest_s:
            self._proven_s = 0.0

    def record_response(self, rest_s: float, started: float) -> None:
        """Record the response to a call sent at `started` after a rest of `rest_s`."""
        if started > self._suspected_at and self._suspected_after_s < math.inf:
            self._dropped_after_s = min(self._dropped_after_s, self._suspected_after_s)
            self._dropped_at = self._suspected_at
            self._suspected_after_s = math.inf
        if started <= self._dropped_at:
            return
        if rest_s >= self._dropped_after_s:
            self._dropped_after_s = math.inf
            self._proven_s = 0.0
        elif self._dropped_after_s < math.inf:
            self._proven_s = max(self._proven_s, rest_s)

    def forget_suspected(self) -> None:
        """Forget drops since the last response, as the upstream has crashed."""
        self._suspected_at = -math.inf
        self._suspected_after_s = math.inf
