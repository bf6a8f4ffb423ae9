"""Decides whether a few endpoints, rather than the whole version, cause an alarm."""

from collections.abc import Mapping

from corianderwall.moves.comparison import RecentTally, add_tallies
from corianderwall.moves.detector import Sample, compute_log_clearance, compute_log_ratios
from corianderwall.moves.scopes import EXCESSES, Metric

MIN_SUSPECT_LOG_RATIO = 2.5
"""Minimum log likelihood ratio from which an endpoint is considered bad."""

MIN_CLEAN_LOG_RATIO = 3.0
"""Minimum log likelihood ratio that shows the remaining endpoints to be good."""

MIN_REST_CALLS = 8


def find_bad_minority(tallies: Mapping[str, RecentTally], metric: Metric) -> tuple[str, ...]:
    """Return the bad endpoints if they are a minority and all others are good, else nothing."""
    suspects = tuple(sorted(name for name, tally in tallies.items() if _is_suspect(tally, metric)))
    if not suspects or 2 * len(suspects) >= len(tallies):
        return ()
    bad = add_tallies(tallies[name] for name in suspects)
    rest = add_tallies(tally for name, tally in tallies.items() if name not in suspects)
    return suspects if _is_clean(rest, bad) else ()


def _to_sample(tally: RecentTally, null_rate: float) -> Sample:
    calls = round(tally.calls)
    return Sample(calls, min(calls, round(tally.bad_calls)), null_rate)


def _is_suspect(tally: RecentTally, metric: Metric) -> bool:
    if tally.rate <= tally.null_rate:
        return False
    ratios = compute_log_ratios(_to_sample(tally, tally.null_rate), EXCESSES[metric])
    return max(ratios) >= MIN_SUSPECT_LOG_RATIO


def _is_clean(rest: RecentTally, bad: RecentTally) -> bool:
    if rest.calls < MIN_REST_CALLS:
        return False
    worse = max(1.5 * rest.null_rate + 0.02, bad.rate / 2)
    clearance = compute_log_clearance(_to_sample(rest, worse), rest.null_rate)
    return clearance >= MIN_CLEAN_LOG_RATIO
