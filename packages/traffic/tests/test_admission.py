from random import Random

import pytest

from corianderwall.model.errors import ErrorCode
from corianderwall.model.resource import Snapshot, Subscriber
from corianderwall.traffic.admission import MAX_WAIT_S, Admission
from corianderwall.traffic.decisions import Admitted, Queued, Refused
from corianderwall.traffic.lease_issuer import EndpointUsage
from corianderwall.traffic.messages import SubscriberUsage
from corianderwall.traffic.shares import SubscriberShares

SLOTS = 4
SERVICE_S = 0.1
NAMES = ("a", "b", "c", "heavy")
SHARES = SubscriberShares(Snapshot(subscribers=tuple(Subscriber(name=name) for name in NAMES)))


@pytest.fixture
def admission() -> Admission:
    return Admission(slots=SLOTS, ceiling=SLOTS, shares=SHARES, now=0.0, random=Random(3))


def record_service_times(admission: Admission) -> None:
    for name in NAMES:
        run_call(admission, name, 0.0)


def run_call(admission: Admission, name: str, now: float) -> None:
    decision = admission.offer(name, now + 9, now)
    assert isinstance(decision, Admitted)
    admission.finish(decision.ticket, SERVICE_S, now, refused=False)


def offer_many(admission: Admission, name: str, count: int, now: float) -> list[object]:
    return [admission.offer(name, now + 9, now) for _ in range(count)]


def test_calls_run_up_to_the_limit_and_then_wait(admission: Admission) -> None:
    decisions = offer_many(admission, "a", SLOTS + 1, 0.0)
    assert all(isinstance(each, Admitted) for each in decisions[:SLOTS])
    assert isinstance(decisions[-1], Queued)
    first = decisions[0]
    assert isinstance(first, Admitted)
    assert admission.finish(first.ticket, SERVICE_S, 0.1, refused=False) == [
        Admitted(decisions[-1].ticket)
    ]


def test_direct_calls_count_against_the_limit(admission: Admission) -> None:
    admission.report_load(SLOTS, 0.0)
    assert isinstance(admission.offer("a", 9.0, 0.1), Queued)
    admission.report_load(0, 0.2)
    assert len(admission.admit(0.2)) == 1


def test_a_stale_load_report_does_not_block_for_ever(admission: Admission) -> None:
    admission.report_load(SLOTS, 0.0)
    assert isinstance(admission.offer("a", 9.0, 2.0), Admitted)


def test_reports_of_holders_count_while_the_endpoint_reports_no_load(
    admission: Admission,
) -> None:
    usage = tuple(SubscriberUsage(name, 9, 5_000) for name in NAMES)
    admission.report_usage(EndpointUsage("e", "n1", usage, 4), 5.0)
    admission.update_pressure(5.0)
    assert isinstance(admission.offer("a", 9.0, 5.0), Queued)
    admission.report_load(0, 5.1)
    assert len(admission.admit(5.1)) == 1
    admission.update_pressure(11.0)
    assert isinstance(admission.offer("a", 19.0, 11.0), Admitted)


def test_a_call_that_cannot_end_in_time_is_refused_without_running(admission: Admission) -> None:
    record_service_times(admission)
    decision = admission.offer("a", 1.0 + SERVICE_S / 2, 1.0)
    assert isinstance(decision, Refused)
    assert decision.code is ErrorCode.DEADLINE_EXCEEDED


def test_the_queue_is_bounded_by_the_expected_wait(admission: Admission) -> None:
    record_service_times(admission)
    decisions = offer_many(admission, "a", 500, 1.0)
    queued = [each for each in decisions if isinstance(each, Queued)]
    assert len(queued) <= MAX_WAIT_S / SERVICE_S * SLOTS
    last = decisions[-1]
    assert isinstance(last, Refused) and last.code is ErrorCode.OVERLOADED
    assert last.retry_after_s > 0


def test_an_expired_call_is_refused_at_once_and_never_admitted(admission: Admission) -> None:
    record_service_times(admission)
    running = offer_many(admission, "a", SLOTS, 1.0)
    waiting = admission.offer("b", 1.5, 1.0)
    assert isinstance(waiting, Queued)
    assert admission.read_next_expiry() == pytest.approx(1.5 - SERVICE_S)
    assert [each.ticket for each in admission.expire(waiting.expires_at)] == [waiting.ticket]
    first = running[0]
    assert isinstance(first, Admitted)
    assert admission.finish(first.ticket, SERVICE_S, 1.5, refused=False) == []
    assert admission.read_next_expiry() is None


def test_a_cancelled_call_leaves_the_queue_or_its_slot(admission: Admission) -> None:
    running = offer_many(admission, "a", SLOTS, 1.0)
    waiting = offer_many(admission, "b", 2, 1.0)
    assert isinstance(waiting[0], Queued) and isinstance(waiting[1], Queued)
    assert admission.cancel(waiting[0].ticket, 1.1) == []
    first = running[0]
    assert isinstance(first, Admitted)
    assert admission.cancel(first.ticket, 1.2) == [Admitted(waiting[1].ticket)]


def test_the_limit_never_exceeds_the_slots() -> None:
    admission = Admission(slots=2, ceiling=9, shares=SHARES, now=0.0, random=Random(3))
    tickets: list[int] = []
    for step in range(2_000):
        now = step / 200
        decision = admission.offer("a", now + 9, now)
        tickets.append(decision.ticket)
        if len(tickets) > 2:
            admission.finish(tickets.pop(0), 0.01, now, refused=False)
    assert admission.limit == 2


def test_a_refusing_endpoint_lowers_the_limit(admission: Admission) -> None:
    for step in range(20):
        decision = admission.offer("a", 99.0, float(step))
        assert isinstance(decision, Admitted)
        admission.finish(decision.ticket, SERVICE_S, step + 0.5, refused=True)
    assert admission.limit == 1


def test_a_flood_puts_only_its_subscriber_over_its_share(admission: Admission) -> None:
    record_service_times(admission)
    for step in range(100):
        now = 1.0 + step / 100
        offer_many(admission, "heavy", 10, now)
        admission.update_pressure(now)
    pressure = admission.update_pressure(2.0)
    assert pressure.over_share == ("heavy",)
    waiting = admission.offer("a", 9.0, 2.0)
    assert isinstance(waiting, Queued) and admission.waiting > 10
    admitted = [
        each
        for ticket in range(1, waiting.ticket)
        for each in admission.finish(ticket, SERVICE_S, 2.0, refused=False)
    ]
    assert admitted[0] == Admitted(waiting.ticket)


def test_a_subscriber_over_its_share_gets_its_share_and_borrows_unused_slots(
    admission: Admission,
) -> None:
    record_service_times(admission)
    report = EndpointUsage("e", "n1", tuple(SubscriberUsage(n, 9, 1_600) for n in NAMES[:3]), 3)
    for step in range(10):
        admission.report_usage(report, 1.0 + step * 2)
    for step in range(100):
        offer_many(admission, "heavy", 10, 19.0 + step / 50)
        admission.update_pressure(19.0 + step / 50)
    assert admission.update_pressure(21.0).over_share == ("heavy",)
    admission.report_load(admission.running, 21.0)
    for ticket in range(len(NAMES) + 1, len(NAMES) + SLOTS + 1):
        admission.finish(ticket, SERVICE_S, 21.0, refused=False)
    assert admission.running == 2, "one slot of its own share and one that it borrows"
    assert isinstance(admission.offer("a", 30.0, 21.0), Admitted)


def test_saturation_is_reported_and_ends(admission: Admission) -> None:
    record_service_times(admission)
    usage = tuple(SubscriberUsage(name, 9, 1_900) for name in NAMES)
    for step in range(1, 5):
        admission.report_usage(EndpointUsage("e", "n1", usage, 9), step * 2.0)
    assert admission.update_pressure(8.0).saturated
    for step in range(100):
        pressure = admission.update_pressure(20.0 + step / 10)
    assert not pressure.saturated


def test_a_burst_of_direct_calls_saturates_at_once(admission: Admission) -> None:
    admission.report_load(SLOTS * 3, 1.0)
    assert admission.update_pressure(1.0).saturated


def test_unknown_subscribers_share_one_share(admission: Admission) -> None:
    record_service_times(admission)
    for step in range(100):
        now = 1.0 + step / 100
        for index in range(10):
            admission.offer(f"unknown{index}", now + 9, now)
        admission.update_pressure(now)
    assert admission.update_pressure(2.0).over_share == ("",)
