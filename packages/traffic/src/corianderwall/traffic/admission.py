"""Admission of calls at the owner of an endpoint: run now, wait in fair order, or be refused."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import sqrt
from random import Random

from corianderwall.model.errors import ErrorCode
from corianderwall.traffic.decisions import Admitted, Decision, EndpointPressure, Queued, Refused
from corianderwall.traffic.fairqueue import FairQueue, WaitingCall
from corianderwall.traffic.lease_issuer import EndpointUsage
from corianderwall.traffic.limits import AdaptiveLimit
from corianderwall.traffic.sharequeue import ShareQueue
from corianderwall.traffic.shares import ShareMeter, SubscriberShares

MAX_WAIT_S = 1.0
"""Longest expected wait with which a call is queued."""
MAX_WAITING = 256
"""Calls of one subscriber that wait at one endpoint."""
LOAD_LIFE_S = 1.0
"""Age at which a load that the endpoint reports counts nothing."""
SATURATED_USE = 0.9
"""Part of the limit from which an endpoint is saturated by demands within their shares."""
RELEASE_USE = 0.7
"""Part of the limit below which an endpoint stops being saturated."""
BURST_LOAD = 3
"""Direct calls, relative to the limit, from which an endpoint is saturated at once."""
RELEASE_AFTER_S = 1.0
HEADROOM_DEVIATIONS = 1.5
"""Slots kept free of lent share, in standard deviations of the load within shares."""
MIN_LENT_PART = 0.5
"""Part of the unused share that is lent whatever the headroom."""
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0
MAX_NAMED_OVER_SHARE = 32
"""Subscribers that one notice names; with more of them the endpoint counts as saturated."""


@dataclass(slots=True)
class _RunningCall:
    """A call that the owner runs at the endpoint."""

    flow: str
    is_lent: bool
    charged_s: float


class Admission:
    """Decides about the calls at one endpoint; the calls on leases are known by reports.

    Flows within their share come first, up to the limit. Flows over it share what is left, less
    a headroom for the fluctuation of the others.
    """

    def __init__(
        self, *, slots: int, ceiling: int, shares: SubscriberShares, now: float, random: Random
    ) -> None:
        self._limit = AdaptiveLimit(slots=slots, ceiling=ceiling, now=now)
        self._queue = ShareQueue(shares)
        self._random = random
        self._meter = ShareMeter()
        self._running: dict[int, _RunningCall] = {}
        self._lent_running = 0
        self._lent_cap = self._limit.value
        self._saturated = False
        self._calm_since = now
        self._reported_direct = 0
        self._mean_direct = 0
        self._reported_at = float("-inf")
        self._last_ticket = 0

    @property
    def limit(self) -> int:
        """The calls that may run at the endpoint at once, those on leases included."""
        return self._limit.value

    @property
    def running(self) -> int:
        """The calls that run through the owner."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """The calls in the queue."""
        return self._queue.count_waiting()

    def set_shares(self, shares: SubscriberShares) -> None:
        """Use the shares of a new snapshot from now on."""
        self._queue.shares = shares

    def offer(self, subscriber: str, deadline: float, now: float) -> Decision:
        """Decide about a call that must end by `deadline`."""
        flow = self._queue.shares.find_flow(subscriber)
        self._meter.add_arrival(flow, now)
        self._last_ticket += 1
        call = self._make_waiting(flow, deadline, now)
        if call.give_up_at <= now:
            return self._refuse(call, ErrorCode.DEADLINE_EXCEEDED)
        is_lent = self._queue.classify(flow)
        queue = self._queue.find_class(is_lent=is_lent)
        if not queue and self._has_room(now, is_lent=is_lent):
            if not is_lent:
                self._queue.hold(flow)
            return self._start(call, is_lent=is_lent)
        is_full = queue.count_waiting(flow) >= MAX_WAITING
        if is_full or self._estimate_wait(queue, flow) > call.give_up_at - now:
            return self._refuse(call, ErrorCode.OVERLOADED)
        self._queue.push(call, is_lent=is_lent)
        return Queued(call.ticket, call.give_up_at)

    def finish(self, ticket: int, latency_s: float, now: float, *, refused: bool) -> list[Admitted]:
        """Note the end of a running call; return the calls that start in its place."""
        call = self._leave(ticket)
        if call is None:
            return []
        if refused:
            self._limit.refuse(now)
        else:
            running = len(self._running) + 1 + self._estimate_direct(now)
            self._limit.observe(latency_s, running, now)
            self._meter.learn_service(call.flow, latency_s, now)
            queue = self._queue.find_class(is_lent=call.is_lent)
            queue.charge(call.flow, latency_s - call.charged_s)
        return self.admit(now)

    def cancel(self, ticket: int, now: float) -> list[Admitted]:
        """Drop a call that its caller left; return the calls that start in its place."""
        if not self._queue.remove(ticket):
            self._leave(ticket)
        return self.admit(now)

    def expire(self, now: float) -> list[Refused]:
        """Return the waiting calls that are given up; due at `read_next_expiry`."""
        given_up = self._queue.pop_given_up(now)
        return [self._refuse(call, ErrorCode.OVERLOADED) for call in given_up]

    def read_next_expiry(self) -> float | None:
        """Return when `expire` is due, None if no call waits."""
        return self._queue.read_next_give_up()

    def admit(self, now: float) -> list[Admitted]:
        """Return the waiting calls that start now; also due when a report shows less load."""
        admitted: list[Admitted] = []
        for is_lent in (False, True):
            while self._has_room(now, is_lent=is_lent):
                call = self._queue.pop(self._meter.mean_service_s, is_lent=is_lent)
                if call is None:
                    break
                admitted.append(self._start(call, is_lent=is_lent))
        return admitted

    def report_load(self, running: int, now: float) -> None:
        """Take the number of calls that run at the endpoint, as it reports them itself."""
        self._reported_direct = max(0, running - len(self._running))
        self._reported_at = now

    def report_usage(self, report: EndpointUsage, now: float) -> None:
        """Take what a holder's direct calls used; what must come here anyway is left out."""
        busy_s: dict[str, float] = {}
        for usage in () if self._saturated else report.usage:
            flow = self._queue.shares.find_flow(usage.subscriber)
            if flow not in self._queue.over:
                busy_s[flow] = busy_s.get(flow, 0.0) + usage.busy_ms / 1000
        self._meter.report_direct(report.node, busy_s, now)

    def assess(self, now: float) -> EndpointPressure:
        """Weigh demands against the limit; to be called every 20 ms while calls run."""
        limit = self._limit.value
        self._mean_direct = round(self._meter.read_direct(now))
        demands = self._meter.measure_demands(now)
        shares = self._queue.shares
        over = self._meter.find_over_share(demands, shares, limit)
        self._queue.set_over_share(over, _count_places(over, demands, shares, limit))
        within = sum(rate for flow, rate in demands.items() if flow not in over)
        self._lent_cap = _compute_lent_cap(limit, within)
        self._judge_saturation(within, now)
        named = tuple(sorted(over))
        if len(named) > MAX_NAMED_OVER_SHARE:
            return EndpointPressure(saturated=True, over_share=())
        return EndpointPressure(self._saturated, named)

    def _judge_saturation(self, within: float, now: float) -> None:
        limit = self._limit.value
        is_burst = self._estimate_direct(now) >= limit * BURST_LOAD
        if is_burst or within >= limit * SATURATED_USE:
            self._saturated = True
        if is_burst or within >= limit * RELEASE_USE:
            self._calm_since = now
        if now - self._calm_since >= RELEASE_AFTER_S:
            self._saturated = False

    def _make_waiting(self, flow: str, deadline: float, now: float) -> WaitingCall:
        latest_start = deadline - self._meter.expect_service_s(flow)
        give_up_at = min(latest_start, now + MAX_WAIT_S)
        return WaitingCall(self._last_ticket, flow, deadline, give_up_at)

    def _has_room(self, now: float, *, is_lent: bool) -> bool:
        if is_lent and self._lent_running >= self._lent_cap:
            return False
        return len(self._running) + self._estimate_direct(now) < self._limit.value

    def _estimate_direct(self, now: float) -> int:
        """Return the direct calls by the endpoint's report, or by the holders' if that is old."""
        is_fresh = now - self._reported_at < LOAD_LIFE_S
        return self._reported_direct if is_fresh else self._mean_direct

    def _start(self, call: WaitingCall, *, is_lent: bool) -> Admitted:
        charged_s = self._meter.mean_service_s
        self._running[call.ticket] = _RunningCall(call.flow, is_lent, charged_s)
        self._lent_running += is_lent
        return Admitted(call.ticket)

    def _leave(self, ticket: int) -> _RunningCall | None:
        call = self._running.pop(ticket, None)
        if call is None:
            return None
        if call.is_lent:
            self._lent_running -= 1
        else:
            self._queue.release(call.flow)
        return call

    def _refuse(self, call: WaitingCall, code: ErrorCode) -> Refused:
        over_share = self._queue.classify(call.flow)
        queue = self._queue.find_class(is_lent=over_share)
        wait_s = self._estimate_wait(queue, call.flow) * self._random.uniform(1.0, 1.5)
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return Refused(call.ticket, code, retry_after_s, over_share)

    def _estimate_wait(self, queue: FairQueue, flow: str) -> float:
        """Return how long a new call of `flow` would wait."""
        is_lent = queue is self._queue.find_class(is_lent=True)
        places = self._lent_cap if is_lent else self._limit.value
        part = self._find_part(queue.list_backlogged(), flow)
        work_s = (queue.count_waiting(flow) + 1) * self._meter.expect_service_s(flow)
        return work_s / (places * part)

    def _find_part(self, backlogged: Iterable[str], flow: str) -> float:
        own = self._queue.shares.read_share(flow)
        others = sum(self._queue.shares.read_share(name) for name in backlogged if name != flow)
        return own / (own + others)


def _count_places(
    over: Iterable[str], demands: Mapping[str, float], shares: SubscriberShares, limit: int
) -> dict[str, int]:
    """Return the calls that fill the share of each flow in `over`, among those that ask."""
    weight = sum(shares.read_share(flow) for flow in demands)
    return {flow: max(1, int(limit * shares.read_share(flow) / weight)) for flow in over}


def _compute_lent_cap(limit: int, within: float) -> int:
    """Return how many calls over their share may run at once."""
    unused = max(0.0, limit - within)
    kept = HEADROOM_DEVIATIONS * sqrt(within)
    return max(1, int(max(unused - kept, unused * MIN_LENT_PART)))
