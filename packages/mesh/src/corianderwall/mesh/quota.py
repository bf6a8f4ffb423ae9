"""Quotas of teams over all nodes: parts, buckets and credits as the lending node keeps them.

Each node owns 1/n of the rate and the burst of every team, n being the number of known nodes. It
uses this part itself or delegates it to one lender; a part is never counted twice, so the buckets
of all lenders together never exceed the quota. A lender hands out whole requests as credits, each
team's to its distributor, which passes them on to the nodes that have callers of the team.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from random import Random

import msgspec

from corianderwall.mesh.settings import Bounds
from corianderwall.model.resource import Team

LEASE_S = 3.0
"""Time for which a part stays delegated: three renewals. The part of a failed lender is unusable
for this long, which costs 1 / lenders of the rate."""
CREDIT_S = 3.0
"""Lifetime of a credit at its lender. Credits of a killed node are lost and unused ones count
against the burst, so it is kept short; it covers a few exchanges of a distributor."""
CLOCK_TOLERANCE = 0.02
"""Fraction by which deadlines at a holder end before those at the giver; far above clock drift."""
SETTLE_S = 1.0
"""Time after its start for which a node lends nothing, since it may not know all nodes yet."""
OVERAGE_FRACTION = 0.25
"""Fraction of the allowed overage that is added to the burst, so that credits in stock and
fractions of requests at the lenders don't refuse a team within its limit. The rest is for credits
that are given back after a refusal, for calls that wait at endpoints, and for nodes that disagree
about n."""
RATE_FACTOR = 1.01
"""Factor on the rate for the same reason; credits that lapse unused are about one in a hundred."""
STEADY_BURST_FRACTION = 0.5
"""Fraction of the burst that is spread over the window. The terms grant rate x window + burst in
every window, also to a team that asks steadily for more than its rate; the rest is for single
bursts."""
WANT_FRACTION = 0.5
"""Fraction of a bucket that one request gets in advance; during a partition two distributors
ask."""
RETAIN_S = 60.0
"""Time for which the bucket of a removed team is kept, so that adding it again gives no new
burst."""
RECENT_S = 1.0
"""Time within which the nodes that ask are counted; a few requests of each."""
EPSILON = 1e-9
"""Tolerance for the rounding of sums of fractions when whole requests are counted."""


class TeamDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a holder asks for one team and reports about former credits from the same node.

    `need` calls are waiting, `want` are expected soon; `used` credits belong to calls that have
    ended, `returned` credits are given back.
    """

    team: str
    need: int = 0
    want: int = 0
    used: int = 0
    returned: int = 0


class CreditRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A request for credits; `number` grows, so a repeated request has no effect."""

    sender: str
    incarnation: int
    number: int
    teams: tuple[TeamDemand, ...] = ()


class TeamGrant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Credits for one team that may be used for `left_s` after the request was sent.

    If they don't cover the need, more are due in `due_s`, or are being fetched if `pending`.
    """

    team: str
    count: int = 0
    left_s: float = 0.0
    due_s: float = 0.0
    pending: bool = False


class CreditReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The reply to the request with this `number`; `senders` is how many nodes ask at present."""

    number: int
    grants: tuple[TeamGrant, ...] = ()
    senders: int = 1


class LeaseRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Delegates the sender's part to a lender, or takes it back.

    `stamp` is the lender's own time from its last reply. With `delegates` the part belongs to the
    lender until `stamp` + `LEASE_S` of the lender's clock, however late the request arrives;
    without it no longer. `idle_s` is for how long the part has been unused before. `nodes` is the
    number of nodes that the sender knows.
    """

    sender: str
    incarnation: int
    number: int
    nodes: int
    lender_incarnation: int = 0
    stamp: float = 0.0
    delegates: bool = False
    idle_s: float = 0.0


class LeaseReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The reply of a lender's process `incarnation` at the time `stamp` of its clock."""

    incarnation: int
    number: int
    stamp: float


@dataclass(frozen=True, slots=True)
class Quota:
    """The rate and burst of a team that all buckets together may pass."""

    rate_per_s: float
    burst: float


def make_quotas(teams: Iterable[Team], bounds: Bounds) -> dict[str, Quota]:
    """Return the quotas of the teams that have one, widened by a part of the allowed overage."""
    return {team.name: _make_quota(team, bounds) for team in teams if team.rate_per_s > 0}


def _make_quota(team: Team, bounds: Bounds) -> Quota:
    in_window = team.rate_per_s * bounds.quota_window_s + team.burst
    spare = in_window * bounds.quota_overage + bounds.quota_slack
    extra_rate = min(RATE_FACTOR - 1, bounds.quota_overage * OVERAGE_FRACTION) * team.rate_per_s
    extra_burst = max(0.0, spare * OVERAGE_FRACTION - extra_rate * bounds.quota_window_s)
    steady = team.burst * STEADY_BURST_FRACTION
    rate_per_s = team.rate_per_s + extra_rate + steady / bounds.quota_window_s
    return Quota(rate_per_s, team.burst - steady + extra_burst)


@dataclass(slots=True)
class _Grant:
    holder: str
    lapses: float
    count: int


@dataclass(slots=True)
class Bucket:
    """The bucket of one team at one lender; it holds at most `cap`, including what is lent.

    A `cap` below one request would never pass any. Such a bucket fills to one request, which it
    holds for `cap` / `rate_per_s` seconds and then drops, so that on average it holds `cap`.
    """

    quota: Quota
    level: float
    at: float
    rate_per_s: float = 0.0
    cap: float = 0.0
    lent: int = 0
    removed_at: float = math.inf
    _grants: deque[_Grant] = field(default_factory=deque)

    @property
    def whole(self) -> int:
        """Return the number of whole requests in the bucket."""
        return max(0, int(self.level + EPSILON))

    def advance(self, now: float) -> None:
        """Fill the bucket up to `now`; lent credits lapse at their time and count as used."""
        while self._grants and self._grants[0].lapses <= now:
            grant = self._grants.popleft()
            self._fill(grant.lapses)
            self.lent -= grant.count
        self._fill(now)

    def resize(self, parts: int, nodes: int, now: float) -> None:
        """Set the rate and the cap for `parts` of `nodes` parts."""
        self.advance(now)
        share = parts / nodes if nodes else 0.0
        self.rate_per_s, self.cap = self.quota.rate_per_s * share, self.quota.burst * share
        self._clip()

    def add(self, credits: float) -> None:
        """Add credits, up to the cap."""
        self.level += credits
        self._clip()

    def lend(self, holder: str, count: int, now: float) -> None:
        """Lend `count` credits until `CREDIT_S` from now."""
        self.level -= count
        self.lent += count
        self._grants.append(_Grant(holder, now + CREDIT_S, count))

    def settle(self, holder: str, used: int, returned: int) -> None:
        """Apply a holder's report about credits that have not lapsed."""
        self._take_back(holder, used)
        self.add(self._take_back(holder, returned))

    def compute_due_s(self) -> float:
        """Return the time until a whole request is in the bucket."""
        if self.whole:
            return 0.0
        return (1 - self.level) / self.rate_per_s if self.rate_per_s else math.inf

    def _take_back(self, holder: str, count: int) -> int:
        taken = 0
        for grant in self._grants:
            if grant.holder == holder and taken < count:
                part = min(grant.count, count - taken)
                grant.count -= part
                taken += part
        self.lent -= taken
        return taken

    def _fill(self, now: float) -> None:
        if now > self.at:
            self.level += self.rate_per_s * (now - self.at)
            self.at = now
            self._clip()

    def _clip(self) -> None:
        if self.cap >= 1:
            self.level = max(0.0, min(self.level, self.cap - self.lent))
        elif not self.cap:
            self.level = 0.0
        elif self.level >= 1 + self.cap:
            self.level -= int(self.level - self.cap)


@dataclass(frozen=True, slots=True)
class _Part:
    """A part of the quotas that this lender may use until `end`."""

    incarnation: int
    end: float
    nodes: int


@dataclass(slots=True)
class Sender:
    """The last exchange with one process of a peer, so that a repeated message has no effect."""

    incarnation: int
    number: int = 0
    reply: CreditReply | None = None


class Senders:
    """The peers that send requests, by name."""

    def __init__(self) -> None:
        self._senders: dict[str, Sender] = {}
        self._recent: set[str] = set()
        self._former: set[str] = set()
        self._recent_until = 0.0

    def count_recent(self, name: str, now: float) -> int:
        """Count the request of a sender and return how many have sent one a moment ago."""
        if now >= self._recent_until:
            self._former, self._recent = self._recent, set()
            self._recent_until = now + RECENT_S
        self._recent.add(name)
        return max(len(self._recent), len(self._former))

    def find(self, name: str, incarnation: int, number: int) -> Sender | None:
        """Return the state of a sender, None if its request is out of date."""
        sender = self._senders.get(name)
        if sender is None or incarnation > sender.incarnation:
            sender = self._senders[name] = Sender(incarnation)
        if incarnation < sender.incarnation or number < sender.number:
            return None
        return sender


class Pool:
    """The parts of the quotas that one node may lend, and its buckets."""

    def __init__(self, name: str, incarnation: int, started: float, random: Random) -> None:
        self._name = name
        self._incarnation = incarnation
        self._started = started
        self._random = random
        self._nodes = 0
        self._quotas: Mapping[str, Quota] = {}
        self._buckets: dict[str, Bucket] = {}
        self._parts: dict[str, _Part] = {}
        self._holders = Senders()
        self._givers = Senders()
        self._configured = False
        self._grown_at = started
        self.lent_count = 0

    @property
    def parts(self) -> int:
        """Return the number of parts, including this node's own one if it is not delegated."""
        return len(self._parts)

    def list_parts(self, now: float) -> list[str]:
        """Return the owners of the parts that this lender may use now."""
        return [name for name, part in self._parts.items() if part.end > now]

    @property
    def has_own(self) -> bool:
        """Return whether this node uses its own part."""
        return self._name in self._parts

    def set_quotas(self, quotas: Mapping[str, Quota], now: float) -> None:
        """Use new quotas; what the buckets hold is kept, also by teams removed a moment ago."""
        for name, quota in quotas.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                bucket = self._buckets[name] = Bucket(quota, 0.0, now)
                self._fill_new(bucket, now)
            bucket.advance(now)
            bucket.quota, bucket.removed_at = quota, math.inf
        for name, bucket in list(self._buckets.items()):
            if name not in quotas:
                bucket.removed_at = min(bucket.removed_at, now)
                if now - bucket.removed_at > RETAIN_S:
                    del self._buckets[name]
        self._quotas = quotas
        self._configured = True
        self._resize(now)

    def set_nodes(self, nodes: int, now: float) -> None:
        """Set the number of known nodes; 0 while this node has not joined."""
        if nodes != self._nodes:
            self._nodes = nodes
            self._resize(now)

    def add_own(self, now: float) -> None:
        """Use this node's own part."""
        if not self.has_own:
            is_first = not self._parts
            self._add_part(self._name, _Part(self._incarnation, math.inf, 0), now)
            if is_first:
                # Nodes that lose their lender at the same moment must not all get their first
                # whole request at the same moment.
                for bucket in self._buckets.values():
                    if bucket.cap < 1:
                        bucket.level = self._random.random()

    def remove_own(self, now: float) -> None:
        """Stop using this node's own part, before it is delegated."""
        self._remove_part(self._name, now)

    def end_former(self, name: str, incarnation: int, now: float) -> None:
        """End the delegation of an earlier process of the node `name`."""
        part = self._parts.get(name)
        if part is not None and part.incarnation < incarnation:
            self._remove_part(name, now)

    def expire(self, now: float) -> None:
        """End the parts whose lease has ended.

        After a freeze they count as ended before it, so nothing accrues to them meanwhile.
        """
        expired = [name for name, part in self._parts.items() if part.end <= now]
        if expired:
            for name in expired:
                del self._parts[name]
            for bucket in self._buckets.values():
                self._shrink(bucket)
            self._resize(now)

    def renew(self, request: LeaseRequest, now: float) -> LeaseReply | None:
        """Apply a delegation and return the reply, None if the request is out of date."""
        giver = self._givers.find(request.sender, request.incarnation, request.number)
        if giver is None:
            return None
        if request.number > giver.number:
            giver.number = request.number
            self.end_former(request.sender, request.incarnation, now)
            self.expire(now)
            end = request.stamp + LEASE_S
            if not request.delegates:
                self._remove_part(request.sender, now)
            elif request.lender_incarnation == self._incarnation and end > now:
                part = _Part(request.incarnation, end, request.nodes)
                self._add_part(request.sender, part, now, idle_s=request.idle_s)
        return LeaseReply(incarnation=self._incarnation, number=request.number, stamp=now)

    def answer(self, request: CreditRequest, now: float) -> CreditReply | None:
        """Return the reply to a request for credits, None if it is out of date."""
        holder = self._holders.find(request.sender, request.incarnation, request.number)
        if holder is None:
            return None
        if request.number > holder.number:
            self.expire(now)
            grants = tuple(self._grant(request.sender, demand, now) for demand in request.teams)
            holder.number = request.number
            senders = self._holders.count_recent(request.sender, now)
            holder.reply = CreditReply(number=request.number, grants=grants, senders=senders)
        return holder.reply

    def _grant(self, holder: str, demand: TeamDemand, now: float) -> TeamGrant:
        bucket = self._buckets.get(demand.team)
        if bucket is None or demand.team not in self._quotas:
            return TeamGrant(team=demand.team, due_s=math.inf)
        bucket.advance(now)
        bucket.settle(holder, demand.used, demand.returned)
        lends_from = self._started + SETTLE_S
        if not self._nodes or now < lends_from:
            return TeamGrant(team=demand.team, due_s=max(0.0, lends_from - now))
        count = min(demand.need, bucket.whole)
        count += min(demand.want, int((bucket.level - count) * WANT_FRACTION + EPSILON))
        if count:
            bucket.lend(holder, count, now)
            self.lent_count += count
        due_s = bucket.compute_due_s() if count < demand.need else 0.0
        return TeamGrant(team=demand.team, count=count, left_s=CREDIT_S, due_s=due_s)

    def _fill_new(self, bucket: Bucket, now: float) -> None:
        """Fill the bucket of a team that was added; no call of it has passed this lender before.

        Nodes that have got the team earlier may have passed some at a former lender, so only the
        time since this lender got its last part counts, and none in the first configuration.
        """
        if self._configured:
            bucket.resize(len(self._parts), self._count_nodes(), now)
            bucket.add(bucket.rate_per_s * (now - self._grown_at))

    def _add_part(self, name: str, part: _Part, now: float, *, idle_s: float = 0.0) -> None:
        former = self._parts.get(name)
        self._parts[name] = part
        if former is not None and former.nodes == part.nodes:
            return
        self._resize(now)
        if former is None:
            self._grown_at = now
            for bucket in self._buckets.values():
                if bucket.cap >= 1:
                    share = 1 / self._count_nodes()
                    idle = min(bucket.quota.rate_per_s * max(0.0, idle_s), bucket.quota.burst)
                    bucket.add(idle * share)

    def _remove_part(self, name: str, now: float) -> None:
        if self._parts.pop(name, None) is not None:
            self._resize(now)

    def _count_nodes(self) -> int:
        """Return the number of nodes, by the delegating nodes if they know more."""
        if not self._nodes:
            return 0
        reported = max((part.nodes for part in self._parts.values()), default=0)
        return max(self._nodes, reported, len(self._parts))

    def _resize(self, now: float) -> None:
        nodes = self._count_nodes()
        for bucket in self._buckets.values():
            bucket.resize(len(self._parts), nodes, now)

    def _shrink(self, bucket: Bucket) -> None:
        """Reduce the rate before the time since the last settling is filled in."""
        nodes = self._count_nodes()
        bucket.rate_per_s = bucket.quota.rate_per_s * len(self._parts) / nodes if nodes else 0.0
