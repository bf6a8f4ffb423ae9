"""The suspicions that hosts have raised about each other."""

from collections.abc import Iterator
from dataclasses import dataclass

from corianderwall.membership.messages import Suspicion


@dataclass(slots=True)
class _Entry:
    suspicion: Suspicion
    expires_at: float


class SuspicionTable:
    """The newest word of each accuser about each subject; words lapse when not repeated."""

    def __init__(self, life_s: float) -> None:
        self._life_s = life_s
        self._by_subject: dict[str, dict[str, _Entry]] = {}

    def store(self, suspicion: Suspicion, now: float) -> bool:
        """Store a suspicion and return whether it was news."""
        entries = self._by_subject.setdefault(suspicion.subject, {})
        held = entries.get(suspicion.accuser)
        if held is not None and held.suspicion.sequence >= suspicion.sequence:
            return False
        entries[suspicion.accuser] = _Entry(suspicion, now + self._life_s)
        return True

    def list_accusers(self, subject: str, incarnation: int) -> list[str]:
        """Return who now suspects this incarnation of a host."""
        entries = self._by_subject.get(subject, {})
        return [
            accuser
            for accuser, entry in entries.items()
            if entry.suspicion.active and entry.suspicion.incarnation >= incarnation
        ]

    def iterate_subjects(self) -> Iterator[str]:
        """Iterate over the hosts that somebody has spoken of."""
        return iter(list(self._by_subject))

    def list_active(self) -> list[Suspicion]:
        """Return all suspicions that have not been taken back."""
        return [
            entry.suspicion
            for entries in self._by_subject.values()
            for entry in entries.values()
            if entry.suspicion.active
        ]

    def expire(self, now: float) -> bool:
        """Forget words that were not repeated; return whether any was forgotten."""
        forgotten = False
        for subject, entries in list(self._by_subject.items()):
            lapsed = [accuser for accuser, entry in entries.items() if entry.expires_at <= now]
            for accuser in lapsed:
                del entries[accuser]
                forgotten = True
            if not entries:
                del self._by_subject[subject]
        return forgotten
