"""A queue with two classes: calls within their subscriber's share, and calls over it."""

from corianderwall.traffic.fairqueue import FairQueue, WaitingCall
from corianderwall.traffic.shares import SubscriberShares


class ShareQueue:
    """Queues calls within shares first, and the calls that borrow unused slots second.

    A flow over its share may have as many calls in the first class, running or queued, as its share
    has slots, and at least one. Its other calls wait in the second class.
    """

    def __init__(self, shares: SubscriberShares) -> None:
        self.shares = shares
        self._within = FairQueue()
        self._lent = FairQueue()
        self._over: frozenset[str] = frozenset()
        self._places: dict[str, int] = {}
        self._held: dict[str, int] = {}

    @property
    def over(self) -> frozenset[str]:
        """The flows that are over their share."""
        return self._over

    def count_waiting(self) -> int:
        """Return the number of queued calls of both classes."""
        return len(self._within) + len(self._lent)

    def classify(self, flow: str) -> bool:
        """Return whether the next call of the flow belongs to the second class."""
        return flow in self._over and self._held.get(flow, 0) >= self._places.get(flow, 1)

    def find_class(self, *, is_lent: bool) -> FairQueue:
        """Return the queue of one class."""
        return self._lent if is_lent else self._within

    def hold(self, flow: str) -> None:
        """Count a call that enters the first class, and so uses a slot of its flow's share."""
        self._held[flow] = self._held.get(flow, 0) + 1

    def release(self, flow: str) -> None:
        """Count a call that leaves the first class; a call of the second may take its slot."""
        held = self._held.get(flow, 0) - 1
        if held > 0:
            self._held[flow] = held
        else:
            self._held.pop(flow, None)
        if flow in self._over and not self.classify(flow):
            call = self._lent.pop_flow(flow)
            if call is not None:
                self.push(call, is_lent=False)

    def push(self, call: WaitingCall, *, is_lent: bool) -> None:
        """Append a call to one class."""
        if is_lent:
            self._lent.push(call)
        else:
            self.hold(call.flow)
            self._within.push(call)

    def pop(self, cost_s: float, *, is_lent: bool) -> WaitingCall | None:
        """Remove and return the next call; in the first class its slot is used until released."""
        return self.find_class(is_lent=is_lent).pop(self.shares, cost_s)

    def remove(self, ticket: int) -> bool:
        """Remove a call; return whether it was queued."""
        call = self._within.remove(ticket)
        if call is not None:
            self.release(call.flow)
            return True
        return self._lent.remove(ticket) is not None

    def pop_given_up(self, now: float) -> list[WaitingCall]:
        """Remove and return the calls that have expired."""
        within = self._within.pop_given_up(now)
        lent = self._lent.pop_given_up(now)
        for call in within:
            self.release(call.flow)
        return within + lent

    def read_next_give_up(self) -> float | None:
        """Return when the next queued call expires, or None if the queue is empty."""
        instants = (self._within.read_next_give_up(), self._lent.read_next_give_up())
        return min((instant for instant in instants if instant is not None), default=None)

    def set_over_share(self, over: frozenset[str], places: dict[str, int]) -> None:
        """Set the flows over their share; reclassify the queued calls of those that changed."""
        changed = over ^ self._over
        self._over = over
        self._places = places
        for flow in sorted(changed):
            waiting = self._within.remove_flow(flow)
            for _ in waiting:
                self.release(flow)
            for call in waiting + self._lent.remove_flow(flow):
                self.push(call, is_lent=self.classify(flow))
