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
        self._within_share = FairQueue()
        self._borrowing = FairQueue()
        self._over_share: frozenset[str] = frozenset()
        self._share_slots: dict[str, int] = {}
        self._used_slots: dict[str, int] = {}

    @property
    def over_share(self) -> frozenset[str]:
        """The flows that are over their share."""
        return self._over_share

    def count_waiting(self) -> int:
        """Return the number of queued calls of both classes."""
        return len(self._within_share) + len(self._borrowing)

    def would_borrow(self, flow: str) -> bool:
        """Return whether the next call of the flow belongs to the second class."""
        return flow in self._over_share and self._used_slots.get(flow, 0) >= self._share_slots.get(
            flow, 1
        )

    def find_queue(self, *, is_borrowing: bool) -> FairQueue:
        """Return the queue of one class."""
        return self._borrowing if is_borrowing else self._within_share

    def acquire_slot(self, flow: str) -> None:
        """Count a call that enters the first class, and so uses a slot of its flow's share."""
        self._used_slots[flow] = self._used_slots.get(flow, 0) + 1

    def release_slot(self, flow: str) -> None:
        """Count a call that leaves the first class; a call of the second may take its slot."""
        used_slots = self._used_slots.get(flow, 0) - 1
        if used_slots > 0:
            self._used_slots[flow] = used_slots
        else:
            self._used_slots.pop(flow, None)
        if flow in self._over_share and not self.would_borrow(flow):
            call = self._borrowing.pop_from_flow(flow)
            if call is not None:
                self.push(call, is_borrowing=False)

    def push(self, call: WaitingCall, *, is_borrowing: bool) -> None:
        """Append a call to one class."""
        if is_borrowing:
            self._borrowing.push(call)
        else:
            self.acquire_slot(call.flow)
            self._within_share.push(call)

    def pop(self, cost_s: float, *, is_borrowing: bool) -> WaitingCall | None:
        """Remove and return the next call; in the first class its slot is used until released."""
        return self.find_queue(is_borrowing=is_borrowing).pop(self.shares, cost_s)

    def remove(self, ticket: int) -> bool:
        """Remove a call; return whether it was queued."""
        call = self._within_share.remove(ticket)
        if call is not None:
            self.release_slot(call.flow)
            return True
        return self._borrowing.remove(ticket) is not None

    def pop_expired(self, now: float) -> list[WaitingCall]:
        """Remove and return the calls that have expired."""
        within_share = self._within_share.pop_expired(now)
        borrowing = self._borrowing.pop_expired(now)
        for call in within_share:
            self.release_slot(call.flow)
        return within_share + borrowing

    def read_next_expiry(self) -> float | None:
        """Return when the next queued call expires, or None if the queue is empty."""
        instants = (self._within_share.read_next_expiry(), self._borrowing.read_next_expiry())
        return min((instant for instant in instants if instant is not None), default=None)

    def set_over_share(self, over_share: frozenset[str], share_slots: dict[str, int]) -> None:
        """Set the flows over their share; reclassify the queued calls of those that changed."""
        changed = over_share ^ self._over_share
        self._over_share = over_share
        self._share_slots = share_slots
        for flow in sorted(changed):
            waiting = self._within_share.remove_flow(flow)
            for _ in waiting:
                self.release_slot(flow)
            for call in waiting + self._borrowing.remove_flow(flow):
                self.push(call, is_borrowing=self.would_borrow(flow))
