"""The baseline of a move: the old version's failure rates and latencies by route, zone and load."""

from collections import deque
from dataclasses import dataclass, field
from math import sqrt
from typing import NamedTuple

from corianderwall.moves.evidence import LOAD_LEVELS, CellKey, Window
from corianderwall.moves.histogram import BUCKET_COUNT, count_above, find_quantile

RECENT_WINDOW_COUNTS = (1, 2, 6, 60)
"""Numbers of recent windows with old-version calls that are checked for changes in behaviour."""

PRIOR_CALLS = 20.0
"""Weight, in calls, of a wider group's rate when the rate of a narrower one is estimated."""

MARGIN_STANDARD_ERRORS = 1.5
"""Standard errors added to an estimated rate as a margin."""

STALE_WINDOWS = 4
"""Windows without calls of the old version after which it no longer serves as a control group."""

NO_CONTROL_FAILURE_ALLOWANCE = 0.03
NO_CONTROL_LATENCY_FACTOR = 1.2
"""Allowances while there is no control group, since a change may then affect both versions."""

MIN_QUANTILE_CALLS = 40
MIN_SHIFT_CALLS = 8
LEVEL_GAP_FACTOR = 1.4
"""Latency factor per load level, if only lower levels have data on the old version."""

SIGNIFICANT_STANDARD_ERRORS = 2.0
"""Standard errors from which a recent change of the old version is significant."""

ANY = "*"
ANY_LEVEL = -1


class Stratum(NamedTuple):
    """A group of the old version's calls; `ANY` and `ANY_LEVEL` match all values of a field."""

    route: str
    zone: str
    level: int


class _QuantileKey(NamedTuple):
    stratum: Stratum
    quantile: float


ALL_CALLS = Stratum(ANY, ANY, ANY_LEVEL)


@dataclass(slots=True)
class _Tally:
    calls: int = 0
    failures: int = 0
    buckets: list[int] = field(default_factory=lambda: [0] * BUCKET_COUNT)

    def add(self, other: "_SparseCell", sign: int) -> None:
        self.calls += sign * other.calls
        self.failures += sign * other.failures
        buckets = self.buckets
        for bucket, count in other.pairs:
            buckets[bucket] += sign * count


@dataclass(frozen=True, slots=True)
class _SparseCell:
    strata: tuple[Stratum, ...]
    groups: tuple[Stratum, ...]
    calls: int
    failures: int
    pairs: tuple[tuple[int, int], ...]


@dataclass(slots=True)
class Baseline:
    """Counts of the old version's calls since the move's start and over its recent windows.

    While the old version has no calls, as at full share, its last calls remain the baseline.
    """

    _totals: dict[Stratum, _Tally] = field(default_factory=dict)
    _recent: tuple[dict[Stratum, _Tally], ...] = field(
        default_factory=lambda: tuple({} for _ in RECENT_WINDOW_COUNTS)
    )
    _stale_windows: int = 0
    _windows: deque[list[_SparseCell]] = field(default_factory=deque)
    _quantiles: dict[_QuantileKey, float] = field(default_factory=dict)
    _latency_shifts: dict[_QuantileKey, float] = field(default_factory=dict)
    _failure_shifts: dict[Stratum, float] = field(default_factory=dict)

    def add_window(self, window: Window) -> None:
        """Count the old version's calls in a window."""
        added = [
            _build_sparse_cell(key, cell.calls, cell.failures, cell.buckets)
            for key, cell in window.items()
            if not key.is_new and cell.calls
        ]
        self._stale_windows = 0 if added else self._stale_windows + 1
        if not added:
            if self._stale_windows == STALE_WINDOWS:
                self._quantiles.clear()
            return
        self._quantiles.clear()
        self._latency_shifts.clear()
        self._failure_shifts.clear()
        self._windows.append(added)
        for sparse in added:
            _add_to_tallies(self._totals, sparse.strata, sparse, 1)
        for window_count, recent in zip(RECENT_WINDOW_COUNTS, self._recent, strict=True):
            for sparse in added:
                _add_to_tallies(recent, sparse.groups, sparse, 1)
            if len(self._windows) > window_count:
                for sparse in self._windows[-window_count - 1]:
                    _add_to_tallies(recent, sparse.groups, sparse, -1)
        if len(self._windows) > RECENT_WINDOW_COUNTS[-1]:
            self._windows.popleft()

    @property
    def calls(self) -> int:
        """Return the number of counted calls of the old version."""
        total = self._totals.get(ALL_CALLS)
        return total.calls if total else 0

    @property
    def has_recent_calls(self) -> bool:
        """Return whether the old version had calls recently; at full share it usually hasn't."""
        return self._stale_windows < STALE_WINDOWS

    def estimate_failure_rate(self, stratum: Stratum) -> float:
        """Return the old version's failure rate in `stratum`, including any recent rise."""
        rate, _ = self._estimate(stratum)
        return min(1.0, rate + self._find_failure_shift(stratum))

    def bound_failure_rate(self, stratum: Stratum) -> float:
        """Return an upper bound of the old version's failure rate in `stratum`."""
        rate, weight = self._estimate(stratum)
        margin = MARGIN_STANDARD_ERRORS * sqrt(rate * (1 - rate) / (weight + PRIOR_CALLS))
        allowance = 0.0 if self.has_recent_calls else NO_CONTROL_FAILURE_ALLOWANCE
        return min(1.0, rate + margin + allowance + self._find_failure_shift(stratum))

    def find_latency(self, stratum: Stratum, quantile: float) -> float:
        """Return a quantile of the old version's latency in seconds, or 0 with too little data."""
        key = _QuantileKey(stratum, quantile)
        cached = self._quantiles.get(key)
        if cached is None:
            cached = self._compute_latency(stratum, quantile)
            self._quantiles[key] = cached
        return cached

    def _compute_latency(self, stratum: Stratum, quantile: float) -> float:
        usual = 0.0
        for level in range(stratum.level, -1, -1):
            usual = self._find_level_latency(stratum._replace(level=level), quantile)
            if usual > 0:
                usual *= LEVEL_GAP_FACTOR ** (stratum.level - level)
                break
        if usual == 0:
            usual = self._find_group_latency(ALL_CALLS, quantile)
        allowance = 1.0 if self.has_recent_calls else NO_CONTROL_LATENCY_FACTOR
        return usual * allowance * self._find_latency_shift(stratum, quantile)

    def _find_level_latency(self, stratum: Stratum, quantile: float) -> float:
        narrow = self._find_group_latency(stratum, quantile)
        return narrow or self._find_group_latency(stratum._replace(zone=ANY), quantile)

    def _find_group_latency(self, stratum: Stratum, quantile: float) -> float:
        tally = self._totals.get(stratum)
        if tally is None or tally.calls < MIN_QUANTILE_CALLS:
            return 0.0
        return find_quantile(tally.buckets, quantile)

    def _estimate(self, stratum: Stratum) -> tuple[float, float]:
        """Return the rate, shrunk towards those of wider groups, and the calls it is based on."""
        rate = 0.0
        weight = 0.0
        for group in (
            ALL_CALLS,
            Stratum(stratum.route, ANY, ANY_LEVEL),
            Stratum(stratum.route, ANY, stratum.level),
            stratum,
        ):
            tally = self._totals.get(group)
            if tally is None:
                continue
            rate = (tally.failures + PRIOR_CALLS * rate) / (tally.calls + PRIOR_CALLS)
            weight = max(weight, tally.calls) if group is ALL_CALLS else tally.calls
        return rate, weight

    def _find_failure_shift(self, stratum: Stratum) -> float:
        shift = 0.0
        for group in _list_shift_groups(stratum):
            measured = self._failure_shifts.get(group)
            if measured is None:
                measured = self._failure_shifts[group] = self._measure_failure_shift(group)
            shift = max(shift, measured)
        return shift

    def _measure_failure_shift(self, group: Stratum) -> float:
        """Return the recent rise of the old version's failure rate, at least 0."""
        total = self._totals.get(group)
        if total is None or not total.calls:
            return 0.0
        usual = total.failures / total.calls
        shift = 0.0
        for tally in self._list_recent(group):
            spread = sqrt(max(tally.calls * usual * (1 - usual), 0.25))
            excess = tally.failures - tally.calls * usual
            if excess > SIGNIFICANT_STANDARD_ERRORS * spread:
                shift = max(shift, (excess + spread) / tally.calls)
        return shift

    def _list_recent(self, group: Stratum) -> list[_Tally]:
        tallies = [recent.get(group) for recent in self._recent]
        return [each for each in tallies if each is not None and each.calls >= MIN_SHIFT_CALLS]

    def _find_latency_shift(self, stratum: Stratum, quantile: float) -> float:
        shift = 1.0
        for group in _list_shift_groups(stratum):
            key = _QuantileKey(group, quantile)
            measured = self._latency_shifts.get(key)
            if measured is None:
                measured = self._measure_latency_shift(group, quantile)
                self._latency_shifts[key] = measured
            shift = max(shift, measured)
        return shift

    def _measure_latency_shift(self, group: Stratum, quantile: float) -> float:
        """Return the factor by which the old version has recently become slower, at least 1."""
        usual = self._find_group_latency(group, quantile)
        if usual == 0:
            return 1.0
        shift = 1.0
        for tally in self._list_recent(group):
            expected = sum(tally.buckets) * (1 - quantile)
            spread = sqrt(expected * quantile + 0.25)
            if count_above(tally.buckets, usual) - expected > SIGNIFICANT_STANDARD_ERRORS * spread:
                shift = max(shift, find_quantile(tally.buckets, quantile) / usual)
        return shift


def _list_shift_groups(stratum: Stratum) -> tuple[Stratum, Stratum, Stratum]:
    return (
        ALL_CALLS,
        Stratum(stratum.route, ANY, ANY_LEVEL),
        Stratum(ANY, stratum.zone, ANY_LEVEL),
    )


def _build_sparse_cell(key: CellKey, calls: int, failures: int, buckets: list[int]) -> _SparseCell:
    level = min(key.level, LOAD_LEVELS - 1)
    strata = (
        ALL_CALLS,
        Stratum(key.route, ANY, ANY_LEVEL),
        Stratum(key.route, ANY, level),
        Stratum(ANY, key.place, ANY_LEVEL),
        Stratum(key.route, key.place, level),
    )
    pairs = tuple((bucket, count) for bucket, count in enumerate(buckets) if count)
    groups = _list_shift_groups(strata[-1])
    return _SparseCell(strata, groups, calls, failures, pairs)


def _add_to_tallies(
    tallies: dict[Stratum, _Tally], strata: tuple[Stratum, ...], sparse: _SparseCell, sign: int
) -> None:
    for stratum in strata:
        tally = tallies.get(stratum)
        if tally is None:
            tally = tallies[stratum] = _Tally()
        tally.add(sparse, sign)
