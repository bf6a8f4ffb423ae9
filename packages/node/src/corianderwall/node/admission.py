"""Admits calls to the endpoint beside this node and issues connection leases for it."""

from typing import TYPE_CHECKING

from corianderwall.model.endpoint import EndpointState
from corianderwall.model.errors import ErrorCode
from corianderwall.node.callhead import LOAD_HEADER
from corianderwall.node.queuedattempt import QueuedAttempt
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
    from corianderwall.node.pools import UpstreamPools
    from corianderwall.traffic.lease_issuer import EndpointUsage, LeaseIssuer
    from corianderwall.traffic.shares import SubscriberShares

RESERVED_CONNECTIONS_PER_SLOT = 2
"""Connections per slot of the endpoint that are reserved for the owner and never leased."""


class AdmissionController:
    """Controls admission to the local endpoint; refuses all calls while there is none."""

    def __init__(
        self,
        *,
        loop: "asyncio.AbstractEventLoop",
        clock: "Clock",
        pools: "UpstreamPools",
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
        self._has_arrivals = False
        self.is_saturated = False
        self._waiting: dict[int, QueuedAttempt] = {}
        self._expiry_timer: asyncio.TimerHandle | None = None

    @property
    def endpoint(self) -> "Endpoint | None":
        """The endpoint beside this node."""
        return self._endpoint

    @property
    def drain(self) -> EndpointDrain:
        """The drain state of the endpoint."""
        return self._drain

    @property
    def is_busy(self) -> bool:
        """Whether calls arrived since the last `tick`, or are running or queued."""
        return self._has_arrivals or self.running > 0

    @property
    def admission(self) -> Admission | None:
        """The queue and the limits of the endpoint, None without an endpoint."""
        return self._admission

    @property
    def running(self) -> int:
        """The number of calls admitted here that are running or queued."""
        admission = self._admission
        return 0 if admission is None else admission.running + admission.waiting

    def set_endpoint(self, endpoint: "Endpoint", now: float) -> None:
        """Serve this endpoint from now on; start a new queue if its name or slots have changed."""
        known = self._endpoint
        self._endpoint = endpoint
        if endpoint.state is EndpointState.READY and not self._drain.accepts_work:
            self._drain = EndpointDrain()
        if known is None or known.name != endpoint.name or known.slots != endpoint.slots:
            self._drain = EndpointDrain()
            self._admission = Admission(
                slots=endpoint.slots,
                ceiling=self._count_reserved_connections(endpoint),
                shares=self._shares,
                now=now,
                random=self._random,
            )
        if endpoint.state is EndpointState.READY:
            budget = endpoint.connections - self._count_reserved_connections(endpoint)
            self._issuer.set_budget(endpoint.name, budget)

    def announce_drain(self) -> None:
        """Revoke the leases; called repeatedly, as the notices may be lost."""
        if self._endpoint is not None:
            for notice in self._issuer.drain(self._endpoint.name):
                self._send(notice)

    def begin_drain(self, now: float, cut_at: float) -> None:
        """Admit no new calls; running calls may continue until `cut_at`."""
        self._drain.begin(now, cut_at)

    def clear_endpoint(self) -> None:
        """Remove the endpoint, which is gone, and refuse all queued calls."""
        if self._endpoint is not None:
            self._issuer.set_budget(self._endpoint.name, 0)
        self._endpoint = None
        self._admission = None
        waiting, self._waiting = self._waiting, {}
        for attempt in waiting.values():
            attempt.refuse(ErrorCode.NO_ENDPOINT, 0)

    def set_shares(self, shares: "SubscriberShares") -> None:
        """Apply the subscriber shares of a new snapshot."""
        self._shares = shares
        if self._admission is not None:
            self._admission.set_shares(shares)

    def make_sender(self, subscriber: str) -> "LocalSender":
        """Return a sender for an attempt of `subscriber` at the endpoint."""
        return LocalSender(self, subscriber)

    def offer(self, attempt: QueuedAttempt, subscriber: str) -> None:
        """Admit, queue or refuse the attempt; a refusal is delivered after this method returns."""
        now = self._clock.read_monotonic()
        self._has_arrivals = True
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
                self._schedule_expiry()
            case Refused():
                self._loop.call_soon(attempt.refuse, decision.code, decision.retry_after_s)

    def cancel_waiting(self, attempt: QueuedAttempt) -> None:
        """Remove an attempt from the queue."""
        self._waiting.pop(attempt.ticket, None)
        if self._admission is not None:
            self._start_admitted(
                self._admission.cancel(attempt.ticket, self._clock.read_monotonic())
            )

    def end_running(
        self, attempt: QueuedAttempt, result: "AttemptResult", started_at: float
    ) -> None:
        """Free the slot of an attempt and start the next queued calls."""
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
        self._start_admitted(started)

    def read_load(self, head: "ResponseHead") -> None:
        """Record the load that the endpoint reports in a response header."""
        value = head.find_header(LOAD_HEADER)
        running = parse_load(value) if value is not None else None
        if running is not None and self._admission is not None:
            self._admission.report_load(running, self._clock.read_monotonic())

    def report_usage(self, report: "EndpointUsage") -> None:
        """Record the usage of a lease holder's direct calls."""
        endpoint = self._endpoint
        if self._admission is None or endpoint is None or report.endpoint != endpoint.name:
            return
        now = self._clock.read_monotonic()
        self._admission.report_usage(report, now)
        for usage in report.usage:
            self.load.add(usage.calls, usage.busy_ms / 1000, now)

    def tick(self) -> None:
        """Assess the load and notify lease holders which calls must go through the owner."""
        now = self._clock.read_monotonic()
        self._has_arrivals = False
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
        self._start_admitted(self._admission.admit(now))

    def has_spare_connection(self) -> bool:
        """Return whether the owner may open one more connection to the endpoint."""
        if self._endpoint is None:
            return False
        pool = self._find_pool(self._endpoint, self._clock.read_monotonic())
        return pool.open_connections < pool.max_connections

    def count_charge(self) -> int:
        """Return the maximum number of direct calls that lease holders may still run."""
        if self._endpoint is None:
            return 0
        return self._issuer.count_charge(self._endpoint.name, self._clock.read_monotonic())

    def _start_admitted(self, admitted: list[Admitted]) -> None:
        for each in admitted:
            attempt = self._waiting.pop(each.ticket, None)
            if attempt is not None and self._endpoint is not None:
                now = self._clock.read_monotonic()
                attempt.admit(self._find_pool(self._endpoint, now), now)

    def _find_pool(self, endpoint: "Endpoint", now: float) -> "UpstreamPool":
        charged = self._issuer.count_charge(endpoint.name, now)
        limit = max(self._count_reserved_connections(endpoint), endpoint.connections - charged)
        return self._pools.find(endpoint.address, limit)

    def _count_reserved_connections(self, endpoint: "Endpoint") -> int:
        return max(
            1, min(endpoint.connections // 2, endpoint.slots * RESERVED_CONNECTIONS_PER_SLOT)
        )

    def _schedule_expiry(self) -> None:
        if self._expiry_timer is not None or self._admission is None:
            return
        due = self._admission.read_next_expiry()
        if due is not None:
            self._expiry_timer = self._loop.call_at(due, self._refuse_expired)

    def _refuse_expired(self) -> None:
        self._expiry_timer = None
        if self._admission is None:
            return
        for refused in self._admission.expire(self._clock.read_monotonic()):
            attempt = self._waiting.pop(refused.ticket, None)
            if attempt is not None:
                attempt.refuse(refused.code, refused.retry_after_s)
        self._schedule_expiry()


class LocalSender:
    """Sends the attempts of one subscriber to the local endpoint."""

    __slots__ = ("_controller", "_subscriber")

    def __init__(self, controller: AdmissionController, subscriber: str) -> None:
        self._controller = controller
        self._subscriber = subscriber

    def send(self, call: "OutgoingCall", receiver: "ResponseReceiver") -> QueuedAttempt:
        """Submit one attempt for admission."""
        attempt = QueuedAttempt(self._controller, call, receiver)
        self._controller.offer(attempt, self._subscriber)
        return attempt


def parse_load(value: bytes) -> int | None:
    """Return the number of running calls in `RUNNING/SLOTS`, None if the value is malformed."""
    running = value.partition(b"/")[0]
    return int(running) if running.isdigit() and len(running) < 9 else None
