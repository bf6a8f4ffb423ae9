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
MAX_QUEUED_PER_SUBSCRIBER = 256
"""Maximum number of queued calls of one subscriber at one endpoint."""
LOAD_REPORT_TTL_S = 1.0
"""Age above which a load report of the endpoint is ignored."""
SATURATION_THRESHOLD = 0.9
"""Fraction of the limit at which demand within shares makes an endpoint saturated."""
SATURATION_CLEAR_THRESHOLD = 0.7
"""Fraction of the limit below which demand within shares ends the saturation."""
BURST_SATURATION_RATIO = 3
"""Ratio of direct calls to the limit that saturates an endpoint whatever the demand."""
SATURATION_CLEAR_DELAY_S = 1.0
"""Time for which demand must stay low before the saturation ends."""
HEADROOM_DEVIATIONS = 1.5
"""Slots that calls over their share may not borrow, in standard deviations of other load."""
MIN_BORROWED_FRACTION = 0.5
"""Fraction of the unused slots that may always be borrowed, whatever the headroom."""
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0
MAX_OVER_SHARE_IN_NOTICE = 32
"""Maximum number of subscribers in one notice; with more, the endpoint counts as saturated."""


@dataclass(slots=True)
class _RunningCall:
    """A call that the owner has sent to the endpoint."""

    flow: str
    is_borrowing: bool
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
        self._borrowing_running = 0
        self._borrowing_limit = self._limit.value
        self._saturated = False
        self._last_high_load_at = now
        self._endpoint_direct = 0
        self._holder_direct = 0
        self._load_reported_at = float("-inf")
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
        call = self._make_waiting_call(flow, deadline, now)
        if call.expires_at <= now:
            return self._refuse(call, ErrorCode.DEADLINE_EXCEEDED)
        is_borrowing = self._queue.would_borrow(flow)
        queue = self._queue.find_queue(is_borrowing=is_borrowing)
        if not queue and self._has_capacity(now, is_borrowing=is_borrowing):
            if not is_borrowing:
                self._queue.acquire_slot(flow)
            return self._start(call, is_borrowing=is_borrowing)
        is_full = queue.count_waiting(flow) >= MAX_QUEUED_PER_SUBSCRIBER
        if is_full or self._estimate_wait(queue, flow) > call.expires_at - now:
            return self._refuse(call, ErrorCode.OVERLOADED)
        self._queue.push(call, is_borrowing=is_borrowing)
        return Queued(call.ticket, call.expires_at)

    def finish(self, ticket: int, latency_s: float, now: float, *, refused: bool) -> list[Admitted]:
        """Record the end of a running call; return the queued calls that start in its place."""
        call = self._remove_running(ticket)
        if call is None:
            return []
        if refused:
            self._limit.record_refusal(now)
        else:
            running = len(self._running) + 1 + self._estimate_direct(now)
            self._limit.observe(latency_s, running, now)
            self._meter.observe_service_time(call.flow, latency_s, now)
            queue = self._queue.find_queue(is_borrowing=call.is_borrowing)
            queue.charge(call.flow, latency_s - call.charged_s)
        return self.admit(now)

    def cancel(self, ticket: int, now: float) -> list[Admitted]:
        """Drop a call whose caller has gone; return the queued calls that start in its place."""
        if not self._queue.remove(ticket):
            self._remove_running(ticket)
        return self.admit(now)

    def expire(self, now: float) -> list[Refused]:
        """Refuse the queued calls that have expired; due at `read_next_expiry`."""
        expired = self._queue.pop_expired(now)
        return [self._refuse(call, ErrorCode.OVERLOADED) for call in expired]

    def read_next_expiry(self) -> float | None:
        """Return when `expire` is due, or None if no call is queued."""
        return self._queue.read_next_expiry()

    def admit(self, now: float) -> list[Admitted]:
        """Start and return the queued calls that fit; also due when a report shows less load."""
        admitted: list[Admitted] = []
        for is_borrowing in (False, True):
            while self._has_capacity(now, is_borrowing=is_borrowing):
                call = self._queue.pop(self._meter.mean_service_s, is_borrowing=is_borrowing)
                if call is None:
                    break
                admitted.append(self._start(call, is_borrowing=is_borrowing))
        return admitted

    def report_load(self, running: int, now: float) -> None:
        """Record the number of running calls that the endpoint itself reports."""
        self._endpoint_direct = max(0, running - len(self._running))
        self._load_reported_at = now

    def report_usage(self, report: EndpointUsage, now: float) -> None:
        """Record the usage of a holder's direct calls, except calls that must use the owner now."""
        busy_s: dict[str, float] = {}
        for usage in () if self._saturated else report.usage:
            flow = self._queue.shares.find_flow(usage.subscriber)
            if flow not in self._queue.over_share:
                busy_s[flow] = busy_s.get(flow, 0.0) + usage.busy_ms / 1000
        self._meter.report_direct(report.node, busy_s, now)

    def update_pressure(self, now: float) -> EndpointPressure:
        """Compare demand with the limit; must be called every 20 ms while calls run."""
        limit = self._limit.value
        demands = self._meter.measure_demands(now)
        self._holder_direct = round(self._meter.read_direct())
        shares = self._queue.shares
        over_share = self._meter.find_over_share(demands, shares, limit)
        self._queue.set_over_share(
            over_share, _compute_share_slots(over_share, demands, shares, limit)
        )
        within_share = sum(rate for flow, rate in demands.items() if flow not in over_share)
        self._borrowing_limit = _compute_borrowing_limit(limit, within_share)
        self._update_saturation(within_share, now)
        subscribers = tuple(sorted(over_share))
        if len(subscribers) > MAX_OVER_SHARE_IN_NOTICE:
            return EndpointPressure(saturated=True, over_share=())
        return EndpointPressure(self._saturated, subscribers)

    def _update_saturation(self, within_share: float, now: float) -> None:
        limit = self._limit.value
        is_burst = self._estimate_direct(now) >= limit * BURST_SATURATION_RATIO
        if is_burst or within_share >= limit * SATURATION_THRESHOLD:
            self._saturated = True
        if is_burst or within_share >= limit * SATURATION_CLEAR_THRESHOLD:
            self._last_high_load_at = now
        if now - self._last_high_load_at >= SATURATION_CLEAR_DELAY_S:
            self._saturated = False

    def _make_waiting_call(self, flow: str, deadline: float, now: float) -> WaitingCall:
        latest_start = deadline - self._meter.estimate_service_s(flow)
        expires_at = min(latest_start, now + MAX_WAIT_S)
        return WaitingCall(self._last_ticket, flow, deadline, expires_at)

    def _has_capacity(self, now: float, *, is_borrowing: bool) -> bool:
        if is_borrowing and self._borrowing_running >= self._borrowing_limit:
            return False
        return len(self._running) + self._estimate_direct(now) < self._limit.value

    def _estimate_direct(self, now: float) -> int:
        """Return the direct calls by the endpoint's report, or by the holders' if that is stale."""
        is_fresh = now - self._load_reported_at < LOAD_REPORT_TTL_S
        return self._endpoint_direct if is_fresh else self._holder_direct

    def _start(self, call: WaitingCall, *, is_borrowing: bool) -> Admitted:
        charged_s = self._meter.mean_service_s
        self._running[call.ticket] = _RunningCall(call.flow, is_borrowing, charged_s)
        self._borrowing_running += is_borrowing
        return Admitted(call.ticket)

    def _remove_running(self, ticket: int) -> _RunningCall | None:
        call = self._running.pop(ticket, None)
        if call is None:
            return None
        if call.is_borrowing:
            self._borrowing_running -= 1
        else:
            self._queue.release_slot(call.flow)
        return call

    def _refuse(self, call: WaitingCall, code: ErrorCode) -> Refused:
        over_share = self._queue.would_borrow(call.flow)
        queue = self._queue.find_queue(is_borrowing=over_share)
        wait_s = self._estimate_wait(queue, call.flow) * self._random.uniform(1.0, 1.5)
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return Refused(call.ticket, code, retry_after_s, over_share)

    def _estimate_wait(self, queue: FairQueue, flow: str) -> float:
        """Return the expected wait of a new call of `flow`."""
        is_borrowing = queue is self._queue.find_queue(is_borrowing=True)
        concurrency = self._borrowing_limit if is_borrowing else self._limit.value
        share_fraction = self._compute_share_fraction(queue.list_backlogged_flows(), flow)
        work_s = (queue.count_waiting(flow) + 1) * self._meter.estimate_service_s(flow)
        return work_s / (concurrency * share_fraction)

    def _compute_share_fraction(self, backlogged: Iterable[str], flow: str) -> float:
        own = self._queue.shares.read_share(flow)
        others = sum(self._queue.shares.read_share(name) for name in backlogged if name != flow)
        return own / (own + others)


def _compute_share_slots(
    over_share: Iterable[str], demands: Mapping[str, float], shares: SubscriberShares, limit: int
) -> dict[str, int]:
    """Return the slots in the share of each flow in `over_share`, among the flows with demand."""
    weight = sum(shares.read_share(flow) for flow in demands)
    return {flow: max(1, int(limit * shares.read_share(flow) / weight)) for flow in over_share}


def _compute_borrowing_limit(limit: int, within_share: float) -> int:
    """Return the maximum number of concurrent calls over their share."""
    unused = max(0.0, limit - within_share)
    kept = HEADROOM_DEVIATIONS * sqrt(within_share)
    return max(1, int(max(unused - kept, unused * MIN_BORROWED_FRACTION)))
