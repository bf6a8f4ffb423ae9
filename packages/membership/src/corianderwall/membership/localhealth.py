"""Detects that this node itself may be isolated or was paused."""

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

SAMPLES_KEPT = 20
SAMPLES_PER_ROUND = 4
SAMPLE_WAIT_S = 1.0


@dataclass(slots=True)
class _Sample:
    name: str
    asked_at: float
    has_response: bool = False


class LocalHealth:
    """Decides whether the silence of other hosts may be caused by this node itself.

    A node that hears less than half of its neighbours in its region sends heartbeats to random
    hosts of the region and suspects nobody until enough of them have responded. With a single
    neighbour a node cannot tell which side has failed, so it trusts itself.
    """

    def __init__(self, fraction_min: float, rng: random.Random, grace_until: float) -> None:
        self._fraction_min = fraction_min
        self._rng = rng
        self._grace_until = grace_until
        self._samples: deque[_Sample] = deque(maxlen=SAMPLES_KEPT)
        self._next_round_at = 0.0
        self._is_majority_silent = False

    def record_pause(self, grace_until: float) -> None:
        """Suspect nobody until `grace_until`, since this process was paused and heard nothing."""
        self._grace_until = max(self._grace_until, grace_until)
        self._samples.clear()

    def record_heard(self, name: str) -> None:
        """Count the response of a sampled host."""
        for sample in self._samples:
            if sample.name == name:
                sample.has_response = True

    def update(self, silent: int, watched: int, candidates: Sequence[str], now: float) -> list[str]:
        """Return the hosts to sample now, given how many of the watched hosts are silent."""
        self._is_majority_silent = watched > 1 and silent * 2 > watched
        if not self._is_majority_silent:
            self._samples.clear()
            return []
        if now < self._next_round_at or not candidates:
            return []
        self._next_round_at = now + SAMPLE_WAIT_S
        names = self._rng.sample(list(candidates), min(SAMPLES_PER_ROUND, len(candidates)))
        self._samples.extend(_Sample(name, now) for name in names)
        return names

    def is_in_grace(self, now: float) -> bool:
        """Return whether this process was started or paused too recently to suspect others."""
        return now < self._grace_until

    def may_be_isolated(self, now: float) -> bool:
        """Return whether this node must not suspect hosts of its region."""
        if self.is_in_grace(now):
            return True
        if not self._is_majority_silent:
            return False
        due = [sample for sample in self._samples if now - sample.asked_at >= SAMPLE_WAIT_S]
        if len(due) < SAMPLES_PER_ROUND:
            return True
        responded = sum(sample.has_response for sample in due)
        return responded < self._fraction_min * len(due)
