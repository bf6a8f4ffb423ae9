from collections.abc import Iterable

from hypothesis import given, settings
from hypothesis import strategies as st

from corianderwall.model.resource import Snapshot
from corianderwall.traffic.fairqueue import WaitingCall
from corianderwall.traffic.sharequeue import ShareQueue
from corianderwall.traffic.shares import SubscriberShares

FLOWS = ("a", "b")
steps_of_work = st.lists(
    st.tuples(
        st.sampled_from(["push", "push", "pop", "end", "remove", "mark", "give_up"]),
        st.sampled_from(FLOWS),
        st.integers(0, 9),
    ),
    max_size=80,
)


class QueueModel:
    """A queue, with the tickets of its queued calls and the flows of its running calls."""

    def __init__(self) -> None:
        self.queue = ShareQueue(SubscriberShares(Snapshot()))
        self.waiting: set[int] = set()
        self.running: list[str] = []
        self.ticket = 0

    def push(self, flow: str, expires_at: float) -> None:
        self.ticket += 1
        call = WaitingCall(self.ticket, flow, expires_at, expires_at)
        self.queue.push(call, is_borrowing=self.queue.would_borrow(flow))
        self.waiting.add(self.ticket)

    def pop(self, *, is_borrowing: bool) -> None:
        call = self.queue.pop(1.0, is_borrowing=is_borrowing)
        if call is not None:
            self.waiting.remove(call.ticket)
            if not is_borrowing:
                self.running.append(call.flow)

    def end(self) -> None:
        if self.running:
            self.queue.release_slot(self.running.pop())

    def leave(self, calls: Iterable[WaitingCall]) -> None:
        for call in calls:
            self.waiting.remove(call.ticket)

    def remove(self, ticket: int) -> None:
        assert self.queue.remove(ticket) == (ticket in self.waiting)
        self.waiting.discard(ticket)

    def step(self, event: str, flow: str, number: int) -> None:
        if event == "push":
            self.push(flow, number)
        elif event == "pop":
            self.pop(is_borrowing=number < 5)
        elif event == "end":
            self.end()
        elif event == "remove":
            self.remove(self.ticket - number)
        elif event == "mark":
            over_share = frozenset(flow) if number < 5 else frozenset()
            self.queue.set_over_share(over_share, dict.fromkeys(over_share, 1 + number % 2))
        else:
            self.leave(self.queue.pop_expired(number / 2))


@settings(derandomize=True, max_examples=500)
@given(steps_of_work)
def test_every_call_leaves_once_while_the_flows_over_share_change(
    steps: list[tuple[str, str, int]],
) -> None:
    model = QueueModel()
    for event, flow, number in steps:
        model.step(event, flow, number)
        assert model.queue.count_waiting() == len(model.waiting)
    model.queue.set_over_share(frozenset(), {})
    for _ in range(len(model.waiting)):
        model.pop(is_borrowing=False)
    assert not model.waiting


def test_a_flow_over_its_share_keeps_the_slots_of_its_share() -> None:
    model = QueueModel()
    for _ in range(5):
        model.push("a", 9.0)
    model.queue.set_over_share(frozenset("a"), {"a": 2})
    for _ in range(5):
        model.pop(is_borrowing=False)
    assert model.running == ["a", "a"]
    model.end()
    model.pop(is_borrowing=False)
    assert model.running == ["a", "a"], "a queued call has taken the slot"
    model.queue.set_over_share(frozenset(), {})
    model.pop(is_borrowing=False)
    assert len(model.running) == 3
