"""Waiting calls in two classes: those within their subscriber's share, and those beyond it."""

from corianderwall.traffic.fairqueue import FairQueue, WaitingCall
from corianderwall.traffic.shares import SubscriberShares


class ShareQueue:
    """Keeps each flow's share, and lends what is left.

    A flow over its share keeps as many calls in the first class, running or waiting, as its
    share has places, one at least. Its other calls wait in the second class.
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
        """The flows over their share."""
        return self._over

    def count_waiting(self) -> int:
        """Return the waiting calls of both classes."""
        return len(self._within) + len(self._lent)

    def classify(self, flow: str) -> bool:
        """Return whether the flow's next call would run on lent share."""
        return flow in self._over and self._held.get(flow, 0) >= self._places.get(flow, 1)

    def find_class(self, *, is_lent: bool) -> FairQueue:
        """Return the queue of one class."""
        return self._lent if is_lent else self._within

    def hold(self, flow: str) -> None:
        """Count a call that enters the first class."""
        self._held[flow] = self._held.get(flow, 0) + 1

    def release(self, flow: str) -> None:
        """Count a call that leaves the first class; one of the second takes its place."""
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
        """Return the next call of one class; one of the first stays held until released."""
        return self.find_class(is_lent=is_lent).pop(self.shares, cost_s)

    def remove(self, ticket: int) -> bool:
        """Take a call out; return whether it was waiting."""
        call = self._within.remove(ticket)
        if call is not None:
            self.release(call.flow)
            return True
        return self._lent.remove(ticket) is not None

    def pop_given_up(self, now: float) -> list[WaitingCall]:
        """Take out the calls that have waited as long as they may."""
        within = self._within.pop_given_up(now)
        lent = self._lent.pop_given_up(now)
        for call in within:
            self.release(call.flow)
        return within + lent

    def read_next_give_up(self) -> float | None:
        """Return when the next waiting call is given up, None if none waits."""
        instants = (self._within.read_next_give_up(), self._lent.read_next_give_up())
        return min((instant for instant in instants if instant is not None), default=None)

    def set_over_share(self, over: frozenset[str], places: dict[str, int]) -> None:
        """Reclassify the waiting calls of the flows that go over their share or come back."""
        changed = over ^ self._over
        self._over = over
        self._places = places
        for flow in sorted(changed):
            waiting = self._within.remove_flow(flow)
            for _ in waiting:
                self.release(flow)
            for call in waiting + self._lent.remove_flow(flow):
                self.push(call, is_lent=self.classify(flow))
