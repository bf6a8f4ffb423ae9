"""Load pattern: an endpoint becomes cold under a demand of several times what it then tolerates."""

from bisect import bisect_left
from random import Random

import pytest

from corianderwall.mesh.admission import Admission, AdmissionQueue, QueuedCall
from corianderwall.mesh.pace import BURST_CALLS, ConcurrencyRamp, Pace, parse_left_s

RATE = 6.5
BOUND = RATE * 1.5 + 8.0


def make_pace(rate_per_s: float = RATE) -> Pace:
    pace = Pace()
    pace.configure(3.0, rate_per_s, 0.0)
    return pace


def count_worst_second(starts: list[float]) -> int:
    return max(bisect_left(starts, at + 1.0) - n for n, at in enumerate(starts))


def run_unnoticed_warmup(seed: int, *, checks: bool) -> list[float]:
    """Return the arrivals while the endpoint is cold; the next announcement comes 1.3 s late.

    The endpoint is offered 40 calls a second and becomes cold at 5.0 for 3 s.
    """
    random = Random(seed)
    pace = make_pace()
    pace.record_statement(0.0, 0.0)
    arrivals: list[float] = []
    next_heartbeat, check, check_at = 0.3, 0, 0.0
    now = 0.0
    while now < 10.0:
        now += random.expovariate(40.0)
        left_s = 8.0 - now if 5.0 <= now < 8.0 else 0.0
        if now >= next_heartbeat:
            pace.record_statement(left_s, now)
            next_heartbeat += 1.5
        if check and now >= check_at:
            pace.end_check(check, left_s, now, answered=True)
            check = 0
        if checks and pace.needs_check(now):
            check, check_at = pace.begin_check(now), now + 0.03
            arrivals.append(now)
        if pace.permits(now):
            pace.take(now, 1)
            arrivals.append(now)
        elif not checks and not pace.is_cold(now):
            # Without health checks only announcements tell.
            pace.record_statement(0.0, now)
    return [at for at in arrivals if 5.0 <= at < 8.0]


@pytest.mark.parametrize("seed", range(20))
def test_no_second_reaches_the_bound_although_the_warm_up_began_unnoticed(seed: int) -> None:
    cold = run_unnoticed_warmup(seed, checks=True)
    assert count_worst_second(cold) < BOUND
    # The calls of the last warm second use up the first cold one, as it is not known when it began.
    assert len(cold) > 2 * RATE
    assert count_worst_second(run_unnoticed_warmup(seed, checks=False)) > BOUND


def send_all(pace: Pace, since: float, until: float) -> list[float]:
    starts = []
    for step in range(round((until - since) * 1000)):
        now = since + step / 1000
        if pace.permits(now):
            pace.take(now, 1)
            starts.append(now)
    return starts


def test_a_process_that_has_just_started_counts_what_its_predecessor_sent() -> None:
    former, present = make_pace(), make_pace()
    former.record_statement(3.0, 0.0)
    starts = send_all(former, 0.0, 1.5)
    present.permits(1.5)
    present.expect_cold(1.5)
    starts += send_all(present, 1.5, 3.0)
    assert count_worst_second(starts) <= RATE + BURST_CALLS
    assert len(starts) >= 3.0 * RATE - 2


def test_calls_sent_while_warm_count_in_the_first_cold_second() -> None:
    pace = make_pace()
    pace.record_statement(0.0, 0.0)
    starts = send_all(pace, 0.0, 0.008)
    pace.record_statement(2.0, 0.01)
    starts += send_all(pace, 0.01, 2.0)
    assert len([at for at in starts if at < 0.01]) == 8
    assert count_worst_second(starts) <= RATE + BURST_CALLS


def test_the_wait_is_exact_and_ends_with_the_warm_up() -> None:
    pace = make_pace()
    pace.record_statement(3.0, 0.0)
    wait_s = pace.estimate_wait(1.0, 0)
    while wait_s == 0.0:
        pace.take(1.0, 1)
        wait_s = pace.estimate_wait(1.0, 0)
    assert not pace.permits(1.0 + wait_s - 0.01)
    assert pace.permits(1.0 + wait_s + 0.001)
    assert pace.estimate_wait(1.0, 1000) == pytest.approx(2.0, abs=0.1)
    assert pace.estimate_rate(1.0, 9, 0.2) == RATE
    assert pace.permits(3.1) and pace.estimate_rate(3.1, 9, 0.2) is None


def test_an_expected_warm_up_ends_with_a_statement_made_after_it() -> None:
    pace = make_pace()
    pace.record_statement(0.0, 0.0)
    pace.expect_cold(0.5)
    earlier = pace.begin_check(0.6)
    pace.expect_cold(1.0)
    pace.end_check(earlier, 0.0, 1.1, answered=True)
    assert pace.is_cold(1.2)
    pace.record_statement(0.0, 1.3)
    assert not pace.is_cold(1.3)


def test_after_a_crash_the_endpoint_counts_as_cold() -> None:
    pace = make_pace()
    pace.record_statement(0.0, 0.0)
    pace.restart()
    assert pace.is_cold(1000.0)
    pace.record_statement(2.0, 1000.0)
    assert not pace.is_cold(1002.1)


def test_an_endpoint_that_names_no_warm_up_is_not_held_back() -> None:
    pace = make_pace()
    pace.record_statement(0.0, 0.0)
    pace.end_check(pace.begin_check(0.1), None, 0.1, answered=True)
    assert len(send_all(pace, 0.2, 0.3)) == 100
    assert not pace.needs_check(0.4)


def test_a_service_without_a_warm_up_has_no_pace() -> None:
    queue = AdmissionQueue(1000)
    for statement in (3.0, 0.0):
        queue.pace.record_statement(statement, 0.0)
        queue.pace.expect_cold(0.0)
        calls = [QueuedCall("r", 1, 9.0, 9.0) for _ in range(100)]
        assert {queue.offer(call, 0.0, may_wait=False) for call in calls} == {Admission.START}
    assert queue.estimate_start(QueuedCall("r", 1, 9.0, 9.0), 0.0) == 0.0
    assert queue.pace.estimate_rate(0.0, 1000, 0.1) is None
    assert not queue.pace.needs_check(0.0) and not queue.pace.count_recent(0.0)


def test_the_urgent_call_gets_the_next_turn_of_a_cold_endpoint() -> None:
    queue = AdmissionQueue(9, pace=make_pace())
    queue.pace.record_statement(3.0, 0.0)
    normal, nested = QueuedCall("r", 2, 9.0, 9.0), QueuedCall("r", 0, 9.0, 9.0)
    assert queue.offer(normal, 0.0, may_wait=True) is Admission.WAIT
    assert queue.offer(nested, 0.0, may_wait=True) is Admission.WAIT
    assert queue.dispatch(0.16) == ([nested], [])
    assert queue.dispatch(0.32) == ([normal], [])


def run_rounds(ramp: ConcurrencyRamp, ratio: float, rounds: int) -> float:
    for _ in range(rounds):
        for _ in range(20):
            ramp.count_start(int(ramp.limit))
            ramp.record_response(ratio, 0.0)
    return ramp.limit


def test_without_a_stated_rate_concurrency_grows_only_while_calls_are_fast() -> None:
    assert run_rounds(ConcurrencyRamp(), 1.0, 3) > 9
    assert run_rounds(ConcurrencyRamp(), 2.0, 9) == ConcurrencyRamp().limit
    ramp = ConcurrencyRamp(limit=8.0)
    for _ in range(5):
        ramp.shrink(1.0, 0.2)
    assert ramp.limit == 4.0
    pace = make_pace(rate_per_s=0.0)
    pace.record_statement(3.0, 0.0)
    assert (pace.limit_slots(9, 1.0), pace.limit_slots(9, 3.1)) == (2, 9)


@pytest.mark.parametrize(
    ("raw", "left_s"),
    [(b"1500", 1.5), (b"0", 0.0), (None, None), (b"x", None), (b"-1", None), (b"nan", None)],
)
def test_a_malformed_header_says_nothing(raw: bytes | None, left_s: float | None) -> None:
    assert parse_left_s(raw) == left_s
