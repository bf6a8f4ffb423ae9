"""Admission control at the owner of an endpoint: run a call, queue it fairly or refuse it."""

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
"""Longest expected wait for which a call is queued instead of refused."""
MAX_WAITING = 256
"""Maximum number of queued calls of one subscriber at one endpoint."""
LOAD_LIFE_S = 1.0
"""Age above which a load report of the endpoint is ignored."""
SATURATED_USE = 0.9
"""Fraction of the limit at which demand within shares makes an endpoint saturated."""
RELEASE_USE = 0.7
"""Fraction of the limit below which demand within shares ends the saturation."""
BURST_LOAD = 3
"""Ratio of direct calls to the limit that saturates an endpoint whatever the demand."""
RELEASE_AFTER_S = 1.0
"""Time for which demand must stay low before the saturation ends."""
HEADROOM_DEVIATIONS = 1.5
"""Slots that calls over their share may not borrow, in standard deviations of other load."""
MIN_LENT_PART = 0.5
"""Fraction of the unused slots that may always be borrowed, whatever the headroom."""
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0
MAX_NAMED_OVER_SHARE = 32
"""Maximum number of subscribers in one notice; with more, the endpoint counts as saturated."""


@dataclass(slots=True)
class _RunningCall:
    """A call that the owner has sent to the endpoint."""

    flow: str
    is_lent: bool
    charged_s: float


class Admission:
    """Admission control for one endpoint; direct calls on leases are known only from reports.

    A flow is the calls of one subscriber. Flows within their share run first, up to the limit.
    Flows over their share borrow the slots that remain, minus a headroom that absorbs the
    fluctuation of the other flows.
    """

    def __init__(
        self, *, slots: int, ceiling: int, shares: SubscriberShares, now: float, random: Random
    ) -> None:
        # Calls beyond the slots would queue inside the endpoint, where shares are not enforced.
        self._limit = AdaptiveLimit(slots=slots, ceiling=min(ceiling, slots), now=now)
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
        """The maximum number of concurrent calls at the endpoint, including direct calls."""
        return self._limit.value

    @property
    def running(self) -> int:
        """The number of calls that run through the owner."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """The number of queued calls."""
        return self._queue.count_waiting()

    def set_shares(self, shares: SubscriberShares) -> None:
        """Replace the shares by those of a new snapshot."""
        self._queue.shares = shares

    def offer(self, subscriber: str, deadline: float, now: float) -> Decision:
        """Admit, queue or refuse a call that must end by `deadline`."""
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
        """Record the end of a running call; return the queued calls that start in its place."""
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
        """Drop a call whose caller has gone; return the queued calls that start in its place."""
        if not self._queue.remove(ticket):
            self._leave(ticket)
        return self.admit(now)

    def expire(self, now: float) -> list[Refused]:
        """Refuse the queued calls that have expired; due at `read_next_expiry`."""
        given_up = self._queue.pop_given_up(now)
        return [self._refuse(call, ErrorCode.OVERLOADED) for call in given_up]

    def read_next_expiry(self) -> float | None:
        """Return when `expire` is due, or None if no call is queued."""
        return self._queue.read_next_give_up()

    def admit(self, now: float) -> list[Admitted]:
        """Start and return the queued calls that fit; also due when a report shows less load."""
        admitted: list[Admitted] = []
        for is_lent in (False, True):
            while self._has_room(now, is_lent=is_lent):
                call = self._queue.pop(self._meter.mean_service_s, is_lent=is_lent)
                if call is None:
                    break
                admitted.append(self._start(call, is_lent=is_lent))
        return admitted

    def report_load(self, running: int, now: float) -> None:
        """Record the number of running calls that the endpoint itself reports."""
        self._reported_direct = max(0, running - len(self._running))
        self._reported_at = now

    def report_usage(self, report: EndpointUsage, now: float) -> None:
        """Record the usage of a holder's direct calls, except calls that must use the owner now."""
        busy_s: dict[str, float] = {}
        for usage in () if self._saturated else report.usage:
            flow = self._queue.shares.find_flow(usage.subscriber)
            if flow not in self._queue.over:
                busy_s[flow] = busy_s.get(flow, 0.0) + usage.busy_ms / 1000
        self._meter.report_direct(report.node, busy_s, now)

    def assess(self, now: float) -> EndpointPressure:
        """Compare demand with the limit; must be called every 20 ms while calls run."""
        limit = self._limit.value
        demands = self._meter.measure_demands(now)
        self._mean_direct = round(self._meter.read_direct())
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
        """Return the direct calls by the endpoint's report, or by the holders' if that is stale."""
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
        """Return the expected wait of a new call of `flow`."""
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
    """Return the slots in the share of each flow in `over`, among the flows with demand."""
    weight = sum(shares.read_share(flow) for flow in demands)
    return {flow: max(1, int(limit * shares.read_share(flow) / weight)) for flow in over}


def _compute_lent_cap(limit: int, within: float) -> int:
    """Return the maximum number of concurrent calls over their share."""
    unused = max(0.0, limit - within)
    kept = HEADROOM_DEVIATIONS * sqrt(within)
    return max(1, int(max(unused - kept, unused * MIN_LENT_PART)))
