"""A model of services whose endpoints start cold, without network and in virtual time.

The queues, the paces and the choice of endpoints are the ones of the product.
"""

import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from corianderwall.mesh.admission import Admission, AdmissionQueue, QueuedCall
from corianderwall.mesh.directory import EndpointView
from corianderwall.mesh.gate import WAITING_CHECK_S
from corianderwall.mesh.messages import EndpointRecord, Load, Refusal, ResponseMetadata
from corianderwall.mesh.nestedlimit import NestedLimits
from corianderwall.mesh.pace import Pace
from corianderwall.mesh.pacedchoice import estimate_paced_wait, record_paced_refusal
from corianderwall.mesh.retryafter import DEFAULT_RETRY_AFTER_S, compute_retry_after
from corianderwall.mesh.selection import ROUNDS, CallTraits, choose_endpoint, list_candidates

SLOTS = 9
CALL_S = 0.216
SPREAD = 0.35
"""Spread of the logarithm of call times."""
WARMUP_S = 3.0
WARMUP_PER_S = 6.5
COLD_FACTOR = 2.0
BOUND_PER_S = WARMUP_PER_S * 1.5 + 8.0
"""Calls in a second from which a cold endpoint crashes: the operator's bound."""
RESTART_S = 1.0
HEARTBEAT_S = 1.5
CHECK_S = 0.005
OBJECTIVE_S = 0.6
TIMEOUT_S = 1.2
CALLER_TIMEOUT_S = 2.5
AVOID_WHEN_FULL_S = 0.05
AVOID_WHEN_LATE_S = 0.15
ENTRIES = 8
CAPACITY_PER_S = SLOTS / CALL_S


@dataclass(eq=False, slots=True)
class Job:
    """A request of a caller, or a nested one of the job `parent`; it calls the service `needs`."""

    service: str
    rank: int
    began: float
    entry: int
    parent: "Job | None" = None
    needs: str = ""
    endpoint: "ModelEndpoint | None" = None
    nested_refused: bool = False

    @property
    def route(self) -> str:
        """Return the route, which tells what it needs."""
        return f"{self.service} {self.needs}"

    @property
    def caller_deadline(self) -> float:
        """Return when the caller gives up."""
        return self.began + CALLER_TIMEOUT_S


class ModelEndpoint:
    """An endpoint and its owner; `make_pace` returns the decision that is compared."""

    def __init__(self, world: "World", name: str, service: str, pace: Pace) -> None:
        self.service = service
        self.pace = pace
        self.queue = AdmissionQueue(SLOTS, pace=pace)
        self.record = EndpointRecord(
            id=name, service=service, version="v", node=name, zone="a", slots=SLOTS, born_unix_ms=1
        )
        self.cold_until = math.inf
        self.up = False
        self.known = False
        self.arrivals: deque[float] = deque()
        self.worst_second = 0
        self.jobs: dict[QueuedCall, Job] = {}
        self._world = world
        self._start_number = 0
        self._has_timer = False

    def start(self) -> None:
        """Start cold and announce it."""
        world = self._world
        self._start_number += 1
        self.up = True
        self.known = True
        self.arrivals.clear()
        self.cold_until = world.now + WARMUP_S
        self.pace.restart()
        self.queue = AdmissionQueue(SLOTS, pace=self.pace)
        if not world.limits_nested:
            self.queue.nested_limits = _NoLimits()
        self._announce(self._start_number)

    def become_cold(self) -> None:
        """Become cold without a restart and without notice."""
        self.cold_until = self._world.now + WARMUP_S

    def ask(self, job: Job, *, may_wait: bool) -> tuple[Admission, float]:
        """Return the owner's decision on a call and the wait that it names."""
        now = self._world.now
        self._check_if_needed()
        due = now + CALLER_TIMEOUT_S if job.parent is not None else job.began + OBJECTIVE_S
        call = QueuedCall(job.route, job.rank, due, min(now + TIMEOUT_S, job.caller_deadline))
        decision = self.queue.offer(call, now, may_wait=may_wait)
        if decision in (Admission.START, Admission.WAIT):
            job.endpoint = self
            self.jobs[call] = job
            if decision is Admission.START:
                self._send(call)
            self._schedule_check()
        return decision, self.queue.estimate_start(call, now)

    def read_load(self) -> Load:
        """Return the load that the owner reports."""
        queue, now = self.queue, self._world.now
        return Load(
            running=len(queue.running),
            waiting=len(queue.waiting),
            slots=queue.slots,
            service_ms=queue.mean_s * 1000,
            cold_per_s=self.pace.estimate_rate(now, queue.slots, queue.mean_s),
        )

    def _announce(self, start: int) -> None:
        if not self.up or start != self._start_number:
            return
        self.pace.record_statement(max(0.0, self.cold_until - self._world.now), self._world.now)
        self._dispatch()
        self._world.add(HEARTBEAT_S, self._announce, start)

    def _check_if_needed(self) -> None:
        now = self._world.now
        if self.pace.needs_check(now):
            check = self.pace.begin_check(now)
            self._count_arrival()
            self._world.add(CHECK_S, self._end_check, check)

    def _end_check(self, check: int) -> None:
        now = self._world.now
        if self.up:
            left_s = max(0.0, self.cold_until - now)
            self.pace.end_check(check, left_s, now, answered=True)
        self._dispatch()

    def _send(self, call: QueuedCall) -> None:
        if not self._count_arrival():
            return
        now, random = self._world.now, self._world.random
        took_s = math.exp(random.gauss(math.log(CALL_S) - SPREAD**2 / 2, SPREAD))
        if now < self.cold_until:
            took_s *= COLD_FACTOR
        job = self.jobs[call]
        if not job.needs:
            self._world.add(took_s, self._end, call)
            return
        nested = Job(job.needs, 0, now + took_s / 2, job.entry, parent=job)

        def go_on(ok: bool) -> None:
            job.nested_refused = not ok
            self._world.add(took_s / 2 if ok else 0.0, self._end, call)

        self._world.add(took_s / 2, self._world.send, nested, go_on)

    def _count_arrival(self) -> bool:
        """Count a request that arrives; return whether the endpoint goes on running."""
        now = self._world.now
        if now >= self.cold_until:
            self.arrivals.clear()
            return True
        self.arrivals.append(now)
        while self.arrivals[0] <= now - 1.0:
            self.arrivals.popleft()
        self.worst_second = max(self.worst_second, len(self.arrivals))
        if len(self.arrivals) > BOUND_PER_S:
            self._crash()
            return False
        return True

    def _crash(self) -> None:
        world = self._world
        world.counts["crashes"] += 1
        self.up = self.known = False
        self.pace.restart()
        lost, self.jobs = self.jobs, {}
        waiting = self.queue.clear_waiting()
        for call in list(self.queue.running):
            self.queue.finish(call, world.now, ran=False)
        for call, job in lost.items():
            world.end(job, ok=False, refused=call in waiting)
        world.add(RESTART_S, self.start)

    def _end(self, call: QueuedCall) -> None:
        job = self.jobs.pop(call, None)
        if job is None:
            return
        now = self._world.now
        self.queue.finish(call, now, ran=True)
        wasted = job.nested_refused
        if job.needs:
            rate_per_s = self.pace.count_recent(now)
            self.queue.nested_limits.record_end(
                job.route, now, wasted=wasted, rate_per_s=rate_per_s
            )
        if not wasted:
            self.pace.record_response(job.route, now - call.started, now)
        self._world.counts["wasted"] += wasted
        self._world.end(job, ok=not wasted, refused=False)
        self._dispatch()

    def _dispatch(self) -> None:
        started, late = self.queue.dispatch(self._world.now)
        for call in late:
            self._world.end(self.jobs.pop(call), ok=False, refused=True)
        for call in started:
            # A crash at the start of one call ends the others.
            if call in self.jobs:
                self._send(call)

    def _schedule_check(self) -> None:
        if not self._has_timer and self.queue.waiting:
            self._has_timer = True
            wait_s = self.pace.estimate_wait(self._world.now, 0)
            delay_s = min(WAITING_CHECK_S, wait_s) if wait_s > 0.0 else WAITING_CHECK_S
            self._world.add(delay_s, self._check_waiting)

    def _check_waiting(self) -> None:
        self._has_timer = False
        self._dispatch()
        self._schedule_check()


class _NoLimits(NestedLimits):
    def record_end(self, route: str, now: float, *, wasted: bool, rate_per_s: float) -> None:
        """Learn nothing from wasted calls."""


@dataclass(slots=True)
class World:
    """The callers, the entries and the endpoints."""

    random: Random
    limits_nested: bool = True
    now: float = 0.0
    counts: Counter[str] = field(default_factory=Counter)
    served_at: list[tuple[float, str, int]] = field(default_factory=list)
    endpoints: dict[str, list[ModelEndpoint]] = field(default_factory=dict)
    _views: list[dict[str, list[EndpointView]]] = field(default_factory=list)
    _by_id: dict[str, ModelEndpoint] = field(default_factory=dict)
    _done: dict[Job, Callable[[bool], None]] = field(default_factory=dict)
    _events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = field(
        default_factory=list
    )
    _numbers: "count[int]" = field(default_factory=count)

    def add_service(self, name: str, size: int, make_pace: Callable[[], Pace]) -> None:
        """Add a service whose endpoints start cold within the first 0.2 s."""
        endpoints = [ModelEndpoint(self, f"{name}{n}", name, make_pace()) for n in range(size)]
        self.endpoints[name] = endpoints
        self._by_id |= {endpoint.record.id: endpoint for endpoint in endpoints}
        self._views = self._views or [{} for _ in range(ENTRIES)]
        for views in self._views:
            views[name] = [EndpointView(each.record, Load(slots=SLOTS)) for each in endpoints]
        for endpoint in endpoints:
            self.add(self.random.random() * 0.2, endpoint.start)

    def add_demand(self, service: str, per_s: float, seconds: float, needs: str = "") -> None:
        """Add callers, and those of one second before, who all come in the first 0.3 s."""
        at = -1.0
        while at < seconds:
            at += self.random.expovariate(per_s)
            began = at if at > 0.0 else self.random.random() * 0.3
            rank = 1 + (self.random.random() > 0.2)
            job = Job(service, rank, began, self.random.randrange(ENTRIES), needs=needs)
            self.counts[f"{service} calls"] += 1
            self.add(began - self.now, self.send, job, lambda _: None)

    def add(self, delay_s: float, action: Callable[..., None], *arguments: Any) -> None:
        """Do something later."""
        heappush(self._events, (self.now + delay_s, next(self._numbers), action, arguments))

    def run(self, seconds: float) -> None:
        """Run all events up to a time."""
        for views in self._views:
            self.add(self.random.random() * HEARTBEAT_S, self._apply_heartbeats, views)
        while self._events and self._events[0][0] <= seconds:
            self.now, _, action, arguments = heappop(self._events)
            action(*arguments)

    def send(self, job: Job, done: Callable[[bool], None]) -> None:
        """Ask owners to run a call, as an entry does."""
        self._done[job] = done
        views = self._views[job.entry][job.service]
        traits = CallTraits(zone="a", objective_ms=OBJECTIVE_S * 1000, moved_bytes=0)
        waits: list[float] = []
        route = "" if job.parent is not None else job.route
        for round_ in ROUNDS:
            asked: set[str] = set()
            for _ in range(round_.max_owners):
                usable = [view for view in views if self._by_id[view.record.id].known]
                listed = list_candidates(usable, traits, round_, route, self.now)
                view = choose_endpoint(listed, traits, asked, self.now, self.random)
                if view is None:
                    break
                asked.add(view.record.id)
                if self._ask(job, view, round_.may_wait, waits):
                    return
        self._refuse(job, waits)

    def end(self, job: Job, *, ok: bool, refused: bool) -> None:
        """End a call that an endpoint has run or lost, or an owner has refused while it waited."""
        if refused:
            self._refuse(job, [])
            return
        if ok and self.now <= job.caller_deadline:
            self.counts[f"{job.service} served"] += job.parent is None
            self.served_at.append((self.now, job.service, job.rank))
        elif job.parent is None:
            self.counts["failed"] += 1
        self._done.pop(job)(ok)

    def _ask(self, job: Job, view: EndpointView, may_wait: bool, waits: list[float]) -> bool:
        self.counts["asks"] += 1
        endpoint = self._by_id[view.record.id]
        view.pending += 1
        decision, wait_s = endpoint.ask(job, may_wait=may_wait)
        view.pending -= 1
        view.load, view.load_at = endpoint.read_load(), self.now
        if decision in (Admission.START, Admission.WAIT):
            return True
        is_late = decision is Admission.LATE
        refusal = Refusal.LATE if is_late else Refusal.FULL
        metadata = ResponseMetadata(
            ran=False, load=view.load, refusal=refusal, wait_ms=wait_s * 1000
        )
        if is_late:
            waits.append(wait_s)
            view.late_until[job.route] = self.now + AVOID_WHEN_LATE_S
        else:
            view.full_until = self.now + AVOID_WHEN_FULL_S
        record_paced_refusal(view, metadata, route=job.route if is_late else "", now=self.now)
        return False

    def _refuse(self, job: Job, waits: list[float]) -> None:
        self.counts["refusals"] += 1
        done = self._done.pop(job)
        if job.parent is not None:
            done(False)
            return
        views = self._views[job.entry][job.service]
        named = min(waits) if waits else estimate_paced_wait(views, self.now)
        left_s = job.caller_deadline - self.now
        after_s = compute_retry_after(
            DEFAULT_RETRY_AFTER_S if named is None else named,
            self.random,
            left_s=left_s,
            timely_s=job.began + OBJECTIVE_S - self.now,
        )
        after_s = min(after_s, left_s / 3)
        if left_s > CALL_S:
            self.add(after_s, self.send, job, done)
        else:
            self.counts["given up"] += 1

    def _apply_heartbeats(self, views: dict[str, list[EndpointView]]) -> None:
        for each in views.values():
            for view in each:
                view.load, view.load_at = self._by_id[view.record.id].read_load(), self.now
        self.add(HEARTBEAT_S, self._apply_heartbeats, views)
