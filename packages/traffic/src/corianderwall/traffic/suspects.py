"""Remembers which requests ran at endpoints that crashed, and keeps the worst from endpoints."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
import xxhash

QUARANTINE_CRASHES = 3
"""Crashes, with no complete response since, after which a request gets to no endpoint."""
QUARANTINES_S = (30.0, 600.0, 86_400.0)
"""Time in quarantine before the first trial of a request, before the second and before each later
one."""
RETENTION_S = 600.0
"""Time after its last crash for which a request that is not in quarantine is remembered."""
MAX_SUSPECTS = 1024
"""Requests that are remembered; an endpoint that crashes adds as many as it has slots."""
MAX_OWN_STARTS = 64
"""Starts of the endpoint beside this node whose crashes this node remembers as its own."""
MAX_CRASHES = 8
"""Crashes that are remembered of each request; more than it takes for its quarantine."""


class SuspectRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A request that ran at endpoints when they crashed, by its fingerprint.

    `crashes` and `refuted` are starts of endpoints; a complete response since has refuted the
    latter. `trials` counts the times that it was sent after a quarantine, `age_s` is the time since
    the last crash or trial.
    """

    fingerprint: str
    crashes: tuple[str, ...]
    refuted: tuple[str, ...]
    trials: int
    age_s: float


def choose_for_trial(fingerprint: str, endpoints: Iterable[str]) -> str:
    """Return the one of `endpoints` that gets the trial of a request, the same at all nodes.

    Its owner admits one trial at a time, so entries that try the request together send it once.
    """
    return min(endpoints, key=lambda name: xxhash.xxh3_64_intdigest((fingerprint + name).encode()))


@dataclass(slots=True)
class _Suspect:
    """The crashes of a request by start, with whether a complete response has refuted each.

    `changed_at` is the time of the last crash, trial or response, `learned_at` the time at which
    this node got to know of it, both in monotonic seconds.
    """

    changed_at: float
    learned_at: float
    crashes: dict[str, bool] = field(default_factory=dict)
    trials: int = 0

    @property
    def count(self) -> int:
        """Return the number of crashes for which the request may be the cause."""
        return list(self.crashes.values()).count(False)

    @property
    def first_crash(self) -> str:
        """Return the first start by name that crashed, the same at all nodes."""
        return min(start for start, refuted in self.crashes.items() if not refuted)

    @property
    def needs_trial(self) -> bool:
        """Return whether the request has crashed too many endpoints to be sent as any other."""
        return self.count >= QUARANTINE_CRASHES

    @property
    def released_at(self) -> float:
        """Return when the quarantine of a request that needs a trial ends."""
        return self.changed_at + QUARANTINES_S[min(self.trials, len(QUARANTINES_S) - 1)]

    @property
    def expires_at(self) -> float:
        """Return when the request is forgotten."""
        return self.changed_at + (QUARANTINES_S[-1] if self.needs_trial else RETENTION_S)


class Suspects:
    """The requests under which endpoints have crashed, as far as this node knows.

    Each call that was running is a suspect, as nothing tells which of them was the cause. A
    complete response shows that a request is not. After its quarantine a request is tried again, so
    that one that was only beside the cause three times is served again.

    Records merge in any order, so that lost, repeated or late messages do no harm. `unsaved` are
    the requests whose quarantine this node has to write to the platform or to delete there.
    """

    def __init__(self) -> None:
        self.unsaved: set[str] = set()
        self._saved: set[str] = set()
        self._own_starts: dict[str, None] = {}
        self._suspects: dict[str, _Suspect] = {}
        self._digest = ""

    @property
    def is_empty(self) -> bool:
        """Return whether no request needs to be looked up."""
        return not self._suspects

    def count_quarantined(self) -> int:
        """Return the number of requests that are in quarantine or wait for a trial."""
        return sum(suspect.needs_trial for suspect in self._suspects.values())

    def knows(self, fingerprint: str) -> bool:
        """Return whether anything is remembered of the request."""
        return fingerprint in self._suspects

    def count_crashes(self, fingerprint: str) -> int:
        """Return the number of endpoints that crashed while they ran the request."""
        suspect = self._suspects.get(fingerprint)
        return suspect.count if suspect is not None else 0

    def needs_trial(self, fingerprint: str) -> bool:
        """Return whether the request may only be sent as a trial, once its quarantine has ended."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.needs_trial

    def find_release(self, fingerprint: str, now: float) -> float | None:
        """Return when the quarantine of a request ends, None if it is in none."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.needs_trial or now >= suspect.released_at:
            return None
        return suspect.released_at

    def record_crash(
        self, start: str, fingerprints: Iterable[str], now: float
    ) -> tuple[SuspectRecord, ...]:
        """Record the crash of a start of an endpoint that ran these; return what has changed.

        If some of them are known for their crashes, the others were only beside them.
        """
        running = set(fingerprints)
        known = {each for each in running if self.needs_trial(each)}
        self._own_starts[start] = None
        if len(self._own_starts) > MAX_OWN_STARTS:
            del self._own_starts[next(iter(self._own_starts))]
        changed = []
        for fingerprint in sorted(known or running):
            suspect = self._suspects.get(fingerprint)
            if suspect is None:
                suspect = self._suspects[fingerprint] = _Suspect(now, now)
            suspect.crashes.setdefault(start, False)
            if suspect.count == QUARANTINE_CRASHES:
                self.unsaved.add(fingerprint)
            suspect.changed_at = suspect.learned_at = now
            _limit_crashes(suspect)
            changed.append(_make_record(fingerprint, suspect, now))
        self._apply_change()
        return tuple(changed)

    def start_trial(self, fingerprint: str, now: float) -> tuple[SuspectRecord, ...]:
        """Begin the next quarantine with a trial, so that no other node tries the request."""
        suspect = self._suspects[fingerprint]
        suspect.trials += 1
        self.unsaved.add(fingerprint)
        suspect.changed_at = suspect.learned_at = now
        self._apply_change()
        return (_make_record(fingerprint, suspect, now),)

    def record_response(self, fingerprint: str, now: float) -> tuple[SuspectRecord, ...]:
        """Record a complete response to a request; return what has changed."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.count:
            return ()
        if suspect.needs_trial:
            self.unsaved.add(fingerprint)
        suspect.crashes = dict.fromkeys(suspect.crashes, True)
        suspect.changed_at = suspect.learned_at = now
        self._apply_change()
        return (_make_record(fingerprint, suspect, now),)

    def merge(self, records: Iterable[SuspectRecord], now: float) -> None:
        """Merge what a peer knows."""
        for record in records:
            self._merge_record(record, now)

    def list_records(self, now: float, since: float = -math.inf) -> tuple[SuspectRecord, ...]:
        """Return what this node has learned since that time, for a peer."""
        return tuple(
            _make_record(name, each, now)
            for name, each in self._suspects.items()
            if each.learned_at >= since
        )

    def compute_digest(self) -> str:
        """Return a digest of all crashes and trials, empty if there are none."""
        if not self._digest and self._suspects:
            lines = sorted(
                f"{name}:{sorted(each.crashes.items())}:{each.trials}"
                for name, each in self._suspects.items()
            )
            self._digest = xxhash.xxh3_64_hexdigest("\n".join(lines).encode())
        return self._digest

    def remove_expired(self, now: float) -> None:
        """Forget requests whose last crash or trial was long ago."""
        for name, suspect in list(self._suspects.items()):
            if now >= suspect.expires_at:
                del self._suspects[name]
                self._digest = ""
                if name in self._saved:
                    self.unsaved.add(name)

    def take_unsaved(self, now: float) -> tuple[str, SuspectRecord | None]:
        """Return a request of `unsaved`, with its record if it is to be written, not deleted."""
        fingerprint = self.unsaved.pop()
        if not self.needs_trial(fingerprint):
            self._saved.discard(fingerprint)
            return fingerprint, None
        self._saved.add(fingerprint)
        return fingerprint, _make_record(fingerprint, self._suspects[fingerprint], now)

    def restore_saved(self) -> None:
        """Have all quarantines written again that this node has written."""
        self.unsaved |= self._saved

    def _merge_record(self, record: SuspectRecord, now: float) -> None:
        merged = _Suspect(
            changed_at=now - record.age_s,
            learned_at=now,
            crashes=dict.fromkeys(record.crashes, False) | dict.fromkeys(record.refuted, True),
            trials=record.trials,
        )
        own = self._suspects.get(record.fingerprint)
        if own is None:
            if now < merged.expires_at:
                self._suspects[record.fingerprint] = merged
                self._apply_change()
            return
        crashes = {
            start: own.crashes.get(start, False) or merged.crashes.get(start, False)
            for start in own.crashes | merged.crashes
        }
        trials = max(own.trials, merged.trials)
        if (crashes, trials) == (own.crashes, own.trials):
            return
        # An age grows by the time of its message, so it counts only with something new.
        own.changed_at = max(own.changed_at, merged.changed_at)
        own.learned_at = now
        needed_trial = own.needs_trial
        own.crashes, own.trials = crashes, trials
        _limit_crashes(own)
        # Of the owners that learn of the third crash by a message, just one writes it.
        if own.needs_trial and not needed_trial and own.first_crash in self._own_starts:
            self.unsaved.add(record.fingerprint)
        self._apply_change()

    def _apply_change(self) -> None:
        self._digest = ""
        while len(self._suspects) > MAX_SUSPECTS:
            least = min(
                self._suspects,
                key=lambda name: (self._suspects[name].count, self._suspects[name].changed_at),
            )
            del self._suspects[least]


def _limit_crashes(suspect: _Suspect) -> None:
    """Drop crashes beyond `MAX_CRASHES`, refuted ones first, and the same ones at each node."""
    if len(suspect.crashes) > MAX_CRASHES:
        ordered = sorted(suspect.crashes, key=lambda start: (suspect.crashes[start], start))
        suspect.crashes = {start: suspect.crashes[start] for start in ordered[:MAX_CRASHES]}


def _make_record(fingerprint: str, suspect: _Suspect, now: float) -> SuspectRecord:
    return SuspectRecord(
        fingerprint=fingerprint,
        crashes=tuple(start for start, refuted in suspect.crashes.items() if not refuted),
        refuted=tuple(start for start, refuted in suspect.crashes.items() if refuted),
        trials=suspect.trials,
        age_s=round(max(0.0, now - suspect.changed_at), 3),
    )
