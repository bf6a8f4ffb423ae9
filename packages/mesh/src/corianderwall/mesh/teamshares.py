"""Shares the slots of one endpoint fairly between teams, by the slot time that each has used."""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol, TypeVar

USAGE_MEMORY_S = 30.0
"""Time constant of the slot time that counts as recently used. A small team sends one endpoint of a
large service a call in ten seconds, and a shorter memory would forget it between two calls."""
FLOOR = 0.4
"""Part of its share of the used slot time that a team gets whatever its rank. The terms grant a
quarter; the rest is for the uneven demand at single endpoints."""
ACTIVE_CHECK_S = 1.0
"""Interval at which the teams that compete are listed; they change over `USAGE_MEMORY_S`."""
MAX_EXPONENT = 40.0
"""Growth of the stored slot times after which they are scaled down; far below the largest float."""
MAX_ACCOUNTS = 1024
"""Accounts above which the oldest are removed; ten times the teams of a large deployment."""


class SharedCall(Protocol):
    """What this module needs of a waiting call."""

    @property
    def team(self) -> str:
        """Return the team of the call, empty without one."""

    @property
    def rank(self) -> float:
        """Return the rank of the call; a lower one starts first."""


Call = TypeVar("Call", bound=SharedCall)


@dataclass(slots=True)
class _Account:
    """The slot time that a team has used, in the unit of the shares, and its last offer."""

    used: float = 0.0
    offered_at: float = -math.inf


@dataclass(frozen=True, slots=True)
class ShareView:
    """The shares at one instant; `unit_s` is the unit of the accounts in seconds.

    `floor_s` is the slot time for each unit of weight below which a team precedes all ranks.
    """

    accounts: Mapping[str, _Account]
    unit_s: float
    held_s: Mapping[str, float]
    floor_s: float
    weigh: Callable[[str], float]

    def measure_usage(self, team: str) -> float:
        """Return the recently used slot time of a team by its weight."""
        account = self.accounts.get(team)
        used_s = account.used * self.unit_s if account is not None else 0.0
        return (used_s + self.held_s.get(team, 0.0)) / self.weigh(team)

    def is_below_floor(self, team: str) -> bool:
        """Return whether a team has used far less than its share, as others precede it."""
        return bool(team) and self.measure_usage(team) < self.floor_s

    def make_sort_key(self, call: SharedCall) -> tuple[bool, float, float]:
        """Return the part of the order that rank and shares decide; the lowest starts first."""
        usage = self.measure_usage(call.team)
        return not (call.team and usage < self.floor_s), call.rank, usage

    def list_ahead(
        self, call: SharedCall, waiting: Iterable[Call], estimate_s: Callable[[Call], float]
    ) -> list[Call]:
        """Return the calls that start before `call`, which is offered now.

        Another team of the same rank starts calls until it has used as much as the team of `call`
        will have by then, however many more it has waiting.
        """
        if self.is_below_floor(call.team):
            return [each for each in waiting if each.team == call.team and each.rank <= call.rank]
        ahead: list[Call] = []
        rivals: list[Call] = []
        for each in waiting:
            if each.rank < call.rank or (each.rank == call.rank and each.team == call.team):
                ahead.append(each)
            elif each.rank == call.rank:
                rivals.append(each)
        own_s = sum(estimate_s(each) for each in ahead if each.team == call.team)
        level = self.measure_usage(call.team) + own_s / self.weigh(call.team)
        reached: dict[str, float] = {}
        for each in rivals:
            usage = reached.get(each.team)
            if usage is None:
                usage = self.measure_usage(each.team)
            if usage < level:
                reached[each.team] = usage + estimate_s(each) / self.weigh(each.team)
                ahead.append(each)
        return ahead


class TeamShares:
    """The accounts of the teams at one endpoint; `weigh` returns a team's relative share.

    The cost of a call is the time for which it holds a slot. All calls without a team share the
    account with the empty name.
    """

    def __init__(self, weigh: Callable[[str], float] = lambda _: 1.0) -> None:
        self._weigh = weigh
        self._accounts: dict[str, _Account] = {}
        self._total = 0.0
        # All accounts fade alike, so the unit shrinks instead of each account.
        self._unit_since = 0.0
        self._active_weight = 0.0
        self._next_check_at = -math.inf
        self.totals_s: dict[str, float] = {}
        self.displaced_count = 0

    def record_offer(self, team: str, now: float) -> None:
        """Record that the team competes for slots, whether this call is served or not.

        Offers are not counted: callers that repeat refused calls would raise their share.
        """
        self._find_account(team).offered_at = now

    def record_end(self, team: str, took_s: float, now: float) -> None:
        """Count the slot time of a call that has ended."""
        if not team and not self._accounts:
            return
        account = self._find_account(team)
        used = took_s / self._compute_unit(now)
        account.used += used
        self._total += used
        self.totals_s[team] = self.totals_s.get(team, 0.0) + took_s

    def measure(self, held_s: Mapping[str, float], now: float) -> ShareView:
        """Return the shares, given the slot time of running calls by team."""
        if now >= self._next_check_at:
            self._next_check_at = now + ACTIVE_CHECK_S
            self._active_weight = sum(
                self._weigh(team)
                for team, account in self._accounts.items()
                if team and now - account.offered_at < USAGE_MEMORY_S
            )
        unit_s = self._compute_unit(now)
        floor_s = 0.0
        if self._active_weight:
            used_s = self._total * unit_s + sum(held_s.values())
            floor_s = FLOOR * used_s / self._active_weight
        return ShareView(self._accounts, unit_s, held_s, floor_s, self._weigh)

    def _compute_unit(self, now: float) -> float:
        """Return the unit of the accounts in seconds, and scale them if it has become too small."""
        exponent = (now - self._unit_since) / USAGE_MEMORY_S
        if exponent > MAX_EXPONENT:
            unit_s = math.exp(-exponent)
            for account in self._accounts.values():
                account.used *= unit_s
            self._total *= unit_s
            self._unit_since = now
            return 1.0
        return math.exp(-exponent)

    def _find_account(self, team: str) -> _Account:
        account = self._accounts.get(team)
        if account is None:
            if len(self._accounts) >= MAX_ACCOUNTS:
                oldest = min(self._accounts, key=lambda name: self._accounts[name].offered_at)
                self._total -= self._accounts.pop(oldest).used
                self.totals_s.pop(oldest, None)
            account = self._accounts[team] = _Account()
        return account
