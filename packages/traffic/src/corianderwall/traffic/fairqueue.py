"""A weighted fair queue of calls with one flow for each subscriber."""

import heapq
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A queued call, refused if still queued at `expires_at`; `ticket` is unique in its queue."""

    ticket: int
    flow: str
    deadline: float
    expires_at: float


class ShareLookup(Protocol):
    """Looks up the weight of a flow."""

    def read_share(self, flow: str) -> float:
        """Return the weight, above 0."""


class _Flow:
    """The queued calls of one subscriber; `finish_tag` is in seconds of work per unit of share."""

    __slots__ = ("calls", "debt_s", "finish_tag", "is_scheduled", "waiting")

    def __init__(self) -> None:
        self.calls: deque[WaitingCall] = deque()
        self.finish_tag = 0.0
        self.debt_s = 0.0
        self.is_scheduled = False
        self.waiting = 0


class FairQueue:
    """Orders calls by start-time fair queueing, in logarithmic time for each operation.

    An idle flow saves up no credit: its next call starts at the current virtual time.
    """

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._heap: list[tuple[float, str]] = []
        self._expiries: list[tuple[float, int]] = []
        self._waiting: dict[int, WaitingCall] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def count_waiting(self, flow_name: str) -> int:
        """Return the number of queued calls of one flow."""
        flow = self._flows.get(flow_name)
        return 0 if flow is None else flow.waiting

    def list_backlogged_flows(self) -> Iterator[str]:
        """Return the flows that have queued calls."""
        return (name for name, flow in self._flows.items() if flow.waiting)

    def push(self, call: WaitingCall) -> None:
        """Append a call to its flow."""
        flow = self._flows.get(call.flow)
        if flow is None:
            flow = self._flows[call.flow] = _Flow()
        flow.calls.append(call)
        flow.waiting += 1
        self._waiting[call.ticket] = call
        heapq.heappush(self._expiries, (call.expires_at, call.ticket))
        self._schedule(call.flow, flow)

    def pop(self, shares: ShareLookup, cost_s: float) -> WaitingCall | None:
        """Remove and return the next call, if any; its flow is charged `cost_s` of work."""
        while self._heap:
            tag, name = heapq.heappop(self._heap)
            flow = self._flows[name]
            flow.is_scheduled = False
            call = self._pop_first(flow)
            if call is None:
                continue
            self._virtual_time = max(self._virtual_time, tag)
            flow.finish_tag = tag + (cost_s + flow.debt_s) / shares.read_share(name)
            flow.debt_s = 0.0
            self._drop_removed(flow)
            if flow.calls:
                self._schedule(name, flow)
            return call
        self._end_busy_period()
        return None

    def charge(self, flow_name: str, seconds: float) -> None:
        """Correct the charge of a flow by the difference between actual and expected work."""
        flow = self._flows.get(flow_name)
        if flow is not None:
            flow.debt_s += seconds

    def pop_from_flow(self, flow_name: str) -> WaitingCall | None:
        """Remove and return the first call of one flow, if any, without charging the flow."""
        flow = self._flows.get(flow_name)
        return None if flow is None else self._pop_first(flow)

    def remove(self, ticket: int) -> WaitingCall | None:
        """Remove a call and return it, or None if it was not queued."""
        call = self._waiting.pop(ticket, None)
        if call is not None:
            self._flows[call.flow].waiting -= 1
        return call

    def remove_flow(self, flow_name: str) -> list[WaitingCall]:
        """Remove the queued calls of one flow and return them in order."""
        flow = self._flows.get(flow_name)
        if flow is None:
            return []
        calls = [call for call in flow.calls if call.ticket in self._waiting]
        for call in calls:
            self.remove(call.ticket)
        flow.calls.clear()
        return calls

    def pop_expired(self, now: float) -> list[WaitingCall]:
        """Remove and return the calls that have expired."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now:
            call = self._waiting.get(heapq.heappop(self._expiries)[1])
            if call is not None:
                self.remove(call.ticket)
                expired.append(call)
        return expired

    def read_next_expiry(self) -> float | None:
        """Return when the next queued call expires, or None if the queue is empty."""
        while self._expiries and self._expiries[0][1] not in self._waiting:
            heapq.heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None

    def _schedule(self, name: str, flow: _Flow) -> None:
        if flow.is_scheduled:
            return
        flow.is_scheduled = True
        tag = max(self._virtual_time, flow.finish_tag)
        heapq.heappush(self._heap, (tag, name))

    def _pop_first(self, flow: _Flow) -> WaitingCall | None:
        self._drop_removed(flow)
        if not flow.calls:
            return None
        call = flow.calls.popleft()
        flow.waiting -= 1
        del self._waiting[call.ticket]
        return call

    def _drop_removed(self, flow: _Flow) -> None:
        while flow.calls and flow.calls[0].ticket not in self._waiting:
            flow.calls.popleft()

    def _end_busy_period(self) -> None:
        self._flows.clear()
        self._virtual_time = 0.0
