from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from corianderwall.model.resource import Snapshot, Subscriber
from corianderwall.traffic.fairqueue import FairQueue, WaitingCall
from corianderwall.traffic.shares import SubscriberShares

SHARES = SubscriberShares(
    Snapshot(subscribers=tuple(Subscriber(name=name, share=len(name)) for name in ("a", "bb")))
)


def push(queue: FairQueue, ticket: int, flow: str, expires_at: float = 9.0) -> None:
    queue.push(WaitingCall(ticket, flow, expires_at, expires_at))


def pop_flows(queue: FairQueue, count: int, cost_s: float = 1.0) -> list[str]:
    calls = [queue.pop(SHARES, cost_s) for _ in range(count)]
    return [call.flow for call in calls if call is not None]


def test_backlogged_flows_are_served_by_share() -> None:
    queue = FairQueue()
    for ticket in range(300):
        push(queue, ticket, "a")
        push(queue, 1000 + ticket, "bb")
    assert Counter(pop_flows(queue, 90)) == {"a": 30, "bb": 60}


def test_a_light_flow_overtakes_a_backlog() -> None:
    queue = FairQueue()
    for ticket in range(100):
        push(queue, ticket, "bb")
    pop_flows(queue, 50)
    push(queue, 1000, "a")
    assert "a" in pop_flows(queue, 2)


def test_long_calls_are_charged_when_their_length_is_known() -> None:
    queue = FairQueue()
    for ticket in range(100):
        push(queue, ticket, "a")
        push(queue, 1000 + ticket, "x")
    served: Counter[str] = Counter()
    for _ in range(60):
        (flow,) = pop_flows(queue, 1)
        served[flow] += 1
        queue.charge(flow, 3.0 if flow == "x" else 0.0)
    assert 3.5 <= served["a"] / served["x"] <= 4.5


def test_an_idle_flow_saves_up_no_credit() -> None:
    queue = FairQueue()
    for ticket in range(50):
        push(queue, ticket, "a")
    pop_flows(queue, 40)
    for ticket in range(50):
        push(queue, 1000 + ticket, "x")
    assert Counter(pop_flows(queue, 10)) == {"a": 5, "x": 5}


def test_queued_calls_expire_in_time_order() -> None:
    queue = FairQueue()
    push(queue, 1, "a", expires_at=2.0)
    push(queue, 2, "a", expires_at=1.0)
    assert queue.read_next_expiry() == 1.0
    assert [call.ticket for call in queue.pop_expired(1.0)] == [2]
    assert queue.read_next_expiry() == 2.0
    assert [call.ticket for call in queue.pop_expired(3.0)] == [1]
    assert queue.pop(SHARES, 1.0) is None
    assert queue.read_next_expiry() is None


operations = st.lists(
    st.tuples(
        st.sampled_from(["push", "pop", "remove", "flow", "give_up"]),
        st.sampled_from(["a", "bb", "x"]),
        st.integers(0, 9),
    ),
    max_size=60,
)


@settings(derandomize=True, max_examples=300)
@given(operations)
def test_every_call_leaves_exactly_once(steps: list[tuple[str, str, int]]) -> None:
    queue = FairQueue()
    queued: set[int] = set()
    for ticket, (step, flow, number) in enumerate(steps):
        left: list[WaitingCall | None] = []
        if step == "push":
            push(queue, ticket, flow, expires_at=number)
            queued.add(ticket)
        elif step == "pop":
            left = [queue.pop(SHARES, 1.0)]
            assert (left == [None]) == (not queued)
        elif step == "remove":
            left = [queue.remove(ticket - number)]
        elif step == "flow":
            left = [queue.pop_from_flow(flow)] if number < 5 else [*queue.remove_flow(flow)]
        else:
            left = [*queue.pop_expired(number)]
        for call in left:
            if call is not None:
                queued.remove(call.ticket)
        assert len(queue) == len(queued)
        assert sum(queue.count_waiting(name) for name in ("a", "bb", "x")) == len(queued)


@settings(derandomize=True, max_examples=100)
@given(operations)
def test_flows_stay_equal_after_any_operations(steps: list[tuple[str, str, int]]) -> None:
    queue = FairQueue()
    for ticket, (step, flow, _) in enumerate(steps):
        push(queue, ticket, flow)
        if step == "flow":
            queue.pop_from_flow(flow)
        elif step == "remove":
            queue.remove_flow(flow)
    while queue.pop(SHARES, 1.0) is not None:
        pass
    for ticket in range(100):
        push(queue, 1000 + ticket, "a")
        push(queue, 2000 + ticket, "x")
    assert Counter(pop_flows(queue, 40)) == {"a": 20, "x": 20}
