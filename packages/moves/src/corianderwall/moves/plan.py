"""The schedule of a move, worked out backwards from its deadline."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import PERMILLE, MovePolicy

RESERVE_PART = 0.1
MIN_RESERVE_MS = 3_000
MAX_RESERVE_MS = 60_000
"""Time kept before the deadline, so that the statement lands although writes are slow."""

MIN_SOAK_MS = 5_000
BASE_SOAK_PART = 0.1
CAUTIOUS_SOAK_PART = 0.15
"""Part of the duration spent at full share, and what full caution adds to it."""

MIN_DWELL_MS = 3_000
DWELL_PART = 0.02
CONTROL_PART = 0.5
"""Part of the soak that is first spent at the last partial share, beside the old version."""

PROOF_CALLS = 110
SMALL_SHARE_PROOF_CALLS = 30
LARGE_SHARE_PERMILLE = 500
"""Calls that it takes to show that a version without failures is as good as the old one, from
the large share on and below it, where a coarser proof is enough."""


@dataclass(frozen=True, slots=True)
class Plan:
    """The instants of a move in unix milliseconds.

    `step_by_unix_ms[i]` is when the share `steps_permille[i]` has to be reached to be in time;
    `dwells_ms[i]` is the least time that the move stays there, the soak at the last one.
    """

    steps_permille: tuple[int, ...]
    step_by_unix_ms: tuple[int, ...]
    dwells_ms: tuple[int, ...]
    finish_by_unix_ms: int

    def find_next_share(self, share_permille: int) -> int:
        """Return the planned share after `share_permille`, at most `PERMILLE`."""
        for share in self.steps_permille:
            if share > share_permille:
                return share
        return PERMILLE

    def find_dwell_ms(self, share_permille: int) -> int:
        """Return the least time to stay at `share_permille`."""
        return self.dwells_ms[self._find_index(share_permille)]

    def find_next_by_unix_ms(self, share_permille: int) -> int:
        """Return when the share after `share_permille` has to be reached to be in time."""
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
    """Return the plan of a move; the first share is due at once."""
    duration = deadline_unix_ms - started_unix_ms
    reserve = compute_reserve_ms(duration)
    soak = compute_soak_ms(policy, duration)
    finish_by = deadline_unix_ms - reserve
    rising = max(0, duration - reserve - soak)
    dwells = _list_dwells(policy.steps_permille, duration, soak)
    return Plan(
        steps_permille=policy.steps_permille,
        step_by_unix_ms=_spread_steps(policy.steps_permille, started_unix_ms, rising),
        dwells_ms=dwells,
        finish_by_unix_ms=finish_by,
    )


def compute_reserve_ms(duration_ms: int) -> int:
    """Return the time kept free before the deadline of a move that lasts `duration_ms`."""
    return min(max(int(duration_ms * RESERVE_PART), MIN_RESERVE_MS), MAX_RESERVE_MS)


def compute_soak_ms(policy: MovePolicy, duration_ms: int) -> int:
    """Return the time that the new version has all calls before the move may be completed."""
    part = BASE_SOAK_PART + CAUTIOUS_SOAK_PART * policy.caution
    return max(int(duration_ms * part), MIN_SOAK_MS)


def check_feasible(
    policy: MovePolicy, started_unix_ms: int, deadline_unix_ms: int, calls_per_s: float
) -> None:
    """Raise `DEADLINE_UNREACHABLE`, with the reason, if the evidence can't come in time.

    `calls_per_s` are the service's present calls per second over all nodes.
    """
    duration = deadline_unix_ms - started_unix_ms
    if calls_per_s <= 0:
        raise _refuse("the service receives no calls, so no evidence can come")
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
        raise _refuse(
            f"the move needs at least {needed / 1000:.1f} s and has {duration / 1000:.1f} s; "
            f"{slowest_calls} calls at {slowest_share} per mille of {calls_per_s:.1f} calls/s "
            f"take {slowest_ms / 1000:.1f} s"
        )


def _count_proof_calls(share_permille: int) -> int:
    return PROOF_CALLS if share_permille >= LARGE_SHARE_PERMILLE else SMALL_SHARE_PROOF_CALLS


def _refuse(reason: str) -> CorianderwallError:
    return CorianderwallError(ErrorCode.DEADLINE_UNREACHABLE, reason)


def _list_dwells(steps: Sequence[int], duration_ms: int, soak_ms: int) -> tuple[int, ...]:
    usual = max(MIN_DWELL_MS, int(duration_ms * DWELL_PART))
    dwells = [usual] * len(steps)
    dwells[-1] = soak_ms
    if len(steps) > 1:
        dwells[-2] = max(usual, int(soak_ms * CONTROL_PART))
    return tuple(dwells)


def _spread_steps(steps: Sequence[int], started_ms: int, rising_ms: int) -> tuple[int, ...]:
    """Give more of the time to small shares, at which evidence comes slowly."""
    weights = [1 / math.sqrt(share) for share in steps[:-1]]
    total = sum(weights) or 1.0
    instants = [started_ms]
    passed = 0.0
    for weight in weights:
        passed += weight
        instants.append(started_ms + int(rising_ms * passed / total))
    return tuple(instants)
