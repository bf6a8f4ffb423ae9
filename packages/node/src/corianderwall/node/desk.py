"""The owner's desk: admits the calls for the endpoint beside this node and issues its leases."""

from typing import TYPE_CHECKING

from corianderwall.model.endpoint import EndpointState
from corianderwall.model.errors import ErrorCode
from corianderwall.node.callhead import LOAD_HEADER
from corianderwall.node.deskattempt import DeskAttempt
from corianderwall.node.serviceload import LoadMeter
from corianderwall.traffic.admission import Admission
from corianderwall.traffic.decisions import Admitted, Queued, Refused
from corianderwall.traffic.draining import EndpointDrain

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable
    from random import Random

    from corianderwall.httpflow.attempt import (
        AttemptResult,
        OutgoingCall,
        ResponseHead,
        ResponseReceiver,
    )
    from corianderwall.httpflow.pool import UpstreamPool
    from corianderwall.model.clock import Clock
    from corianderwall.model.endpoint import Endpoint
    from corianderwall.model.message import OutgoingMessage
    from corianderwall.node.pools import Pools
    from corianderwall.traffic.lease_issuer import EndpointUsage, LeaseIssuer
    from corianderwall.traffic.shares import SubscriberShares

RESERVE_PER_SLOT = 2
"""Connections that the owner keeps for itself, for each slot of the endpoint."""


class Desk:
    """Owns the queue of the endpoint beside this node; without an endpoint it refuses all."""

    def __init__(
        self,
        *,
        loop: "asyncio.AbstractEventLoop",
        clock: "Clock",
        pools: "Pools",
        issuer: "LeaseIssuer",
        random: "Random",
        shares: "SubscriberShares",
        send: "Callable[[OutgoingMessage], None]",
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._pools = pools
        self._issuer = issuer
        self._random = random
        self._shares = shares
        self._send = send
        self._endpoint: Endpoint | None = None
        self._admission: Admission | None = None
        self._drain = EndpointDrain()
        self.load = LoadMeter(clock.read_monotonic())
        self._offered = False
        self.is_saturated = False
        self._waiting: dict[int, DeskAttempt] = {}
        self._expiry: asyncio.TimerHandle | None = None

    @property
    def endpoint(self) -> "Endpoint | None":
        """The endpoint beside this node."""
        return self._endpoint

    @property
    def drain(self) -> EndpointDrain:
        """The state of the endpoint towards new and running calls."""
        return self._drain

    @property
    def is_busy(self) -> bool:
        """Whether calls were offered since the last `tick`, or still run or wait."""
        return self._offered or self.running > 0

    @property
    def admission(self) -> Admission | None:
        """The queue and the limits of the endpoint, None without one."""
        return self._admission

    @property
    def running(self) -> int:
        """The calls that run or wait at the endpoint through this desk."""
        admission = self._admission
        return 0 if admission is None else admission.running + admission.waiting

    def set_endpoint(self, endpoint: "Endpoint", now: float) -> None:
        """Serve this endpoint from now on; a changed address starts with a new queue."""
        known = self._endpoint
        self._endpoint = endpoint
        if endpoint.state is EndpointState.READY and not self._drain.accepts_work:
            self._drain = EndpointDrain()
        if known is None or known.name != endpoint.name or known.slots != endpoint.slots:
            self._drain = EndpointDrain()
            self._admission = Admission(
                slots=endpoint.slots,
                ceiling=self._read_reserve(endpoint),
                shares=self._shares,
                now=now,
                random=self._random,
            )
        if endpoint.state is EndpointState.READY:
            budget = endpoint.connections - self._read_reserve(endpoint)
            self._issuer.set_budget(endpoint.name, budget)

    def announce_drain(self) -> None:
        """Take the leases back; to be repeated, as the notices may be lost."""
        if self._endpoint is not None:
            for notice in self._issuer.drain(self._endpoint.name):
                self._send(notice)

    def begin_drain(self, now: float, cut_at: float) -> None:
        """Give the endpoint no new work; running calls go on until `cut_at`."""
        self._drain.begin(now, cut_at)

    def clear_endpoint(self) -> None:
        """Refuse what waits, as the endpoint is gone."""
        if self._endpoint is not None:
            self._issuer.set_budget(self._endpoint.name, 0)
        self._endpoint = None
        self._admission = None
        waiting, self._waiting = self._waiting, {}
        for attempt in waiting.values():
            attempt.refuse(ErrorCode.NO_ENDPOINT, 0)

    def set_shares(self, shares: "SubscriberShares") -> None:
        """Use the shares of a new snapshot."""
        self._shares = shares
        if self._admission is not None:
            self._admission.set_shares(shares)

    def open_carrier(self, subscriber: str) -> "DeskCarrier":
        """Return the way on which one call of `subscriber` is sent to the endpoint."""
        return DeskCarrier(self, subscriber)

    def offer(self, attempt: DeskAttempt, subscriber: str) -> None:
        """Admit the attempt now or later, or refuse it, never inside this call."""
        now = self._clock.read_monotonic()
        self._offered = True
        admission = self._admission
        if admission is None or self._endpoint is None:
            self._loop.call_soon(attempt.refuse, ErrorCode.NO_ENDPOINT, 0.0)
            return
        decision = admission.offer(subscriber, attempt.call.deadline, now)
        attempt.ticket = decision.ticket
        match decision:
            case Admitted():
                attempt.admit(self._find_pool(self._endpoint, now), now)
            case Queued():
                self._waiting[decision.ticket] = attempt
                self._plan_expiry()
            case Refused():
                self._loop.call_soon(attempt.refuse, decision.code, decision.retry_after_s)

    def cancel_waiting(self, attempt: DeskAttempt) -> None:
        """Take an attempt out of the queue."""
        self._waiting.pop(attempt.ticket, None)
        if self._admission is not None:
            self._start(self._admission.cancel(attempt.ticket, self._clock.read_monotonic()))

    def end_running(self, attempt: DeskAttempt, result: "AttemptResult", started_at: float) -> None:
        """Free the slot of an attempt and start the next calls in it."""
        admission = self._admission
        if admission is None:
            return
        now = self._clock.read_monotonic()
        if result.complete or result.refused:
            latency_s = now - started_at
            self.load.add(1, latency_s, now)
            started = admission.finish(attempt.ticket, latency_s, now, refused=result.refused)
        else:
            started = admission.cancel(attempt.ticket, now)
        self._start(started)

    def read_load(self, head: "ResponseHead") -> None:
        """Take the load that the endpoint reports with an answer."""
        value = head.find_header(LOAD_HEADER)
        running = parse_load(value) if value is not None else None
        if running is not None and self._admission is not None:
            self._admission.report_load(running, self._clock.read_monotonic())

    def report_usage(self, report: "EndpointUsage") -> None:
        """Take what a holder's direct calls used."""
        endpoint = self._endpoint
        if self._admission is None or endpoint is None or report.endpoint != endpoint.name:
            return
        now = self._clock.read_monotonic()
        self._admission.report_usage(report, now)
        for usage in report.usage:
            self.load.add(usage.calls, usage.busy_ms / 1000, now)

    def tick(self) -> None:
        """Weigh the demands and tell the holders when they must come through the owner."""
        now = self._clock.read_monotonic()
        self._offered = False
        self._issuer.expire(now)
        if self._admission is None or self._endpoint is None:
            return
        pressure = self._admission.update_pressure(now)
        self.is_saturated = pressure.saturated
        notices = self._issuer.set_pressure(
            self._endpoint.name,
            saturated=pressure.saturated,
            over_share=pressure.over_share,
            now=now,
        )
        for notice in notices:
            self._send(notice)
        self._start(self._admission.admit(now))

    def count_charge(self) -> int:
        """Return the most calls that holders may still run directly."""
        if self._endpoint is None:
            return 0
        return self._issuer.count_charge(self._endpoint.name, self._clock.read_monotonic())

    def _start(self, admitted: list[Admitted]) -> None:
        for each in admitted:
            attempt = self._waiting.pop(each.ticket, None)
            if attempt is not None and self._endpoint is not None:
                now = self._clock.read_monotonic()
                attempt.admit(self._find_pool(self._endpoint, now), now)

    def _find_pool(self, endpoint: "Endpoint", now: float) -> "UpstreamPool":
        charged = self._issuer.count_charge(endpoint.name, now)
        limit = max(self._read_reserve(endpoint), endpoint.connections - charged)
        return self._pools.find(endpoint.address, limit)

    def _read_reserve(self, endpoint: "Endpoint") -> int:
        return max(1, min(endpoint.connections // 2, endpoint.slots * RESERVE_PER_SLOT))

    def _plan_expiry(self) -> None:
        if self._expiry is not None or self._admission is None:
            return
        due = self._admission.read_next_expiry()
        if due is not None:
            self._expiry = self._loop.call_at(due, self._expire)

    def _expire(self) -> None:
        self._expiry = None
        if self._admission is None:
            return
        for refused in self._admission.expire(self._clock.read_monotonic()):
            attempt = self._waiting.pop(refused.ticket, None)
            if attempt is not None:
                attempt.refuse(refused.code, refused.retry_after_s)
        self._plan_expiry()


class DeskCarrier:
    """Sends the attempts of one subscriber through the desk."""

    __slots__ = ("_desk", "_subscriber")

    def __init__(self, desk: Desk, subscriber: str) -> None:
        self._desk = desk
        self._subscriber = subscriber

    def send(self, call: "OutgoingCall", receiver: "ResponseReceiver") -> DeskAttempt:
        """Offer one attempt to the desk."""
        attempt = DeskAttempt(self._desk, call, receiver)
        self._desk.offer(attempt, self._subscriber)
        return attempt


def parse_load(value: bytes) -> int | None:
    """Return the running calls in `RUNNING/SLOTS`, None if the value is malformed."""
    running = value.partition(b"/")[0]
    return int(running) if running.isdigit() and len(running) < 9 else None
