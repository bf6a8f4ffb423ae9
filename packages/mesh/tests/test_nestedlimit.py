"""Load pattern: calls whose nested calls a smaller cold service refuses."""

from corianderwall.mesh.admission import Admission, AdmissionQueue, QueuedCall
from corianderwall.mesh.nestedlimit import END_AFTER_S, NestedLimits


def test_calls_of_a_wasted_route_are_held_back_and_others_are_not() -> None:
    queue = AdmissionQueue(9)
    queue.nested_limits.record_end("r", 0.0, wasted=True, rate_per_s=2.0)
    calls = [QueuedCall(route, 1, 9.0, 9.0) for route in ("r", "r", "other")]
    decisions = [queue.offer(call, 0.0, may_wait=False) for call in calls]
    assert decisions == [Admission.START, Admission.FULL, Admission.START]
    assert queue.estimate_start(calls[1], 0.0) > 0.5


def test_the_limit_falls_with_waste_grows_with_served_calls_and_ends() -> None:
    limits = NestedLimits()
    limits.record_end("r", 0.0, wasted=True, rate_per_s=10.0)
    waits = []
    for number in range(3):
        limits.take("r", 0.5)
        waits.append(limits.estimate_wait("r", 0.5, ahead=9))
        limits.record_end("r", 0.5 + number / 100, wasted=number == 0, rate_per_s=10.0)
    assert waits[1] > waits[0]
    assert not limits.permits("r", 0.53)
    assert limits.permits("r", 0.6 + END_AFTER_S)
    assert limits.is_empty


def test_calls_that_end_well_limit_nothing() -> None:
    limits = NestedLimits()
    limits.record_end("r", 0.0, wasted=False, rate_per_s=1.0)
    assert limits.is_empty and limits.permits("r", 0.0)


def test_the_limit_of_a_service_that_has_no_warm_up_starts_from_the_rate_of_its_calls() -> None:
    """Guards against a warm service that is held to a call in four seconds by one wasted call."""
    queue = AdmissionQueue(50)
    queue.mean_s = 1.0
    for _ in range(40):
        queue.offer(QueuedCall("r", 1, 99.0, 99.0), 10.0, may_wait=False)
    queue.nested_limits.record_end("r", 10.1, wasted=True, rate_per_s=queue.estimate_rate(10.1))
    assert queue.nested_limits.estimate_wait("r", 10.1, ahead=9) < 1.0
