"""A node's evidence on a move: call counts and latencies of both versions by route, place and load.

Calls of the new version are counted by endpoint. Calls of the old version are counted by zone,
since an endpoint is compared with the old version in its zone. Counts never decrease, which
makes reports of them idempotent.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from corianderwall.model.outcome import AttemptOutcome
from corianderwall.model.resource import Move
from corianderwall.moves.histogram import BUCKET_COUNT, find_bucket

MAX_ROUTES = 16
MAX_PLACES = 48
OTHERS = ""
"""Common name under which all routes or places beyond the limits are counted."""

LOAD_LEVELS = 4
"""Levels are 0-1, 2-3, 4-7 and 8 or more outstanding calls from this node to the endpoint."""

MAX_TRACKED_SUBSCRIBERS = 64
EXCLUSION_MIN_CALLS = 6
"""Minimum calls of a subscriber to the old version before its failures can be excluded."""

_LEVEL_BY_OUTSTANDING = (0, 0, 1, 1, 2, 2, 2, 2, 3)


class CellKey(NamedTuple):
    """Key of a cell; `place` is an endpoint of the new version or a zone of the old version."""

    is_new: bool
    route: str
    place: str
    level: int


class Cell:
    """Counts of the calls with the same key.

    `buckets` is a histogram of the latencies of successful calls, except to warming endpoints.
    """

    __slots__ = ("buckets", "calls", "failures", "refusals")

    def __init__(self) -> None:
        self.calls = 0
        self.failures = 0
        self.refusals = 0
        self.buckets = [0] * BUCKET_COUNT

    def add(self, other: "Cell") -> None:
        """Add the counts of `other`."""
        self.calls += other.calls
        self.failures += other.failures
        self.refusals += other.refusals
        buckets = self.buckets
        for bucket, count in enumerate(other.buckets):
            if count:
                buckets[bucket] += count

    @property
    def total(self) -> int:
        """Return the sum of calls and refusals, which grows with every recorded outcome."""
        return self.calls + self.refusals


Window = Mapping[CellKey, Cell]
"""The calls of one time window."""


@dataclass(slots=True)
class _SubscriberTally:
    calls: int = 0
    failures: int = 0


@dataclass(slots=True)
class MoveEvidence:
    """The cumulative evidence of one node on one running move.

    `zones` maps endpoints to zones. The latency of `warming` endpoints, which started recently,
    is not counted. Calls of `ejected` endpoints are not counted at all.
    """

    move: Move
    zones: Mapping[str, str]
    warming: frozenset[str] = frozenset()
    ejected: frozenset[str] = frozenset()
    new_failures: int = 0
    cells: dict[CellKey, Cell] = field(default_factory=dict)
    _routes: set[str] = field(default_factory=set)
    _places: set[str] = field(default_factory=set)
    _subscriber_tallies: dict[str, _SubscriberTally] = field(default_factory=dict)

    def record(self, outcome: AttemptOutcome) -> None:
        """Count one attempt; this runs for every call of the service, so it must be fast."""
        if outcome.cancelled:
            return
        is_new = outcome.version == self.move.to_version
        if not is_new and outcome.version != self.move.from_version:
            return
        if outcome.endpoint in self.ejected:
            return
        cell = self._find_cell(is_new, outcome)
        if outcome.refused:
            cell.refusals += 1
            return
        failed = outcome.is_failure
        if (failed or self._subscriber_tallies) and self._is_excluded(
            is_new, failed, outcome.subscriber
        ):
            return
        cell.calls += 1
        if failed:
            cell.failures += 1
            self.new_failures += is_new
        elif outcome.endpoint not in self.warming:
            cell.buckets[find_bucket(outcome.latency_s)] += 1

    def _find_cell(self, is_new: bool, outcome: AttemptOutcome) -> Cell:
        outstanding = outcome.outstanding
        level = _LEVEL_BY_OUTSTANDING[outstanding] if outstanding < 8 else 3
        place = outcome.endpoint if is_new else self.zones.get(outcome.endpoint, OTHERS)
        cell = self.cells.get(CellKey(is_new, outcome.route, place, level))
        if cell is None:
            cell = self._add_cell(CellKey(is_new, outcome.route, place, level))
        return cell

    def _add_cell(self, key: CellKey) -> Cell:
        route = _limit_name(self._routes, key.route, MAX_ROUTES)
        place = _limit_name(self._places, key.place, MAX_PLACES)
        return self.cells.setdefault(CellKey(key.is_new, route, place, key.level), Cell())

    def _is_excluded(self, is_new: bool, failed: bool, subscriber: str) -> bool:
        """Return whether most of the subscriber's calls fail at the old version too."""
        tally = self._subscriber_tallies.get(subscriber)
        if tally is None:
            if is_new or len(self._subscriber_tallies) >= MAX_TRACKED_SUBSCRIBERS:
                return False
            tally = self._subscriber_tallies[subscriber] = _SubscriberTally()
        if not is_new:
            tally.calls += 1
            tally.failures += failed
        return tally.calls >= EXCLUSION_MIN_CALLS and tally.failures * 2 > tally.calls


class EvidenceRecorder:
    """The evidence of one node by service; a service without a running move costs one lookup."""

    def __init__(self) -> None:
        self._by_service: dict[str, MoveEvidence] = {}

    def record(self, outcome: AttemptOutcome) -> None:
        """Count one attempt if its service has a running move."""
        evidence = self._by_service.get(outcome.service)
        if evidence is not None:
            evidence.record(outcome)

    def update(self, running: Iterable[Move], zones: Mapping[str, str]) -> None:
        """Keep evidence only for the `running` moves; `zones` maps endpoints to zones."""
        kept: dict[str, MoveEvidence] = {}
        for move in running:
            evidence = self._by_service.get(move.service)
            if evidence is None or evidence.move.id != move.id:
                evidence = MoveEvidence(move=move, zones=zones)
            evidence.move = move
            evidence.zones = zones
            kept[move.service] = evidence
        self._by_service = kept

    def find(self, service: str) -> MoveEvidence | None:
        """Return the evidence on the service's running move, if it has one."""
        return self._by_service.get(service)

    def list_all(self) -> list[MoveEvidence]:
        """Return the evidence of every running move."""
        return list(self._by_service.values())


def _limit_name(known: set[str], name: str, limit: int) -> str:
    if name in known:
        return name
    if len(known) >= limit:
        return OTHERS
    known.add(name)
    return name
