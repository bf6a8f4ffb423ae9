"""A small traffic model under a virtual clock: upstreams, owners, entry nodes and callers."""

from collections import deque
from collections.abc import Callable, Set
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

import msgspec

from corianderwall.bench.virtual_clock import VirtualClock
from corianderwall.model.endpoint import Address, Endpoint, Locality
from corianderwall.model.message import OutgoingMessage
from corianderwall.model.outcome import AttemptOutcome
from corianderwall.model.resource import Snapshot, Subscriber
from corianderwall.model.verdict import Verdict
from corianderwall.traffic.admission import Admission
from corianderwall.traffic.decisions import Admitted, Queued, Refused
from corianderwall.traffic.lease_holder import LeaseHolder, NextHop
from corianderwall.traffic.lease_issuer import LeaseIssuer
from corianderwall.traffic.limits import divide_connections
from corianderwall.traffic.messages import LeaseGrant, LeaseNotice, LeaseRequest
from corianderwall.traffic.retries import FailedAttempt, RetryPolicy
from corianderwall.traffic.shares import SubscriberShares

SERVICE = "gazeti"
VERSION = "v1"
NEAR_S = 0.0002
"""One-way delay within a zone."""
FAR_S = 0.001
"""One-way delay between zones."""
ASSESSMENT_S = 0.02
REPORT_S = 0.1
SHED_FACTOR = 4
"""Calls per slot, running and queued, from which an upstream refuses."""
OK = 200
UNAVAILABLE = 503
FAILED = 500

_encoder = msgspec.msgpack.Encoder()


@dataclass(frozen=True, slots=True)
class Response:
    """What came back from one attempt."""

    verdict: Verdict
    status: int
    retry_after_s: float = 0.0
    is_over_share: bool = False


@dataclass(slots=True)
class Call:
    """One call of a subscriber that entered at node `entry`."""

    subscriber: str
    entry: int
    started: float
    deadline: float
    attempt: int = 0
    exclude: set[str] = field(default_factory=set)


class Chooser(Protocol):
    """A policy that chooses endpoints."""

    def choose(
        self,
        service: str,
        version: str,
        now: float,
        exclude: Set[str] = frozenset(),
        over_share: Set[str] = frozenset(),
    ) -> Endpoint | None:
        """Return the endpoint of the next attempt."""

    def start(self, name: str) -> int:
        """Note that an attempt begins."""

    def finish(
        self,
        outcome: AttemptOutcome,
        now: float,
        *,
        retry_after_s: float = 0.0,
        is_handed_over: bool = False,
    ) -> None:
        """Note the outcome of an attempt."""

    def report_load(self, name: str, running: int, now: float) -> None:
        """Take a reported load."""


Done = Callable[[Response], None]
Finished = Callable[[Call, Response], None]


class Upstream:
    """A fake upstream with slots, a queue, and faults that a scenario sets."""

    def __init__(
        self, clock: VirtualClock, random: Random, endpoint: Endpoint, service_s: float
    ) -> None:
        self.endpoint = endpoint
        self.slowness = 1.0
        self.failure_rate = 0.0
        self.refuses = False
        self.sheds = True
        self.reported_load: int | None = None
        self.served: dict[str, int] = {}
        self._clock = clock
        self._random = random
        self._service_s = service_s
        self._running = 0
        self._queue: deque[tuple[Call, Done]] = deque()

    @property
    def load(self) -> int:
        """The calls that run or wait."""
        return self._running + len(self._queue)

    @property
    def load_report(self) -> int:
        """The load as the upstream tells it."""
        return self.load if self.reported_load is None else self.reported_load

    def begin(self, call: Call, done: Done) -> None:
        """Run a call, queue it, or refuse it before any work."""
        is_full = self.sheds and self.load >= self.endpoint.slots * SHED_FACTOR
        if self.refuses or is_full:
            done(Response(Verdict.NOT_RUN, UNAVAILABLE))
        elif self._running < self.endpoint.slots:
            self._run(call, done)
        else:
            self._queue.append((call, done))

    def _run(self, call: Call, done: Done) -> None:
        self._running += 1
        service_s = self._random.expovariate(1 / self._service_s) * self.slowness
        self._clock.call_after(service_s, self._end, call, done)

    def _end(self, call: Call, done: Done) -> None:
        self._running -= 1
        self.served[call.subscriber] = self.served.get(call.subscriber, 0) + 1
        status = FAILED if self._random.random() < self.failure_rate else OK
        done(Response(Verdict.RAN, status))
        if self._queue and self._running < self.endpoint.slots:
            self._run(*self._queue.popleft())


class Owner:
    """The node beside one upstream: admission of its calls, and the leases of the others."""

    def __init__(
        self, clock: VirtualClock, random: Random, upstream: Upstream, shares: SubscriberShares
    ) -> None:
        endpoint = upstream.endpoint
        budget = divide_connections(endpoint.slots, endpoint.connections)
        self.upstream = upstream
        self.admission = Admission(
            slots=endpoint.slots, ceiling=endpoint.slots, shares=shares, now=0, random=random
        )
        self.issuer = LeaseIssuer(endpoint.node, 1, endpoint.locality.zone, -100)
        self.issuer.set_budget(endpoint.name, budget.leased)
        self._clock = clock
        self._waiting: dict[int, tuple[Call, Done]] = {}

    def assess(self) -> list[OutgoingMessage]:
        """Weigh shares and saturation; return the notices."""
        now = self._clock.now
        self.admission.report_load(self.upstream.load_report, now)
        self._start_all(self.admission.admit(now))
        pressure = self.admission.update_pressure(now)
        name = self.upstream.endpoint.name
        return self.issuer.set_pressure(
            name, saturated=pressure.saturated, over_share=pressure.over_share, now=now
        )

    def offer(self, call: Call, done: Done) -> None:
        """Take a call that was handed over."""
        now = self._clock.now
        decision = self.admission.offer(call.subscriber, call.deadline, now)
        if isinstance(decision, Admitted):
            self._start(decision.ticket, call, done)
        elif isinstance(decision, Queued):
            self._waiting[decision.ticket] = (call, done)
            self._clock.call_after(decision.expires_at - now, self._expire)
        else:
            done(_make_refusal(decision))

    def _expire(self) -> None:
        for refused in self.admission.expire(self._clock.now):
            _, done = self._waiting.pop(refused.ticket)
            done(_make_refusal(refused))

    def _start(self, ticket: int, call: Call, done: Done) -> None:
        began = self._clock.now

        def finish(response: Response) -> None:
            now = self._clock.now
            refused = response.verdict is Verdict.NOT_RUN
            admitted = self.admission.finish(ticket, now - began, now, refused=refused)
            self.admission.report_load(self.upstream.load_report, now)
            done(response)
            self._start_all(admitted)

        self.upstream.begin(call, finish)

    def _start_all(self, admitted: list[Admitted]) -> None:
        for each in admitted:
            self._start(each.ticket, *self._waiting.pop(each.ticket))


class Entry:
    """One entry node: chooses endpoints, calls them on leases or through their owners, retries."""

    def __init__(
        self, model: "TrafficModel", index: int, locality: Locality, chooser: Chooser
    ) -> None:
        self.index = index
        self.locality = locality
        self.chooser = chooser
        self.holder = LeaseHolder(f"n{index}", 1, locality.zone)
        self._retries = RetryPolicy(model.random)
        self._model = model

    def start(self, call: Call) -> None:
        """Begin a call."""
        self._retries.add_call(SERVICE)
        self._attempt(call)

    def _attempt(self, call: Call) -> None:
        now = self._model.clock.now
        call.attempt += 1
        flow = self._model.shares.find_flow(call.subscriber)
        over_share = self.holder.find_over_share(flow)
        endpoint = self.chooser.choose(SERVICE, VERSION, now, call.exclude, over_share)
        if endpoint is None:
            self._model.finish(call, Response(Verdict.NOT_RUN, UNAVAILABLE))
            return
        delay_s = NEAR_S if endpoint.locality.zone == self.locality.zone else FAR_S
        owner = self._model.owners[endpoint.name]
        passage: NextHop | None = None
        if self._model.is_mixed:
            passage = self.holder.acquire(endpoint, flow, call.deadline, now)

        is_counted = passage is None or not passage.is_over_share
        outstanding = self.chooser.start(endpoint.name) if is_counted else 0

        def settle(response: Response) -> None:
            self._settle(call, response, endpoint, passage, now, outstanding)

        def send_back(response: Response) -> None:
            self._model.clock.call_after(delay_s, settle, response)

        is_direct = passage is None or passage.direct
        target = owner.upstream.begin if is_direct else owner.offer
        self._model.count_hop(is_direct=is_direct)
        self._model.clock.call_after(delay_s, target, call, send_back)

    def _settle(
        self,
        call: Call,
        response: Response,
        endpoint: Endpoint,
        passage: NextHop | None,
        began: float,
        outstanding: int,
    ) -> None:
        now = self._model.clock.now
        if passage is not None:
            self.holder.release(passage, now)
        outcome = AttemptOutcome(
            service=SERVICE,
            version=VERSION,
            route="r",
            endpoint=endpoint.name,
            subscriber=call.subscriber,
            verdict=response.verdict,
            status=response.status,
            latency_s=now - began,
            refused=response.verdict is Verdict.NOT_RUN,
            outstanding=outstanding,
        )
        is_handed_over = passage is not None and not passage.direct
        if outstanding:
            self.chooser.finish(
                outcome, now, retry_after_s=response.retry_after_s, is_handed_over=is_handed_over
            )
        if response.status != OK and self._retry(call, response, endpoint):
            return
        self._model.finish(call, response)

    def _retry(self, call: Call, response: Response, endpoint: Endpoint) -> bool:
        now = self._model.clock.now
        failed = FailedAttempt(
            service=SERVICE,
            verdict=response.verdict,
            idempotent=True,
            attempt=call.attempt,
            deadline=call.deadline,
            is_final=response.is_over_share,
        )
        decision = self._retries.decide(failed, now)
        if not decision.is_retried:
            return False
        call.exclude.add(endpoint.name)
        self._model.clock.call_after(decision.start_at - now, self._attempt, call)
        return True


class TrafficModel:
    """Endpoints spread over zones, each with its owner, and entry nodes in the same zones."""

    def __init__(
        self,
        *,
        random: Random,
        endpoints: int,
        slots: int,
        nodes: int,
        zones: int,
        service_s: float,
        subscribers: tuple[Subscriber, ...],
        is_mixed: bool = True,
    ) -> None:
        self.random = random
        self.clock = VirtualClock()
        self.is_mixed = is_mixed
        self.shares = SubscriberShares(Snapshot(subscribers=subscribers))
        self.owners: dict[str, Owner] = {}
        self.entries: list[Entry] = []
        self.finish: Finished = lambda call, response: None
        self.direct_attempts = 0
        self.attempts = 0
        self.control_bytes = 0
        self._nodes = nodes
        self._zones = zones
        for index in range(endpoints):
            endpoint = _make_endpoint(index, zones, slots)
            upstream = Upstream(self.clock, random, endpoint, service_s)
            self.owners[endpoint.name] = Owner(self.clock, random, upstream, self.shares)

    @property
    def endpoints(self) -> list[Endpoint]:
        """The endpoints of the one service."""
        return [owner.upstream.endpoint for owner in self.owners.values()]

    def add_entries(self, make_chooser: Callable[[Locality], Chooser]) -> None:
        """Create the entry nodes and start the exchange of leases and reports."""
        for index in range(self._nodes):
            locality = Locality(region="r", zone=f"z{index % self._zones}")
            self.entries.append(Entry(self, index, locality, make_chooser(locality)))
        self.clock.repeat(ASSESSMENT_S, self._assess)
        self.clock.repeat(REPORT_S, self._report_loads)
        if self.is_mixed:
            self.clock.repeat(ASSESSMENT_S, self._exchange_leases)

    def count_hop(self, *, is_direct: bool) -> None:
        """Count one attempt."""
        self.attempts += 1
        self.direct_attempts += is_direct

    def _assess(self) -> None:
        for owner in self.owners.values():
            for outgoing in owner.assess():
                self._send(self._deliver, outgoing)

    def _report_loads(self) -> None:
        for owner in self.owners.values():
            name, load = owner.upstream.endpoint.name, owner.upstream.load_report
            for entry in self.entries:
                self.clock.call_after(FAR_S, entry.chooser.report_load, name, load, self.clock.now)

    def _exchange_leases(self) -> None:
        for entry in self.entries:
            for outgoing in entry.holder.collect_requests(self.clock.now):
                self._send(self._respond, outgoing)

    def _send(self, deliver: Callable[[OutgoingMessage], None], outgoing: OutgoingMessage) -> None:
        self.control_bytes += len(_encoder.encode(outgoing.message))
        self.clock.call_after(FAR_S, deliver, outgoing)

    def _respond(self, outgoing: OutgoingMessage) -> None:
        message = outgoing.message
        if not isinstance(message, LeaseRequest):
            return
        for demand in message.demands:
            owner = self.owners[demand.endpoint]
            response = owner.issuer.receive(message, self.clock.now)
            if response is None:
                continue
            for report in response.reports:
                owner.admission.report_usage(report, self.clock.now)
            self._send(self._deliver, response.outgoing)

    def _deliver(self, outgoing: OutgoingMessage) -> None:
        holder = self.entries[int(outgoing.peer[1:])].holder
        message = outgoing.message
        if isinstance(message, LeaseGrant):
            holder.receive_grant(message)
        elif isinstance(message, LeaseNotice):
            holder.receive_notice(message)


def _make_endpoint(index: int, zones: int, slots: int) -> Endpoint:
    return Endpoint(
        name=f"e{index}",
        service=SERVICE,
        version=VERSION,
        node=f"owner{index}",
        locality=Locality(region="r", zone=f"z{index % zones}"),
        address=Address(host="127.0.0.1", port=1),
        slots=slots,
        connections=slots * 10,
    )


def _make_refusal(refused: Refused) -> Response:
    return Response(
        Verdict.NOT_RUN,
        UNAVAILABLE,
        retry_after_s=refused.retry_after_s,
        is_over_share=refused.over_share,
    )
