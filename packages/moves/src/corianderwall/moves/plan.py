"""The schedule of a move, computed backwards from its deadline."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import PERMILLE, MovePolicy

RESERVE_FRACTION = 0.1
MIN_RESERVE_MS = 3_000
MAX_RESERVE_MS = 60_000
"""Time reserved before the deadline, so that the end is written in time even if writes are slow."""

MIN_SOAK_MS = 5_000
BASE_SOAK_FRACTION = 0.1
CAUTION_SOAK_FRACTION = 0.15
"""Fraction of the duration to stay at full share, and the increase of it at full caution."""

MIN_DWELL_MS = 3_000
DWELL_FRACTION = 0.02
LAST_PARTIAL_DWELL_FRACTION = 0.5
"""Time to stay at the last partial share, as a fraction of the soak; there the old version still
has calls to compare with."""

PROOF_CALLS = 110
SMALL_SHARE_PROOF_CALLS = 30
LARGE_SHARE_PERMILLE = 500
"""Calls needed to show that a version without failures is as good as the old one: from the large
share on, and below it, where a weaker proof is sufficient."""


@dataclass(frozen=True, slots=True)
class Plan:
    """The schedule of a move.

    `step_by_unix_ms[i]` is the latest time to reach the share `steps_permille[i]`. `dwells_ms[i]`
    is the minimum time to stay there, which is the soak for the last step.
    """

    steps_permille: tuple[int, ...]
    step_by_unix_ms: tuple[int, ...]
    dwells_ms: tuple[int, ...]
    finish_by_unix_ms: int

    def find_next_share(self, share_permille: int) -> int:
        """Return the next planned share above `share_permille`, at most `PERMILLE`."""
        for share in self.steps_permille:
            if share > share_permille:
                return share
        return PERMILLE

    def find_dwell_ms(self, share_permille: int) -> int:
        """Return the minimum time to stay at `share_permille`."""
        return self.dwells_ms[self._find_index(share_permille)]

    def find_next_by_unix_ms(self, share_permille: int) -> int:
        """Return the latest time to leave `share_permille` for the next share or the end."""
        after = self._find_index(share_permille) + 1
        if after >= len(self.steps_permille):
            return self.finish_by_unix_ms
        return self.step_by_unix_ms[after]

    def _find_index(self, share_permille: int) -> int:
        index = 0
        for position, share in enumerate(self.steps_permille):
            if share <= share_permille:
                index = position
        return index


def build_plan(policy: MovePolicy, started_unix_ms: int, deadline_unix_ms: int) -> Plan:
    """Return the plan of a move; its first step is due at the start."""
    duration = deadline_unix_ms - started_unix_ms
    reserve = compute_reserve_ms(duration)
    soak = compute_soak_ms(policy, duration)
    finish_by = deadline_unix_ms - reserve
    ramp = max(0, duration - reserve - soak)
    dwells = _list_dwells(policy.steps_permille, duration, soak)
    return Plan(
        steps_permille=policy.steps_permille,
        step_by_unix_ms=_spread_steps(policy.steps_permille, started_unix_ms, ramp),
        dwells_ms=dwells,
        finish_by_unix_ms=finish_by,
    )


def compute_reserve_ms(duration_ms: int) -> int:
    """Return the time reserved before the deadline of a move that lasts `duration_ms`."""
    return min(max(int(duration_ms * RESERVE_FRACTION), MIN_RESERVE_MS), MAX_RESERVE_MS)


def compute_soak_ms(policy: MovePolicy, duration_ms: int) -> int:
    """Return the time to stay at full share before the move may be completed."""
    fraction = BASE_SOAK_FRACTION + CAUTION_SOAK_FRACTION * policy.caution
    return max(int(duration_ms * fraction), MIN_SOAK_MS)


def check_feasible(
    policy: MovePolicy, started_unix_ms: int, deadline_unix_ms: int, calls_per_s: float
) -> None:
    """Raise `DEADLINE_UNREACHABLE` if there is too little time to collect the evidence.

    `calls_per_s` is the service's current call rate over all nodes.
    """
    duration = deadline_unix_ms - started_unix_ms
    if calls_per_s <= 0:
        raise _build_refusal("the service receives no calls, so no evidence can come")
    soak = compute_soak_ms(policy, duration)
    dwells = _list_dwells(policy.steps_permille, duration, soak)
    needed = compute_reserve_ms(duration)
    slowest_calls, slowest_share, slowest_ms = 0, 0, 0
    for share, dwell in zip(policy.steps_permille, dwells, strict=True):
        calls = max(policy.min_calls_per_step, _count_proof_calls(share))
        waiting = math.ceil(calls * PERMILLE / (share * calls_per_s) * 1000)
        if waiting > slowest_ms:
            slowest_calls, slowest_share, slowest_ms = calls, share, waiting
        needed += max(dwell, waiting)
    if needed > duration:
        raise _build_refusal(
            f"the move needs at least {needed / 1000:.1f} s and has {duration / 1000:.1f} s; "
            f"{slowest_calls} calls at {slowest_share} per mille of {calls_per_s:.1f} calls/s "
            f"take {slowest_ms / 1000:.1f} s"
        )


def _count_proof_calls(share_permille: int) -> int:
    return PROOF_CALLS if share_permille >= LARGE_SHARE_PERMILLE else SMALL_SHARE_PROOF_CALLS


def _build_refusal(reason: str) -> CorianderwallError:
    return CorianderwallError(ErrorCode.DEADLINE_UNREACHABLE, reason)


def _list_dwells(steps: Sequence[int], duration_ms: int, soak_ms: int) -> tuple[int, ...]:
    usual = max(MIN_DWELL_MS, int(duration_ms * DWELL_FRACTION))
    dwells = [usual] * len(steps)
    dwells[-1] = soak_ms
    if len(steps) > 1:
        dwells[-2] = max(usual, int(soak_ms * LAST_PARTIAL_DWELL_FRACTION))
    return tuple(dwells)


def _spread_steps(steps: Sequence[int], started_ms: int, ramp_ms: int) -> tuple[int, ...]:
    """Return the step times; small shares get more time, as their evidence accumulates slowly."""
    weights = [1 / math.sqrt(share) for share in steps[:-1]]
    total = sum(weights) or 1.0
    step_times = [started_ms]
    elapsed_weight = 0.0
    for weight in weights:
        elapsed_weight += weight
        step_times.append(started_ms + int(ramp_ms * elapsed_weight / total))
    return tuple(step_times)
