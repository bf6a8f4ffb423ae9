"""Exchanges credits and parts of the quotas with peers, and lets calls wait for credit."""

import asyncio
import math
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from corianderwall.mesh.directory import Directory
from corianderwall.mesh.peerlink import PeerLink
from corianderwall.mesh.quota import (
    CreditReply,
    CreditRequest,
    LeaseReply,
    LeaseRequest,
    Pool,
    Quota,
    make_quotas,
)
from corianderwall.mesh.quotaholder import (
    DISTRIBUTOR_LIMITS,
    ENTRY_LIMITS,
    PENDING_S,
    Credit,
    CreditHolder,
    Distributor,
)
from corianderwall.mesh.quotalease import PartLease, choose_roles
from corianderwall.mesh.retryafter import JITTER, MIN_RETRY_AFTER_S
from corianderwall.mesh.settings import Bounds
from corianderwall.mesh.tasks import Spawn
from corianderwall.model.resource import Snapshot
from corianderwall.node.logs import log_info, log_warning

TICK_S = 0.25
"""Interval at which leases and credits in advance are looked at; a third of a renewal."""
MAX_WAIT_S = 0.25
"""Longest wait of a call for credit; two attempts at distributors that do not reply."""
MAX_WAITING = 256
"""Calls of one team that wait for credit here; more than a host's callers send within the wait."""
MAX_HOLD_S = 1.0
"""Time for which a credit that a call has taken lets it go to an owner. A call that was frozen or
looked for a free slot for longer needs a new one, since it would arrive in a later window."""
LEFT_RETENTION_S = 60.0
"""Time for which a node that has left counts for n; peers may count it for as long."""

LEASE_KIND = "quota-lease"
LENDER_KIND = "quota-lend"
DISTRIBUTOR_KIND = "quota"

_lease_request_decoder = msgspec.msgpack.Decoder(LeaseRequest)
_lease_reply_decoder = msgspec.msgpack.Decoder(LeaseReply)
_credit_request_decoder = msgspec.msgpack.Decoder(CreditRequest)
_credit_reply_decoder = msgspec.msgpack.Decoder(CreditReply)


@dataclass(frozen=True, slots=True)
class OverQuota:
    """No credit is due for the call before `retry_after_s` from now."""

    retry_after_s: float


@dataclass(eq=False, slots=True)
class _Waiter:
    until: float
    result: "Deferred[Credit | None]"


class QuotaExchange:
    """The quotas at one node; sends nothing while no team has a rate."""

    def __init__(
        self,
        directory: Directory,
        link: PeerLink,
        bounds: Bounds,
        joined: asyncio.Event,
        spawn: Spawn,
        random: Random,
    ) -> None:
        self._directory = directory
        self._link = link
        self._bounds = bounds
        self._joined = joined
        self._spawn = spawn
        self._random = random
        self._loop = asyncio.get_running_loop()
        self._quotas: dict[str, Quota] = {}
        self._activated = asyncio.Event()
        self._waiting: dict[str, deque[_Waiter]] = {}
        self._poll: asyncio.TimerHandle | None = None
        self._seen: tuple[object, object] = ((), ())
        self._left_at: dict[str, float] = {}
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self.messages: Counter[str] = Counter()
        own, now = directory.own, self._loop.time()
        self.pool = Pool(own.name, own.incarnation, now, random)
        self._lease = PartLease(own.name, own.incarnation, now, self.pool)
        self._stock = CreditHolder(
            own.name, own.incarnation, DISTRIBUTOR_LIMITS, lambda team: self._lease.list_lenders()
        )
        self._entry = CreditHolder(
            own.name,
            own.incarnation,
            ENTRY_LIMITS,
            lambda team: self._lease.roles.list_distributors(team),
        )
        self._distributor = Distributor(self._stock, lambda: self._fetch(periodic=False))

    def apply_configuration(self, snapshot: Snapshot) -> None:
        """Use the quotas of a new configuration."""
        quotas = make_quotas(snapshot.teams, self._bounds)
        if not quotas and not self._quotas:
            return
        self._quotas = quotas
        self.pool.set_quotas(quotas, self._loop.time())
        for holder in (self._entry, self._stock):
            holder.forget_teams(quotas)
        if quotas:
            self._activated.set()
        else:
            self._activated.clear()
        log_info("quotas activated", teams=len(quotas), config_version=snapshot.version)

    def has_quota(self, team: str) -> bool:
        """Return whether the calls of `team` need credit."""
        return team in self._quotas

    async def run(self) -> None:
        """Renew leases and hold credits in advance until cancelled."""
        while True:
            await self._activated.wait()
            self._tick()
            await asyncio.sleep(TICK_S)

    async def take(self, team: str) -> Credit | OverQuota:
        """Return a credit for a call of `team`; if there is none, wait for its distributor."""
        now = self._loop.time()
        self._entry.count_demand(team, 1, now)
        credit = self._entry.take(team, now)
        if credit is not None:
            self.outcomes[team, "credit"] += 1
            return credit
        credit = await self._wait(team, now)
        self.outcomes[team, "refused" if credit is None else "waited"] += 1
        if credit is not None:
            return credit
        wait_s = max(MIN_RETRY_AFTER_S, self._entry.compute_wait_s(team, self._loop.time()))
        return OverQuota(wait_s * (1 + JITTER * self._random.random()))

    def end(self, credit: Credit, *, unused: bool) -> None:
        """End the use of a credit; `unused` if the call has certainly reached no endpoint."""
        self._entry.end(credit, self._loop.time(), unused=unused)
        if unused:
            self.outcomes[credit.team, "returned"] += 1
            self._serve()

    def handle_lease(self, body: bytes) -> bytes | None:
        """Handle a peer's delegation."""
        reply = self.pool.renew(_lease_request_decoder.decode(body), self._loop.time())
        return None if reply is None else msgspec.msgpack.encode(reply)

    def handle_lender_request(self, body: bytes) -> bytes | None:
        """Lend credits to a distributor."""
        reply = self.pool.answer(_credit_request_decoder.decode(body), self._loop.time())
        return None if reply is None else msgspec.msgpack.encode(reply)

    def handle_request(self, body: bytes) -> bytes | None:
        """Pass credits on to an entry."""
        reply = self._distributor.answer(_credit_request_decoder.decode(body), self._loop.time())
        return None if reply is None else msgspec.msgpack.encode(reply)

    # Calls that wait.

    def _wait(self, team: str, now: float) -> "Deferred[Credit | None]":
        waiting = self._waiting.setdefault(team, deque())
        waiter = _Waiter(now + MAX_WAIT_S, Deferred(lambda _: self._withdraw(team, waiter)))
        if len(waiting) >= MAX_WAITING:
            waiter.result.callback(None)
            return waiter.result
        waiting.append(waiter)
        self._entry.set_waiting(team, len(waiting))
        self._ask(periodic=False)
        self._start_poll()
        return waiter.result

    def _withdraw(self, team: str, waiter: _Waiter) -> None:
        waiting = self._waiting.get(team, ())
        if waiter in waiting:
            self._waiting[team].remove(waiter)
            self._entry.set_waiting(team, len(waiting))

    def _start_poll(self) -> None:
        if self._poll is None and any(self._waiting.values()):
            self._poll = self._loop.call_later(PENDING_S, self._poll_waiting)

    def _poll_waiting(self) -> None:
        self._poll = None
        now = self._loop.time()
        for waiting in list(self._waiting.values()):
            while waiting and waiting[0].until <= now:
                waiting.popleft().result.callback(None)
        self._ask(periodic=False)
        self._start_poll()

    def _serve(self) -> None:
        """Give credits to waiting calls, and refuse those that nobody has credit for."""
        now = self._loop.time()
        for team, waiting in list(self._waiting.items()):
            while waiting and (credit := self._entry.take(team, now)):
                waiting.popleft().result.callback(credit)
            if waiting and not (self.has_quota(team) and self._entry.may_wait(team, now)):
                refused = list(waiting)
                waiting.clear()
                for waiter in refused:
                    waiter.result.callback(None)
            self._entry.set_waiting(team, len(waiting))
            # A call that has got its result may have made others wait meanwhile.
            if not waiting and self._waiting.get(team) is waiting:
                del self._waiting[team]

    # Messages.

    def _tick(self) -> None:
        now = self._loop.time()
        self._update_roles(now)
        self._renew()
        self._distributor.end_lapsed(now)
        self._fetch(periodic=True)
        self._ask(periodic=True)

    def _update_roles(self, now: float) -> None:
        own = self._directory.own
        live = [(p.record.name, p.record.zone, p.record.incarnation) for p in self._list_live()]
        if not own.leaving:
            live.append((own.name, own.zone, own.incarnation))
        for peer in self._directory.peers.values():
            self.pool.end_former(peer.record.name, peer.record.incarnation, now)
        nodes = self._count_nodes(now) if self._joined.is_set() else 0
        self.pool.set_nodes(nodes, now)
        self._lease.nodes = nodes
        # A lender that is leaving still gives parts back.
        leaving = [
            (peer.record.name, peer.record.incarnation)
            for peer in self._directory.peers.values()
            if peer.record.leaving and not peer.failures
        ]
        if (live, leaving) == self._seen:
            return
        self._seen = (live, leaving)
        former, roles = self._lease.roles, choose_roles(own.name, own.zone, live, leaving)
        self._lease.roles = roles
        if (former.home, former.lenders) != (roles.home, roles.lenders):
            log_info(
                "the lenders of quotas changed",
                lender=roles.home,
                lender_former=former.home,
                lenders=len(roles.lenders),
                distributors=len(roles.distributors),
                nodes=nodes,
                parts=self.pool.parts,
            )

    def _list_live(self) -> list[Any]:
        return sorted(self._directory.list_live(), key=lambda peer: peer.record.name)

    def _count_nodes(self, now: float) -> int:
        """Return n: all known nodes, including those that don't respond and those just left."""
        count = 1
        for name, peer in self._directory.peers.items():
            if not peer.record.leaving:
                self._left_at.pop(name, None)
                count += 1
            elif now - self._left_at.setdefault(name, now) < LEFT_RETENTION_S:
                count += 1
        return count

    def _renew(self) -> None:
        for lender, request in self._lease.plan(self._loop.time()):
            self._spawn(self._send_lease(lender, request))

    async def _send_lease(self, lender: str, request: LeaseRequest) -> None:
        reply = await self._post(lender, LEASE_KIND, request, _lease_reply_decoder)
        self._lease.apply_reply(lender, reply, self._loop.time())
        if reply is not None and self._quotas:
            self._renew()

    def _fetch(self, *, periodic: bool) -> None:
        """Ask the lenders for the credits that this distributor needs."""
        for lender, request in self._stock.plan(self._loop.time(), periodic=periodic):
            if lender == self._directory.own.name:
                reply = self.pool.answer(request, self._loop.time())
                self._stock.apply_reply(lender, reply, self._loop.time())
            else:
                self._spawn(self._send_request(self._stock, lender, LENDER_KIND, request))

    def _ask(self, *, periodic: bool) -> None:
        """Ask the distributors for the credits that calls here need."""
        self._serve()
        for giver, request in self._entry.plan(self._loop.time(), periodic=periodic):
            if giver == self._directory.own.name:
                reply = self._distributor.answer(request, self._loop.time())
                self._entry.apply_reply(giver, reply, self._loop.time())
            else:
                self._spawn(self._send_request(self._entry, giver, DISTRIBUTOR_KIND, request))
        self._serve()

    async def _send_request(
        self, holder: CreditHolder, giver: str, kind: str, request: CreditRequest
    ) -> None:
        reply = await self._post(giver, kind, request, _credit_reply_decoder)
        holder.apply_reply(giver, reply, self._loop.time())
        if holder is self._entry and any(self._waiting.values()):
            self._ask(periodic=False)

    async def _post(
        self, name: str, kind: str, request: msgspec.Struct, decoder: msgspec.msgpack.Decoder[Any]
    ) -> Any:
        """Send a request and return the decoded reply, None if there is none."""
        peer = self._directory.peers.get(name)
        if peer is None:
            return None
        self.messages[kind] += 1
        body = await self._link.post(peer.record, kind, msgspec.msgpack.encode(request))
        if body is None:
            return None
        try:
            return decoder.decode(body)
        except msgspec.DecodeError as error:
            log_warning("cannot decode a reply about quotas", peer=name, error=str(error))
            return None


@dataclass(slots=True)
class CallQuota:
    """The credit of one call; each send that may have reached an endpoint needs a new one."""

    exchange: QuotaExchange
    team: str
    refusal: OverQuota | None = None
    _credit: Credit | None = None
    _taken_at: float = -math.inf
    _was_sent: bool = False

    async def admit(self, now: Callable[[], float]) -> bool:
        """Return whether the call may be sent to an owner now."""
        if not self.exchange.has_quota(self.team):
            return True
        if self._credit is not None and now() - self._taken_at < MAX_HOLD_S:
            return True
        self.end()
        taken = await self.exchange.take(self.team)
        if isinstance(taken, OverQuota):
            if not self.exchange.has_quota(self.team):
                # The quota was removed meanwhile.
                return True
            self.refusal = taken
            return False
        self._credit, self._taken_at = taken, now()
        return True

    async def track(self, sending: Awaitable[Any]) -> Any:
        """Await the reply of an owner; unless it says otherwise, the call has arrived."""
        self._was_sent = True
        reply = await sending
        self._was_sent = reply.metadata.reached
        if self._was_sent:
            self.end()
        return reply

    def end(self) -> None:
        """End the use of the credit, at the end of the call or after it has reached an endpoint."""
        credit, self._credit = self._credit, None
        if credit is not None:
            self.exchange.end(credit, unused=not self._was_sent)
        self._was_sent = False
