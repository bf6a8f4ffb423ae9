"""The suspicions that hosts have reported about each other."""

from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

from corianderwall.membership.messages import Suspicion


@dataclass(slots=True)
class _Entry:
    suspicion: Suspicion
    expires_at: float


class SuspicionTable:
    """Keeps the newest suspicion of each accuser about each subject until it expires."""

    def __init__(self, life_s: float) -> None:
        self._life_s = life_s
        self._by_subject: dict[str, dict[str, _Entry]] = {}
        self.digest = 0
        """The 64-bit digest of the active suspicions, 0 if there are none."""

    def store(self, suspicion: Suspicion, now: float) -> bool:
        """Store a suspicion and return whether it is newer than the current one."""
        entries = self._by_subject.setdefault(suspicion.subject, {})
        held = entries.get(suspicion.accuser)
        if held is not None and held.suspicion.sequence >= suspicion.sequence:
            return False
        if held is not None:
            self._toggle(held.suspicion)
        self._toggle(suspicion)
        entries[suspicion.accuser] = _Entry(suspicion, now + self._life_s)
        return True

    def forget_accuser(self, accuser: str, before_sequence: int) -> None:
        """Delete the suspicions of an accuser with a sequence below `before_sequence`.

        These are from an earlier session of the accuser, or from a host that has died or left.
        """
        for entries in self._by_subject.values():
            entry = entries.get(accuser)
            if entry is not None and entry.suspicion.sequence < before_sequence:
                self._toggle(entry.suspicion)
                del entries[accuser]

    def list_accusers(self, subject: str, incarnation: int) -> list[str]:
        """Return the hosts that currently suspect this incarnation of a host."""
        entries = self._by_subject.get(subject, {})
        return [
            accuser
            for accuser, entry in entries.items()
            if entry.suspicion.active and entry.suspicion.incarnation >= incarnation
        ]

    def iterate_subjects(self) -> Iterator[str]:
        """Iterate over the hosts with stored suspicions, including withdrawn ones."""
        return iter(list(self._by_subject))

    def list_all(self) -> list[Suspicion]:
        """Return the newest suspicion of each accuser about each subject, also withdrawn ones."""
        return [
            entry.suspicion for entries in self._by_subject.values() for entry in entries.values()
        ]

    def expire(self, now: float) -> bool:
        """Delete suspicions that were not repeated in time; return whether there were any."""
        forgotten = False
        for subject, entries in list(self._by_subject.items()):
            expired = [accuser for accuser, entry in entries.items() if entry.expires_at <= now]
            for accuser in expired:
                self._toggle(entries[accuser].suspicion)
                del entries[accuser]
                forgotten = True
            if not entries:
                del self._by_subject[subject]
        return forgotten

    def _toggle(self, suspicion: Suspicion) -> None:
        if suspicion.active:
            key = f"{suspicion.accuser}/{suspicion.subject}/{suspicion.sequence}"
            self.digest ^= xxhash.xxh3_64_intdigest(key.encode())
