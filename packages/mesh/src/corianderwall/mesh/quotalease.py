"""Where a node's own part of the quotas is, and which nodes are lenders and distributors."""

import functools
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

from corianderwall.mesh.quota import CLOCK_TOLERANCE, LEASE_S, LeaseReply, LeaseRequest, Pool

HOSTS_PER_LENDER = 80
"""Nodes per lender and zone; their renewals are about a hundred a second. Fewer lenders leave less
of a small burst in fractions of a request. The failure of one of four costs a quarter of each rate
for a lease, which teams within their limit can spare: a quota is 1.6 times the usual load."""
HOSTS_PER_DISTRIBUTOR = 5
"""Nodes per distributor. With 20 messages a second from each node, 100 a second arrive at one,
which at 0.3 ms each cost a host with 0.43 of a core a fourteenth of it."""
DISTRIBUTORS_PER_TEAM = 2
"""Nodes that are asked for one team: the second while the first does not respond."""
RENEW_S = 0.75
"""Interval at which a part is delegated anew; a quarter of the lease, so that one may be lost."""
ASK_INTERVAL_S = 0.2
"""Interval of requests to a lender that is about to get the part or to give it back."""
MAX_STAMP_AGE_S = 0.8 * LEASE_S
"""Age up to which a lender's stamp is used; a lease on an older one would end at once."""
PLACE_AFTER_S = 0.5
"""Time for which a free part waits for a lender before this node uses it alone; two exchanges."""


@dataclass(frozen=True, slots=True)
class Roles:
    """This node, the lender of its part, all lenders and distributors, and the live nodes'
    incarnations, as this node sees them."""

    own: str
    home: str = ""
    lenders: tuple[str, ...] = ()
    distributors: tuple[str, ...] = ()
    incarnations: Mapping[str, int] = field(default_factory=dict)
    _ranked: dict[str, list[str]] = field(default_factory=dict, compare=False)

    def list_distributors(self, team: str) -> list[str]:
        """Return the distributors of a team; this node itself is asked if none responds."""
        ranked = self._ranked.get(team)
        if ranked is None:
            ranked = sorted(self.distributors, key=lambda name: _score(team, name))
            ranked = list(dict.fromkeys((*ranked[:DISTRIBUTORS_PER_TEAM], self.own)))
            self._ranked[team] = ranked
        return ranked


def choose_roles(
    own: str,
    zone: str,
    nodes: Iterable[tuple[str, str, int]],
    leaving: Iterable[tuple[str, int]] = (),
) -> Roles:
    """Choose among the live `nodes` (name, zone, incarnation), this one included.

    Nodes that are `leaving` (name, incarnation) get no role, but still give parts back.

    All nodes with the same view choose the same ones. Each zone has its own lenders, so that it
    keeps its parts when it is cut off.
    """
    zones: dict[str, list[str]] = {}
    incarnations: dict[str, int] = {}
    for name, node_zone, incarnation in nodes:
        zones.setdefault(node_zone, []).append(name)
        incarnations[name] = incarnation
    chosen = {each: _choose(names, "lender", HOSTS_PER_LENDER) for each, names in zones.items()}
    near = chosen.get(zone, [])
    home = own if own in near else min(near, key=lambda name: _score(own, name), default="")
    lenders = sorted(
        (name for names in chosen.values() for name in names), key=lambda name: _score(own, name)
    )
    # Lenders have the messages of all distributors to answer, so they are distributors only if
    # there are no others.
    others = [name for name in incarnations if name not in lenders] or list(incarnations)
    distributors = _choose(others, "distributor", HOSTS_PER_DISTRIBUTOR)
    known = incarnations | dict(leaving)
    return Roles(own, home, tuple(lenders), tuple(distributors), known)


def _choose(names: list[str], seed: str, nodes_each: int) -> list[str]:
    count = math.ceil(len(names) / nodes_each)
    return sorted(names, key=lambda name: _score(seed, name))[:count]


@functools.lru_cache(maxsize=4096)
def _score(seed: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{seed}|{name}".encode())


@dataclass(slots=True)
class _Stamp:
    """The last reply of a lender, and the number of the last request to it."""

    number: int = 0
    incarnation: int = 0
    stamp: float = 0.0
    received_at: float = -math.inf
    sent_at: float = -math.inf
    in_flight: bool = False
    delegating: bool = False


class PartLease:
    """Delegates this node's part to one lender at a time; it is used elsewhere only after that."""

    def __init__(self, name: str, incarnation: int, started: float, pool: Pool) -> None:
        self.roles = Roles(name)
        self.nodes = 0
        self.lender = ""
        self._until = -math.inf
        self._lender_incarnation = 0
        self._number = 0
        self._name = name
        self._incarnation = incarnation
        self._pool = pool
        self._own_from = started + LEASE_S * (1 + CLOCK_TOLERANCE)
        self._idle_since = started
        self._stamps: dict[str, _Stamp] = {}

    def list_lenders(self) -> tuple[str, ...]:
        """Return the lenders to ask for credits, this node too while it uses its own part."""
        lenders = self.roles.lenders
        return lenders if not self._pool.parts or self._name in lenders else (*lenders, self._name)

    def plan(self, now: float) -> list[tuple[str, LeaseRequest]]:
        """Place the own part and return the requests to send now, by lender."""
        self._pool.expire(now)
        self._place(now)
        home = self.roles.home
        due = {home} if home not in ("", self._name) and self.nodes else set()
        if self.lender not in ("", home) and self.lender in self.roles.incarnations:
            # The former lender gives the part back, so that it need not expire there.
            due.add(self.lender)
        return [(name, self._make_request(name, now)) for name in due if self._is_due(name, now)]

    def apply_reply(self, lender: str, reply: LeaseReply | None, now: float) -> None:
        """Apply the reply to the request that is under way to `lender`, None if there was none."""
        state = self._find_stamp(lender)
        state.in_flight = False
        if reply is None or reply.number != state.number:
            return
        state.incarnation, state.stamp = reply.incarnation, reply.stamp
        state.received_at = now
        is_released = not state.delegating and reply.number > self._number
        has_restarted = reply.incarnation > self._lender_incarnation
        if self.lender == lender and (is_released or has_restarted):
            self._until = now

    def _place(self, now: float) -> None:
        """Use the own part here unless it is, or is about to be, at a lender."""
        if self.lender:
            known = self.roles.incarnations.get(self.lender, 0)
            # If the process that had the part has ended, nobody uses it any more.
            if self._until > now and known <= self._lender_incarnation:
                return
            self.lender = ""
            self._idle_since = now
        home = self.roles.home
        if self._pool.has_own or not self.nodes:
            return
        # The part of an earlier process of this node may still be at a lender out of reach.
        alone_from = max(self._own_from, self._idle_since + PLACE_AFTER_S)
        if home == self._name or (now >= alone_from and not self._can_delegate(home, now)):
            self._pool.add_own(now)

    def _can_delegate(self, lender: str, now: float) -> bool:
        state = self._find_stamp(lender)
        return (
            lender == self.roles.home
            and lender not in ("", self._name)
            and self.lender in ("", lender)
            and now - state.received_at < MAX_STAMP_AGE_S
            and self.roles.incarnations.get(lender, 0) <= state.incarnation
            and (not self.lender or state.incarnation == self._lender_incarnation)
        )

    def _is_due(self, lender: str, now: float) -> bool:
        state = self._find_stamp(lender)
        if state.in_flight:
            return False
        if self.lender != lender and self._can_delegate(lender, now):
            return True
        is_home = self.lender == lender == self.roles.home
        return now - state.sent_at >= (RENEW_S if is_home else ASK_INTERVAL_S)

    def _make_request(self, lender: str, now: float) -> LeaseRequest:
        state = self._find_stamp(lender)
        state.number += 1
        state.in_flight, state.sent_at = True, now
        state.delegating = self._can_delegate(lender, now)
        idle_s = self._delegate(lender, state, now) if state.delegating else 0.0
        return LeaseRequest(
            sender=self._name,
            incarnation=self._incarnation,
            number=state.number,
            nodes=self.nodes,
            lender_incarnation=state.incarnation,
            stamp=state.stamp,
            delegates=state.delegating,
            idle_s=idle_s,
        )

    def _delegate(self, lender: str, state: _Stamp, now: float) -> float:
        """Delegate the own part with the next request; return for how long it was unused."""
        idle_s = 0.0
        if not self.lender:
            if not self._pool.has_own:
                idle_s = now - self._idle_since
            self._pool.remove_own(now)
        self.lender, self._lender_incarnation = lender, state.incarnation
        self._number = state.number
        self._until = now + LEASE_S * (1 + CLOCK_TOLERANCE)
        return idle_s

    def _find_stamp(self, lender: str) -> _Stamp:
        return self._stamps.setdefault(lender, _Stamp())
