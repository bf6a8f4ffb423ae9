from corianderwall.mesh.admission import Admission, AdmissionQueue, Ticket


def make_ticket(deadline: float = 10.0, *, rank: int = 1, route: str = "r") -> Ticket:
    return Ticket(route, rank, deadline)


def run_call(queue: AdmissionQueue, took_s: float, route: str = "r") -> None:
    ticket = make_ticket(1000.0, route=route)
    assert queue.offer(ticket, 0.0, may_wait=False) is Admission.START
    queue.finish(ticket, took_s, ran=True)


def test_no_more_calls_run_than_there_are_slots() -> None:
    queue = AdmissionQueue(2)
    answers = [queue.offer(make_ticket(), 0.0, may_wait=False) for _ in range(3)]
    assert answers == [Admission.START, Admission.START, Admission.FULL]


def test_a_freed_slot_goes_to_the_waiting_call_and_not_to_a_new_one() -> None:
    queue = AdmissionQueue(1)
    first, second = make_ticket(), make_ticket()
    queue.offer(first, 0.0, may_wait=True)
    assert queue.offer(second, 0.0, may_wait=True) is Admission.WAIT
    queue.finish(first, 0.1, ran=True)
    assert queue.offer(make_ticket(), 0.1, may_wait=False) is Admission.FULL
    assert queue.advance(0.1) == ([second], [])


def test_calls_of_running_calls_start_first_then_the_urgent_then_the_earlier_deadline() -> None:
    queue = AdmissionQueue(1)
    running = make_ticket()
    queue.offer(running, 0.0, may_wait=True)
    later, sooner = make_ticket(9.0, rank=2), make_ticket(8.0, rank=2)
    urgent, nested = make_ticket(9.5, rank=1), make_ticket(9.9, rank=0)
    for ticket in (later, sooner, urgent, nested):
        queue.offer(ticket, 0.0, may_wait=True)
    order = []
    for _ in range(4):
        queue.finish(running, 0.0, ran=False)
        (running,), _ = queue.advance(0.0)
        order.append(running)
    assert order == [nested, urgent, sooner, later]


def test_a_call_that_cannot_end_by_its_deadline_is_refused_at_once() -> None:
    queue = AdmissionQueue(1)
    run_call(queue, 1.0)
    queue.offer(make_ticket(50.0), 10.0, may_wait=True)
    assert queue.offer(make_ticket(11.5), 10.0, may_wait=True) is Admission.LATE
    assert queue.offer(make_ticket(12.5), 10.0, may_wait=True) is Admission.WAIT


def test_a_waiting_call_is_given_up_once_it_cannot_end_in_time() -> None:
    queue = AdmissionQueue(1)
    run_call(queue, 1.0)
    running, waiting = make_ticket(50.0), make_ticket(2.5)
    queue.offer(running, 0.0, may_wait=True)
    queue.offer(waiting, 0.0, may_wait=True)
    queue.finish(running, 2.0, ran=True)
    assert queue.advance(2.0) == ([], [waiting])


def test_a_call_that_did_not_run_tells_nothing_about_times() -> None:
    queue = AdmissionQueue(1)
    ticket = make_ticket()
    queue.offer(ticket, 0.0, may_wait=False)
    queue.finish(ticket, 5.0, ran=False)
    assert queue.mean_s == 0.0


def test_the_expected_wait_grows_with_the_calls_ahead_of_the_same_rank_only() -> None:
    queue = AdmissionQueue(1)
    run_call(queue, 1.0)
    queue.offer(make_ticket(100.0), 0.0, may_wait=True)
    queue.offer(make_ticket(100.0, rank=3), 0.0, may_wait=True)
    assert queue.estimate_wait(0.0, 3) == 2.0
    assert queue.estimate_wait(0.0, 1) == 1.0


def test_a_step_of_load_above_capacity_is_refused_and_not_queued_to_its_deadline() -> None:
    """Load pattern: a step to three times what the endpoint can run."""
    queue = AdmissionQueue(2)
    run_call(queue, 0.1)
    outcomes = [queue.offer(make_ticket(0.56), 0.0, may_wait=True) for _ in range(20)]
    started = outcomes.count(Admission.START)
    waiting = outcomes.count(Admission.WAIT)
    # Two run now, and four rounds of two follow at 0.1 s each; the estimate errs by half a call.
    assert (started, waiting) == (2, 8)
    assert outcomes[10:] == [Admission.LATE] * 10
