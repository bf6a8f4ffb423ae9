from heapq import heappop, heappush

import pytest

from corianderwall.mesh.admission import Admission, AdmissionQueue, QueuedCall
from corianderwall.mesh.uplink import BIG_RATE_FRACTION, Uplink


def make_call(
    deadline: float = 10.0,
    *,
    rank: int = 1,
    route: str = "r",
    due: float | None = None,
    sending_s: float = 0.0,
) -> QueuedCall:
    return QueuedCall(route, rank, deadline if due is None else due, deadline, sending_s)


def run_call(queue: AdmissionQueue, took_s: float, route: str = "r") -> None:
    call = make_call(1000.0, route=route)
    assert queue.offer(call, 0.0, may_wait=False) is Admission.START
    queue.finish(call, took_s, ran=True)


def test_no_more_calls_run_than_there_are_slots() -> None:
    queue = AdmissionQueue(2)
    responses = [queue.offer(make_call(), 0.0, may_wait=False) for _ in range(3)]
    assert responses == [Admission.START, Admission.START, Admission.FULL]


def test_a_freed_slot_goes_to_the_waiting_call_and_not_to_a_new_one() -> None:
    queue = AdmissionQueue(1)
    first, second = make_call(), make_call()
    queue.offer(first, 0.0, may_wait=True)
    assert queue.offer(second, 0.0, may_wait=True) is Admission.WAIT
    queue.finish(first, 0.1, ran=True)
    assert queue.offer(make_call(), 0.1, may_wait=False) is Admission.FULL
    assert queue.dispatch(0.1) == ([second], [])


def test_calls_of_running_calls_start_first_then_the_urgent_then_the_earlier_due() -> None:
    queue = AdmissionQueue(1)
    running = make_call()
    queue.offer(running, 0.0, may_wait=True)
    later, sooner = make_call(9.0, rank=2), make_call(8.0, rank=2)
    urgent, nested = make_call(9.5, rank=1), make_call(9.9, rank=0)
    for call in (later, sooner, urgent, nested):
        queue.offer(call, 0.0, may_wait=True)
    order = []
    for _ in range(4):
        queue.finish(running, 0.0, ran=False)
        (running,), _ = queue.dispatch(0.0)
        order.append(running)
    assert order == [nested, urgent, sooner, later]


def test_a_call_that_cannot_end_by_its_deadline_is_refused_at_once() -> None:
    queue = AdmissionQueue(1)
    run_call(queue, 1.0)
    queue.offer(make_call(50.0), 10.0, may_wait=True)
    assert queue.offer(make_call(11.5), 10.0, may_wait=True) is Admission.LATE
    assert queue.offer(make_call(12.5), 10.0, may_wait=True) is Admission.WAIT


def test_a_late_call_waits_only_where_no_timely_one_does() -> None:
    queue = AdmissionQueue(1)
    run_call(queue, 1.0)
    queue.offer(make_call(50.0), 0.0, may_wait=True)
    late = make_call(10.0, due=0.5)
    assert queue.offer(late, 0.0, may_wait=True) is Admission.WAIT
    queue.withdraw(late)
    queue.offer(make_call(50.0, due=9.0), 0.0, may_wait=True)
    assert queue.offer(late, 0.0, may_wait=True) is Admission.LATE


def test_a_timely_call_starts_before_one_that_has_become_late() -> None:
    queue = AdmissionQueue(1)
    run_call(queue, 1.0)
    running = make_call(50.0)
    late, timely = make_call(50.0, due=3.0), make_call(50.0, due=9.0)
    for call in (running, late, timely):
        queue.offer(call, 0.0, may_wait=True)
    queue.finish(running, 2.5, ran=False)
    assert queue.dispatch(2.5) == ([timely], [])


def simulate_overload(queue: AdmissionQueue, load: float, *, aware: bool) -> tuple[int, int]:
    """Return the numbers of timely and late calls in 20 s of arrivals at `load` times capacity.

    Without `aware` the queue ignores the objective and admits calls by their deadline alone.
    """
    took_s, objective_s, timeout_s = 0.22, 0.6, 1.2
    run_call(queue, took_s)
    gap_s = took_s / (queue.slots * load)
    arrivals = [number * gap_s for number in range(int(20.0 / gap_s))]
    arrived: dict[QueuedCall, float] = {}
    ends: list[tuple[float, int, QueuedCall]] = []
    in_time = late = 0

    def end_until(now: float) -> None:
        nonlocal in_time, late
        while ends and ends[0][0] <= now:
            at, _, call = heappop(ends)
            queue.finish(call, at, ran=True)
            if at - arrived[call] <= objective_s:
                in_time += 1
            else:
                late += 1
            for started in queue.dispatch(at)[0]:
                heappush(ends, (at + took_s, id(started), started))

    for at in arrivals:
        end_until(at)
        due = at + (objective_s if aware else timeout_s)
        call = make_call(at + timeout_s, due=due)
        arrived[call] = at
        if queue.offer(call, at, may_wait=True) is Admission.START:
            heappush(ends, (at + took_s, id(call), call))
    end_until(30.0)
    return in_time, late


def test_a_long_overload_leaves_most_responses_in_time() -> None:
    """Load pattern: 1.3 times the capacity for 20 s with an objective of half the timeout.

    Queueing up to the deadline makes most responses late.
    """
    before_in_time, before_late = simulate_overload(AdmissionQueue(6), 1.3, aware=False)
    in_time, late = simulate_overload(AdmissionQueue(6), 1.3, aware=True)
    served, before_served = in_time + late, before_in_time + before_late
    assert in_time > 0.9 * served
    assert before_in_time < 0.5 * before_served
    assert served > 0.95 * before_served


def test_a_waiting_call_is_dropped_once_it_cannot_end_in_time() -> None:
    queue = AdmissionQueue(1)
    run_call(queue, 1.0)
    running, waiting = make_call(50.0), make_call(2.5)
    queue.offer(running, 0.0, may_wait=True)
    queue.offer(waiting, 0.0, may_wait=True)
    queue.finish(running, 2.0, ran=True)
    assert queue.dispatch(2.0) == ([], [waiting])


def test_a_call_that_did_not_run_does_not_change_the_mean_times() -> None:
    queue = AdmissionQueue(1)
    call = make_call()
    queue.offer(call, 0.0, may_wait=False)
    queue.finish(call, 5.0, ran=False)
    assert queue.mean_s == 0.0


def test_the_expected_wait_grows_with_the_calls_ahead_of_the_same_rank_only() -> None:
    queue = AdmissionQueue(1)
    run_call(queue, 1.0)
    queue.offer(make_call(100.0), 0.0, may_wait=True)
    queue.offer(make_call(100.0, rank=3), 0.0, may_wait=True)
    assert queue.estimate_wait(0.0, 3) == 2.0
    assert queue.estimate_wait(0.0, 1) == 1.0


def test_a_step_of_load_above_capacity_is_refused_and_not_queued_to_its_deadline() -> None:
    """Load pattern: a step to three times the capacity of the endpoint."""
    queue = AdmissionQueue(2)
    run_call(queue, 0.1)
    outcomes = [queue.offer(make_call(0.59), 0.0, may_wait=True) for _ in range(20)]
    started = outcomes.count(Admission.START)
    waiting = outcomes.count(Admission.WAIT)
    # Two calls run, then four rounds of two at 0.1 s each; the estimate is off by half a call.
    assert (started, waiting) == (2, 8)
    assert outcomes[10:] == [Admission.LATE] * 10


def make_link_queue() -> AdmissionQueue:
    """Return a queue with two slots, a link that sends 100 KB in 0.2 s, and calls of 0.1 s."""
    queue = AdmissionQueue(2, Uplink(100_000 / 0.2 / BIG_RATE_FRACTION))
    run_call(queue, 0.1)
    return queue


def test_a_big_response_waits_for_the_link_while_small_ones_go_ahead() -> None:
    queue = make_link_queue()
    queue.uplink.reserve(150_000, 1.0)
    big, small = make_call(sending_s=0.2), make_call(rank=2)
    assert queue.offer(big, 1.0, may_wait=False) is Admission.FULL
    assert queue.offer(big, 1.0, may_wait=True) is Admission.WAIT
    assert queue.offer(small, 1.0, may_wait=False) is Admission.START
    assert queue.dispatch(1.1) == ([], [])
    assert queue.dispatch(1.2) == ([big], [])


def test_a_second_big_response_counts_on_the_link_as_soon_as_its_call_runs() -> None:
    queue = make_link_queue()
    assert queue.offer(make_call(sending_s=0.2), 1.0, may_wait=False) is Admission.START
    assert queue.offer(make_call(sending_s=0.2), 1.0, may_wait=False) is Admission.FULL


def test_a_big_response_that_the_link_cannot_send_in_time_is_refused_at_once() -> None:
    queue = make_link_queue()
    queue.uplink.reserve(500_000, 1.0)
    assert queue.offer(make_call(2.0, sending_s=0.2), 1.0, may_wait=True) is Admission.LATE
    assert queue.offer(make_call(2.4, sending_s=0.2), 1.0, may_wait=True) is Admission.WAIT
    assert queue.estimate_start(make_call(sending_s=0.2), 1.0) > 1.0


def simulate_slow_link(queue: AdmissionQueue, uplink: Uplink) -> tuple[int, int]:
    """Return how many small and big responses are in time on a link that sends in order.

    Of the five calls in each 0.1 s one has a response that occupies the link for 0.2 s, which is
    twice what the link can send.
    """
    link_free, big_in_time, small_in_time = 0.0, 0, 0
    arrivals = [(i * 0.02, i % 5 == 0) for i in range(500)]
    ending: list[tuple[float, int, QueuedCall]] = []

    def begin(calls: list[QueuedCall], now: float) -> None:
        for call in calls:
            heappush(ending, (now + 0.03, id(call), call))

    def end_until(now: float) -> None:
        nonlocal link_free, big_in_time, small_in_time
        while ending and ending[0][0] <= now:
            at, _, call = heappop(ending)
            queue.finish(call, at, ran=True)
            is_big = call.route == "big"
            link_free = max(link_free, at) + (0.2 if is_big else 0.001)
            if is_big:
                uplink.reserve(100_000, at)
                big_in_time += link_free <= call.due
            else:
                small_in_time += link_free <= call.due
            begin(queue.dispatch(at)[0], at)

    for now, is_big in arrivals:
        end_until(now)
        begin(queue.dispatch(now)[0], now)
        sending_s = uplink.estimate_sending_s("big") if is_big else 0.0
        call = make_call(now + 1.0, route="big" if is_big else "short", sending_s=sending_s)
        if queue.offer(call, now, may_wait=True) is Admission.START:
            begin([call], now)
    end_until(now + 1.0)
    return small_in_time, big_in_time


def test_small_responses_do_not_wait_behind_big_ones_on_a_slow_link() -> None:
    """Load pattern: a slow link has to send twice the big responses that it can."""
    unaware = Uplink()
    small_before, big_before = simulate_slow_link(AdmissionQueue(6, unaware), unaware)
    aware = Uplink(100_000 / 0.2)
    aware.sizes.record("big", 100_000)
    small_after, big_after = simulate_slow_link(AdmissionQueue(6, aware), aware)
    assert small_before < 100
    assert small_after == 400
    assert big_after > 4 * big_before


def test_calls_wait_for_the_rate_limit_of_the_endpoint_although_slots_are_free() -> None:
    queue = AdmissionQueue(4)
    queue.limit.set_rate(2.0, 100.0)
    assert queue.offer(make_call(200.0), 100.0, may_wait=False) is Admission.START
    assert queue.offer(make_call(200.0), 100.0, may_wait=False) is Admission.FULL
    waiting = make_call(200.0)
    assert queue.offer(waiting, 100.0, may_wait=True) is Admission.WAIT
    assert queue.estimate_start(make_call(200.0), 100.0) == pytest.approx(1.0)
    assert queue.dispatch(100.4) == ([], [])
    assert queue.dispatch(100.6) == ([waiting], [])


def test_a_call_that_the_rate_limit_would_make_late_is_refused_at_once() -> None:
    queue = AdmissionQueue(4)
    queue.limit.set_rate(0.5, 100.0)
    queue.offer(make_call(200.0), 100.0, may_wait=False)
    assert queue.offer(make_call(101.5), 100.0, may_wait=True) is Admission.LATE
