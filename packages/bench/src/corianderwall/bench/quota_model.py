"""A model of a fleet with quotas: the product's decisions on virtual time, beside one that knows
all.

Only the network, the clocks and the endpoints are modelled; a call that gets credit arrives at an
endpoint at once. Nodes fail, freeze, restart and lose links as a script says.
"""

import heapq
import itertools
from bisect import bisect_left
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from corianderwall.mesh.quota import Pool, make_quotas
from corianderwall.mesh.quotaholder import (
    DISTRIBUTOR_LIMITS,
    ENTRY_LIMITS,
    Credit,
    CreditHolder,
    Distributor,
)
from corianderwall.mesh.quotalease import PartLease, choose_roles
from corianderwall.mesh.settings import Bounds
from corianderwall.model.resource import Team

TICK_S = 0.25
"""Interval of periodic requests; as in the product."""
FAST_TICK_S = 0.01
"""Interval at which waiting calls are looked at; as in the product."""
WAIT_S = 0.25
"""Longest wait of a call for credit; as in the product."""
MESSAGE_TIMEOUT_S = 1.0
"""Timeout of a message; as in the product."""
DELAY_S = (0.001, 0.004)
"""Shortest and longest time of a message in one direction, including the processor time."""
CALL_S = 0.1
"""Time of a call at an endpoint."""
RETRY_S = 1.0
"""Time after which a node that has not responded is tried again."""
ANNOUNCE_S = 0.01
"""Time after which all nodes in touch know a node that has started."""


@dataclass(slots=True)
class _Waiter:
    node: "_Node"
    team: str
    until: float
    allowed: bool


@dataclass(slots=True)
class _Node:
    name: str
    zone: str
    incarnation: int
    pool: Pool
    lease: PartLease
    stock: CreditHolder
    distributor: Distributor
    entry: CreditHolder
    alive: bool = True
    polling: bool = False
    frozen_until: float = 0.0
    live: tuple[tuple[str, str, int], ...] = ()
    known: dict[str, int] = field(default_factory=dict)
    dead_until: dict[str, float] = field(default_factory=dict)
    waiting: dict[str, deque[_Waiter]] = field(default_factory=dict)


@dataclass(slots=True)
class TeamResult:
    """What became of the calls of one team; `allowed` by the decision that knows all."""

    asked: int = 0
    allowed: int = 0
    allowed_refused: int = 0
    passed_at: list[float] = field(default_factory=list)

    def find_worst_window(self, window_s: float) -> int:
        """Return the largest number of calls passed in any sliding window."""
        times = sorted(self.passed_at)
        return max(
            (index + 1 - bisect_left(times, at - window_s) for index, at in enumerate(times)),
            default=0,
        )


@dataclass(slots=True)
class _Oracle:
    """One exact bucket for the whole fleet."""

    team: Team
    level: float
    at: float = 0.0

    def take(self, now: float) -> bool:
        """Return whether the quota allows a call."""
        self.level = min(self.team.burst, self.level + self.team.rate_per_s * (now - self.at))
        self.at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


class QuotaFleet:
    """A fleet of nodes; `run` plays the events in the order of virtual time."""

    def __init__(
        self, nodes: int, zones: int, teams: Iterable[Team], seed: int, bounds: Bounds | None = None
    ) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.messages = 0
        self.received: dict[str, int] = {}
        self.results: dict[str, TeamResult] = {}
        self.nodes: list[_Node] = []
        self.cuts: set[tuple[str, str]] = set()
        self._bounds = bounds or Bounds()
        self._zones = zones
        self._events: list[tuple[float, int, _Node | None, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._teams = tuple(teams)
        self._oracles = {team.name: _Oracle(team, team.burst) for team in self._teams}
        for index in range(nodes):
            self._add_node(index)
        for node in self.nodes:
            node.known = {each.name: each.incarnation for each in self.nodes}

    # The script of a run.

    def at(self, time: float, action: Callable[[], None], node: "_Node | None" = None) -> None:
        """Run `action` at `time`, or when `node` runs again if it is frozen then."""
        heapq.heappush(self._events, (time, next(self._sequence), node, action))

    def run(self, until: float) -> None:
        """Play all events up to `until`."""
        while self._events and self._events[0][0] <= until:
            time, _, node, action = heapq.heappop(self._events)
            self.now = time
            if node is not None and node.frozen_until > time:
                self.at(node.frozen_until, action, node)
            else:
                action()
        self.now = until

    def call(self, index: int, team: str) -> None:
        """Let a caller at a node send a call of `team` now."""
        result = self.results.setdefault(team, TeamResult())
        result.asked += 1
        node = self.nodes[index]
        oracle = self._oracles.get(team)
        if not node.alive or oracle is None:
            return
        allowed = oracle.take(self.now)
        result.allowed += allowed
        waiter = _Waiter(node, team, self.now + WAIT_S, allowed)
        self.at(self.now, lambda: self._decide(waiter), node)

    def kill(self, index: int) -> None:
        """End the process of a node."""
        self.nodes[index].alive = False

    def restart(self, index: int) -> None:
        """Start a new process of a node without any state."""
        former = self.nodes[index]
        former.alive = False
        node = self.nodes[index] = self._make_node(index, former.incarnation + 1)
        node.known = {each.name: each.incarnation for each in self.nodes}
        self._start(node)
        self.at(self.now + ANNOUNCE_S, lambda: self._announce(node))

    def join(self) -> None:
        """Start a node that the others do not know yet."""
        node = self._add_node(len(self.nodes))
        node.known = {each.name: each.incarnation for each in self.nodes}
        self.at(self.now + ANNOUNCE_S, lambda: self._announce(node))

    def freeze(self, index: int, seconds: float) -> None:
        """Stop the process of a node for a time; its messages wait."""
        self.nodes[index].frozen_until = self.now + seconds

    def cut(self, group: Iterable[int]) -> None:
        """Cut all links between the nodes of `group` and the others."""
        inside = {self.nodes[index].name for index in group}
        outside = {node.name for node in self.nodes} - inside
        self.cuts |= {pair for a in inside for b in outside for pair in ((a, b), (b, a))}

    def heal(self) -> None:
        """Mend all links."""
        self.cuts.clear()

    def set_teams(self, teams: Iterable[Team]) -> None:
        """Send a new configuration to all nodes."""
        self._teams = tuple(teams)
        oracles = {}
        for team in self._teams:
            former = self._oracles.get(team.name)
            level = min(former.level, team.burst) if former is not None else team.burst
            oracles[team.name] = _Oracle(team, level, former.at if former is not None else self.now)
        self._oracles = oracles
        for node in self.nodes:
            self.at(self.now, lambda node=node: self._configure(node), node)  # type: ignore[misc]

    def find_double_parts(self) -> set[str]:
        """Return the owners of parts that two lenders may use now."""
        owners = [
            owner for node in self.nodes if node.alive for owner in node.pool.list_parts(self.now)
        ]
        return {owner for owner in owners if owners.count(owner) > 1}

    # Nodes.

    def _add_node(self, index: int) -> _Node:
        node = self._make_node(index, 1)
        self.nodes.append(node)
        self._start(node)
        return node

    def _make_node(self, index: int, incarnation: int) -> _Node:
        name = f"h{index}"
        pool = Pool(name, incarnation, self.now, self.random)
        lease = PartLease(name, incarnation, self.now, pool)
        stock = CreditHolder(
            name, incarnation, DISTRIBUTOR_LIMITS, lambda team: lease.list_lenders()
        )
        entry = CreditHolder(
            name, incarnation, ENTRY_LIMITS, lambda team: lease.roles.list_distributors(team)
        )
        distributor = Distributor(stock, lambda: self._fetch(node, periodic=False))
        zone = f"z{index % self._zones}"
        node = _Node(name, zone, incarnation, pool, lease, stock, distributor, entry)
        return node

    def _start(self, node: _Node) -> None:
        self._configure(node)
        self.at(self.now + self.random.uniform(0.01, TICK_S), lambda: self._tick(node), node)

    def _configure(self, node: _Node) -> None:
        node.pool.set_quotas(make_quotas(self._teams, self._bounds), self.now)

    def _announce(self, node: _Node) -> None:
        for other in self.nodes:
            if other.alive and (node.name, other.name) not in self.cuts:
                other.known[node.name] = node.incarnation
                other.pool.end_former(node.name, node.incarnation, self.now)

    def _tick(self, node: _Node) -> None:
        if not node.alive:
            return
        zones = {each.name: each.zone for each in self.nodes}
        self._probe_dead(node)
        live = tuple(
            (name, zones[name], incarnation)
            for name, incarnation in node.known.items()
            if name not in node.dead_until
        )
        if live != node.live:
            node.live = live
            node.lease.roles = choose_roles(node.name, node.zone, live)
        node.lease.nodes = len(node.known)
        node.pool.set_nodes(len(node.known), self.now)
        self._renew(node)
        node.distributor.end_lapsed(self.now)
        self._fetch(node, periodic=True)
        self._send(node, periodic=True)
        self.at(self.now + TICK_S, lambda: self._tick(node), node)

    def _probe_dead(self, node: _Node) -> None:
        """Try the nodes again that have not responded."""
        for name, until in list(node.dead_until.items()):
            other = self.nodes[int(name[1:])]
            if until > self.now:
                continue
            is_up = other.alive and other.frozen_until <= self.now
            if is_up and (node.name, name) not in self.cuts:
                del node.dead_until[name]
            else:
                node.dead_until[name] = self.now + RETRY_S

    # Calls.

    def _decide(self, waiter: _Waiter) -> None:
        node = waiter.node
        if not node.alive:
            return
        node.entry.count_demand(waiter.team, 1, self.now)
        credit = node.entry.take(waiter.team, self.now)
        if credit is not None:
            self._pass(waiter, credit)
            return
        node.waiting.setdefault(waiter.team, deque()).append(waiter)
        node.entry.set_waiting(waiter.team, len(node.waiting[waiter.team]))
        self._send(node, periodic=False)
        if not node.polling:
            node.polling = True
            self.at(self.now + FAST_TICK_S, lambda: self._poll(node), node)

    def _poll(self, node: _Node) -> None:
        node.polling = False
        for waiting in node.waiting.values():
            while waiting and waiting[0].until <= self.now:
                self._refuse(waiting.popleft())
        if node.alive and any(node.waiting.values()):
            self._send(node, periodic=False)
            node.polling = True
            self.at(self.now + FAST_TICK_S, lambda: self._poll(node), node)

    def _pass(self, waiter: _Waiter, credit: Credit) -> None:
        self.results[waiter.team].passed_at.append(self.now)
        entry = waiter.node.entry
        self.at(self.now + CALL_S, lambda: entry.end(credit, self.now, unused=False), waiter.node)

    def _refuse(self, waiter: _Waiter) -> None:
        self.results[waiter.team].allowed_refused += waiter.allowed

    def _serve(self, node: _Node) -> None:
        """Give credits to waiting calls, and refuse those that no lender has credit for."""
        for team, waiting in node.waiting.items():
            while waiting and (credit := node.entry.take(team, self.now)):
                self._pass(waiting.popleft(), credit)
            if waiting and not node.entry.may_wait(team, self.now):
                for waiter in waiting:
                    self._refuse(waiter)
                waiting.clear()
            node.entry.set_waiting(team, len(waiting))

    # Messages.

    def _renew(self, node: _Node) -> None:
        for lender, request in node.lease.plan(self.now):
            self._post(
                node,
                lender,
                lambda peer, request=request: peer.pool.renew(request, self.now),  # type: ignore
                lambda reply, lender=lender: self._end_renewal(node, lender, reply),  # type: ignore
            )

    def _end_renewal(self, node: _Node, lender: str, reply: Any) -> None:
        node.lease.apply_reply(lender, reply, self.now)
        if reply is not None:
            self._renew(node)

    def _fetch(self, node: _Node, *, periodic: bool) -> None:
        """Ask the lenders for the credits that a distributor needs."""
        for lender, request in node.stock.plan(self.now, periodic=periodic):
            self._post(
                node,
                lender,
                lambda peer, request=request: peer.pool.answer(request, self.now),  # type: ignore
                lambda reply, lender=lender: node.stock.apply_reply(  # type: ignore
                    lender, reply, self.now
                ),
            )

    def _send(self, node: _Node, *, periodic: bool) -> None:
        """Ask the distributors for the credits that callers of a node need."""
        self._serve(node)
        for giver, request in node.entry.plan(self.now, periodic=periodic):
            self._post(
                node,
                giver,
                lambda peer, request=request: peer.distributor.answer(  # type: ignore
                    request, self.now
                ),
                lambda reply, giver=giver: self._end_request(node, giver, reply),  # type: ignore
            )
        self._serve(node)

    def _end_request(self, node: _Node, giver: str, reply: Any) -> None:
        node.entry.apply_reply(giver, reply, self.now)
        self._serve(node)
        if any(node.waiting.values()):
            self._send(node, periodic=False)

    def _post(
        self, node: _Node, name: str, ask: Callable[[_Node], Any], end: Callable[[Any], None]
    ) -> None:
        if name == node.name:
            end(ask(node))
            return
        self.messages += 1
        sent = _Exchange(self, node, name, end)
        self.at(self.now + MESSAGE_TIMEOUT_S, lambda: sent.finish(None), node)
        if (node.name, name) not in self.cuts:
            target = self.nodes[int(name[1:])]
            delay = self.random.uniform(*DELAY_S)
            self.at(self.now + delay, lambda: self._receive(target, sent, ask), target)

    def _receive(self, target: _Node, sent: "_Exchange", ask: Callable[[_Node], Any]) -> None:
        back = self.now + self.random.uniform(*DELAY_S)
        if not target.alive:
            # The host refuses the connection.
            self.at(back, lambda: sent.finish(None), sent.node)
            return
        self.received[target.name] = self.received.get(target.name, 0) + 1
        reply = ask(target)
        if (target.name, sent.node.name) not in self.cuts:
            self.at(back, lambda: sent.finish(reply), sent.node)


@dataclass(slots=True)
class _Exchange:
    fleet: QuotaFleet
    node: _Node
    name: str
    end: Callable[[Any], None]
    ended: bool = False

    def finish(self, reply: Any) -> None:
        """End the exchange once, with a reply or without."""
        if self.ended or not self.node.alive:
            return
        self.ended = True
        if reply is None:
            self.node.dead_until[self.name] = self.fleet.now + RETRY_S
        self.end(reply)
