"""Decides how many owners are asked for a free slot before a call is queued at one of them.

Load pattern: a service is full for seconds. Then nearly every question for a free slot is refused,
and each costs a message both ways, often to another zone, and processor time at two hosts.
"""

import math
from dataclasses import dataclass, field

from corianderwall.mesh.selection import MAX_PROBES

MIN_PROBES = 1
"""Owners that are asked at least; their answers are fresh loads for the choice of a queue."""
MEMORY_S = 1.0
"""Time constant of the refused share; slots become free within about a call time."""
FULL_SHARE = 0.7
"""Refused share from which one question less is asked: of three in a row one would succeed with a
probability of 0.66 at most, and a queue starts a call at once too if it finds a free slot."""
VERY_FULL_SHARE = 0.95
"""Refused share from which only `MIN_PROBES` owners are asked."""


@dataclass(slots=True)
class _Share:
    refused: float = 0.0
    asked: float = 0.0
    updated_at: float = -math.inf

    def decay(self, now: float) -> None:
        if now > self.updated_at:
            kept = math.exp((self.updated_at - now) / MEMORY_S)
            self.refused *= kept
            self.asked *= kept
            self.updated_at = now


@dataclass(slots=True)
class ProbePolicy:
    """Remembers by service which share of the questions for a free slot was refused lately.

    Instants are monotonic seconds.
    """

    _shares: dict[str, _Share] = field(default_factory=dict)

    def record(self, service: str, now: float, *, refused: bool) -> None:
        """Record the answer of an owner that was asked for a free slot."""
        share = self._shares.setdefault(service, _Share())
        share.decay(now)
        share.asked += 1.0
        share.refused += refused

    def limit_probes(self, service: str, now: float) -> int:
        """Return how many owners to ask for a free slot of `service`."""
        share = self._shares.get(service)
        if share is None:
            return MAX_PROBES
        share.decay(now)
        # The added question keeps single answers after a pause from deciding.
        refused = share.refused / (share.asked + 1.0)
        if refused >= VERY_FULL_SHARE:
            return MIN_PROBES
        return MAX_PROBES - 1 if refused >= FULL_SHARE else MAX_PROBES
