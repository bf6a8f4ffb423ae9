"""The credits that a node holds, and what it asks of the nodes that give it more.

An entry holds credits for its callers and asks the distributor of each team. A distributor holds
credits for the entries and asks all lenders.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from corianderwall.mesh.quota import (
    CLOCK_TOLERANCE,
    EPSILON,
    CreditReply,
    CreditRequest,
    Senders,
    TeamDemand,
    TeamGrant,
)

RATE_MEMORY_S = 1.5
"""Time constant of the estimated demand; a jump shows within a few calls."""
OVER_FACTOR = 2.0
OVER_PER_S = 20.0
"""A team that asks for more than this factor of what it gets, plus this rate, is over its quota.
Its entries would ask the distributor again every few milliseconds. The rate keeps the first calls
of a team from counting."""
USE_S = 0.35
"""Time after which a credit that is used soon can't be given back. It counts as used at once, since
it would otherwise keep the buckets of teams with a small burst from filling; what is given back
later may pass again, at most rate x this time in a window, which the bound leaves room for."""
REUSE_PER_S = 4.0
"""Demand from which an entry keeps a credit that was not used; below it the distributor gets it
back."""
ADVANCE_PER_CALL = 3
"""Credits in advance for each waiting call, if the entry wants them: at four requests a second, an
entry to which a demand moves would otherwise never catch up."""
PERIODIC_S = 0.5
"""Interval of the requests to one giver for credits in advance; a quarter of a credit's
lifetime."""
HEDGE_S = 0.1
"""Time after which a node that has not replied is left out; twenty times the delay between zones,
since a busy node must not send its load to another one."""
FAILED_S = 1.0
"""Time for which a node that has not replied is not asked; the timeout of a message."""
MAX_EMPTY_S = 0.5
"""Longest time for which a node without credit is not asked for that team again, so that returned
credits are seen. Until then calls are refused at once."""
PENDING_S = 0.01
"""Time after which a distributor is asked again that is fetching credits; twice a delay and
back."""
UNKNOWN_DUE_S = 1.0
"""Wait named to a refused caller if nobody knows when credit is due."""
MAX_DUE_S = 10.0
"""Longest wait named to a refused caller; the quota may be raised meanwhile."""
MAX_BACKLOG_S = 1.0
"""Largest addition to this wait for the callers refused before."""


@dataclass(frozen=True, slots=True)
class HolderLimits:
    """How far ahead credits are held, and how they are asked for.

    `horizon_s` is the time of expected demand to hold credits for, `reserve` a number of credits on
    top, and no fewer than `least` are worth a request. Credits with less than `return_before_s`
    left are given back unless they will be used. A giver without credit is not asked again for
    `min_empty_s`. `asks_all` divides each demand among all givers.
    """

    horizon_s: float
    return_before_s: float
    min_empty_s: float
    reserve: int = 0
    least: int = 1
    asks_all: bool = False


ENTRY_LIMITS = HolderLimits(horizon_s=1.5, return_before_s=1.2, min_empty_s=0.1, least=2)
"""Three periodic exchanges ahead. What an entry gives back can still be used by other entries. A
single credit in advance would mostly be given back: holding one for each team cost a third more
messages."""
DISTRIBUTOR_LIMITS = HolderLimits(
    horizon_s=0.6, return_before_s=0.6, min_empty_s=0.05, reserve=2, asks_all=True
)
"""Credits are returned one periodic exchange before their deadline. The reserve serves teams with
few calls without a request to the lenders for each. Lenders are asked again soon: what is reported
as used makes room in the bucket of a team whose burst is a fraction of a second of its rate."""
MESSAGES_PER_S = 320.0
"""Rate of requests for waiting calls that one giver gets from all holders together; at 0.3 ms each
they cost a host with 0.43 of a core less than a quarter of it. Calls that arrive meanwhile share
one."""
MIN_MESSAGES_PER_S = 2.0
"""Rate of such requests that one holder may always send, however many ask the same giver."""
MESSAGES_BURST = 16.0
"""Burst of such requests of one holder to one giver, for a demand that has just moved."""
MIN_DEMAND_PER_S = 0.05
"""Demand below which no credits are held in advance; one call in twenty seconds."""


@dataclass(frozen=True, slots=True)
class Credit:
    """The right to send one call of a team to an endpoint before `deadline`."""

    team: str
    giver: str
    deadline: float


@dataclass(slots=True)
class _Batch:
    deadline: float
    giver: str
    count: int


@dataclass(slots=True)
class _Rate:
    """An exponentially weighted rate of events."""

    per_s: float = 0.0
    at: float = 0.0

    def count(self, now: float, events: int = 1) -> None:
        """Count events."""
        self.per_s = self.read(now) + events / RATE_MEMORY_S
        self.at = now

    def read(self, now: float) -> float:
        """Return the events per second."""
        return self.per_s * math.exp(min(0.0, self.at - now) / RATE_MEMORY_S)


@dataclass(slots=True)
class _Team:
    batches: deque[_Batch] = field(default_factory=deque)
    waiting: int = 0
    asked: _Rate = field(default_factory=_Rate)
    served: _Rate = field(default_factory=_Rate)

    def add(self, batch: _Batch) -> None:
        """Add credits in the order of their deadlines."""
        earlier = sum(1 for each in self.batches if each.deadline <= batch.deadline)
        self.batches.insert(earlier, batch)

    def drop_expired(self, now: float) -> None:
        """Drop credits at their deadline; the giver counts them as used."""
        while self.batches and (self.batches[0].deadline <= now or not self.batches[0].count):
            self.batches.popleft()

    def count_stock(self, after: float) -> int:
        """Return the number of credits with a deadline after that time."""
        return sum(batch.count for batch in self.batches if batch.deadline > after)


@dataclass(slots=True)
class _Report:
    used: int = 0
    returned: int = 0


@dataclass(slots=True)
class _Giver:
    number: int = 0
    senders: int = 1
    messages: float = MESSAGES_BURST
    messages_at: float = 0.0
    periodic_at: float = 0.0
    sent_at: float | None = None
    needed: frozenset[str] = frozenset()
    failed_until: float = 0.0
    empty_until: dict[str, float] = field(default_factory=dict)
    pending_until: dict[str, float] = field(default_factory=dict)
    due_at: dict[str, float] = field(default_factory=dict)
    reports: dict[str, _Report] = field(default_factory=dict)


class CreditHolder:
    """Holds credits, and decides what is asked of which giver.

    `list_givers` returns the nodes to ask for a team, the preferred one first.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        limits: HolderLimits,
        list_givers: Callable[[str], Sequence[str]],
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._limits = limits
        self._list_givers = list_givers
        self._teams: dict[str, _Team] = {}
        self._givers: dict[str, _Giver] = {}
        self._urgent: set[str] = set()

    def count_demand(self, team: str, calls: int, now: float) -> None:
        """Count calls that ask for credit for the first time."""
        self._find_team(team).asked.count(now, calls)

    def read_demand_per_s(self, team: str, now: float) -> float:
        """Return the estimated demand for `team`."""
        return self._find_team(team).asked.read(now)

    def is_over(self, team: str, now: float) -> bool:
        """Return whether `team` asks for far more than it gets, so that its calls don't wait."""
        state = self._find_team(team)
        served = state.served.read(now)
        return state.asked.read(now) > OVER_FACTOR * served + OVER_PER_S

    def take(self, team: str, now: float) -> Credit | None:
        """Take a credit for a call, the one with the earliest deadline first."""
        state = self._find_team(team)
        state.drop_expired(now)
        if not state.batches:
            return None
        batch = state.batches[0]
        batch.count -= 1
        state.served.count(now)
        return Credit(team, batch.giver, batch.deadline)

    def end(self, credit: Credit, now: float, *, unused: bool) -> None:
        """End the use of a credit; one that is `unused` may serve another call.

        After its deadline the giver counts it as used, so it can't be given back.
        """
        if now >= credit.deadline:
            return
        if not unused:
            if credit.giver:
                self._find_report(credit.giver, credit.team).used += 1
        elif self._limits.asks_all or self.read_demand_per_s(credit.team, now) >= REUSE_PER_S:
            self._find_team(credit.team).add(_Batch(credit.deadline, credit.giver, 1))
        else:
            self._find_report(credit.giver, credit.team).returned += 1
            self._urgent.add(credit.giver)

    def refund(self, team: str, deadline: float) -> None:
        """Hold a credit again that has been reported as used, without reporting it anew."""
        self._find_team(team).add(_Batch(deadline, "", 1))

    def count_stock(self, team: str, now: float) -> int:
        """Return the number of credits held for `team`."""
        return self._find_team(team).count_stock(now)

    def set_waiting(self, team: str, count: int) -> None:
        """Set how many calls of `team` wait for credit."""
        self._find_team(team).waiting = count

    def add_waiting(self, team: str, count: int) -> None:
        """Add calls that wait at entries for credit; they count until the givers are asked."""
        self._find_team(team).waiting += count

    def may_wait(self, team: str, now: float) -> bool:
        """Return whether any giver may still have credit for a waiting call."""
        givers, is_pending = self._find_givers(team, 1, now)
        return is_pending or bool(givers)

    def compute_wait_s(self, team: str, now: float) -> float:
        """Return the time until credit is due for a caller that is refused now.

        It comes after those refused before: of a team with eight times its rate, seven of eight.
        """
        due = [g.due_at[team] for g in self._givers.values() if g.due_at.get(team, 0.0) > now]
        wait_s = min(due, default=math.inf) - now
        if not math.isfinite(wait_s):
            wait_s = UNKNOWN_DUE_S
        state = self._find_team(team)
        asked, served = state.asked.read(now), state.served.read(now)
        backlog_s = (asked - served) / served if served else 0.0
        return min(MAX_DUE_S, wait_s + max(0.0, min(MAX_BACKLOG_S, backlog_s)))

    def plan(self, now: float, *, periodic: bool) -> list[tuple[str, CreditRequest]]:
        """Return the requests to send now, by giver.

        Between the periodic ones, requests are sent for waiting calls only, at a limited rate.
        """
        needs: dict[str, dict[str, int]] = {}
        wants: dict[str, dict[str, int]] = {}
        due: set[str] = set()
        for name, team in self._teams.items():
            if team.waiting:
                self._plan_need(name, team, needs, wants, now)
        if periodic:
            for name, team in list(self._teams.items()):
                self._plan_advance(name, team, wants, now)
                due |= self._return_surplus(name, team, now)
            due |= set(wants) | self._urgent
        return [
            (giver, self._make_request(giver, needs.get(giver, {}), wants.get(giver, {}), now))
            for giver in due | set(needs)
            if self._may_send(giver, now, is_due=giver in due, is_needed=giver in needs)
        ]

    def apply_reply(self, giver: str, reply: CreditReply | None, now: float) -> None:
        """Apply the reply to the request that is under way to `giver`, None if there was none."""
        state = self._find_giver(giver)
        sent_at, state.sent_at = state.sent_at, None
        if reply is None or reply.number != state.number or sent_at is None:
            state.empty_until.update(dict.fromkeys(state.needed, now + FAILED_S))
            state.failed_until = now + FAILED_S
            return
        state.senders = max(1, reply.senders)
        for grant in reply.grants:
            deadline = sent_at + grant.left_s * (1 - CLOCK_TOLERANCE)
            if grant.count and deadline > now:
                self._find_team(grant.team).add(_Batch(deadline, giver, grant.count))
            if grant.pending:
                state.pending_until[grant.team] = now + PENDING_S
            elif grant.due_s > 0:
                empty_s = min(MAX_EMPTY_S, max(self._limits.min_empty_s, grant.due_s))
                state.empty_until[grant.team] = now + empty_s
                state.due_at[grant.team] = now + grant.due_s

    def forget_teams(self, kept: Iterable[str]) -> None:
        """Forget all teams but the `kept` ones and those with waiting calls."""
        names = set(kept)
        for name in [name for name in self._teams if name not in names]:
            if not self._teams[name].waiting:
                del self._teams[name]

    def _plan_need(
        self,
        name: str,
        team: _Team,
        needs: dict[str, dict[str, int]],
        wants: dict[str, dict[str, int]],
        now: float,
    ) -> None:
        missing = team.waiting - team.count_stock(now)
        if missing <= 0:
            return
        wanted = self._count_wanted(team, now)
        givers, _ = self._find_givers(name, missing + wanted, now)
        for giver in givers:
            needs.setdefault(giver, {})[name] = math.ceil(missing / len(givers))
            if wanted and giver != self._name:
                wants.setdefault(giver, {})[name] = math.ceil(wanted / len(givers))

    def _plan_advance(
        self, name: str, team: _Team, wants: dict[str, dict[str, int]], now: float
    ) -> None:
        """Ask in advance for a team with steady demand once half of its stock is used."""
        team.drop_expired(now)
        wanted = self._count_wanted(team, now)
        if wanted <= team.count_stock(now + self._limits.return_before_s):
            return
        givers, _ = self._find_givers(name, wanted, now)
        for giver in givers:
            # An entry needs no message to take credits of its own distributor.
            if giver != self._name or self._limits.asks_all:
                wants.setdefault(giver, {})[name] = math.ceil(wanted / len(givers))

    def _find_givers(self, team: str, calls: int, now: float) -> tuple[list[str], bool]:
        """Return the givers to ask for that many calls, and whether a reply is expected."""
        if not self._limits.asks_all:
            return self._find_first_giver(team, now)
        pending = False
        free: list[str] = []
        for name in self._list_givers(team):
            state = self._find_giver(name)
            if state.empty_until.get(team, 0.0) > now:
                continue
            if state.sent_at is not None:
                pending = True
            else:
                free.append(name)
        return free[:calls], pending

    def _find_first_giver(self, team: str, now: float) -> tuple[list[str], bool]:
        """Return the first giver that responds; the others have credit only while it does not."""
        pending = False
        for name in self._list_givers(team):
            state = self._find_giver(name)
            if state.sent_at is not None and now - state.sent_at >= HEDGE_S:
                pending = True
            elif state.failed_until <= now:
                if state.empty_until.get(team, 0.0) > now:
                    return [], False
                if state.sent_at is not None or state.pending_until.get(team, 0.0) > now:
                    return [], True
                return [name], pending
        return [], pending

    def _count_wanted(self, team: _Team, now: float) -> int:
        rate = team.asked.read(now)
        target = int(rate * self._limits.horizon_s) + self._limits.reserve
        if rate < MIN_DEMAND_PER_S or target < self._limits.least:
            return 0
        return max(0, target - team.count_stock(now + self._limits.return_before_s))

    def _return_surplus(self, name: str, team: _Team, now: float) -> set[str]:
        """Return credits that will lapse before they are used."""
        expected = team.asked.read(now) * self._limits.return_before_s
        givers = set()
        for batch in team.batches:
            if batch.deadline > now + self._limits.return_before_s:
                break
            surplus = max(0, batch.count - math.ceil(expected))
            expected = max(0.0, expected - batch.count)
            if surplus and batch.giver and self._find_giver(batch.giver).sent_at is None:
                batch.count -= surplus
                self._find_report(batch.giver, name).returned += surplus
                if batch.giver in self._list_givers(name):
                    givers.add(batch.giver)
        return givers

    def _make_demands(
        self, giver: str, needs: dict[str, int], wants: dict[str, int]
    ) -> tuple[TeamDemand, ...]:
        state = self._find_giver(giver)
        reports, state.reports = state.reports, {}
        self._urgent.discard(giver)
        empty = _Report()
        return tuple(
            TeamDemand(
                team=name,
                need=needs.get(name, 0),
                want=wants.get(name, 0),
                used=reports.get(name, empty).used,
                returned=reports.get(name, empty).returned,
            )
            for name in dict.fromkeys((*needs, *wants, *reports))
        )

    def _make_request(
        self, giver: str, needs: dict[str, int], wants: dict[str, int], now: float
    ) -> CreditRequest:
        demands = self._make_demands(giver, needs, wants)
        if self._limits.asks_all:
            # Entries that still need credit ask again.
            for name in needs:
                self._teams[name].waiting = 0
        state = self._find_giver(giver)
        state.number += 1
        state.sent_at = now
        state.needed = frozenset(demand.team for demand in demands if demand.need)
        return CreditRequest(
            sender=self._name, incarnation=self._incarnation, number=state.number, teams=demands
        )

    def _may_send(self, giver: str, now: float, *, is_due: bool, is_needed: bool) -> bool:
        state = self._find_giver(giver)
        if state.sent_at is not None:
            return False
        if is_due and (now >= state.periodic_at or giver in self._urgent):
            state.periodic_at = now + PERIODIC_S
            return True
        return is_needed and self._take_message(giver, now)

    def _take_message(self, giver: str, now: float) -> bool:
        if giver == self._name:
            return True
        state = self._find_giver(giver)
        rate = max(MIN_MESSAGES_PER_S, MESSAGES_PER_S / state.senders)
        refilled = state.messages + (now - state.messages_at) * rate
        state.messages, state.messages_at = min(MESSAGES_BURST, refilled), now
        if state.messages < 1:
            return False
        state.messages -= 1
        return True

    def _find_team(self, team: str) -> _Team:
        return self._teams.setdefault(team, _Team())

    def _find_giver(self, giver: str) -> _Giver:
        return self._givers.setdefault(giver, _Giver())

    def _find_report(self, giver: str, team: str) -> _Report:
        return self._find_giver(giver).reports.setdefault(team, _Report())


@dataclass(frozen=True, slots=True)
class _Lent:
    """A credit at an entry; a `spent` one has been reported to its lender as used."""

    deadline: float
    credit: Credit
    spent: bool


class Distributor:
    """Passes the credits of its holder on to the entries that ask for them."""

    def __init__(self, holder: CreditHolder, fetch: Callable[[], None]) -> None:
        self._holder = holder
        self._fetch = fetch
        self._senders = Senders()
        self._lent: dict[tuple[str, str], list[_Lent]] = {}
        self._rates: dict[tuple[str, str], _Rate] = {}

    def answer(self, request: CreditRequest, now: float) -> CreditReply | None:
        """Return the reply to an entry's request, None if it is out of date."""
        sender = self._senders.find(request.sender, request.incarnation, request.number)
        if sender is None:
            return None
        if request.number > sender.number:
            grants = tuple(
                grant
                for demand in request.teams
                for grant in self._grant(request.sender, demand, now)
            )
            sender.number = request.number
            senders = self._senders.count_recent(request.sender, now)
            sender.reply = CreditReply(number=request.number, grants=grants, senders=senders)
        return sender.reply

    def end_lapsed(self, now: float) -> None:
        """Report the credits that entries can't give back any more as used."""
        for key, lent in list(self._lent.items()):
            self._drop_lapsed(lent, now)
            if not lent:
                del self._lent[key]

    def _grant(self, sender: str, demand: TeamDemand, now: float) -> list[TeamGrant]:
        team, holder = demand.team, self._holder
        self._settle(self._lent.get((sender, team), []), demand, now)
        credits = self._take(team, demand.need, now)
        if len(credits) < demand.need:
            holder.add_waiting(team, demand.need - len(credits))
            self._fetch()
            credits += self._take(team, demand.need - len(credits), now)
        unmet = demand.need - len(credits)
        # Calls that ask again count twice, so that a demand that has jumped is noticed at once.
        holder.count_demand(team, len(credits) + unmet, now)
        self._rates.setdefault((sender, team), _Rate()).count(now, len(credits) + unmet)
        pending = unmet > 0 and holder.may_wait(team, now) and not holder.is_over(team, now)
        due_s = holder.compute_wait_s(team, now) if unmet and not pending else 0.0
        advance = self._take(team, self._count_advance(sender, demand, now), now)
        soon = int(self._rates[sender, team].read(now) * USE_S)
        credits, advance = credits + advance[:soon], advance[soon:]
        for credit in credits:
            holder.end(credit, now, unused=False)
        left_s = self._lend(sender, credits, now + USE_S, now, spent=True)
        grants = [
            TeamGrant(team=team, count=len(credits), left_s=left_s, due_s=due_s, pending=pending)
        ]
        if advance:
            left_s = self._lend(sender, advance, math.inf, now, spent=False)
            grants.append(TeamGrant(team=team, count=len(advance), left_s=left_s))
        return grants

    def _lend(
        self, sender: str, credits: list[Credit], latest: float, now: float, *, spent: bool
    ) -> float:
        """Lend credits of one team and return for how long."""
        if not credits:
            return 0.0
        deadline = min(latest, *(credit.deadline for credit in credits))
        lent = self._lent.setdefault((sender, credits[0].team), [])
        lent.extend(_Lent(deadline, credit, spent) for credit in credits)
        lent.sort(key=lambda each: each.deadline)
        return deadline - now

    def _count_advance(self, sender: str, demand: TeamDemand, now: float) -> int:
        """Return the credits in advance: the entry's share of the stock by its share of the demand.

        Otherwise the entries of a team with a few calls at each of them would hold all its credits.
        """
        total = self._holder.read_demand_per_s(demand.team, now)
        rate = self._rates.get((sender, demand.team), _Rate()).read(now)
        stock = self._holder.count_stock(demand.team, now)
        share = int(stock * min(1.0, rate / total) + EPSILON) if total else 0
        # The demand may have moved to this entry a moment ago.
        return min(demand.want, max(share, min(stock // 2, demand.need * ADVANCE_PER_CALL)))

    def _take(self, team: str, count: int, now: float) -> list[Credit]:
        credits: list[Credit] = []
        while len(credits) < count and (credit := self._holder.take(team, now)):
            credits.append(credit)
        return credits

    def _settle(self, lent: list[_Lent], demand: TeamDemand, now: float) -> None:
        """Apply an entry's report."""
        self._drop_lapsed(lent, now)
        for unused, count in ((False, demand.used), (True, demand.returned)):
            for _ in range(min(count, len(lent))):
                self._end(lent.pop(0), now, unused=unused)

    def _drop_lapsed(self, lent: list[_Lent], now: float) -> None:
        while lent and lent[0].deadline <= now:
            self._end(lent.pop(0), now, unused=False)

    def _end(self, lent: _Lent, now: float, *, unused: bool) -> None:
        credit = lent.credit
        if not lent.spent:
            self._holder.end(credit, now, unused=unused)
        elif unused:
            self._holder.refund(credit.team, min(credit.deadline, now + USE_S))
